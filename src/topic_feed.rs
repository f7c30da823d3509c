//! In-memory copy of a keyed topic of the log, from which an instance serves reads of its peers.
//!
//! Only records that changed something are kept, because most records of servers are heartbeats. An
//! answer carries the time at which a read of the log last showed that there was nothing newer, so
//! that the reader knows how fresh the answer is.

use super::*;

/// Maximum number of changes kept. A reader that has missed more reads the newest records instead.
const CHANGES_MAX: usize = 1_024;

/// Answer to a read that starts at an offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedRead {
    /// The requested records have been dropped.
    Gone,
    /// Records starting at the offset.
    Records(FeedPage),
    /// The topic has not been read to its end yet, or cannot be read at present.
    Unknown,
}

/// Records of a topic at a point in time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedPage {
    /// Offset of the next read.
    pub end: LogOffset,
    /// Time at which a read showed that there was nothing beyond the end.
    pub as_of: Duration,
    /// Records.
    pub records: Vec<KeyedRecord>,
}

/// Copy of one topic.
#[derive(Debug, Default)]
pub struct TopicFeed {
    changes: VecDeque<KeyedRecord>,
    /// All changes from this offset on are in `changes`.
    complete_from: LogOffset,
    /// True while reads fail.
    is_unreadable: bool,
    newest: BTreeMap<SmolStr, KeyedRecord>,
    /// End of the topic, and the time at which a read showed it.
    observed_end: Option<(LogOffset, Duration)>,
}

impl TopicFeed {
    /// Applies a record that changed something.
    pub fn apply(&mut self, record: KeyedRecord) {
        match &record.value {
            Some(_) => self.newest.insert(record.key.clone(), record.clone()),
            None => self.newest.remove(&record.key),
        };
        self.changes.push_back(record);
        if self.changes.len() <= CHANGES_MAX {
            return;
        }
        if let Some(oldest) = self.changes.pop_front() {
            self.complete_from = self.complete_from.max(oldest.offset + 1);
        }
    }

    /// Records that reads of the log fail. Peers that can read the log should then do so.
    pub fn mark_unreadable(&mut self) {
        self.is_unreadable = true;
    }

    /// Records that the topic ended at offset `end` at time `at`.
    pub fn confirm_end(&mut self, at: Duration, end: LogOffset) {
        self.is_unreadable = false;
        let Some((known_end, known_at)) = self.observed_end else {
            // Keys that were dropped before the first pages were read are not known.
            self.complete_from = end;
            self.observed_end = Some((end, at));
            return;
        };
        self.observed_end = Some((known_end.max(end), known_at.max(at)));
    }

    /// Returns the records from an offset on.
    pub fn read(&self, from: LogOffset) -> FeedRead {
        let Some((end, as_of)) = self.observed_end.filter(|_| !self.is_unreadable) else {
            return FeedRead::Unknown;
        };
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

    /// Returns the newest record of each key; `None` before the topic has been read to its end.
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
