//! What this instance knows of a keyed topic of the log, for peers that read it here.
//!
//! Only records that changed something are kept: most of what servers write are heartbeats. An
//! answer tells how long ago a read showed that nothing newer was accepted, so that whoever reads
//! here knows how fresh it is.

use super::*;

/// Changes kept; whoever missed more reads the newest records instead.
const CHANGES_MAX: usize = 1_024;

/// Answer to a read from an offset on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedRead {
    /// The records asked for are not kept any more.
    Gone,
    /// Records from the offset on.
    Records(FeedPage),
    /// The topic was not read to its end yet, or cannot be read now.
    Unknown,
}

/// Records of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FeedPage {
    /// Offset from which to read on.
    pub end: LogOffset,
    /// When a read showed that nothing beyond the end was accepted.
    pub proven_at: Duration,
    /// Records.
    pub records: Vec<KeyedRecord>,
}

/// One topic.
#[derive(Debug, Default)]
pub struct TopicFeed {
    changes: VecDeque<KeyedRecord>,
    /// Offset from which no change is missing.
    complete_from: LogOffset,
    /// True while reads fail.
    is_lost: bool,
    newest: BTreeMap<SmolStr, KeyedRecord>,
    /// End of the topic, and when a read showed that it ended there.
    proof: Option<(LogOffset, Duration)>,
}

impl TopicFeed {
    /// Takes a record that changed something.
    pub fn take(&mut self, record: KeyedRecord) {
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

    /// Records that reads fail: peers that can read the log had better do so.
    pub fn lose(&mut self) {
        self.is_lost = true;
    }

    /// Takes the proof that the topic ended at `end` at a time.
    pub fn prove(&mut self, at: Duration, end: LogOffset) {
        self.is_lost = false;
        let Some((known_end, known_at)) = self.proof else {
            // What was dropped before the first pages is not known.
            self.complete_from = end;
            self.proof = Some((end, at));
            return;
        };
        self.proof = Some((known_end.max(end), known_at.max(at)));
    }

    /// Records from an offset on.
    pub fn read(&self, from: LogOffset) -> FeedRead {
        let Some((end, proven_at)) = self.proof.filter(|_| !self.is_lost) else {
            return FeedRead::Unknown;
        };
        if from < self.complete_from {
            return FeedRead::Gone;
        }
        let records = self.changes.iter().filter(|record| record.offset >= from);
        FeedRead::Records(FeedPage {
            end,
            proven_at,
            records: records.cloned().collect(),
        })
    }

    /// The newest record of each key; `None` before the topic was read to its end.
    pub fn newest(&self) -> Option<FeedPage> {
        let (end, proven_at) = self.proof.filter(|_| !self.is_lost)?;
        Some(FeedPage {
            end,
            proven_at,
            records: self.newest.values().cloned().collect(),
        })
    }
}

impl FeedPage {
    /// Reply to a request that arrived at `received_at`.
    pub fn into_reply(self, received_at: Duration) -> wire::TopicReadReply {
        let records = self.records.into_iter().map(|record| wire::TopicRecord {
            key: record.key.to_string(),
            offset: record.offset,
            value: record.value.map(Into::into),
        });
        wire::TopicReadReply {
            age_ms: received_at.as_millis() as i64 - self.proven_at.as_millis() as i64,
            end: self.end,
            gone: false,
            unknown: false,
            records: records.collect(),
        }
    }

    /// Page of a reply to a request that was sent at `sent_at`: what held when the request arrived
    /// held when it was sent at the earliest.
    pub fn from_reply(reply: wire::TopicReadReply, sent_at: Duration) -> Self {
        let proven_at_ms = (sent_at.as_millis() as i64).saturating_sub(reply.age_ms);
        let records = reply.records.into_iter().map(|record| KeyedRecord {
            key: record.key.into(),
            offset: record.offset,
            value: record.value.map(Into::into),
        });
        Self {
            end: reply.end,
            proven_at: Duration::from_millis(proven_at_ms.max(0) as u64),
            records: records.collect(),
        }
    }
}
