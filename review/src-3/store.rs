//! Stand-in for the platform's store and its API: keyed topics with one partition each.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::read_message;
use crate::http::respond;

/// Bytes of a partition beyond which its oldest records expire (`partitionMb`).
const PARTITION_BYTES: usize = 200_000_000;

/// Time after which a record expires (`keep_s` of a small deployment).
const KEEP: Duration = Duration::from_secs(20);

/// Records in one page of a listing, and in one answer to a read.
const PAGE_ITEMS: usize = 500;

/// Bytes of one answer to a read (`maxKb`).
const READ_BYTES: usize = 1 << 20;

struct Record {
    at: Instant,
    bytes: Vec<u8>,
}

#[derive(Default)]
struct Topic {
    bytes: usize,
    first: u64,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    records: VecDeque<Record>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, bytes: Vec<u8>) -> u64 {
        let offset = self.end();
        let key_end = 1 + usize::from(bytes[0]);
        let key = String::from_utf8_lossy(&bytes[1..key_end]).into_owned();
        match bytes.len() > key_end {
            true => self.newest.insert(key, (offset, bytes[key_end..].to_vec())),
            false => self.newest.remove(&key),
        };
        self.bytes += bytes.len();
        self.records.push_back(Record {
            at: Instant::now(),
            bytes,
        });
        offset
    }

    fn expire(&mut self) {
        while let Some(record) = self.records.front() {
            if self.bytes <= PARTITION_BYTES && record.at.elapsed() < KEEP {
                return;
            }
            self.bytes -= record.bytes.len();
            self.records.pop_front();
            self.first += 1;
        }
    }
}

/// The store. It answers at one address, and also takes the calls of the API (`/usage`, `/scale`).
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    topics: Arc<(Mutex<BTreeMap<String, Topic>>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("a bound listener"),
            topics: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Appends a record as the operator or a worker does, and returns its offset.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut topics = self.topics.0.lock().expect("store lock");
        let offset = topics.entry(topic.to_owned()).or_default().append(record);
        self.topics.1.notify_all();
        offset
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(input) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(input);
        while let Some(request) = read_message(&mut reader) {
            let (status, body) = match request.path() {
                "/log-append" => self.append(&request),
                "/log-read" => self.read(&request),
                "/log-newest" => self.list(&request),
                "/usage" | "/scale" => ("200 OK", Vec::new()),
                _ => ("404 Not Found", Vec::new()),
            };
            if !respond(
                &mut stream,
                status,
                "Content-Type: application/json\r\n",
                &body,
            ) {
                return;
            }
        }
    }

    fn append(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let mut topics = self.topics.0.lock().expect("store lock");
        let topic = topics.entry(name_of(request)).or_default();
        let end = topic.end();
        let at = request.query("at").and_then(|at| at.parse::<u64>().ok());
        if at.is_some_and(|at| at != end) {
            return (
                "412 Precondition Failed",
                format!("{{\"endOffset\":{end}}}").into(),
            );
        }
        let mut rest = request.body.as_slice();
        while rest.len() >= 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            topic.append(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let new_end = topic.end();
        self.topics.1.notify_all();
        (
            "200 OK",
            format!("{{\"offset\":{end},\"endOffset\":{new_end}}}").into(),
        )
    }

    fn read(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let number = |name| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let from = number("from").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let name = name_of(request);
        let mut topics = self.topics.0.lock().expect("store lock");
        loop {
            let topic = topics.entry(name.clone()).or_default();
            topic.expire();
            if from < topic.first || from > topic.end() {
                return ("410 Gone", format!("{{\"first\":{}}}", topic.first).into());
            }
            let now = Instant::now();
            if from < topic.end() || now >= until {
                let mut body = topic.end().to_be_bytes().to_vec();
                body.extend_from_slice(&topic.first.to_be_bytes());
                for record in topic.records.range((from - topic.first) as usize..) {
                    if body.len() > 16 && body.len() + record.bytes.len() > READ_BYTES {
                        break;
                    }
                    body.extend_from_slice(&(record.bytes.len() as u32).to_be_bytes());
                    body.extend_from_slice(&record.bytes);
                }
                return ("200 OK", body);
            }
            let waiting = self.topics.1.wait_timeout(topics, until - now);
            topics = waiting.expect("store lock").0;
        }
    }

    fn list(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let mut topics = self.topics.0.lock().expect("store lock");
        let topic = topics.entry(name_of(request)).or_default();
        let after = request.query("after").unwrap_or_default();
        let mut items = Vec::new();
        let mut has_more = false;
        for (key, (offset, value)) in &topic.newest {
            if !after.is_empty() && key.as_str() <= after {
                continue;
            }
            if items.len() == PAGE_ITEMS {
                has_more = true;
                break;
            }
            let value = base64(value);
            items.push(format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let (items, end) = (items.join(","), topic.end());
        let body = format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"endOffset\":{end}}}");
        ("200 OK", body.into())
    }
}

fn name_of(request: &Message) -> String {
    request.query("topic").unwrap_or_default().to_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for group in bytes.chunks(3) {
        let mut padded = [0; 3];
        padded[..group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * index)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
