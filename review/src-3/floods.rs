//! Answers without end beside sound requests: streams, at the processor share of a small deployment,
//! or bodies, at the bandwidth of its links.

use std::fmt::Write as _;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::http::read_message;
use crate::http::respond;
use crate::instance::CONTINUE;
use crate::instance::Instance;
use crate::instance::STOP;
use crate::link;
use crate::store::Store;

/// Workers of the service, all of which are in trouble at times (`srv_grey`, share 1.0).
const WORKERS: usize = 6;

/// Answers of the form in question that have no end then, in a hundred (`srv_grey`, x 0.45).
const ENDLESS_IN_100: u64 = 25;

/// Time for which workers give such answers (`srv_grey`, for_s 4.0).
const TROUBLE_TIME: Duration = Duration::from_secs(4);

/// Requests that come to the one machine of the third zone in a second (`per_s` of its traffic).
const REQUESTS_PER_S: f64 = 52.5;

/// Time for which requests come, and for which they have come before the trouble begins.
const LOAD_TIME: Duration = Duration::from_secs(30);
const CALM_TIME: Duration = Duration::from_secs(8);

/// Share of the processor (`cpuShare`) as a quota: the process runs for this part of each tenth of
/// a second.
const CPU_SHARE: f64 = 0.25;
const QUOTA_PERIOD: Duration = Duration::from_millis(100);

/// Bytes that the machine's link passes on in a second (`linkMbps` 1,000).
const LINK_BYTES_PER_S: f64 = 125_000_000.0;

/// Time after its route's timeout at which a request must have its final answer.
const FINAL_TIME: Duration = Duration::from_millis(500);

/// Requests without it that break the rule, if they are also over a quarter.
const LATE_MIN: usize = 8;

/// Pause between two events of a sound stream.
const EVENT_PAUSE: Duration = Duration::from_millis(20);

/// Answers that have no end.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Flood {
    /// Bodies of plain requests, in chunks of 16 KiB; the clients are behind the machine's link.
    Bodies,
    /// Streams of short events; the instance gets its share of the processor.
    Streams,
}

/// Chooses the answers that have no end, evenly over those of all workers.
struct Endless {
    answers: AtomicU64,
    chosen: Mutex<Vec<String>>,
    flood: Flood,
}

impl Endless {
    fn choose(&self, request: &str, form: Flood) -> bool {
        if self.flood != form {
            return false;
        }
        let number = self.answers.fetch_add(1, Ordering::Relaxed);
        let is_chosen = number * ENDLESS_IN_100 / 100 != (number + 1) * ENDLESS_IN_100 / 100;
        if is_chosen {
            self.chosen
                .lock()
                .expect("worker lock")
                .push(request.to_owned());
        }
        is_chosen
    }
}

/// Kind of request: its part of the mix, events of its stream, and times in milliseconds.
struct Kind {
    path: &'static str,
    kind: &'static str,
    weight: u64,
    events: u64,
    timeout_ms: u64,
    deadline_ms: u64,
}

/// The kinds and the mix of the site file. The timeouts are half of its callers' deadlines, or its
/// own for the plain ones.
const KINDS: [Kind; 5] = [
    Kind {
        path: "/plan/",
        kind: "stream",
        weight: 370,
        events: 17,
        timeout_ms: 4_000,
        deadline_ms: 8_000,
    },
    Kind {
        path: "/account/",
        kind: "stream",
        weight: 449,
        events: 8,
        timeout_ms: 2_000,
        deadline_ms: 4_000,
    },
    Kind {
        path: "/lookup/",
        kind: "stream",
        weight: 364,
        events: 78,
        timeout_ms: 7_500,
        deadline_ms: 15_000,
    },
    Kind {
        path: "/order/",
        kind: "unsafe",
        weight: 296,
        events: 0,
        timeout_ms: 800,
        deadline_ms: 1_500,
    },
    Kind {
        path: "/status/",
        kind: "safe",
        weight: 118,
        events: 0,
        timeout_ms: 800,
        deadline_ms: 1_500,
    },
];

/// End of a request at its client.
struct Ended {
    id: String,
    kind: usize,
    sent_at: Duration,
    /// Time until the final answer, or until the client left.
    took: Duration,
    status: u16,
    bytes: u64,
    /// True if the answer or its connection had ended before the client left.
    is_final: bool,
}

pub fn run(flood: Flood, has_trouble: bool, folder: &Path, temporary: &Path) -> i32 {
    let began = Instant::now();
    let in_trouble = Arc::new(AtomicBool::new(false));
    let endless = Arc::new(Endless {
        answers: AtomicU64::new(0),
        chosen: Mutex::default(),
        flood,
    });
    let store = Store::start();
    let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let born = born.map_or(0, |since| since.as_millis());
    for number in 0..WORKERS {
        let id = format!("i-{number}");
        let address = start_worker(&id, in_trouble.clone(), endless.clone());
        let entry = format!(
            "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"dc-a\",\"version\":\"1\",\
             \"slots\":96,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":{born}}}"
        );
        store.put("keyed.servers", &id, entry.as_bytes());
    }
    store.put("keyed.op", "config", configuration().as_bytes());
    let instance = Instance::start("front-1", store.address, temporary);
    sleep(Duration::from_secs(3));
    let is_done = Arc::new(AtomicBool::new(false));
    let (address, limiting) = match flood {
        Flood::Bodies => (link::start(instance.callers, LINK_BYTES_PER_S), None),
        Flood::Streams => {
            let limiting = limit_processor(instance.process_id(), is_done.clone());
            (instance.callers, Some(limiting))
        }
    };
    let ended = Arc::new(Mutex::new(Vec::new()));
    let load_began = Instant::now();
    let mut clients = Vec::new();
    let mut seed = 1_u64;
    let mut count = 0;
    while load_began.elapsed() < LOAD_TIME {
        let elapsed = load_began.elapsed();
        let is_trouble_time = elapsed >= CALM_TIME && elapsed < CALM_TIME + TROUBLE_TIME;
        in_trouble.store(has_trouble && is_trouble_time, Ordering::Relaxed);
        count += 1;
        let kind = pick_kind(&mut seed);
        let ended = ended.clone();
        clients.push(thread::spawn(move || {
            let result = ask(began, address, count, kind);
            ended.lock().expect("clients lock").push(result);
        }));
        let next = Duration::from_secs_f64(f64::from(count) / REQUESTS_PER_S);
        sleep(next.saturating_sub(load_began.elapsed()));
    }
    for client in clients {
        let _ = client.join();
    }
    is_done.store(true, Ordering::Relaxed);
    if let Some(limiting) = limiting {
        let _ = limiting.join();
    }
    let endless = endless.chosen.lock().expect("worker lock").clone();
    let ended = ended.lock().expect("clients lock");
    judge(folder, &ended, &endless)
}

fn judge(folder: &Path, ended: &[Ended], endless: &[String]) -> i32 {
    let mut record = String::new();
    let (mut outlasted, mut late, mut refused, mut whole) = (0, 0, 0, 0);
    for request in ended {
        let kind = &KINDS[request.kind];
        let timeout = Duration::from_millis(kind.timeout_ms);
        let has_no_end = endless.contains(&request.id);
        refused += usize::from(request.status == 503);
        whole += usize::from(request.status == 200 && request.is_final && !has_no_end);
        if request.took < timeout {
            continue;
        }
        outlasted += 1;
        let is_late = request.took > timeout + FINAL_TIME;
        late += usize::from(is_late);
        let _ = writeln!(
            record,
            "{:.3} s {} {} timeout_ms={} endless={has_no_end} status={} bytes={} took_ms={} final={} {}",
            request.sent_at.as_secs_f64(),
            request.id,
            kind.path,
            kind.timeout_ms,
            request.status,
            request.bytes,
            request.took.as_millis(),
            request.is_final,
            match is_late {
                true => "LATE",
                false => "in time",
            }
        );
    }
    let is_broken = late >= LATE_MIN && late * 4 > outlasted;
    let _ = writeln!(
        record,
        "requests={} whole={whole} refused={refused} endless={} outlasted their timeout={outlasted} \
         without a final answer 0.5 s later={late}",
        ended.len(),
        endless.len()
    );
    let code = match (whole, is_broken) {
        (0, _) => 2,
        (_, broken) => i32::from(broken),
    };
    let _ = writeln!(record, "exit {code}");
    match std::fs::write(folder.join("record.txt"), record) {
        Ok(()) => code,
        Err(_) => 2,
    }
}

/// Stops and continues a process, so that it runs for its share of each period.
fn limit_processor(process: u32, is_done: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let running = QUOTA_PERIOD.mul_f64(CPU_SHARE);
        while !is_done.load(Ordering::Relaxed) {
            Instance::signal(process, CONTINUE);
            sleep(running);
            Instance::signal(process, STOP);
            sleep(QUOTA_PERIOD - running);
        }
        Instance::signal(process, CONTINUE);
    })
}

fn next_random(seed: &mut u64) -> u64 {
    *seed = seed
        .wrapping_mul(6_364_136_223_846_793_005)
        .wrapping_add(1_442_695_040_888_963_407);
    *seed >> 33
}

fn pick_kind(seed: &mut u64) -> usize {
    let total: u64 = KINDS.iter().map(|kind| kind.weight).sum();
    let mut rest = next_random(seed) % total;
    for (index, kind) in KINDS.iter().enumerate() {
        if rest < kind.weight {
            return index;
        }
        rest -= kind.weight;
    }
    0
}

/// Sends one request and reads its answer to the end, at most until the client's deadline.
fn ask(began: Instant, address: SocketAddr, number: i32, kind: usize) -> Ended {
    let sent = Instant::now();
    let mut ended = Ended {
        id: format!("q{number}"),
        kind,
        sent_at: began.elapsed(),
        took: Duration::ZERO,
        status: 0,
        bytes: 0,
        is_final: false,
    };
    let deadline = Duration::from_millis(KINDS[kind].deadline_ms);
    ended.is_final = read_answer(address, &mut ended, sent, deadline).is_some();
    ended.took = sent.elapsed();
    ended
}

fn read_answer(
    address: SocketAddr,
    ended: &mut Ended,
    sent: Instant,
    deadline: Duration,
) -> Option<()> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    let request = format!(
        "POST {}1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {}\r\nX-Request-Deadline: {}\r\n\
         Authorization: Bearer key-of-quayside\r\nContent-Length: 4\r\n\r\nbody",
        KINDS[ended.kind].path,
        ended.id,
        deadline.as_millis()
    );
    stream.write_all(request.as_bytes()).ok()?;
    stream.set_read_timeout(Some(deadline)).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    let mut length = None;
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return Some(());
        }
        if let Some(rest) = line.strip_prefix("HTTP/1.1 ") {
            ended.status = rest.get(..3)?.parse().ok()?;
        }
        let lower = line.to_ascii_lowercase();
        if let Some(value) = lower.strip_prefix("content-length:") {
            length = value.trim().parse::<u64>().ok();
        }
        if line.trim().is_empty() {
            break;
        }
    }
    let mut tail = Vec::new();
    let mut piece = vec![0; 256 << 10];
    loop {
        if length.is_some_and(|length| ended.bytes >= length) || tail.ends_with(b"0\r\n\r\n") {
            return Some(());
        }
        let left = deadline.checked_sub(sent.elapsed())?;
        reader
            .get_ref()
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))
            .ok()?;
        match reader.read(&mut piece) {
            Ok(0) => return Some(()),
            Ok(count) => {
                ended.bytes += count as u64;
                tail.extend_from_slice(&piece[count.saturating_sub(5)..count]);
                let surplus = tail.len().saturating_sub(5);
                tail.drain(..surplus);
            }
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return Some(()),
            Err(_) => return None,
        }
    }
}

fn start_worker(id: &str, trouble: Arc<AtomicBool>, endless: Arc<Endless>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    let id = id.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, trouble, endless) = (id.clone(), trouble.clone(), endless.clone());
            thread::spawn(move || serve(&id, stream, &trouble, &endless));
        }
    });
    address
}

fn serve(id: &str, mut stream: TcpStream, trouble: &AtomicBool, endless: &Endless) {
    let _ = stream.set_nodelay(true);
    let Ok(input) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(input);
    while let Some(request) = read_message(&mut reader) {
        let request_id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let headers = format!("X-Request-Id: {request_id}\r\n");
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            respond(&mut stream, "421 Misdirected Request", &headers, b"");
            continue;
        }
        let headers = format!("{headers}X-Response-Seal: {id}.{request_id}\r\n");
        let kind = KINDS
            .iter()
            .find(|kind| request.path().starts_with(kind.path));
        let Some(kind) = kind.filter(|kind| kind.kind == "stream") else {
            sleep(Duration::from_millis(30));
            if trouble.load(Ordering::Relaxed) && endless.choose(&request_id, Flood::Bodies) {
                let head =
                    format!("HTTP/1.1 200 OK\r\n{headers}Transfer-Encoding: chunked\r\n\r\n");
                let _ = stream.write_all(head.as_bytes());
                send_without_end(&mut stream, &chunk(&"x".repeat(16 << 10)));
                return;
            }
            if !respond(&mut stream, "200 OK", &headers, request_id.as_bytes()) {
                return;
            }
            continue;
        };
        sleep(Duration::from_millis(100));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        if trouble.load(Ordering::Relaxed) && endless.choose(&request_id, Flood::Streams) {
            send_without_end(&mut stream, &chunk("id: 1\ndata: x\n\n"));
            return;
        }
        for number in 1..=kind.events {
            let event = chunk(&format!("id: {number}\ndata: piece {number}\n\n"));
            if stream.write_all(event.as_bytes()).is_err() {
                return;
            }
            sleep(EVENT_PAUSE);
        }
        if stream.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

fn send_without_end(stream: &mut TcpStream, chunk: &str) {
    let piece = chunk.repeat((64_usize << 10).div_ceil(chunk.len()));
    while stream.write_all(piece.as_bytes()).is_ok() {}
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn configuration() -> String {
    let mut routes = Vec::new();
    for kind in &KINDS {
        routes.push(format!(
            "{{\"name\":\"r{}\",\"host\":\"desk.example\",\"pathPrefix\":\"{}\",\"kind\":\"{}\",\
             \"timeoutMs\":{},\"targetLatencyMs\":1000,\"priority\":2,\"service\":\"desk\",\
             \"maxAttempts\":1,\"anonymous\":false,\"sticky\":false,\"resumable\":false,\
             \"gapTargetMs\":400}}",
            kind.path.replace('/', "-"),
            kind.path,
            kind.kind,
            kind.timeout_ms
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
