//! Client of the platform's log service, which stores records in streams, each record at the next
//! offset of its stream.
//!
//! The log may be restored from an older copy of itself. It names the era in which each record was
//! appended, which becomes part of the offset (see [`log_era`]): records that the copy holds keep
//! their offsets, and those that are appended later never get one that was given out before.

use super::*;

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use prost::Message as _;

/// Timeout of an append. The append may still take effect after it.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a continuous reader that has reached the end of a stream lets the service wait
/// for a new record before it answers.
pub const READ_WAIT: Duration = Duration::from_secs(5);

/// Time allowed for the answer to a read, in addition to the time that the read may wait for new
/// records.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_secs(3);

/// Maximum number of records in the answer to a read; a longer stream takes several reads.
const READ_MAX_RECORDS: u32 = 2_000;

/// Maximum size of the answer to a read in bytes (64 MiB); a read with a longer answer fails.
const READ_MAX_BYTES: usize = 64 << 20;

/// Name of the stream that holds edits and snapshots of the table, the operators' list of backend
/// servers, model versions, routes and client accounts.
pub const TABLE_STREAM: &str = "table";

#[derive(Serialize)]
struct AppendBody {
    records: Vec<String>,
}

#[derive(Deserialize)]
struct AppendAnswer {
    #[serde(default)]
    era: LogEra,
    first_offset: u64,
}

#[derive(Deserialize)]
struct ReadAnswer {
    #[serde(default)]
    era: LogEra,
    records: Vec<ReadRecord>,
    start: u64,
    tail: u64,
    time_ms: u64,
}

#[derive(Deserialize)]
struct ReadRecord {
    data: String,
    #[serde(default)]
    era: LogEra,
    offset: u64,
    time_ms: u64,
}

/// Record read from a stream, with what the log service added to it.
#[derive(Debug, Clone)]
pub struct LogEntry {
    /// Offset of the record in its stream, with the era in which it was appended; the first is 0.
    pub offset: LogOffset,
    /// Decoded record; `None` if it is not valid Base64 or not a valid message.
    pub record: Option<wire::LogRecord>,
    /// Time of the append by the log service's clock, in milliseconds since 1970.
    pub time_ms: u64,
}

/// Answer to a read of a stream.
#[derive(Debug, Clone)]
pub struct LogRead {
    /// Records in stream order from the requested offset, or from `start` if that is higher; empty
    /// if the wait ended without a record.
    pub entries: Vec<LogEntry>,
    /// First offset that the service still has; records before it were dropped by log retention.
    pub start: LogOffset,
    /// Offset after the last record of the stream, at which the next record will be appended.
    pub tail: LogOffset,
    /// Time of the answer by the log service's clock, in milliseconds since 1970.
    pub time_ms: u64,
}

impl LogRead {
    /// Returns the log service's time of the first record in the answer, or of the answer itself if
    /// it has no record. Older records may have been dropped.
    pub fn first_time_ms(&self) -> u64 {
        self.entries
            .first()
            .map_or(self.time_ms, |entry| entry.time_ms)
    }

    /// Returns the tail if the log was restored since `next`, the offset that a reader would read
    /// next, and holds nothing after it. The reader goes on at the tail.
    pub fn restored_tail(&self, next: LogOffset) -> Option<LogOffset> {
        let is_restored = era_of(self.tail) > era_of(next);
        (is_restored && self.entries.is_empty()).then_some(self.tail)
    }
}

/// HTTP client of the log service, for use in one thread; a clone shares the connections.
#[derive(Clone)]
pub struct LogClient {
    client: awc::Client,
    platform_url: SmolStr,
}

impl LogClient {
    /// Creates a client for the platform at `platform_url`, a base URL with or without a final
    /// slash. It connects at the first call.
    pub fn new(platform_url: &str) -> Self {
        Self {
            client: awc::Client::builder().no_default_headers().finish(),
            platform_url: platform_url.trim_end_matches('/').into(),
        }
    }

    /// Appends records in order and returns the offset of the first. After an error the records may
    /// or may not be in the log.
    pub async fn append(&self, stream: &str, records: &[wire::LogRecord]) -> Result<LogOffset> {
        let mut encoded = Vec::with_capacity(records.len());
        for record in records {
            encoded.push(BASE64_STANDARD.encode(record.encode_to_vec()));
        }
        let url = format!("{}/log/{stream}", self.platform_url);
        let body = AppendBody { records: encoded };
        let exchange = async {
            let request = self.client.post(url).timeout(APPEND_TIMEOUT);
            let mut response = request.send_json(&body).await.map_err(log_error)?;
            if !response.status().is_success() {
                return Err(log_error(format!("append: status {}", response.status())));
            }
            let answer: AppendAnswer = response.json().await.map_err(log_error)?;
            Ok(offset_in(answer.era, answer.first_offset))
        };
        within(APPEND_TIMEOUT, exchange).await
    }

    /// Reads records from offset `from` on. If there are none yet, the service waits up to `wait`
    /// for the first. If the log was restored since `from` was its tail, records with higher offsets
    /// may have lower numbers; the answer then has those of them that fit, at once.
    pub async fn read(&self, stream: &str, from: LogOffset, wait: Duration) -> Result<LogRead> {
        let mut answer = self.read_from(stream, number_of(from), wait).await?;
        let start = offset_in(era_of(from), answer.start);
        if answer.era > era_of(from) && number_of(from) > 0 {
            let mut number = 0;
            loop {
                answer = self.read_from(stream, number, Duration::ZERO).await?;
                let Some(last) = answer.records.last() else {
                    break;
                };
                number = last.offset + 1;
                answer
                    .records
                    .retain(|record| offset_in(record.era, record.offset) >= from);
                if !answer.records.is_empty() {
                    break;
                }
            }
        }
        let mut entries = Vec::with_capacity(answer.records.len());
        for record in answer.records {
            entries.push(LogEntry {
                offset: offset_in(record.era, record.offset),
                record: decode(&record.data),
                time_ms: record.time_ms,
            });
        }
        Ok(LogRead {
            entries,
            start,
            tail: offset_in(answer.era, answer.tail),
            time_ms: answer.time_ms,
        })
    }

    async fn read_from(&self, stream: &str, number: u64, wait: Duration) -> Result<ReadAnswer> {
        let url = format!(
            "{}/log/{stream}?from={number}&max={READ_MAX_RECORDS}&wait_ms={}",
            self.platform_url,
            wait.as_millis()
        );
        let timeout = wait + READ_TIMEOUT_MARGIN;
        let exchange = async {
            let request = self.client.get(url).timeout(timeout);
            let mut response = request.send().await.map_err(log_error)?;
            if !response.status().is_success() {
                return Err(log_error(format!("read: status {}", response.status())));
            }
            let reading = response.json::<ReadAnswer>().limit(READ_MAX_BYTES);
            reading.await.map_err(log_error)
        };
        within(timeout, exchange).await
    }
}

/// Limits an exchange, whose client limits only the time until the head of the answer.
async fn within<T>(timeout: Duration, exchange: impl Future<Output = Result<T>>) -> Result<T> {
    match tokio::time::timeout(timeout, exchange).await {
        Ok(result) => result,
        Err(_) => Err(log_error(format!(
            "the answer did not end within {} ms",
            timeout.as_millis()
        ))),
    }
}

fn decode(data: &str) -> Option<wire::LogRecord> {
    let bytes = BASE64_STANDARD.decode(data).ok()?;
    wire::LogRecord::decode(bytes.as_slice()).ok()
}

fn log_error(error: impl std::fmt::Display) -> Error {
    Error::LogService {
        reason: error.to_string(),
    }
}
