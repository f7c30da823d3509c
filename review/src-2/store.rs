//! Stand-in for the platform: its store, a log with keyed topics, and its API for usage and orders.

use std::collections::BTreeMap;
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

use crate::http::Request;
use crate::http::read_request;
use crate::http::respond;

/// Time that an append takes, as in the settings of a small deployment.
const APPEND_TIME: Duration = Duration::from_millis(3);

#[derive(Default)]
struct Topic {
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    records: Vec<Vec<u8>>,
}

#[derive(Default)]
struct Shared {
    /// Calls to the API: path, holder, fencing token and body.
    api_calls: Vec<(String, String, u64, String)>,
    topics: BTreeMap<String, Topic>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Shared>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("an address"),
            shared: Arc::default(),
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

    /// Writes the newest value of a key; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let _ = self.append(topic, None, vec![record]);
    }

    fn append(&self, topic: &str, at: Option<u64>, records: Vec<Vec<u8>>) -> Result<u64, u64> {
        let mut shared = self.shared.0.lock().expect("lock");
        let is_keyed = topic.starts_with("keyed.");
        let topic = shared.topics.entry(topic.to_owned()).or_default();
        let end = topic.records.len() as u64;
        if at.is_some_and(|at| at != end) {
            return Err(end);
        }
        for record in records {
            let offset = topic.records.len() as u64;
            let key_length = record.first().map_or(0, |length| usize::from(*length));
            if is_keyed && record.len() > key_length {
                let key = String::from_utf8_lossy(&record[1..=key_length]).into_owned();
                let value = record[key_length + 1..].to_vec();
                match value.is_empty() {
                    true => topic.newest.remove(&key),
                    false => topic.newest.insert(key, (offset, value)),
                };
            }
            topic.records.push(record);
        }
        self.shared.1.notify_all();
        Ok(end)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            if !respond(
                &mut writer,
                status,
                "Content-Type: application/json\r\n",
                &body,
            ) {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, Vec<u8>) {
        let number = |name| request.query(name).and_then(|text| text.parse().ok());
        let topic = request.query("topic").unwrap_or("");
        match request.path() {
            "/log-append" => {
                thread::sleep(APPEND_TIME);
                let records = split_records(&request.body);
                let count = records.len() as u64;
                match self.append(topic, number("at"), records) {
                    Ok(offset) => {
                        let end = offset + count;
                        (
                            200,
                            format!("{{\"offset\":{offset},\"endOffset\":{end}}}").into(),
                        )
                    }
                    Err(end) => (412, format!("{{\"endOffset\":{end}}}").into()),
                }
            }
            "/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                (200, self.read(topic, number("from").unwrap_or(0), wait))
            }
            "/log-newest" => (200, self.list(topic).into()),
            "/usage" | "/scale" => {
                let fence = request.header("x-fence-token").unwrap_or("");
                let call = (
                    request.path().to_owned(),
                    request.header("x-duty-holder").unwrap_or("").to_owned(),
                    fence.parse().unwrap_or(0),
                    String::from_utf8_lossy(&request.body).into_owned(),
                );
                self.shared.0.lock().expect("lock").api_calls.push(call);
                (200, b"{}".to_vec())
            }
            _ => (404, b"{}".to_vec()),
        }
    }

    fn read(&self, topic: &str, from: u64, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut shared = self.shared.0.lock().expect("lock");
        loop {
            let topic = shared.topics.entry(topic.to_owned()).or_default();
            let end = topic.records.len() as u64;
            let left = until.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                let mut body = end.to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in topic.records.iter().skip(from as usize) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return body;
            }
            shared = self.shared.1.wait_timeout(shared, left).expect("lock").0;
        }
    }

    fn list(&self, topic: &str) -> String {
        let mut shared = self.shared.0.lock().expect("lock");
        let topic = shared.topics.entry(topic.to_owned()).or_default();
        let mut items = Vec::new();
        for (key, (offset, value)) in &topic.newest {
            let value = base64(value);
            items.push(format!(
                "{{\"key\":\"{key}\",\"offset\":{offset},\"value\":\"{value}\"}}"
            ));
        }
        let end = topic.records.len();
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"endOffset\":{end}}}",
            items.join(",")
        )
    }
}

fn split_records(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while let Some((length, rest)) = body.split_first_chunk::<4>() {
        let (record, rest) = rest.split_at(u32::from_be_bytes(*length) as usize);
        records.push(record.to_vec());
        body = rest;
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
