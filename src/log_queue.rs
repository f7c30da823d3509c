//! Bounded queue of log lines that a thread writes to an output, such as standard output. Logging
//! never blocks: when the reader of the output is slow, lines are dropped, and their number is
//! logged as soon as there is room.

use super::*;

use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;

/// Capacity of the queue in lines. The worst burst of logged decisions fills it in about one
/// second.
const LINES_MAX: usize = 4_096;

/// Delay between two writes to the output, so that lines logged close together are written
/// together.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// Sending side of the queue; clones add to the same queue.
#[derive(Debug, Clone)]
pub struct LogQueue {
    dropped: Arc<AtomicU64>,
    sender: SyncSender<String>,
}

impl LogQueue {
    /// Starts a thread that writes lines to `output`, with room for 4,096 queued lines. The thread
    /// ends when the last clone of the queue is dropped.
    pub fn start(output: impl Write + Send + 'static) -> Self {
        Self::with_capacity(output, LINES_MAX)
    }

    /// Starts a thread as [`Self::start`] does, with room for `lines_max` queued lines.
    pub fn with_capacity(output: impl Write + Send + 'static, lines_max: usize) -> Self {
        let (sender, receiver) = sync_channel(lines_max);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        std::thread::spawn(move || write_all(output, &receiver, &counted));
        Self { dropped, sender }
    }

    /// Adds a line, which must not end with a line break. If the queue is full, the line is dropped
    /// and counted.
    pub fn push(&self, line: String) {
        if self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of dropped lines since the thread last reported such a number in the
    /// output.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn write_all(mut output: impl Write, receiver: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(first) = receiver.recv() {
        let mut text = first;
        text.push('\n');
        for line in receiver.try_iter() {
            text.push_str(&line);
            text.push('\n');
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            text.push_str(&format!("{} WARN log dropped={count}\n", unix_ms()));
        }
        // The error is ignored: if the output is closed, there is nowhere to report it.
        let _ = output.write_all(text.as_bytes());
        std::thread::sleep(WRITE_INTERVAL);
    }
}
