//! Interface to the log service, whose topics hold raw or keyed records, each at the next offset of
//! its topic. In a keyed topic the newest record of a key gives the key's value, and older records
//! of the key may be dropped. A peer is another instance, which may serve reads from its copy of a
//! topic.

use super::*;

use futures_util::future::LocalBoxFuture;

/// Source of the answer to a read, which determines when the answer was current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadSource {
    /// The log. The answer was current at the start of the call.
    Log,
    /// A peer that reads the log.
    Peer {
        /// Latest time, by the clock of [`boot_time`] of this instance, at which the answer is
        /// known to have been current.
        as_of: Duration,
    },
}

impl ReadSource {
    /// Returns the time at which the answer to a call that started at `began_at` was current.
    pub fn as_of(self, began_at: Duration) -> Duration {
        match self {
            Self::Log => began_at,
            Self::Peer { as_of } => as_of,
        }
    }
}

/// Page of the listing of a keyed topic. The listing has the newest record of each key, in the
/// order of keys.
#[derive(Debug)]
pub struct KeyedPage {
    /// Offset after the last record of the topic when the page was read.
    pub end: LogOffset,
    /// True if the next page has to be read, starting after the last key of this one.
    pub has_more: bool,
    /// Newest record of each key of the page; the next page starts after the key of the last one.
    pub items: Vec<KeyedRecord>,
    /// Whether the page comes from the log or from a peer.
    pub source: ReadSource,
}

/// Result of a read of the records from an offset on.
#[derive(Debug)]
pub enum TopicRead {
    /// Some records from the requested offset on have been dropped; the reader has to list the
    /// topic again.
    Gone,
    /// Raw records with their offsets, and the end of the topic.
    Records {
        /// Offset after the last record of the topic.
        end: LogOffset,
        /// Offset from which the next read continues; smaller than `end` if the answer did not have
        /// room for all records.
        next: LogOffset,
        /// Offset and content of each record, encoded as by [`encode_keyed_record`] if the topic is
        /// keyed.
        records: Vec<(LogOffset, Bytes)>,
        /// Whether the records come from the log or from a peer.
        source: ReadSource,
    },
}

/// Outcome of [`TopicLog::append_at`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was appended at this offset.
    Appended(LogOffset),
    /// The topic ends at this offset instead of the expected one; nothing was appended.
    EndMismatch(LogOffset),
}

/// Operations of the log service that instances use.
pub trait TopicLog {
    /// Appends a keyed record only if the topic ends at offset `at`, that is, if no other record
    /// was appended since the caller found the end there.
    fn append_at<'a>(
        &'a self,
        topic: &'static str,
        at: LogOffset,
        key: &'a str,
        value: Bytes,
    ) -> LocalBoxFuture<'a, Result<AppendOutcome>>;

    /// Appends a keyed record at the end of the topic, whatever its offset. An empty value drops
    /// the key.
    fn put<'a>(
        &'a self,
        topic: &'static str,
        key: &'a str,
        value: Bytes,
    ) -> LocalBoxFuture<'a, Result>;

    /// Reads a page with the newest record of each key, starting after the key `after`, or with the
    /// first key if it is `None`.
    fn newest(
        &self,
        topic: &'static str,
        after: Option<SmolStr>,
    ) -> LocalBoxFuture<'_, Result<KeyedPage>>;

    /// Reads the records from offset `from` on. If there are none yet, waits up to `wait` for the
    /// first.
    fn read(
        &self,
        topic: &'static str,
        from: LogOffset,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<TopicRead>>;
}

/// Encodes a record of a keyed topic: length of the key in one byte, key, value. Keys have at most
/// 255 bytes, which is not checked.
pub fn encode_keyed_record(key: &str, value: &[u8]) -> Bytes {
    let mut raw = BytesMut::with_capacity(1 + key.len() + value.len());
    raw.extend_from_slice(&[key.len() as u8]);
    raw.extend_from_slice(key.as_bytes());
    raw.extend_from_slice(value);
    raw.freeze()
}

/// Decodes a record that [`encode_keyed_record`] encoded; an empty value becomes `None`. The error
/// is `LogService` if the record is too short for its key or the key is not UTF-8.
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
