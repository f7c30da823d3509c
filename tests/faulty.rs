//! Answers of faulty backend servers through one entry instance: none is forwarded that is not whole or
//! not an answer.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use support::*;

/// Size of a request of which a server reads only the start.
const UPLOAD_BYTES: usize = 3 << 20;

/// Number of uploads, since a reset may meet any part of one.
const UPLOADS: usize = 8;

const EARLY_TEXT: &str = "HTTP/1.1 200 OK\r\n\r\nfirst part";

const EARLY_EVENTS: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n\
    data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";

/// Starts a server that answers each `POST` before it has read all of it, and closes the connection
/// after a pause, with unread bytes, which resets it.
fn start_resetting_server(answer: &'static str, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut start = [0; 4_096];
            let read = stream.read(&mut start).unwrap_or(0);
            if start[..read].starts_with(b"POST ") {
                let _ = stream.write_all(answer.as_bytes());
                thread::sleep(pause);
            }
        }
    });
    address
}

/// Sends an order or a model call and returns its reply; `None` if it did not arrive in full.
fn call(cluster: &TestCluster, path: &str, body: String) -> Option<Reply> {
    let url = cluster.url(0, path);
    let (name, value) = bearer("quayside");
    block_on(try_send("POST", &url, &[(name, value)], body)).ok()
}

fn body_of(path: &str, bytes: usize) -> String {
    match path {
        "/orders/7" => "x".repeat(bytes),
        _ => chat_body(&"x".repeat(bytes), false, 20),
    }
}

// The server answers while the upload is still being written to it.
#[yare::parameterized(
    model_call = { "/v1/chat/completions", EARLY_EVENTS, 0 },
    model_call_whose_part_has_been_read = { "/v1/chat/completions", EARLY_EVENTS, 50 },
    order = { "/orders/7", EARLY_TEXT, 0 },
    order_whose_part_has_been_read = { "/orders/7", EARLY_TEXT, 50 },
)]
fn early_answer_that_is_reset_during_an_upload_is_not_taken_for_a_whole_one(
    path: &str,
    answer: &'static str,
    pause_ms: u64,
) {
    let address = start_resetting_server(answer, Duration::from_millis(pause_ms));
    let cluster = start_cluster_at(address);
    for _ in 0..UPLOADS {
        let reply = call(&cluster, path, body_of(path, UPLOAD_BYTES));
        let status = reply.map(|reply| reply.status);
        assert!(status.is_none_or(|status| status >= 500), "{status:?}");
    }
}

// Only 100 to 599 are statuses.
#[yare::parameterized(
    model_call_000 = { "/v1/chat/completions", "HTTP/1.1 000 T\r\ncontent-length: 4\r\n\r\nbody" },
    model_call_600 = { "/v1/chat/completions", "HTTP/1.1 600 T\r\ncontent-length: 4\r\n\r\nbody" },
    order_000 = { "/orders/7", "HTTP/1.1 000 T\r\ncontent-length: 4\r\n\r\nbody" },
    order_099 = { "/orders/7", "HTTP/1.1 099 T\r\ncontent-length: 4\r\n\r\nbody" },
    order_600 = { "/orders/7", "HTTP/1.1 600 T\r\ncontent-length: 4\r\n\r\nbody" },
    order_999 = { "/orders/7", "HTTP/1.1 999 T\r\ncontent-length: 4\r\n\r\nbody" },
)]
fn answer_without_a_valid_status_is_not_forwarded(path: &str, answer: &'static str) {
    let (address, _) = start_raw_server(move |_| answer);
    let cluster = start_cluster_at(address);
    let reply = call(&cluster, path, body_of(path, 4)).unwrap();
    assert_eq!((reply.status, reply.outcome()), (502, "unknown"));
}
