//! Some answers of faulty workers are bodies without end, in chunks of one byte. Their callers get no
//! final answer when the route's timeout has passed.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::clients::order;
use crate::deployment::Deployment;
use crate::deployment::MACHINES_LEFT;
use crate::deployment::REQUESTS_PER_S;
use crate::http::Request;
use crate::http::respond;
use crate::record::Record;
use crate::worker::Worker;

/// `timeoutMs` of the route.
const TIMEOUT: Duration = Duration::from_millis(700);

/// Time after the timeout by which the rule asks for a final answer.
const FINAL_SLACK: Duration = Duration::from_millis(500);

/// `X-Request-Deadline` of the callers, after which they leave.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Number of requests without a final answer from which on the rule counts them.
const UNANSWERED_MIN: usize = 8;

/// Part of the requests that last longer than the timeout, as one in this many, that the rule allows.
const UNANSWERED_PART: usize = 4;

/// Time for which callers send.
const CALLERS_TIME: Duration = Duration::from_secs(14);

/// One in this many answers of a faulty worker never ends.
const ANSWERS_PER_FAULT: u32 = 20;

/// Time that a worker needs for an order.
const WORK_TIME: Duration = Duration::from_millis(30);

/// Chunk of a body without end.
const CHUNK: &[u8] = b"1\r\nx\r\n";

/// Chunks that the worker writes at once.
const CHUNKS_PER_WRITE: usize = 10_000;

/// Sends a body without end, until the caller closes the connection.
fn send_endless(worker: &Worker, request: &Request, stream: &mut TcpStream) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Transfer-Encoding: chunked\r\n\r\n",
        worker.headers(request)
    );
    let chunks = CHUNK.repeat(CHUNKS_PER_WRITE);
    let mut is_open = stream.write_all(head.as_bytes()).is_ok();
    while is_open {
        is_open = stream.write_all(&chunks).is_ok();
    }
    false
}

/// How a request ended for its caller.
struct Seen {
    bytes: usize,
    /// Time until the final answer, or until the instance closed the connection; `None` if the caller
    /// left before.
    ended: Option<Duration>,
    id: String,
    sent_at: Instant,
}

/// Returns true if the bytes are a whole answer with a length.
fn is_whole(bytes: &[u8]) -> bool {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let length = head.split("content-length:").nth(1);
    let length = length.and_then(|rest| rest.split("\r\n").next()?.trim().parse().ok());
    length.is_some_and(|length: usize| bytes.len() >= end + 4 + length)
}

fn call(address: SocketAddr, id: String) -> Seen {
    let sent_at = Instant::now();
    let mut seen = Seen {
        bytes: 0,
        ended: None,
        id,
        sent_at,
    };
    let Ok(mut stream) = TcpStream::connect(address) else {
        seen.ended = Some(sent_at.elapsed());
        return seen;
    };
    let _ = stream.write_all(order(&seen.id, 4).as_bytes());
    let mut buffer = vec![0; 1 << 16];
    let mut start = Vec::new();
    loop {
        let left = DEADLINE.saturating_sub(sent_at.elapsed());
        if left.is_zero() {
            return seen;
        }
        let _ = stream.set_read_timeout(Some(left));
        let count = match stream.read(&mut buffer) {
            Ok(count) => count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => return seen,
            Err(_) => 0,
        };
        seen.bytes += count;
        if start.len() < buffer.len() {
            start.extend_from_slice(&buffer[..count]);
        }
        if count == 0 || is_whole(&start) {
            seen.ended = Some(sent_at.elapsed());
            return seen;
        }
    }
}

pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> Verdict {
    let answers = [0; 3].map(AtomicU32::new);
    let answers = Arc::new(answers);
    let behaviour = move |worker: &Worker, request: &Request, stream: &mut TcpStream| {
        // Two of the three workers are faulty.
        let faulty = ["i-one", "i-two"].iter().position(|id| *id == worker.id);
        if let (true, Some(index)) = (has_trouble, faulty) {
            let count = answers[index].fetch_add(1, Ordering::SeqCst) + 1;
            if count.is_multiple_of(ANSWERS_PER_FAULT) {
                worker.note(request);
                return send_endless(worker, request, stream);
            }
        }
        thread::sleep(WORK_TIME);
        respond(stream, 200, &worker.headers(request), b"ok")
    };
    let Some(deployment) = Deployment::start(scratch, TIMEOUT, behaviour) else {
        return Verdict::NotRun("instance not ready");
    };
    let address = deployment.instance.callers;
    let gap = Duration::from_secs_f64(MACHINES_LEFT / REQUESTS_PER_S);
    let began_at = Instant::now();
    let mut callers = Vec::new();
    for number in 0.. {
        if began_at.elapsed() >= CALLERS_TIME {
            break;
        }
        let id = format!("order-{number}");
        callers.push(thread::spawn(move || call(address, id)));
        thread::sleep((gap * (number + 1)).saturating_sub(began_at.elapsed()));
    }
    let (mut late, mut unanswered, mut sound_late) = (0, 0, 0);
    let sent = callers.len();
    for caller in callers {
        let seen = caller.join().expect("a caller");
        let is_faulty = deployment.has_run(&seen.id);
        let ended = seen.ended.unwrap_or(DEADLINE);
        if ended <= TIMEOUT {
            continue;
        }
        late += 1;
        sound_late += usize::from(!is_faulty);
        unanswered += usize::from(ended > TIMEOUT + FINAL_SLACK);
        let end = match seen.ended {
            Some(ended) => format!("ended after {} ms", ended.as_millis()),
            None => "not ended when its caller left".to_owned(),
        };
        let (id, bytes) = (seen.id, seen.bytes);
        let text = format!("sent {id}: endless={is_faulty} bytes={bytes}, {end}");
        record.line_at(seen.sent_at, text);
    }
    record.line(format!(
        "orders={sent} longer than the timeout={late} (of sound answers {sound_late}) \
         no final answer 0.5 s later={unanswered}"
    ));
    match unanswered >= UNANSWERED_MIN && unanswered * UNANSWERED_PART > late {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
