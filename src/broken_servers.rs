//! Decides whether a server whose connections broke has ended.
//!
//! The load pattern that this is designed for: servers lose many answers by a reset of the
//! connection and go on serving, while others end with all that runs there. The end of a connection
//! looks the same in both. A server that has ended refuses connections until it starts again, which
//! takes seconds, and then registers with a later start time; one that has not goes on to accept
//! connections and to answer calls sent after the break. What proves neither counts as no end.

use super::*;

/// Delay between a break and the first check of its server, and between two checks. The first one
/// lets the answers to later calls arrive, which make a connection unnecessary.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Refused connections in a row after which a server counts as ended. A server that resets
/// connections beyond its maximum does so only for a moment.
const REFUSALS_TO_END: u32 = 2;

/// Time after a break after which its server is no longer checked: by then one that ended has
/// registered again or was removed from the registry.
pub const CHECK_TIME_MAX: Duration = Duration::from_secs(4);

/// Maximum number of reports that wait for the check of one server; a model server runs about a
/// hundred requests of all instances together.
const REPORTS_PER_SERVER_MAX: usize = 32;

/// What one check of a server showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckResult {
    /// It accepted a connection.
    Accepted,
    /// It has answered a call that was sent after the break.
    Answered,
    /// Its registration was removed, or says that it is leaving. Its connections end for that reason.
    Gone,
    /// No connection could be opened, and nothing refused it.
    NoAnswer,
    /// Its address refused a connection.
    Refused,
    /// A later process has registered under its name.
    Restarted,
}

impl CheckResult {
    /// Name in the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Answered => "answered",
            Self::Gone => "gone",
            Self::NoAnswer => "no-answer",
            Self::Refused => "refused",
            Self::Restarted => "restarted",
        }
    }
}

/// What follows from a check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CheckOutcome {
    /// The server has to be checked again.
    CheckAgain,
    /// The server has ended; these requests were running.
    Ended(Vec<BrokenRequest>),
    /// The server has not ended, or it cannot be told: this many requests broke off for other
    /// reasons.
    NotEnded(usize),
}

/// A request that broke off with its connection, and the report that is made if its server has
/// ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenRequest {
    /// Report with the time of the break.
    pub report: CrashReport,
    /// Caller's id of the request.
    pub request: RequestId,
}

#[derive(Debug)]
struct Pending {
    began_at: Duration,
    refusals: u32,
    requests: Vec<BrokenRequest>,
}

/// Servers whose connections broke and that are being checked.
#[derive(Debug, Default)]
pub struct BrokenServers {
    by_server: BTreeMap<ServerName, Pending>,
}

impl BrokenServers {
    /// Adds a request that broke off. Returns true if the caller has to begin the checks of its
    /// server.
    pub fn add(&mut self, now: Duration, server: &ServerName, request: BrokenRequest) -> bool {
        let is_new = !self.by_server.contains_key(server);
        let pending = self.by_server.entry(server.clone()).or_insert(Pending {
            began_at: now,
            refusals: 0,
            requests: Vec::new(),
        });
        if pending.requests.len() < REPORTS_PER_SERVER_MAX {
            pending.requests.push(request);
        }
        is_new
    }

    /// Returns the time of the last break at a server that is being checked.
    pub fn last_break_at(&self, server: &str) -> Option<Duration> {
        let requests = &self.by_server.get(server)?.requests;
        requests.iter().map(|request| request.report.at).max()
    }

    /// Applies the result of a check that began at `checked_at`. A connection that was accepted
    /// proves nothing about breaks after the check began.
    pub fn apply(
        &mut self,
        checked_at: Duration,
        server: &str,
        result: CheckResult,
    ) -> CheckOutcome {
        let Some(pending) = self.by_server.get_mut(server) else {
            return CheckOutcome::NotEnded(0);
        };
        let is_last = checked_at.saturating_sub(pending.began_at) >= CHECK_TIME_MAX;
        let has_ended = match result {
            CheckResult::Refused => {
                pending.refusals += 1;
                pending.refusals >= REFUSALS_TO_END
            }
            CheckResult::Restarted => true,
            CheckResult::Accepted | CheckResult::Answered => {
                pending.refusals = 0;
                let count = pending.requests.len();
                pending
                    .requests
                    .retain(|request| request.report.at > checked_at);
                let dropped = count - pending.requests.len();
                if !pending.requests.is_empty() && !is_last {
                    return CheckOutcome::CheckAgain;
                }
                self.by_server.remove(server);
                return CheckOutcome::NotEnded(dropped);
            }
            CheckResult::Gone => false,
            CheckResult::NoAnswer if !is_last => return CheckOutcome::CheckAgain,
            CheckResult::NoAnswer => false,
        };
        if result == CheckResult::Refused && !has_ended && !is_last {
            return CheckOutcome::CheckAgain;
        }
        let requests = self
            .by_server
            .remove(server)
            .map(|pending| pending.requests);
        let requests = requests.unwrap_or_default();
        match has_ended {
            true => CheckOutcome::Ended(requests),
            false => CheckOutcome::NotEnded(requests.len()),
        }
    }
}
