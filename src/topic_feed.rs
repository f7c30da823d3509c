//! In-memory copy (feed) of a keyed topic of the log, from which an instance serves reads of its
//! peers (other instances). A keyed topic holds values by key: the newest record of a key gives its
//! value, and older records of the key may be dropped.
//!
//! Only records that change a value are kept, because most records of backend servers are
//! heartbeats. An answer carries the time at which a read of the log last showed that there was
//! nothing newer, so that the reader knows how fresh the answer is.

use super::*;

/// Minimum of the maximum number of changes that a feed keeps. A reader that has missed more of them
/// reads the newest record of each key instead.
const CHANGES_MAX: usize = 1_024;

/// Maximum number of changes that a feed keeps for each key that the topic has had at a time. A
/// backend server is registered, marked as leaving and removed.
const CHANGES_PER_KEY_MAX: usize = 3;

/// Answer to a peer's read that starts at an offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedRead {
    /// The feed no longer has all changes from the offset on; the reader has to start over with the
    /// newest record of each key.
    Gone,
    /// Changes from the offset on; empty if the reader has all of them.
    Records(FeedPage),
    /// The topic has not been read to its end yet, or cannot be read at present, or was not read
    /// since the log was restored.
    Unknown,
}

/// Records that a feed returns, with the latest time at which there is known to have been nothing
/// newer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedPage {
    /// Offset from which the reader continues: the end of the topic as far as the feed has read it.
    pub end: LogOffset,
    /// Time, by the clock of [`boot_time`], at which a read showed that there was nothing beyond
    /// the end.
    pub as_of: Duration,
    /// Changes in log order, or the newest record of each key in the order of keys.
    pub records: Vec<KeyedRecord>,
}

/// Newest record of each key of a topic, and the latest changes.
#[derive(Debug, Default)]
pub struct TopicFeed {
    changes: VecDeque<KeyedRecord>,
    /// Offset from which on all changes are in `changes`.
    complete_from: LogOffset,
    /// True from a failed read of the log until a read reaches the topic's end.
    is_unreadable: bool,
    /// Largest number of keys that the topic has had at a time.
    keys_max: usize,
    newest: BTreeMap<SmolStr, KeyedRecord>,
    /// End of the topic and the time at which a read showed it; `None` before the first such read.
    observed_end: Option<(LogOffset, Duration)>,
}

impl TopicFeed {
    /// Adds a record to the changes and makes its value the newest of its key, or removes the key
    /// if the record has no value.
    pub fn apply(&mut self, record: KeyedRecord) {
        match &record.value {
            Some(_) => self.newest.insert(record.key.clone(), record.clone()),
            None => self.newest.remove(&record.key),
        };
        self.keys_max = self.keys_max.max(self.newest.len());
        self.changes.push_back(record);
        if self.changes.len() <= CHANGES_MAX.max(self.keys_max * CHANGES_PER_KEY_MAX) {
            return;
        }
        if let Some(oldest) = self.changes.pop_front() {
            self.complete_from = self.complete_from.max(oldest.offset + 1);
        }
    }

    /// Records that reads of the log fail, so that peers are answered `Unknown` and read the log
    /// themselves, until [`Self::confirm_end`] is called.
    pub fn mark_unreadable(&mut self) {
        self.is_unreadable = true;
    }

    /// Records that all changes before offset `end`, where the topic ended at time `at`, have been
    /// applied.
    pub fn confirm_end(&mut self, at: Duration, end: LogOffset) {
        self.is_unreadable = false;
        let Some((known_end, known_at)) = self.observed_end else {
            // The feed does not know which keys were dropped before its first read, so it has all
            // changes only from here on.
            self.complete_from = end;
            self.observed_end = Some((end, at));
            return;
        };
        self.observed_end = Some((known_end.max(end), known_at.max(at)));
    }

    /// Returns the changes from an offset on, for a reader that has read the topic up to there.
    pub fn read(&self, from: LogOffset) -> FeedRead {
        let Some((end, as_of)) = self.observed_end.filter(|_| !self.is_unreadable) else {
            return FeedRead::Unknown;
        };
        if era_of(from) > era_of(end) {
            // The reader knows of a restore of the log that this instance has not seen.
            return FeedRead::Unknown;
        }
        if from < self.complete_from {
            return FeedRead::Gone;
        }
        let records = self.changes.iter().filter(|record| record.offset >= from);
        FeedRead::Records(FeedPage {
            end,
            as_of,
            records: records.cloned().collect(),
        })
    }

    /// Returns the newest record of each key; `None` before the topic has been read to its end, and
    /// while reads of the log fail.
    pub fn newest(&self) -> Option<FeedPage> {
        let (end, as_of) = self.observed_end.filter(|_| !self.is_unreadable)?;
        Some(FeedPage {
            end,
            as_of,
            records: self.newest.values().cloned().collect(),
        })
    }
}

impl FeedPage {
    /// Converts the page into the reply to a request that arrived at `received_at`.
    pub fn into_reply(self, received_at: Duration) -> wire::TopicReadReply {
        let records = self.records.into_iter().map(|record| wire::TopicRecord {
            key: record.key.to_string(),
            offset: record.offset,
            value: record.value.map(Into::into),
        });
        wire::TopicReadReply {
            age_ms: received_at.as_millis() as i64 - self.as_of.as_millis() as i64,
            end: self.end,
            gone: false,
            unknown: false,
            records: records.collect(),
        }
    }

    /// Converts the reply to a request that was sent at `sent_at`. The age in the reply counts from
    /// the arrival of the request; counting it from when the request was sent makes the page look
    /// older, never newer.
    pub fn from_reply(reply: wire::TopicReadReply, sent_at: Duration) -> Self {
        let as_of_ms = (sent_at.as_millis() as i64).saturating_sub(reply.age_ms);
        let records = reply.records.into_iter().map(|record| KeyedRecord {
            key: record.key.into(),
            offset: record.offset,
            value: record.value.map(Into::into),
        });
        Self {
            end: reply.end,
            as_of: Duration::from_millis(as_of_ms.max(0) as u64),
            records: records.collect(),
        }
    }
}
