//! Collects the claims of one partition into batches, which [`ClaimActor`] appends to the
//! partition's log stream, and answers each claim according to the order of the records in the log.
//! A claim is a log record that reserves an idempotency key for one call; a partition is a share of
//! all keys, with its own stream.
//!
//! Only the order in the log decides which claim of a key is granted, so a batcher need not be
//! unique or reliable: two may serve the same partition, and one may fail and lose its queued
//! claims. Each record carries a random number (nonce) that makes a second copy of it harmless, so
//! a batch whose append was not answered is appended again.

use super::*;

/// Time after which a claim that has not been read back from the log is answered as unavailable.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of records in one append to the log.
pub const BATCH_MAX: usize = 512;

/// Maximum number of records that a batcher holds until they are read back from the log; further
/// records are answered as unavailable at once.
pub const PENDING_MAX: usize = 8_192;

/// Number that the submitter of a record chooses to recognize the answer; unique within a batcher.
pub type Ticket = u64;

#[derive(Debug)]
struct PendingRecord {
    enqueued_at: Duration,
    record: ClaimRecord,
    ticket: Ticket,
}

/// Later answer to a submitted record for which [`ClaimBatcher::submit`] returned no verdict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TicketAnswer {
    /// Ticket that was passed to [`ClaimBatcher::submit`].
    pub ticket: Ticket,
    /// Verdict that the record's position in the log gives, or `Unavailable` if a claim was not
    /// read back from the log within [`CLAIM_TIMEOUT`].
    pub verdict: Verdict,
}

/// Queues the records of one partition until they are appended, and holds them until they are read
/// back from the log.
#[derive(Debug)]
pub struct ClaimBatcher {
    append_in_flight: bool,
    batch_opened_at: Option<Duration>,
    batch_window: Duration,
    caught_up: bool,
    index: ClaimIndex,
    /// Records that were passed to an append and have not been read back from the log.
    sent: Vec<PendingRecord>,
    /// Records that wait for the next append.
    unsent: VecDeque<PendingRecord>,
}

impl ClaimBatcher {
    /// Creates a batcher that has read nothing from the log. Claims are granted only for keys whose
    /// timestamp is at most `window` old; records are collected for `batch_window` before an
    /// append.
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

    /// Returns the offset from which the partition's stream has to be read next.
    pub fn next_offset(&self) -> LogOffset {
        self.index.next_offset()
    }

    /// Returns the number of keys whose state the batcher keeps, including released ones that have
    /// not expired.
    pub fn keys(&self) -> usize {
        self.index.len()
    }

    /// Queues a record for appending and returns `None`. Returns a verdict at once instead if the
    /// records read so far decide a claim, or `Unavailable` if [`PENDING_MAX`] records are pending.
    pub fn submit(
        &mut self,
        now: Duration,
        ticket: Ticket,
        record: ClaimRecord,
    ) -> Option<Verdict> {
        if self.sent.len() + self.unsent.len() >= PENDING_MAX {
            return Some(Verdict::Unavailable);
        }
        if self.caught_up
            && let ClaimRecord::Claim(claim) = &record
            && let Some(verdict) = self.index.peek(claim)
        {
            return Some(verdict);
        }
        self.batch_opened_at.get_or_insert(now);
        self.unsent.push_back(PendingRecord {
            enqueued_at: now,
            record,
            ticket,
        });
        None
    }

    /// Returns up to [`BATCH_MAX`] records to append now; `None` if no batch is due, an append is
    /// running, or the stream has not been read to its tail.
    pub fn next_batch(&mut self, now: Duration) -> Option<Vec<ClaimRecord>> {
        let opened_at = self.batch_opened_at?;
        if self.append_in_flight || !self.caught_up {
            return None;
        }
        if now.saturating_sub(opened_at) < self.batch_window && self.unsent.len() < BATCH_MAX {
            return None;
        }
        let count = self.unsent.len().min(BATCH_MAX);
        let batch: Vec<PendingRecord> = self.unsent.drain(..count).collect();
        let records = batch.iter().map(|pending| pending.record.clone()).collect();
        self.sent.extend(batch);
        self.append_in_flight = true;
        self.batch_opened_at = (!self.unsent.is_empty()).then_some(now);
        Some(records)
    }

    /// Handles the end of an append. The effect of a failed append is unknown, so records that have
    /// not been read back are appended again.
    pub fn finish_append(&mut self, now: Duration, succeeded: bool) {
        self.append_in_flight = false;
        if succeeded || self.sent.is_empty() {
            return;
        }
        self.batch_opened_at = Some(now);
        for pending in self.sent.drain(..).rev() {
            self.unsent.push_front(pending);
        }
    }

    /// Skips the records before `start`, which the log has dropped; `first_time_ms` is the time of
    /// the first record that it still has.
    pub fn skip_to(&mut self, start: LogOffset, first_time_ms: u64) {
        self.index.skip_to(start, first_time_ms);
    }

    /// Goes on at the tail of a log that was restored, and appends the records again that have not
    /// been read back, since they may be lost.
    pub fn enter_era(&mut self, now: Duration, tail: LogOffset) {
        self.index.enter_era(tail);
        if !self.append_in_flight {
            self.finish_append(now, false);
        }
    }

    /// Returns true once the stream has been read to its tail, as reported by
    /// [`Self::set_caught_up`]; before that, nothing is appended.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Allows appends, because the stream has been read to its tail.
    pub fn set_caught_up(&mut self) {
        self.caught_up = true;
    }

    /// Applies a record read from the log and returns the answers to the submitted records of which
    /// it is a copy. `None` stands for a record that is not a claim record or cannot be decoded; it
    /// is skipped.
    pub fn read(
        &mut self,
        offset: LogOffset,
        time_ms: u64,
        record: Option<&ClaimRecord>,
    ) -> Result<SmallVec<[TicketAnswer; 1]>> {
        let mut answers = SmallVec::new();
        let Some(record) = record else {
            // The record is not a claim record, or cannot be decoded because a newer version of the
            // program may have written it. Only its offset is skipped.
            self.index.skip_to(offset + 1, 0);
            return Ok(answers);
        };
        let verdict = self.index.apply(offset, time_ms, record)?;
        let settles = |pending: &PendingRecord| {
            let same_kind =
                std::mem::discriminant(&pending.record) == std::mem::discriminant(record);
            same_kind
                && pending.record.key() == record.key()
                && pending.record.nonce() == record.nonce()
        };
        self.sent.retain(|pending| {
            if !settles(pending) {
                return true;
            }
            answers.push(TicketAnswer {
                ticket: pending.ticket,
                verdict: verdict.clone(),
            });
            false
        });
        Ok(answers)
    }

    /// Returns `Unavailable` as the answer to claims that have been pending for [`CLAIM_TIMEOUT`].
    /// Recorded answers and releases stay pending: they are valid whenever they reach the log.
    pub fn expire(&mut self, now: Duration) -> Vec<TicketAnswer> {
        let mut answers = Vec::new();
        let mut keep = |pending: &PendingRecord| {
            let is_claim = matches!(pending.record, ClaimRecord::Claim(_));
            if !is_claim || now.saturating_sub(pending.enqueued_at) < CLAIM_TIMEOUT {
                return true;
            }
            answers.push(TicketAnswer {
                ticket: pending.ticket,
                verdict: Verdict::Unavailable,
            });
            false
        };
        self.sent.retain(&mut keep);
        self.unsent.retain(&mut keep);
        answers
    }
}
