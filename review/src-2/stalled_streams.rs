//! Streams whose worker preempts them are moved while the instance stops, and end before their last
//! event because the other worker is full.

use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::Request;
use crate::http::call;
use crate::instance::Instance;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;
use crate::worker::write_chunk;

/// Events of each stream.
const EVENTS: u32 = 12;

/// Event after which a stream is preempted.
const PREEMPTED_AFTER: u32 = 4;

/// Time between two events.
const EVENT_TIME: Duration = Duration::from_millis(100);

/// Time for which a preempted stream waits for memory and is read in again.
const PREEMPTED_TIME: Duration = Duration::from_millis(1_700);

/// Requests of other callers before the stop, and the time between two of them.
const OTHERS: u32 = 100;
const OTHERS_GAP: Duration = Duration::from_millis(40);

/// Streams that run while the instance stops.
const STREAMS: u32 = 8;

/// Streams of a worker for which its memory suffices; newer ones are preempted.
const STREAMS_IN_MEMORY: u32 = 2;

/// Time from the start of these streams to the signal.
const SIGNAL_DELAY: Duration = Duration::from_millis(200);

const CONFIGURATION: &str = r#"{"version":1,"routes":[
{"name":"plans","host":"h.example","pathPrefix":"/plans/","kind":"stream","timeoutMs":8000,
"targetLatencyMs":1000,"priority":0,"service":"llm","maxAttempts":2,"anonymous":false,"sticky":true,
"resumable":true,"gapTargetMs":400},
{"name":"status","host":"h.example","pathPrefix":"/status/","kind":"safe","timeoutMs":1500,
"targetLatencyMs":150,"priority":0,"service":"llm","maxAttempts":2,"anonymous":false}],
"services":[{"name":"llm","healthPath":"/health","maxConnections":480}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t","apiKeys":["key-of-t"],"priority":0,"unit":"tokens","uncachedTokens":200,
"ratePerS":0,"burst":0}]}"#;

/// Memory of a worker.
#[derive(Default)]
struct Memory {
    /// Number of requests that wait because they were preempted.
    preempted: Mutex<u32>,
    /// Number of long streams that have begun here.
    streams: Mutex<u32>,
}

impl Memory {
    /// Returns the number of long streams that began here before.
    fn begin_stream(&self) -> u32 {
        let mut streams = self.streams.lock().expect("lock");
        *streams += 1;
        *streams - 1
    }
}

fn run_request(
    worker: &Worker,
    memory: &Memory,
    request: &Request,
    stream: &mut TcpStream,
    has_trouble: bool,
) -> bool {
    if *memory.preempted.lock().expect("lock") > 0 {
        // Preempted requests come first, and they wait.
        return worker.refuse(request, stream);
    }
    let headers = worker.headers(request);
    worker.note(request, "begun");
    if !request.path().starts_with("/plans/") {
        return crate::http::respond(stream, 200, &headers, b"ok");
    }
    let is_newest = request.path().ends_with("/long") && memory.begin_stream() >= STREAMS_IN_MEMORY;
    let done: u32 = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    if std::io::Write::write_all(stream, head.as_bytes()).is_err() {
        return false;
    }
    for event in done + 1..=EVENTS {
        if !write_chunk(stream, &format!("id: {event}\ndata: part {event}\n\n")) {
            worker.note(request, format!("caller gone at event {event}"));
            return false;
        }
        thread::sleep(EVENT_TIME);
        if has_trouble && is_newest && event == PREEMPTED_AFTER {
            worker.note(request, "preempted");
            *memory.preempted.lock().expect("lock") += 1;
            thread::sleep(PREEMPTED_TIME);
            *memory.preempted.lock().expect("lock") -= 1;
            worker.note(request, "goes on");
        }
    }
    worker.note(request, "whole");
    std::io::Write::write_all(stream, b"0\r\n\r\n").is_ok()
}

fn start_worker(id: &str, has_trouble: bool) -> Worker {
    let memory = Arc::new(Memory::default());
    Worker::start(id, move |worker, request, stream| {
        run_request(worker, &memory, request, stream, has_trouble)
    })
}

fn request(path: &str, id: &str, deadline_ms: u32) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline: {deadline_ms}\r\nAuthorization: Bearer key-of-t\r\n\
         Content-Length: 4\r\n\r\nbody"
    )
}

pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> Verdict {
    let store = Store::start();
    let workers = [
        start_worker("i-one", has_trouble),
        start_worker("i-two", has_trouble),
    ];
    store.put("keyed.op", "config", CONFIGURATION);
    for worker in &workers {
        store.put(
            "keyed.servers",
            &worker.id,
            &worker.entry("llm", "dc-a", 96),
        );
    }
    let mut instance = Instance::start("front-a-1", store.address, scratch);
    if !instance.wait_ready(Duration::from_secs(15)) {
        return Verdict::NotRun("instance not ready");
    }
    thread::sleep(Duration::from_secs(4));
    for index in 0..OTHERS {
        let callers = instance.callers;
        let text = request("/status/a", &format!("other-{index}"), 1_500);
        thread::spawn(move || call(callers, &text, Duration::from_secs(3)));
        thread::sleep(OTHERS_GAP);
    }
    let mut callers = Vec::new();
    for index in 0..STREAMS {
        let (id, address) = (format!("stream-{index}"), instance.callers);
        record.line(format!("sent {id}"));
        callers.push(thread::spawn(move || {
            let text = request(&format!("/plans/{index}/long"), &id, 8_000);
            let response = call(address, &text, Duration::from_secs(10));
            (id, response, Instant::now())
        }));
    }
    thread::sleep(SIGNAL_DELAY);
    instance.signal("TERM");
    record.line("SIGTERM to the instance");
    let last = format!("id: {EVENTS}\n");
    let (mut cut, mut unserved) = (0, 0);
    for caller in callers {
        let Ok((id, response, at)) = caller.join() else {
            return Verdict::NotRun("a caller failed");
        };
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let events = text.matches("id: ").count();
        let status = response.status;
        record.line_at(
            at,
            format!(
                "answer {id} status={status} events={events} whole={}",
                response.is_complete && text.contains(&last)
            ),
        );
        cut += u32::from(status == 0 || (status == 200 && !response.is_complete));
        unserved += u32::from(status != 200);
    }
    let has_exited = instance.wait_exit(Duration::from_secs(10));
    record.line(format!("instance exited={has_exited}"));
    for worker in &workers {
        for run in worker.runs() {
            if run.request.starts_with("stream-") {
                record.line_at(
                    run.at,
                    format!("worker {} {} {}", worker.id, run.request, run.what),
                );
            }
        }
    }
    record.line(format!("streams={STREAMS} cut={cut} unserved={unserved}"));
    match cut {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
