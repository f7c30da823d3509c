//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub head: String,
    pub body: Vec<u8>,
}

impl Request {
    /// Path and query.
    pub fn path(&self) -> &str {
        self.head.split(' ').nth(1).unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode_percent(value))
    }
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head
        .split("\r\n")
        .skip(1)
        .filter_map(|line| line.split_once(':'));
    let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.trim())
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut parts = text.split('%');
    bytes.extend_from_slice(parts.next().unwrap_or_default().as_bytes());
    for part in parts {
        bytes.push(u8::from_str_radix(part.get(..2).unwrap_or("20"), 16).unwrap_or(b'?'));
        bytes.extend_from_slice(part.get(2..).unwrap_or_default().as_bytes());
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads one request with a length or without a body. `buffer` keeps what was read beyond it.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let head = read_head(stream, buffer)?;
    let length = header(&head, "content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    while buffer.len() < length {
        if !read_more(stream, buffer) {
            return None;
        }
    }
    let body = buffer.drain(..length).collect();
    Some(Request { head, body })
}

/// Reads a head, with its blank line.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..at + 4).collect();
            return Some(String::from_utf8_lossy(&head).into_owned());
        }
        if !read_more(stream, buffer) {
            return None;
        }
    }
}

/// Returns false at the end of the connection, or after a read timeout.
pub fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut bytes = vec![0; 64 << 10];
    loop {
        match stream.read(&mut bytes) {
            Ok(0) => return false,
            Ok(count) => {
                buffer.extend_from_slice(&bytes[..count]);
                return true;
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return false,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Response {
    pub head: String,
    pub body: Vec<u8>,
    /// True if the whole body has come.
    pub whole: bool,
}

impl Response {
    pub fn status(&self) -> u16 {
        let status = self.head.split(' ').nth(1);
        status
            .and_then(|text| text.parse().ok())
            .unwrap_or_default()
    }
}

/// Reads a response; `None` if the connection ended before its head did.
pub fn read_response(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Response> {
    let head = read_head(stream, buffer)?;
    let mut body = Vec::new();
    let is_chunked = header(&head, "transfer-encoding").is_some();
    if !is_chunked {
        let length = header(&head, "content-length").and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        while buffer.len() < length {
            if !read_more(stream, buffer) {
                body.append(buffer);
                return Some(Response {
                    head,
                    body,
                    whole: false,
                });
            }
        }
        body = buffer.drain(..length).collect();
        return Some(Response {
            head,
            body,
            whole: true,
        });
    }
    loop {
        let Some(at) = buffer.windows(2).position(|bytes| bytes == b"\r\n") else {
            if !read_more(stream, buffer) {
                return Some(Response {
                    head,
                    body,
                    whole: false,
                });
            }
            continue;
        };
        let size = String::from_utf8_lossy(&buffer[..at]).into_owned();
        let size = size.split(';').next().unwrap_or_default().trim().to_owned();
        let Ok(size) = usize::from_str_radix(&size, 16) else {
            return Some(Response {
                head,
                body,
                whole: false,
            });
        };
        while buffer.len() < at + 2 + size + 2 {
            if !read_more(stream, buffer) {
                body.extend_from_slice(&buffer[(at + 2).min(buffer.len())..]);
                return Some(Response {
                    head,
                    body,
                    whole: false,
                });
            }
        }
        body.extend_from_slice(&buffer[at + 2..at + 2 + size]);
        buffer.drain(..at + 2 + size + 2);
        if size == 0 {
            return Some(Response {
                head,
                body,
                whole: true,
            });
        }
    }
}
