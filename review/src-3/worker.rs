//! Stand-in for a worker: answers each request after its work.

use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http::read_message;
use crate::http::respond;

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(100);

#[derive(Clone)]
pub struct Worker {
    pub address: SocketAddr,
    pub id: String,
    /// Ids of the requests that began to run, in order.
    ran: Arc<Mutex<Vec<String>>>,
}

impl Worker {
    pub fn start(id: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Self {
            address: listener.local_addr().expect("a bound listener"),
            id: id.to_owned(),
            ran: Arc::default(),
        };
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        worker
    }

    /// Returns how often a request has begun to run.
    pub fn runs_of(&self, request: &str) -> usize {
        let ran = self.ran.lock().expect("worker lock");
        ran.iter().filter(|id| *id == request).count()
    }

    /// Returns the worker's entry in the store. `born` is its start in Unix milliseconds.
    pub fn entry(&self, born: u64, sequence: u64) -> String {
        format!(
            "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"dc-a\",\"version\":\"1\",\
             \"slots\":96,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\
             \"born\":{born}}}",
            self.address
        )
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(input) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(input);
        while let Some(request) = read_message(&mut reader) {
            let id = request
                .header("x-request-id")
                .unwrap_or_default()
                .to_owned();
            let headers = format!("X-Request-Id: {id}\r\n");
            if request
                .header("x-expect-instance")
                .is_some_and(|expected| expected != self.id)
            {
                let headers = format!("{headers}X-Instance-Id: {}\r\n", self.id);
                respond(&mut stream, "421 Misdirected Request", &headers, b"");
                continue;
            }
            self.ran.lock().expect("worker lock").push(id.clone());
            thread::sleep(WORK);
            let headers = format!("{headers}X-Response-Seal: {}.{id}\r\n", self.id);
            if !respond(&mut stream, "200 OK", &headers, id.as_bytes()) {
                return;
            }
        }
    }
}
