//! What an instance needs of the log service, for topics of raw and of keyed records.

use super::*;

use futures_util::future::LocalBoxFuture;

/// A page of the newest records of a keyed topic.
#[derive(Debug)]
pub struct KeyedPage {
    /// End of the topic when the page was read.
    pub end: LogOffset,
    /// True if further keys follow.
    pub has_more: bool,
    /// Records by key.
    pub items: Vec<KeyedRecord>,
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
        /// Records.
        records: Vec<(LogOffset, Bytes)>,
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
    /// Appends a record if the topic ends at `at`.
    fn append_at(
        &self,
        topic: &'static str,
        at: LogOffset,
        record: Bytes,
    ) -> LocalBoxFuture<'_, Result<AppendEnd>>;

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
