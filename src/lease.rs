//! Lease on the duties that only one instance performs at a time, kept in a topic of the log. The
//! lease is the right to act for a limited time; its holder, the instance that has it, renews it.
//!
//! Every append to the topic is conditional on the end of the topic that the writer knows, so a
//! writer that has missed a record cannot append. The offset at which an instance acquired the
//! lease is its fencing token, which only grows and is sent with each call to the platform. The
//! holder counts the lease from the start of its last append; the others count it from when they
//! read that record, which is later. All use the clock that also advances while a machine is
//! suspended. The topic also contains the usage reports that the holder appends.
//!
//! When the log is restored from an older copy, the newest lease record may be lost, so that anyone
//! may hold the lease. A record of an earlier era therefore counts as one of another holder.

use super::*;

/// Duration of a lease after its last renewal. It allows for a few failed renewals before it
/// expires.
pub const LEASE_DURATION: Duration = Duration::from_millis(5_000);

/// Time from the start of the append that acquired or last renewed the lease to the next renewal.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time before the end of its lease at which a holder stops acting, so that a call to the platform
/// that is still under way ends within the lease.
const HOLDER_STOP_MARGIN: Duration = Duration::from_millis(1_200);

/// Time for which another instance waits after the end of a lease, as it counts it, before it tries
/// to acquire the lease itself.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(300);

/// Maximum time for which an instance without the lease waits for records in one read of the topic.
const READ_WAIT_MAX: Duration = Duration::from_secs(3);

/// Operation that the caller performs next on the lease's topic, passing its result to the method
/// that handles it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStep {
    /// Append a lease record if the topic ends at the given offset, to acquire or renew the lease.
    Append {
        /// Offset at which the topic has to end for the append to take effect: its end as this
        /// instance last knew it.
        at: LogOffset,
    },
    /// Read the newest record of each key and the end of the topic, because this instance does not
    /// know the end.
    Newest,
    /// Wait for records of other instances until the lease is to be renewed or can be taken over.
    Read {
        /// Offset of the first record to read, which is the known end of the topic.
        from: LogOffset,
        /// Time after which the read returns if there is no record.
        wait: Duration,
    },
}

/// Holder according to the newest lease record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseHolder {
    /// There is no lease record, or the newest one is of an earlier process of this instance.
    Nobody,
    /// Another instance, or one whose record may have been lost in a restore of the log. It may still
    /// act, so its lease is assumed to run for its full duration from now.
    Other,
    /// This process of this instance; the answer to the append of that record may have been lost.
    Own,
}

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    fencing_token: LogOffset,
    /// Time at which the append that acquired or last renewed the lease was started.
    renewed_at: Duration,
}

/// State of the lease as one instance knows it from its own appends and the records that it has
/// read.
#[derive(Debug, Default)]
pub struct Lease {
    /// Offset of the end of the topic; `None` if it has to be read, at first or again.
    end: Option<LogOffset>,
    /// Time at which this instance read the last record of another holder; `None` if it has read
    /// none.
    other_seen_at: Option<Duration>,
    held: Option<HeldLease>,
}

impl Lease {
    /// Returns the next operation: a read if the end of the topic is unknown, an append if the
    /// lease is to be renewed or can be taken over, and otherwise a wait for records.
    pub fn next_step(&self, now: Duration) -> LeaseStep {
        let Some(end) = self.end else {
            return LeaseStep::Newest;
        };
        if let Some(held) = &self.held {
            let renew_at = held.renewed_at + RENEW_INTERVAL;
            if now >= renew_at {
                return LeaseStep::Append { at: end };
            }
            return LeaseStep::Read {
                from: end,
                wait: renew_at - now,
            };
        }
        let available_at = self.other_seen_at.map_or(Duration::ZERO, |seen_at| {
            seen_at + LEASE_DURATION + TAKEOVER_MARGIN
        });
        if now >= available_at {
            return LeaseStep::Append { at: end };
        }
        LeaseStep::Read {
            from: end,
            wait: (available_at - now).min(READ_WAIT_MAX),
        }
    }

    /// Handles the result of [`LeaseStep::Newest`]: the end of the topic and the holder of the
    /// lease. Another holder ends the lease of this instance.
    pub fn observe_newest(&mut self, now: Duration, end: LogOffset, holder: LeaseHolder) {
        self.end = Some(end);
        match holder {
            LeaseHolder::Nobody => self.held = None,
            // The newest lease record was appended by this process, perhaps by an append whose
            // answer was lost. It does not extend the lease: `renewed_at` stays at the last
            // confirmed renewal, which is earlier and therefore safe.
            LeaseHolder::Own => {}
            LeaseHolder::Other => {
                self.held = None;
                self.other_seen_at = Some(now);
            }
        }
    }

    /// Handles a record read from the topic: a lease record or a usage report. A record of another
    /// holder ends the lease of this instance.
    pub fn observe_record(&mut self, now: Duration, offset: LogOffset, is_own: bool) {
        self.end = self.end.map(|end| end.max(offset + 1));
        if is_own {
            return;
        }
        self.held = None;
        self.other_seen_at = Some(now);
    }

    /// Handles the outcome of an append that this instance started at `began_at`. `is_lease` is
    /// true for a lease record, which acquires or renews the lease, and false for a usage report,
    /// which does not.
    pub fn observe_append(&mut self, began_at: Duration, outcome: AppendOutcome, is_lease: bool) {
        match outcome {
            AppendOutcome::EndMismatch(_) => {
                // This instance has missed records of others and has to read them first.
                self.end = None;
            }
            AppendOutcome::Appended(offset) => {
                self.end = Some(offset + 1);
                if !is_lease {
                    return;
                }
                match &mut self.held {
                    Some(held) => held.renewed_at = began_at,
                    None => {
                        self.held = Some(HeldLease {
                            fencing_token: offset,
                            renewed_at: began_at,
                        });
                    }
                }
            }
        }
    }

    /// Handles an append whose answer was lost. The append may have taken effect or may still do
    /// so, so the end of the topic has to be read again.
    pub fn mark_append_unknown(&mut self) {
        self.end = None;
    }

    /// Returns the fencing token if this instance holds the lease for at least 1.2 s more, and
    /// otherwise `None`; without it the instance must not act.
    pub fn fencing_token(&self, now: Duration) -> Option<LogOffset> {
        let held = self.held.as_ref()?;
        let until = held.renewed_at + LEASE_DURATION - HOLDER_STOP_MARGIN;
        (now < until).then_some(held.fencing_token)
    }

    /// Returns the end of the topic, at which the next append has to be made; `None` if the end has
    /// to be read first.
    pub fn end(&self) -> Option<LogOffset> {
        self.end
    }
}
