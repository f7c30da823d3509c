//! Callers who send one order after the other on kept connections, and what they lose.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::clients::order;
use crate::deployment::Deployment;
use crate::http::read_response;
use crate::record::Record;

/// Number of these callers.
const CALLERS: u32 = 12;

/// Requests of kept connections that may lose their connection, by the rule.
const LOST_MAX: usize = 3;

/// What the other callers saw.
#[derive(Default)]
struct Seen {
    answered: u32,
    /// Orders on kept connections that ended without an answer.
    unanswered: Vec<(Instant, String)>,
}

fn send_orders(caller: u32, address: SocketAddr, seen: &Mutex<Seen>, is_over: &AtomicBool) {
    let mut connection: Option<BufReader<TcpStream>> = None;
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("order-{caller}-{number}");
        let kept = connection.take();
        let is_kept = kept.is_some();
        let opened = kept.or_else(|| TcpStream::connect(address).ok().map(BufReader::new));
        let Some(mut reader) = opened else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let response = match reader.get_mut().write_all(order(&id, 4).as_bytes()) {
            Ok(()) => read_response(&mut reader),
            Err(_) => continue,
        };
        let mut seen = seen.lock().expect("lock");
        match response.status {
            0 if is_kept => seen.unanswered.push((Instant::now(), id)),
            0 => {}
            _ => {
                seen.answered += 1;
                connection = Some(reader);
            }
        }
    }
}

pub struct Callers {
    is_over: Arc<AtomicBool>,
    seen: Arc<Mutex<Seen>>,
}

/// What the callers saw, for the verdict.
pub struct Orders {
    pub answered: u32,
    /// Orders of kept connections that a worker ran and that ended without an answer.
    pub lost: usize,
}

impl Orders {
    /// Returns true if more were lost than the rule allows.
    pub fn break_rule(&self) -> bool {
        self.lost > LOST_MAX
    }
}

impl Callers {
    pub fn start(address: SocketAddr) -> Self {
        let callers = Self {
            is_over: Arc::default(),
            seen: Arc::default(),
        };
        for caller in 0..CALLERS {
            let (seen, is_over) = (callers.seen.clone(), callers.is_over.clone());
            thread::spawn(move || send_orders(caller, address, &seen, &is_over));
        }
        callers
    }

    /// Ends the callers.
    pub fn end(self, record: &Record, deployment: &Deployment) -> Orders {
        thread::sleep(Duration::from_millis(500));
        self.is_over.store(true, Ordering::SeqCst);
        let seen = self.seen.lock().expect("lock");
        let mut lost = 0;
        for (at, id) in &seen.unanswered {
            let has_run = deployment.has_run(id);
            record.line_at(
                *at,
                format!("{id} has no answer, run by a worker={has_run}"),
            );
            lost += usize::from(has_run);
        }
        Orders {
            answered: seen.answered,
            lost,
        }
    }
}
