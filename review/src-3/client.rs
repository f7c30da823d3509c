//! Clients that send one request after the other on connections that they keep.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::http::read_message;

/// Time that a client waits for an answer.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Pause after a connection that could not be opened.
const CONNECT_PAUSE: Duration = Duration::from_millis(100);

/// End of one request.
pub struct Sent {
    pub at: Duration,
    /// Status of the answer; 0 if the connection ended without one.
    pub status: u16,
    pub id: String,
    /// True if an earlier request was answered on the connection.
    pub kept: bool,
    pub instance: usize,
    /// True if the answer came whole, with the worker's seal and the request's own id.
    pub whole: bool,
}

pub struct Clients {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Starts `count` clients of each instance.
    pub fn start(began: Instant, instances: &[SocketAddr], count: usize) -> Self {
        let mut clients = Self {
            stop: Arc::default(),
            sent: Arc::default(),
            threads: Vec::new(),
        };
        for (index, address) in instances.iter().copied().enumerate() {
            for number in 0..count {
                let (stop, sent) = (clients.stop.clone(), clients.sent.clone());
                let name = format!("{index}-{number}");
                clients.threads.push(thread::spawn(move || {
                    while !stop.load(Ordering::Relaxed) {
                        use_connection(began, &name, index, address, &stop, &sent);
                    }
                }));
            }
        }
        clients
    }

    pub fn stop(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
        std::mem::take(&mut self.sent.lock().expect("client lock"))
    }
}

fn use_connection(
    began: Instant,
    name: &str,
    instance: usize,
    address: SocketAddr,
    stop: &AtomicBool,
    sent: &Mutex<Vec<Sent>>,
) {
    let Ok(mut stream) = TcpStream::connect(address) else {
        thread::sleep(CONNECT_PAUSE);
        return;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(DEADLINE + Duration::from_millis(500)));
    let Ok(input) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(input);
    let mut kept = false;
    while !stop.load(Ordering::Relaxed) {
        let at = began.elapsed();
        let id = format!("{name}-{}", at.as_micros());
        let request = format!(
            "POST /orders/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
             X-Request-Deadline: {}\r\nAuthorization: Bearer key-of-quayside\r\n\
             Content-Length: 4\r\n\r\nbody",
            DEADLINE.as_millis()
        );
        if stream.write_all(request.as_bytes()).is_err() {
            return;
        }
        let answer = read_message(&mut reader);
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        let whole = answer.as_ref().is_some_and(|answer| {
            let has_seal = answer.header("x-response-seal").is_some();
            has_seal && answer.body == id.as_bytes()
        });
        let closes = answer
            .as_ref()
            .and_then(|answer| answer.header("connection"));
        let closes = closes.is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let retry_after = answer
            .as_ref()
            .and_then(|answer| answer.header("retry-after"));
        let pause = retry_after
            .and_then(|text| text.parse().ok())
            .unwrap_or(0.0);
        sent.lock().expect("client lock").push(Sent {
            at,
            status,
            id,
            kept,
            instance,
            whole,
        });
        if status == 0 || closes {
            return;
        }
        kept = true;
        thread::sleep(Duration::from_secs_f64(pause));
    }
}
