//! The lease on the duties that one instance has at a time, kept in a topic of the log.
//!
//! Every record of the topic is appended on the condition that the topic ends where the writer
//! believes. So whoever missed a record cannot append, and the offset with which a tenure began
//! is its fencing number: it only grows. A holder counts its lease from the start of its last
//! append; the others count from when they read that record, which is later. All use the clock
//! that runs while a machine is suspended.

use super::*;

/// Duration of a lease: a few renewals may fail before it lapses.
pub const LEASE: Duration = Duration::from_millis(5_000);

/// Time after which a holder renews.
const RENEW_AFTER: Duration = Duration::from_millis(1_500);

/// Time before the end of its lease at which a holder stops: covers a call on its way.
const HOLDER_MARGIN: Duration = Duration::from_millis(1_200);

/// Time beyond the lease that others wait.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(300);

/// Longest wait of one read of the topic.
const READ_WAIT_MAX: Duration = Duration::from_secs(3);

/// What the lease asks for next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStep {
    /// Append a lease record if the topic ends at this offset.
    Append {
        /// End of the topic as known.
        at: LogOffset,
    },
    /// Read the newest records and the end of the topic.
    Newest,
    /// Read records from an offset on.
    Read {
        /// First offset.
        from: LogOffset,
        /// Time to wait for a record.
        wait: Duration,
    },
}

/// Whose the newest lease record is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseHolder {
    /// There is none.
    Nobody,
    /// Another instance's, or one of an earlier life of this instance.
    Other,
    /// This instance's.
    Own,
}

#[derive(Debug, Clone, Copy)]
struct Tenure {
    fence: LogOffset,
    /// Start of the append that renewed the lease last.
    renewed_at: Duration,
}

/// What one instance knows of the lease.
#[derive(Debug, Default)]
pub struct Lease {
    /// End of the topic; `None` if it has to be read anew.
    end: Option<LogOffset>,
    /// When the last record of another holder was read.
    other_seen_at: Option<Duration>,
    tenure: Option<Tenure>,
}

impl Lease {
    /// What to do next.
    pub fn next(&self, now: Duration) -> LeaseStep {
        let Some(end) = self.end else {
            return LeaseStep::Newest;
        };
        if let Some(tenure) = &self.tenure {
            let renew_at = tenure.renewed_at + RENEW_AFTER;
            if now >= renew_at {
                return LeaseStep::Append { at: end };
            }
            return LeaseStep::Read {
                from: end,
                wait: renew_at - now,
            };
        }
        let free_at = self
            .other_seen_at
            .map_or(Duration::ZERO, |seen_at| seen_at + LEASE + TAKEOVER_MARGIN);
        if now >= free_at {
            return LeaseStep::Append { at: end };
        }
        LeaseStep::Read {
            from: end,
            wait: (free_at - now).min(READ_WAIT_MAX),
        }
    }

    /// Takes the state of the topic: its end, and whose the newest lease record is.
    pub fn take_newest(&mut self, now: Duration, end: LogOffset, holder: LeaseHolder) {
        self.end = Some(end);
        match holder {
            LeaseHolder::Nobody => self.tenure = None,
            // A renewal whose answer was lost; it counts from its own start at the latest.
            LeaseHolder::Own => {}
            LeaseHolder::Other => {
                self.tenure = None;
                self.other_seen_at = Some(now);
            }
        }
    }

    /// Takes a record read from the topic. Records of others end a tenure.
    pub fn take_record(&mut self, now: Duration, offset: LogOffset, is_own: bool) {
        self.end = self.end.map(|end| end.max(offset + 1));
        if is_own {
            return;
        }
        self.tenure = None;
        self.other_seen_at = Some(now);
    }

    /// Takes the end of an append of any record by this instance.
    pub fn take_append(&mut self, began_at: Duration, appended: AppendEnd, is_lease: bool) {
        match appended {
            AppendEnd::Moved(_) => {
                // Records were missed: what they are has to be read before anything else.
                self.end = None;
            }
            AppendEnd::Appended(offset) => {
                self.end = Some(offset + 1);
                if !is_lease {
                    return;
                }
                match &mut self.tenure {
                    Some(tenure) => tenure.renewed_at = began_at,
                    None => {
                        self.tenure = Some(Tenure {
                            fence: offset,
                            renewed_at: began_at,
                        });
                    }
                }
            }
        }
    }

    /// An append's answer was lost: it may stand or come to stand. The end has to be read anew.
    pub fn lose_append(&mut self) {
        self.end = None;
    }

    /// Fencing number, while this instance holds the lease for long enough to act.
    pub fn fence(&self, now: Duration) -> Option<LogOffset> {
        let tenure = self.tenure.as_ref()?;
        let until = tenure.renewed_at + LEASE - HOLDER_MARGIN;
        (now < until).then_some(tenure.fence)
    }

    /// End of the topic as known.
    pub fn end(&self) -> Option<LogOffset> {
        self.end
    }
}
