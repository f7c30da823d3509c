//! Workers crash while they send answers that end with their connection.

use std::fmt::Write as _;
use std::io::Read;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::thread::JoinHandle;
use std::thread::sleep;
use std::time::Duration;
use std::time::SystemTime;

use crate::crashing_worker::PARTS;
use crate::crashing_worker::Process;
use crate::crashing_worker::part;
use crate::http::Message;
use crate::instance::Instance;
use crate::store::Store;

/// Workers of the service, one of which crashes at a time (`srv_crash`, share 0.25).
const WORKERS: usize = 4;

/// Rounds; in each one request of each kind meets a crash.
const ROUNDS: usize = 5;

/// Parts that a worker has sent when it crashes.
const PARTS_SENT: usize = 3;

/// Kinds of request: path and kind of its route.
const KINDS: [(&str, &str); 4] = [
    ("/orders/", "unsafe"),
    ("/status/", "safe"),
    ("/notes/", "stream"),
    ("/plans/", "resumable stream"),
];

/// What a client got.
struct Answer {
    body: String,
    /// True if the answer has come to the end that its length or its chunks state.
    is_complete: bool,
    status: u16,
}

pub fn run(has_trouble: bool, folder: &Path, temporary: &Path) -> i32 {
    let mut record = String::new();
    let store = Store::start();
    store.put("keyed.op", "config", configuration().as_bytes());
    let instance = Instance::start("front-1", store.address, temporary);
    let mut workers: Vec<Process> = (1..=WORKERS)
        .map(|number| start_worker(&store, number))
        .collect();
    sleep(Duration::from_secs(3));
    let (mut answered, mut broken) = (0, 0);
    for round in 1..=ROUNDS {
        for (path, kind) in KINDS {
            let id = format!("r{round}{}", path.replace('/', "-"));
            let is_stream = kind.ends_with("stream");
            let whole: String = (1..=PARTS).map(|number| part(is_stream, number)).collect();
            let asking = ask(instance.callers, path, &id);
            let mut crashed = None;
            if has_trouble {
                crashed = crash_one(&mut workers, &id);
            }
            let answer = asking.join().ok().flatten();
            if let Some(index) = crashed {
                workers[index] = start_worker(&store, index + 1);
                sleep(Duration::from_millis(2_500));
            }
            let Some(answer) = answer else {
                let _ = writeln!(record, "{id} {kind}: closed without an answer");
                continue;
            };
            answered += 1;
            let is_broken = answer.status == 200 && answer.is_complete && answer.body != whole;
            broken += usize::from(is_broken);
            let _ = writeln!(
                record,
                "{id} {kind}: status={} bytes={} of {} complete={} {}",
                answer.status,
                answer.body.len(),
                whole.len(),
                answer.is_complete,
                match is_broken {
                    true => "BROKEN: ends early and looks complete",
                    false => "held",
                }
            );
        }
    }
    let _ = writeln!(record, "answers={answered} broken={broken}");
    let code = match (answered, broken) {
        (0, _) => 2,
        (_, 0) => 0,
        _ => 1,
    };
    let _ = writeln!(record, "exit {code}");
    match std::fs::write(folder.join("record.txt"), record) {
        Ok(()) => code,
        Err(_) => 2,
    }
}

/// Waits until a worker has sent some parts of a request's answer, kills it and returns its index;
/// `None` if none of them has within a second.
fn crash_one(workers: &mut [Process], request: &str) -> Option<usize> {
    for _ in 0..100 {
        for (index, worker) in workers.iter_mut().enumerate() {
            if worker.has_sent(request, PARTS_SENT) {
                worker.kill();
                return Some(index);
            }
        }
        sleep(Duration::from_millis(10));
    }
    None
}

/// Starts a worker and registers it as one that starts again under the id that it had.
fn start_worker(store: &Store, number: usize) -> Process {
    let id = format!("i-{number}");
    let worker = Process::start(&id);
    let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let born = born.map_or(0, |since| since.as_millis());
    let entry = format!(
        "{{\"service\":\"desk\",\"address\":\"{}\",\"zone\":\"dc-a\",\"version\":\"1\",\"slots\":96,\
         \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":{born}}}",
        worker.address
    );
    store.put("keyed.servers", &id, entry.as_bytes());
    worker
}

/// Sends a request in a thread, which returns the answer.
fn ask(address: SocketAddr, path: &str, id: &str) -> JoinHandle<Option<Answer>> {
    let request = format!(
        "POST {path}1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline: 8000\r\nAuthorization: Bearer key-of-quayside\r\n\
         Content-Length: 4\r\n\r\nbody"
    );
    thread::spawn(move || {
        let mut stream = TcpStream::connect(address).ok()?;
        let _ = stream.set_read_timeout(Some(Duration::from_secs(9)));
        stream.write_all(request.as_bytes()).ok()?;
        let mut bytes = Vec::new();
        let mut piece = [0; 4_096];
        loop {
            if let Some(answer) = parse(&bytes) {
                return Some(answer);
            }
            match stream.read(&mut piece) {
                Ok(0) | Err(_) => return parse_incomplete(&bytes),
                Ok(count) => bytes.extend_from_slice(&piece[..count]),
            }
        }
    })
}

/// Parses an answer that is complete, by its length or chunks.
fn parse(bytes: &[u8]) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_ascii_lowercase();
    let message = Message {
        start: text.lines().next()?.to_owned(),
        ..Message::default()
    };
    if head.contains("transfer-encoding: chunked") {
        let (mut rest, mut joined) = (body, String::new());
        loop {
            let (size, after) = rest.split_once("\r\n")?;
            let size = usize::from_str_radix(size, 16).ok()?;
            let chunk = after.get(..size)?;
            rest = after.get(size + 2..)?;
            if size == 0 {
                return Some(Answer {
                    body: joined,
                    is_complete: true,
                    status: message.status(),
                });
            }
            joined.push_str(chunk);
        }
    }
    let (_, length) = head.split_once("content-length: ")?;
    let length: usize = length.lines().next()?.trim().parse().ok()?;
    let body = body.get(..length)?.to_owned();
    Some(Answer {
        body,
        is_complete: true,
        status: message.status(),
    })
}

/// Parses what has come of an answer whose connection has ended.
fn parse_incomplete(bytes: &[u8]) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes);
    let (_, body) = text.split_once("\r\n\r\n")?;
    let message = Message {
        start: text.lines().next()?.to_owned(),
        ..Message::default()
    };
    Some(Answer {
        body: body.to_owned(),
        is_complete: false,
        status: message.status(),
    })
}

fn configuration() -> String {
    let mut routes = Vec::new();
    for (path, kind) in KINDS {
        let is_resumable = kind.starts_with("resumable");
        let kind = kind.rsplit(' ').next().unwrap_or_default();
        let attempts = 1 + u32::from(is_resumable || kind == "safe");
        routes.push(format!(
            "{{\"name\":\"r{}\",\"host\":\"desk.example\",\"pathPrefix\":\"{path}\",\"kind\":\"{kind}\",\
             \"timeoutMs\":8000,\"targetLatencyMs\":1000,\"priority\":2,\"service\":\"desk\",\
             \"maxAttempts\":{attempts},\"anonymous\":false,\"sticky\":false,\
             \"resumable\":{is_resumable},\"gapTargetMs\":400}}",
            path.replace('/', "-")
        ));
    }
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\"healthPath\":\"/health\"}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":5000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"quayside\",\"apiKeys\":\
         [\"key-of-quayside\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}
