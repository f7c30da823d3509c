//! Stand-in for a client, which keeps its connection for many requests.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use crate::http::{Response, read_response};

pub struct Client {
    buffer: Vec<u8>,
    host: &'static str,
    key: String,
    stream: TcpStream,
}

/// Bytes that a client writes at a time.
const PART_BYTES: usize = 64 << 10;

impl Client {
    pub fn connect(front: SocketAddr, host: &'static str, key: &str) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self {
            buffer: Vec::new(),
            host,
            key: key.to_owned(),
            stream,
        })
    }

    /// Sends a request with a body of `bytes`, at most `bytes_per_s`. Returns false if the connection
    /// ended meanwhile.
    pub fn send(&mut self, id: &str, deadline_ms: u32, bytes: usize, bytes_per_s: usize) -> bool {
        let head = format!(
            "POST /orders/new HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {id}\r\n\
             X-Request-Deadline: {deadline_ms}\r\nAuthorization: Bearer {}\r\n\
             Content-Length: {bytes}\r\n\r\n",
            self.host, self.key
        );
        if self.stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let part = vec![b'x'; PART_BYTES];
        let mut left = bytes;
        while left > 0 {
            let count = left.min(PART_BYTES);
            if self.stream.write_all(&part[..count]).is_err() {
                return false;
            }
            left -= count;
            if bytes > PART_BYTES {
                thread::sleep(Duration::from_secs_f64(count as f64 / bytes_per_s as f64));
            }
        }
        true
    }

    /// Sends a request for a stream. Returns false if the connection ended meanwhile.
    pub fn send_stream(&mut self, id: &str, deadline_ms: u32) -> bool {
        let request = format!(
            "POST /plans/new HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
             X-Token-Counts: 900,30\r\nX-Prompt-Prefix: 5c1e07a2:600,{:08x}:300\r\n\
             X-Request-Deadline: {deadline_ms}\r\nAuthorization: Bearer {}\r\n\
             Content-Length: 4\r\n\r\nplan",
            self.host,
            id.bytes()
                .fold(0_u32, |hash, byte| hash.wrapping_mul(31) + u32::from(byte)),
            self.key
        );
        self.stream.write_all(request.as_bytes()).is_ok()
    }

    /// Reads the answer; `None` if the connection ended without one.
    pub fn receive(&mut self) -> Option<Response> {
        read_response(&mut self.stream, &mut self.buffer)
    }
}
