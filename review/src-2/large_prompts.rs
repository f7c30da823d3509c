//! Streams whose requests are large, but within the operators' limit, take more memory than the
//! platform gives the process, which the platform then kills.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http::Request;
use crate::http::call;
use crate::http::read_response;
use crate::http::respond;
use crate::instance::Instance;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Worker;
use crate::worker::write_chunk;

/// `memoryMb` of the settings.
const MEMORY_KIB: u64 = 260 << 10;

/// Bytes of a large prompt; `maxBodyBytes` of the configuration is 4,194,304.
const PROMPT_BYTES: usize = 4_000_000;

/// Bytes of a prompt without the disruption.
const USUAL_PROMPT_BYTES: usize = 18_000;

/// Streams, and the time between the starts of two of them.
const STREAMS: u32 = 120;
const STREAMS_GAP: Duration = Duration::from_millis(100);

/// Events of a stream and the time between two of them: a stream lasts 7 s.
const EVENTS: u32 = 70;
const EVENT_TIME: Duration = Duration::from_millis(100);

/// Other callers, who send one order after the other on a kept connection.
const CALLERS: u32 = 12;

/// Time that a worker needs for an order.
const ORDER_TIME: Duration = Duration::from_millis(60);

/// Number of requests of kept connections that may lose their connection, by the rule.
const LOST_MAX: usize = 3;

const CONFIGURATION: &str = r#"{"version":1,"routes":[
{"name":"plans","host":"h.example","pathPrefix":"/plans/","kind":"stream","timeoutMs":8000,
"targetLatencyMs":1000,"priority":0,"service":"llm","maxAttempts":2,"anonymous":false,"sticky":true,
"resumable":true,"gapTargetMs":400},
{"name":"orders","host":"h.example","pathPrefix":"/orders/","kind":"unsafe","timeoutMs":1500,
"targetLatencyMs":150,"priority":0,"service":"shop","maxAttempts":1,"anonymous":false}],
"services":[{"name":"llm","healthPath":"/health","maxConnections":480},
{"name":"shop","healthPath":"/health","maxConnections":96}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t","apiKeys":["key-of-t"],"priority":0,"unit":"tokens","uncachedTokens":200,
"ratePerS":0,"burst":0}]}"#;

fn run_stream(worker: &Worker, request: &Request, stream: &mut TcpStream) -> bool {
    worker.note(request, format!("begun bytes={}", request.body.len()));
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        worker.headers(request)
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for event in 1..=EVENTS {
        if !write_chunk(stream, &format!("id: {event}\ndata: part {event}\n\n")) {
            worker.note(request, format!("caller gone at event {event}"));
            return false;
        }
        thread::sleep(EVENT_TIME);
    }
    worker.note(request, "whole");
    stream.write_all(b"0\r\n\r\n").is_ok()
}

fn run_order(worker: &Worker, request: &Request, stream: &mut TcpStream) -> bool {
    worker.note(request, "begun");
    thread::sleep(ORDER_TIME);
    respond(stream, 200, &worker.headers(request), b"ok")
}

fn request(path: &str, id: &str, deadline_ms: u32, body_bytes: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline: {deadline_ms}\r\nAuthorization: Bearer key-of-t\r\n\
         Content-Length: {body_bytes}\r\n\r\n{}",
        "p".repeat(body_bytes)
    )
}

/// What the other callers saw.
#[derive(Default)]
struct Seen {
    answered: u32,
    /// Orders whose connection ended without an answer.
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
        let text = request("/orders/a", &id, 1_500, 4);
        let response = match reader.get_mut().write_all(text.as_bytes()) {
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

pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("keyed.op", "config", CONFIGURATION);
    let engines = ["i-one", "i-two"].map(|id| Worker::start(id, run_stream));
    let shops = ["i-three", "i-four"].map(|id| Worker::start(id, run_order));
    for worker in &engines {
        store.put(
            "keyed.servers",
            &worker.id,
            &worker.entry("llm", "dc-a", 96),
        );
    }
    for worker in &shops {
        store.put(
            "keyed.servers",
            &worker.id,
            &worker.entry("shop", "dc-a", 6),
        );
    }
    let mut instance = Instance::start("front-a-1", store.address, scratch);
    if !instance.wait_ready(Duration::from_secs(15)) {
        return Verdict::NotRun("instance not ready");
    }
    let (seen, is_over) = (Arc::<Mutex<Seen>>::default(), Arc::<AtomicBool>::default());
    let address = instance.callers;
    for caller in 0..CALLERS {
        let (seen, is_over) = (seen.clone(), is_over.clone());
        thread::spawn(move || send_orders(caller, address, &seen, &is_over));
    }
    thread::sleep(Duration::from_secs(2));
    let bytes = match has_trouble {
        true => PROMPT_BYTES,
        false => USUAL_PROMPT_BYTES,
    };
    let mut peak_kib = 0;
    let mut killed_at = None;
    let began_at = Instant::now();
    let mut sent = 0;
    // Streams start at a constant rate; the platform looks at the memory in between.
    while killed_at.is_none() && began_at.elapsed() < STREAMS_GAP * STREAMS + Duration::from_secs(8)
    {
        if sent < STREAMS && began_at.elapsed() >= STREAMS_GAP * sent {
            let id = format!("stream-{sent}");
            record.line(format!("sent {id} bytes={bytes}"));
            thread::spawn(move || {
                let text = request("/plans/a", &id, 8_000, bytes);
                call(address, &text, Duration::from_secs(10))
            });
            sent += 1;
        }
        let Some(kib) = instance.memory_kib() else {
            return Verdict::NotRun("memory of the process is not known");
        };
        peak_kib = kib.max(peak_kib);
        if kib > MEMORY_KIB {
            killed_at = Some(Instant::now());
            record.line(format!(
                "platform kills the process: {} MiB of memory",
                kib >> 10
            ));
            instance.signal("KILL");
            instance.wait_exit(Duration::from_secs(2));
        }
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(500));
    is_over.store(true, Ordering::SeqCst);
    let seen = seen.lock().expect("lock");
    let mut lost = 0;
    for (at, id) in &seen.unanswered {
        let has_begun = shops
            .iter()
            .any(|shop| shop.runs().iter().any(|run| run.request == *id));
        record.line_at(
            *at,
            format!("{id} has no answer, run by a worker={has_begun}"),
        );
        lost += usize::from(has_begun);
    }
    record.line(format!(
        "streams={sent} bytes={bytes} peak={} MiB killed={} orders answered={} lost={lost}",
        peak_kib >> 10,
        killed_at.is_some(),
        seen.answered,
    ));
    match lost > LOST_MAX {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
