//! Stand-in for a worker: accepts connections and runs requests as its behaviour says.

use std::collections::HashSet;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use crate::http::Request;
use crate::http::read_request;
use crate::http::respond;

/// Answers one request. Returns false to close the connection.
pub type Behaviour = dyn Fn(&Worker, &Request, &mut TcpStream) -> bool + Send + Sync;

#[derive(Clone)]
pub struct Worker {
    pub address: SocketAddr,
    behaviour: Arc<Behaviour>,
    pub id: String,
    /// Ids of the requests that it has begun to run.
    runs: Arc<Mutex<HashSet<String>>>,
}

impl Worker {
    pub fn start(
        id: &str,
        behaviour: impl Fn(&Worker, &Request, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Self {
            address: listener.local_addr().expect("an address"),
            behaviour: Arc::new(behaviour),
            id: id.to_owned(),
            runs: Arc::default(),
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

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let expected = request.header("x-expect-instance").unwrap_or(&self.id);
            if expected != self.id {
                let headers = format!("X-Instance-Id: {}\r\n", self.id);
                if !respond(&mut writer, 421, &headers, b"") {
                    return;
                }
                continue;
            }
            if !(self.behaviour)(self, &request, &mut writer) {
                return;
            }
        }
    }

    /// Records that a request has begun to run.
    pub fn note(&self, request: &Request) {
        self.runs
            .lock()
            .expect("lock")
            .insert(request.id().to_owned());
    }

    /// Returns true if a request has begun to run here.
    pub fn has_run(&self, request: &str) -> bool {
        self.runs.lock().expect("lock").contains(request)
    }

    /// Headers of an answer of this worker to a request that it has run.
    pub fn headers(&self, request: &Request) -> String {
        let id = request.id();
        format!(
            "X-Request-Id: {id}\r\nX-Response-Seal: {}.{id}\r\n",
            self.id
        )
    }

    /// Entry of the worker in the store.
    pub fn entry(&self, service: &str, zone: &str, slots: u32) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\
             \"sequence\":1,\"born\":1700000000000}}",
            self.address
        )
    }
}
