//! Stand-in for a plain worker. It runs a request when one of its slots is free, queues a few more, and
//! rejects the others with `X-Not-Executed`.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Request, read_request};
use crate::platform::Platform;
use crate::record::Record;

#[derive(Clone, Copy)]
pub struct Kind {
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: usize,
    pub queue: usize,
    /// Time that a request with a body of more than 64 KiB takes; a smaller one takes 30 ms.
    pub work: Duration,
}

#[derive(Clone)]
pub struct Worker {
    address: SocketAddr,
    id: String,
    kind: Kind,
    record: Record,
    /// Ids of the requests that began to run.
    runs: Arc<Mutex<Vec<String>>>,
    /// Requests that run, and requests that wait.
    slots: Arc<(Mutex<(usize, usize)>, Condvar)>,
}

impl Worker {
    pub fn start(platform: &Platform, record: &Record, id: &str, kind: Kind) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a worker");
        let worker = Self {
            address: listener.local_addr().expect("address"),
            id: id.to_owned(),
            kind,
            record: record.clone(),
            runs: Arc::default(),
            slots: Arc::default(),
        };
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\
             \"born\":1772393587000}}",
            kind.service, worker.address, kind.zone, kind.slots
        );
        let (platform, id) = (platform.clone(), worker.id.clone());
        thread::spawn(move || {
            loop {
                platform.put("keyed.servers", &id, &entry);
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        worker
    }

    /// Returns true if the worker began to run the request.
    pub fn ran(&self, request: &str) -> bool {
        self.runs
            .lock()
            .expect("runs")
            .iter()
            .any(|run| run == request)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            if stream.write_all(&self.respond(&request)).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Request) -> Vec<u8> {
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            let own = &self.id;
            return respond(
                "421 Misdirected Request",
                &id,
                &format!("X-Instance-Id: {own}\r\n"),
                "",
            );
        }
        if !self.take_slot() {
            return respond("503 Service Unavailable", &id, "X-Not-Executed: 1\r\n", "");
        }
        let tenant = request.header("x-tenant").unwrap_or_default();
        self.record
            .line(&format!("run      {id} at {} for tenant {tenant}", self.id));
        self.runs.lock().expect("runs").push(id.clone());
        thread::sleep(match request.body.len() > 64 << 10 {
            true => self.kind.work,
            false => Duration::from_millis(30),
        });
        self.free_slot();
        let headers = format!(
            "X-Response-Seal: {}.{id}\r\nKeep-Alive: timeout=10\r\n",
            self.id
        );
        respond("200 OK", &id, &headers, &format!("{id} is placed\n"))
    }

    fn take_slot(&self) -> bool {
        let mut state = self.slots.0.lock().expect("slots");
        if state.0 >= self.kind.slots && state.1 >= self.kind.queue {
            return false;
        }
        state.1 += 1;
        while state.0 >= self.kind.slots {
            state = self.slots.1.wait(state).expect("slots");
        }
        state.1 -= 1;
        state.0 += 1;
        true
    }

    fn free_slot(&self) {
        self.slots.0.lock().expect("slots").0 -= 1;
        self.slots.1.notify_one();
    }
}

fn respond(status: &str, id: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}
