//! Stand-ins for the platform: its metadata store (a log), its API and its load balancer's view.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, read_request};

#[derive(Clone, Default)]
struct Topic {
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    records: Vec<Vec<u8>>,
}

#[derive(Default)]
struct State {
    /// Number of times that the store came back from a copy.
    era: u64,
    /// True while the store is away: it closes connections without an answer.
    is_away: bool,
    topics: BTreeMap<String, Topic>,
}

/// Contents of the store at one time.
pub struct Copy(BTreeMap<String, Topic>);

/// Store and API behind one address.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Platform {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the store");
        let platform = Self {
            address: listener.local_addr().expect("address of the store"),
            state: Arc::default(),
        };
        let serving = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = serving.clone();
                thread::spawn(move || platform.serve(stream));
            }
        });
        platform
    }

    /// Appends a keyed record, as the operator and the workers do. Returns after the acknowledgement.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let _ = self.append(topic, None, &[record]);
    }

    /// Returns a copy of what the store holds.
    pub fn copy(&self) -> Copy {
        Copy(self.state.0.lock().expect("store").topics.clone())
    }

    /// Takes the store away.
    pub fn leave(&self) {
        self.state.0.lock().expect("store").is_away = true;
        self.state.1.notify_all();
    }

    /// Brings the store back from a copy. What was written since is gone, and offsets are given out
    /// again.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.state.0.lock().expect("store");
        state.topics = copy.0;
        state.era += 1;
        state.is_away = false;
    }

    fn append(&self, name: &str, at: Option<u64>, records: &[Vec<u8>]) -> Result<u64, u64> {
        let mut state = self.state.0.lock().expect("store");
        if state.is_away {
            return Err(0);
        }
        let topic = state.topics.entry(name.to_owned()).or_default();
        let first = topic.records.len() as u64;
        if at.is_some_and(|at| at != first) {
            return Err(first);
        }
        for record in records {
            let offset = topic.records.len() as u64;
            if name.starts_with("keyed.") {
                let end = 1 + usize::from(record[0]);
                let key = String::from_utf8_lossy(&record[1..end]).into_owned();
                match record.len() > end {
                    true => topic.newest.insert(key, (offset, record[end..].to_vec())),
                    false => topic.newest.remove(&key),
                };
            }
            topic.records.push(record.clone());
        }
        self.state.1.notify_all();
        Ok(first)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            let (status, body) = self.respond(&request);
            let era = {
                let state = self.state.0.lock().expect("store");
                if state.is_away {
                    return;
                }
                state.era
            };
            let head = format!(
                "HTTP/1.1 {status} S\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let mut response = head.into_bytes();
            response.extend_from_slice(&body);
            if stream.write_all(&response).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Request) -> (u16, Vec<u8>) {
        match request.path().split('?').next().unwrap_or_default() {
            "/log-append" => self.respond_to_append(request),
            "/log-newest" => self.respond_to_newest(request),
            "/log-read" => self.respond_to_read(request),
            "/usage" | "/scale" => (200, Vec::new()),
            _ => (404, Vec::new()),
        }
    }

    fn respond_to_append(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or_default();
        if ["keyed.op", "keyed.servers"].contains(&topic.as_str()) {
            return (403, Vec::new());
        }
        let at = request.query("at").and_then(|at| at.parse().ok());
        let mut records = Vec::new();
        let mut rest = request.body.as_slice();
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let count = records.len() as u64;
        match self.append(&topic, at, &records) {
            Ok(offset) => {
                let end = offset + count;
                (
                    200,
                    format!("{{\"offset\":{offset},\"endOffset\":{end}}}").into_bytes(),
                )
            }
            Err(end) => (412, format!("{{\"endOffset\":{end}}}").into_bytes()),
        }
    }

    fn respond_to_newest(&self, request: &Request) -> (u16, Vec<u8>) {
        let mut state = self.state.0.lock().expect("store");
        let topic = state
            .topics
            .entry(request.query("topic").unwrap_or_default())
            .or_default();
        let after = request.query("after");
        let mut items = Vec::new();
        let mut has_more = false;
        for (key, (offset, value)) in &topic.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() == 500 {
                has_more = true;
                break;
            }
            let value = base64(value);
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let (items, end) = (items.join(","), topic.records.len());
        let body = format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"endOffset\":{end}}}");
        (200, body.into_bytes())
    }

    fn respond_to_read(&self, request: &Request) -> (u16, Vec<u8>) {
        let name = request.query("topic").unwrap_or_default();
        let number = |field: &str| -> u64 {
            request
                .query(field)
                .and_then(|text| text.parse().ok())
                .unwrap_or_default()
        };
        let from = number("from") as usize;
        let until = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
        let mut state = self.state.0.lock().expect("store");
        loop {
            let topic = state.topics.entry(name.clone()).or_default();
            if from > topic.records.len() {
                return (410, b"{\"first\":0}".to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            let has_records = from < topic.records.len();
            if has_records || left.is_zero() || state.is_away {
                break;
            }
            state = self.state.1.wait_timeout(state, left).expect("store").0;
        }
        let topic = state.topics.entry(name).or_default();
        let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for record in &topic.records[from..] {
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        (200, body)
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or_default());
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// Configuration with one route of orders, which may not be repeated. `tenants` is a JSON list.
pub fn config(version: u64, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-orders\",\"host\":\"orders.example\",\
         \"pathPrefix\":\"/orders/\",\"kind\":\"unsafe\",\"timeoutMs\":8000,\
         \"targetLatencyMs\":150,\"priority\":2,\"service\":\"orders-app\",\"maxAttempts\":2,\
         \"anonymous\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"orders-app\",\"healthPath\":\"/health\",\
         \"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":{tenants}}}"
    )
}

/// Configuration with one route of streams, which may be resumed.
pub fn stream_config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-plans\",\"host\":\"plans.example\",\
         \"pathPrefix\":\"/plans/\",\"kind\":\"stream\",\"timeoutMs\":8000,\
         \"targetLatencyMs\":1000,\"priority\":0,\"service\":\"roll-llm\",\"maxAttempts\":2,\
         \"anonymous\":false,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":400}}],\
         \"services\":[{{\"name\":\"roll-llm\",\"healthPath\":\"/health\",\
         \"maxConnections\":480,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":96,\"kvCapacityTokens\":344615}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"key-of-hule930\"],\"priority\":1}}]}}"
    )
}
