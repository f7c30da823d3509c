//! What an instance needs of the log service, for topics of raw and of keyed records.

use super::*;

use futures_util::future::LocalBoxFuture;

/// Who answered a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadSource {
    /// The log: the answer holds for the start of the call.
    Log,
    /// A peer that read the log.
    Peer {
        /// Time for which the answer holds.
        proven_at: Duration,
    },
}

impl ReadSource {
    /// Time for which the answer of a call that began at `began_at` holds.
    pub fn proven_at(self, began_at: Duration) -> Duration {
        match self {
            Self::Log => began_at,
            Self::Peer { proven_at } => proven_at,
        }
    }
}

/// A page of the newest records of a keyed topic.
#[derive(Debug)]
pub struct KeyedPage {
    /// End of the topic when the page was read.
    pub end: LogOffset,
    /// True if further keys follow.
    pub has_more: bool,
    /// Records by key.
    pub items: Vec<KeyedRecord>,
    /// Who answered.
    pub source: ReadSource,
}

/// Records read from an offset on.
#[derive(Debug)]
pub enum TopicRead {
    /// The records asked for are deleted.
    Gone,
    /// Raw records with their offsets, and the end of the topic.
    Records {
        /// End of the topic.
        end: LogOffset,
        /// Offset from which to read on; before the end if the answer had no room for all.
        next: LogOffset,
        /// Records.
        records: Vec<(LogOffset, Bytes)>,
        /// Who answered.
        source: ReadSource,
    },
}

/// What came of an append that was made on a condition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendEnd {
    /// The record stands at this offset.
    Appended(LogOffset),
    /// The topic ends elsewhere; nothing was appended.
    Moved(LogOffset),
}

/// The log service.
pub trait TopicLog {
    /// Appends a keyed record if the topic ends at `at`.
    fn append_at<'a>(
        &'a self,
        topic: &'static str,
        at: LogOffset,
        key: &'a str,
        value: Bytes,
    ) -> LocalBoxFuture<'a, Result<AppendEnd>>;

    /// Appends a keyed record; an empty value drops the key.
    fn put<'a>(
        &'a self,
        topic: &'static str,
        key: &'a str,
        value: Bytes,
    ) -> LocalBoxFuture<'a, Result>;

    /// Reads a page of the newest records by key.
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

/// Joins the raw record of a keyed topic; keys are names of at most 255 bytes.
pub fn raw_record(key: &str, value: &[u8]) -> Bytes {
    let mut raw = BytesMut::with_capacity(1 + key.len() + value.len());
    raw.extend_from_slice(&[key.len() as u8]);
    raw.extend_from_slice(key.as_bytes());
    raw.extend_from_slice(value);
    raw.freeze()
}

/// Cuts the raw record of a keyed topic: length of the key, key, value.
pub fn keyed_record(offset: LogOffset, raw: &Bytes) -> Result<KeyedRecord> {
    let malformed = || Error::LogService {
        reason: format!("record {offset} has no valid key; it is passed over"),
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
