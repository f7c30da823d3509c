//! Lines of the log on their way to standard output. Whoever logs never waits: when the reader
//! of the output is slow, lines are dropped and counted, and the count is told once there is room.

use super::*;

use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;

/// Lines that may wait: about a second of decisions at the worst burst.
const LINES_MAX: usize = 4_096;

/// Pause between writes, so that lines of one moment are written together.
const WRITE_PAUSE: Duration = Duration::from_millis(20);

/// Takes lines without ever waiting.
#[derive(Debug, Clone)]
pub struct LogQueue {
    dropped: Arc<AtomicU64>,
    sender: SyncSender<String>,
}

impl LogQueue {
    /// Starts a thread that writes lines to `output`.
    pub fn start(output: impl Write + Send + 'static) -> Self {
        Self::with_capacity(output, LINES_MAX)
    }

    /// Starts a thread that writes lines to `output`; up to `lines_max` may wait.
    pub fn with_capacity(output: impl Write + Send + 'static, lines_max: usize) -> Self {
        let (sender, receiver) = sync_channel(lines_max);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        std::thread::spawn(move || write_all(output, &receiver, &counted));
        Self { dropped, sender }
    }

    /// Takes a line, or drops and counts it if too many wait.
    pub fn push(&self, line: String) {
        if self.sender.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Lines dropped and not yet told.
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
        // Nobody reads an output that is closed; there is no better place to tell.
        let _ = output.write_all(text.as_bytes());
        std::thread::sleep(WRITE_PAUSE);
    }
}
