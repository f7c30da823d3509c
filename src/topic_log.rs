//! Interface to the log service, for topics of raw and of keyed records.

use super::*;

use futures_util::future::LocalBoxFuture;

/// Source of the answer to a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadSource {
    /// The log. The answer was current at the start of the call.
    Log,
    /// A peer that reads the log.
    Peer {
        /// Time at which the answer was current.
        as_of: Duration,
    },
}

impl ReadSource {
    /// Time at which the answer to a call that started at `began_at` was current.
    pub fn as_of(self, began_at: Duration) -> Duration {
        match self {
            Self::Log => began_at,
            Self::Peer { as_of } => as_of,
        }
    }
}

/// Page of the newest records of a keyed topic.
#[derive(Debug)]
pub struct KeyedPage {
    /// End of the topic when the page was read.
    pub end: LogOffset,
    /// True if there are more pages.
    pub has_more: bool,
    /// Newest record of each key.
    pub items: Vec<KeyedRecord>,
    /// Source of the answer.
    pub source: ReadSource,
}

/// Result of a read that starts at an offset.
#[derive(Debug)]
pub enum TopicRead {
    /// The requested records have been dropped.
    Gone,
    /// Raw records with their offsets, and the end of the topic.
    Records {
        /// End of the topic.
        end: LogOffset,
        /// Offset of the next read; smaller than `end` if the answer did not have room for all
        /// records.
        next: LogOffset,
        /// Records.
        records: Vec<(LogOffset, Bytes)>,
        /// Source of the answer.
        source: ReadSource,
    },
}

/// Outcome of a conditional append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was appended at this offset.
    Appended(LogOffset),
    /// The topic ends at this offset instead of the expected one; nothing was appended.
    EndMismatch(LogOffset),
}

/// Client of the log service.
pub trait TopicLog {
    /// Appends a keyed record if the topic ends at `at`.
    fn append_at<'a>(
        &'a self,
        topic: &'static str,
        at: LogOffset,
        key: &'a str,
        value: Bytes,
    ) -> LocalBoxFuture<'a, Result<AppendOutcome>>;

    /// Appends a keyed record. An empty value drops the key.
    fn put<'a>(
        &'a self,
        topic: &'static str,
        key: &'a str,
        value: Bytes,
    ) -> LocalBoxFuture<'a, Result>;

    /// Reads a page with the newest record of each key, starting after the key `after`.
    fn newest(
        &self,
        topic: &'static str,
        after: Option<SmolStr>,
    ) -> LocalBoxFuture<'_, Result<KeyedPage>>;

    /// Reads records, waiting up to `wait` for the first.
    fn read(
        &self,
        topic: &'static str,
        from: LogOffset,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<TopicRead>>;
}

/// Encodes a record of a keyed topic. Keys have at most 255 bytes.
pub fn encode_keyed_record(key: &str, value: &[u8]) -> Bytes {
    let mut raw = BytesMut::with_capacity(1 + key.len() + value.len());
    raw.extend_from_slice(&[key.len() as u8]);
    raw.extend_from_slice(key.as_bytes());
    raw.extend_from_slice(value);
    raw.freeze()
}

/// Decodes a raw record of a keyed topic: length of the key in one byte, key, value.
pub fn decode_keyed_record(offset: LogOffset, raw: &Bytes) -> Result<KeyedRecord> {
    let malformed = || Error::LogService {
        reason: format!("record {offset} has no valid key and is skipped"),
    };
    let length = usize::from(*raw.first().ok_or_else(malformed)?);
    let key = raw.get(1..1 + length).ok_or_else(malformed)?;
    let key = std::str::from_utf8(key).map_err(|_| malformed())?;
    let value = raw.slice(1 + length..);
    Ok(KeyedRecord {
        key: key.into(),
        offset,
        value: (!value.is_empty()).then_some(value),
    })
}
