//! Responses of backend servers and of the platform that never end: each read of the product's own
//! interface ends in time.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use ebonyspread::dispatch::Dispatcher;
use ebonyspread::log_client::LogClient;
use support::*;

/// Maximum time for which a stand-in sends one response.
const ENDLESS_MAX_TIME: Duration = Duration::from_secs(40);

/// Pause between two pieces of a response.
const PAUSE: Duration = Duration::from_millis(50);

/// First event of a model's stream.
const FIRST_EVENT: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";

/// Size of a chunk of a body that the buffers of two connections do not hold.
const LARGE_CHUNK_BYTES: usize = 1 << 20;

/// Number of pieces that a server writes at once if it makes no pauses.
const PIECES_PER_WRITE: usize = 10_000;

/// Starts a server that sends `head` for every request, then `first`, then `piece` again and again,
/// with a pause after each.
fn start_endless(head: &'static str, first: &'static str, piece: &'static str) -> SocketAddr {
    start_endless_with(head, first, piece, true)
}

fn start_endless_with(
    head: &'static str,
    first: &'static str,
    piece: &'static str,
    has_pauses: bool,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || send_endless(stream, head, first, piece, has_pauses));
        }
    });
    address
}

fn send_endless(mut stream: TcpStream, head: &str, first: &str, piece: &str, has_pauses: bool) {
    let mut request = [0; 4 << 10];
    if stream.read(&mut request).unwrap_or(0) == 0 {
        return;
    }
    let chunk = |content: &str| format!("{:x}\r\n{content}\r\n", content.len());
    let first = chunk(first);
    let start = format!("HTTP/1.1 {head}\r\nTransfer-Encoding: chunked\r\n\r\n{first}");
    if stream.write_all(start.as_bytes()).is_err() {
        return;
    }
    let (chunks, pause) = match has_pauses {
        true => (chunk(piece), PAUSE),
        false => (chunk(piece).repeat(PIECES_PER_WRITE), Duration::ZERO),
    };
    let started_at = Instant::now();
    while started_at.elapsed() < ENDLESS_MAX_TIME && stream.write_all(chunks.as_bytes()).is_ok() {
        thread::sleep(pause);
    }
}

/// Starts a cluster in which one server that never ends its responses serves all calls.
fn start_cluster(head: &'static str, first: &'static str, piece: &'static str) -> TestCluster {
    start_cluster_at(start_endless(head, first, piece))
}

#[test]
fn endless_document_does_not_hold_its_reader() {
    let address = start_endless("200 OK", " ", " ");
    let started_at = Instant::now();
    let fetched = block_on(async {
        let dispatcher = Dispatcher::new();
        let url = format!("http://{address}/load");
        dispatcher.fetch(&url, Duration::from_millis(300)).await
    });
    assert!(fetched.is_err());
    let elapsed = started_at.elapsed();
    assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
}

#[test]
fn endless_answer_of_the_log_does_not_hold_its_reader() {
    let address = start_endless("200 OK\r\nContent-Type: application/json", " ", " ");
    let started_at = Instant::now();
    let (appended, read) = block_on(async {
        let log = LogClient::new(&format!("http://{address}"));
        let append = log.append("table", &[]);
        let read = log.read("table", 0, Duration::ZERO);
        futures_util::future::join(append, read).await
    });
    assert!(appended.is_err());
    assert!(read.is_err());
    let elapsed = started_at.elapsed();
    assert!(elapsed < Duration::from_secs(6), "{elapsed:?}");
}

#[yare::parameterized(
    order = { "/orders/7", "200 OK", "x", "x", 6 },
    refused_model_call = { "/v1/chat/completions", "400 Bad Request", "x", "x", 6 },
    stream_of_comments = { "/v1/chat/completions", "200 OK", FIRST_EVENT, ": note\n\n", 15 },
)]
fn endless_response_does_not_hold_its_call(
    path: &str,
    head: &'static str,
    first: &'static str,
    piece: &'static str,
    limit_s: u64,
) {
    let cluster = start_cluster(head, first, piece);
    let url = cluster.url(0, path);
    let body = chat_body("quote", false, 20);
    let started_at = Instant::now();
    let reply = block_on(try_send("POST", &url, &[bearer("quayside")], body));
    let elapsed = started_at.elapsed();
    assert!(elapsed < Duration::from_secs(limit_s), "{elapsed:?}");
    assert!(reply.unwrap().status >= 400);
}

/// Sends a lookup and returns its connection.
fn start_look_up(cluster: &TestCluster) -> TcpStream {
    let mut stream = TcpStream::connect(cluster.entries[0].caller_address()).unwrap();
    let (name, value) = bearer("quayside");
    let request = format!(
        "GET /lookups/7 HTTP/1.1\r\nHost: e\r\n{name}: {value}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    stream
}

/// Sends a lookup and returns all bytes of the response until the connection is closed.
fn look_up(cluster: &TestCluster) -> Vec<u8> {
    let mut stream = start_look_up(cluster);
    let mut response = Vec::new();
    // A reset ends the response like a close.
    let _ = stream.read_to_end(&mut response);
    response
}

/// Returns true if the last chunk of a chunked response has arrived.
fn looks_complete(response: &[u8]) -> bool {
    response.ends_with(b"\r\n0\r\n\r\n")
}

// A server that has always sent more used up none of the time that was left to wait for it.
#[yare::parameterized(
    with_pauses = { true },
    without_pauses = { false },
)]
fn endless_body_of_a_lookup_does_not_hold_its_caller(has_pauses: bool) {
    let cluster = start_cluster_at(start_endless_with("200 OK", "x", "x", has_pauses));
    let started_at = Instant::now();
    let response = look_up(&cluster);
    let elapsed = started_at.elapsed();
    assert!(elapsed < Duration::from_secs(6), "{elapsed:?}");
    assert!(!looks_complete(&response));
}

// The caller begins to read after the route's timeout of 2 s.
#[test]
fn large_body_whose_caller_reads_late_is_not_cut() {
    let answer = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}0\r\n\r\n",
        format!(
            "{LARGE_CHUNK_BYTES:x}\r\n{}\r\n",
            "x".repeat(LARGE_CHUNK_BYTES)
        )
        .repeat(20)
    );
    let cluster = start_cutting_cluster("GET", answer);
    let mut stream = start_look_up(&cluster);
    thread::sleep(Duration::from_secs(4));
    let mut response = Vec::new();
    stream.read_to_end(&mut response).unwrap();
    assert!(response.len() > 20 * LARGE_CHUNK_BYTES);
    assert!(looks_complete(&response));
}

#[yare::parameterized(
    comments = { ": note\n\n" },
    data = { "data: " },
)]
fn endless_stream_without_pauses_does_not_hold_its_caller(piece: &'static str) {
    let address = start_endless_with("200 OK", FIRST_EVENT, piece, false);
    let cluster = start_cluster_at(address);
    let url = cluster.url(0, "/v1/chat/completions");
    let body = chat_body("quote", false, 20);
    let started_at = Instant::now();
    let reply = block_on(try_send("POST", &url, &[bearer("quayside")], body));
    let elapsed = started_at.elapsed();
    assert!(elapsed < Duration::from_secs(15), "{elapsed:?}");
    assert!(reply.unwrap().status >= 400);
}

/// Starts a cluster whose server answers requests of one method with `answer` and closes all
/// connections.
fn start_cutting_cluster(method: &'static str, answer: String) -> TestCluster {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 4 << 10];
            let read = stream.read(&mut request).unwrap_or(0);
            if request[..read].starts_with(method.as_bytes()) {
                let _ = stream.write_all(answer.as_bytes());
            }
        }
    });
    start_cluster_at(address)
}

const CUT_CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n5\r\nhalf \r\n";

const CUT_WITH_LENGTH: &str = "Content-Length: 10\r\n\r\nhalf ";

#[yare::parameterized(
    chunked = { CUT_CHUNKED },
    stated_length = { CUT_WITH_LENGTH },
)]
fn cut_body_of_a_lookup_does_not_look_complete(rest: &str) {
    let cluster = start_cutting_cluster("GET", format!("HTTP/1.1 200 OK\r\n{rest}"));
    let response = look_up(&cluster);
    let text = String::from_utf8_lossy(&response);
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert!(!looks_complete(&response), "{text}");
}

#[yare::parameterized(
    chunked = { CUT_CHUNKED },
    stated_length = { CUT_WITH_LENGTH },
)]
fn cut_answer_of_an_order_is_not_reported_as_whole(rest: &str) {
    let cluster = start_cutting_cluster("POST", format!("HTTP/1.1 200 OK\r\n{rest}"));
    let url = cluster.url(0, "/orders/7");
    let reply = block_on(send("POST", &url, &[bearer("quayside")], "body"));
    assert_eq!((reply.status, reply.outcome()), (502, "unknown"));
}
