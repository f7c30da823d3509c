//! Minimal HTTP/1.1 for the stand-ins: blocking reads of requests and responses.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Head and body of a request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub body: Vec<u8>,
    pub headers: Vec<(String, String)>,
    pub target: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn id(&self) -> &str {
        self.header("x-request-id").unwrap_or("")
    }
}

/// Response as a client has seen it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub body: Vec<u8>,
    pub headers: Vec<(String, String)>,
    /// True if the body has come to its end by the length or the last chunk.
    pub is_complete: bool,
    /// 0 if the connection ended before the head was complete.
    pub status: u16,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Reads the first line and the headers; `None` if the connection ends before.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads chunks until the last one. Returns false if the connection ends before.
fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> bool {
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(count) if count > 0 => {}
            _ => return false,
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return false;
        };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return false;
        }
        if size == 0 {
            return true;
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Reads one request; `None` if the connection ends before it is whole.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    words.next()?;
    let mut request = Request {
        target: words.next()?.to_owned(),
        headers,
        ..Request::default()
    };
    if request.header("transfer-encoding").is_some() {
        return read_chunks(reader, &mut request.body).then_some(request);
    }
    let length = request.header("content-length").unwrap_or("0");
    request.body = vec![0; length.parse().ok()?];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

/// Reads one response to its end, or to the end of the connection.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> Response {
    let mut response = Response::default();
    let Some((first, headers)) = read_head(reader) else {
        return response;
    };
    response.status = first
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0);
    response.headers = headers;
    if response.header("transfer-encoding").is_some() {
        response.is_complete = read_chunks(reader, &mut response.body);
        return response;
    }
    let length = response.header("content-length").unwrap_or("0");
    let length: u64 = length.parse().unwrap_or(0);
    let _ = reader.by_ref().take(length).read_to_end(&mut response.body);
    response.is_complete = response.body.len() as u64 == length;
    response
}

/// Opens a connection, sends a request and reads the response.
pub fn call(address: SocketAddr, request: &str, timeout: Duration) -> Response {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return Response::default();
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(timeout));
    if stream.write_all(request.as_bytes()).is_err() {
        return Response::default();
    }
    read_response(&mut BufReader::new(stream))
}

/// Writes a response with a length. Returns false if the connection is closed.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> bool {
    let head = format!(
        "HTTP/1.1 {status} S\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}
