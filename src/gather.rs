//! Gathers claims of one partition into batches, appends them to the log and answers each from
//! the log's order.
//!
//! A gatherer has no authority: two of them may serve the same partition, and one may vanish
//! with what it gathered. Records are repeatable by their nonce, so a batch whose append was not
//! answered is appended again.

use super::*;

/// A claim that the log has not ordered after this long is answered as unavailable.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Records of one append.
pub const BATCH_MAX: usize = 512;

/// Records that may wait; beyond that a claim is answered as unavailable at once.
pub const WAITING_MAX: usize = 8_192;

/// Number by which an answer finds its asker.
pub type Ticket = u64;

#[derive(Debug)]
struct Waiting {
    asked_at: Duration,
    record: ClaimRecord,
    ticket: Ticket,
}

/// An answer to one ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketAnswer {
    /// Asker.
    pub ticket: Ticket,
    /// What the log's order says.
    pub verdict: Verdict,
}

/// Gatherer of one partition.
#[derive(Debug)]
pub struct Gatherer {
    append_in_flight: bool,
    batch_opened_at: Option<Duration>,
    batch_window: Duration,
    caught_up: bool,
    index: ClaimIndex,
    /// Tickets whose records are in the log or on the way there.
    sent: Vec<Waiting>,
    /// Tickets whose records are to be appended.
    unsent: VecDeque<Waiting>,
}

impl Gatherer {
    /// Creates a gatherer that has read nothing.
    pub fn new(window: Duration, batch_window: Duration) -> Self {
        Self {
            append_in_flight: false,
            batch_opened_at: None,
            batch_window,
            caught_up: false,
            index: ClaimIndex::new(window),
            sent: Vec::new(),
            unsent: VecDeque::new(),
        }
    }

    /// Offset of the next record to read.
    pub fn next_offset(&self) -> LogOffset {
        self.index.next_offset()
    }

    /// Number of keys held.
    pub fn keys(&self) -> usize {
        self.index.len()
    }

    /// Takes a record to append. Answers at once if what was read settles it.
    pub fn submit(
        &mut self,
        now: Duration,
        ticket: Ticket,
        record: ClaimRecord,
    ) -> Option<Verdict> {
        if self.sent.len() + self.unsent.len() >= WAITING_MAX {
            return Some(Verdict::Unavailable);
        }
        if self.caught_up
            && let ClaimRecord::Claim(claim) = &record
            && let Some(verdict) = self.index.peek(claim)
        {
            return Some(verdict);
        }
        self.batch_opened_at.get_or_insert(now);
        self.unsent.push_back(Waiting {
            asked_at: now,
            record,
            ticket,
        });
        None
    }

    /// Returns the records to append now, if a batch is due.
    pub fn next_batch(&mut self, now: Duration) -> Option<Vec<ClaimRecord>> {
        let opened_at = self.batch_opened_at?;
        if self.append_in_flight || !self.caught_up {
            return None;
        }
        if now.saturating_sub(opened_at) < self.batch_window && self.unsent.len() < BATCH_MAX {
            return None;
        }
        let count = self.unsent.len().min(BATCH_MAX);
        let batch: Vec<Waiting> = self.unsent.drain(..count).collect();
        let records = batch.iter().map(|waiting| waiting.record.clone()).collect();
        self.sent.extend(batch);
        self.append_in_flight = true;
        self.batch_opened_at = (!self.unsent.is_empty()).then_some(now);
        Some(records)
    }

    /// Takes the end of an append. If it failed, its effect is not known: what has not been read
    /// back is appended again.
    pub fn append_ended(&mut self, now: Duration, succeeded: bool) {
        self.append_in_flight = false;
        if succeeded || self.sent.is_empty() {
            return;
        }
        self.batch_opened_at = Some(now);
        for waiting in self.sent.drain(..).rev() {
            self.unsent.push_front(waiting);
        }
    }

    /// Takes note that the log starts at `start`.
    pub fn skip_to(&mut self, start: LogOffset, first_time_ms: u64) {
        self.index.skip_to(start, first_time_ms);
    }

    /// True once everything up to the log's tail has been read.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Takes note that everything up to the log's tail has been read.
    pub fn set_caught_up(&mut self) {
        self.caught_up = true;
    }

    /// Folds a record that was read, and answers the tickets that it settles.
    pub fn read(
        &mut self,
        offset: LogOffset,
        time_ms: u64,
        record: Option<&ClaimRecord>,
    ) -> Result<SmallVec<[TicketAnswer; 1]>> {
        let mut answers = SmallVec::new();
        let Some(record) = record else {
            // Not a claim record: written by a newer version. Its place is passed over.
            self.index.skip_to(offset + 1, 0);
            return Ok(answers);
        };
        let verdict = self.index.apply(offset, time_ms, record)?;
        let settles = |waiting: &Waiting| {
            let same_kind =
                std::mem::discriminant(&waiting.record) == std::mem::discriminant(record);
            same_kind
                && waiting.record.key() == record.key()
                && waiting.record.nonce() == record.nonce()
        };
        self.sent.retain(|waiting| {
            if !settles(waiting) {
                return true;
            }
            answers.push(TicketAnswer {
                ticket: waiting.ticket,
                verdict: verdict.clone(),
            });
            false
        });
        Ok(answers)
    }

    /// Answers claims that have waited too long. Answers and releases wait on: they are true
    /// whenever they get there.
    pub fn expire(&mut self, now: Duration) -> Vec<TicketAnswer> {
        let mut answers = Vec::new();
        let mut keep = |waiting: &Waiting| {
            let is_claim = matches!(waiting.record, ClaimRecord::Claim(_));
            if !is_claim || now.saturating_sub(waiting.asked_at) < CLAIM_TIMEOUT {
                return true;
            }
            answers.push(TicketAnswer {
                ticket: waiting.ticket,
                verdict: Verdict::Unavailable,
            });
            false
        };
        self.sent.retain(&mut keep);
        self.unsent.retain(&mut keep);
        answers
    }
}
