//! Limit on the calls per second that a backend server takes from all instances together, as its
//! answers name it, and the part of it that this instance uses.
//!
//! The load pattern that this is designed for: many instances place calls on the same servers, and
//! each sees only its own. Nothing is counted across instances. A few of them, the same for all
//! that know each other, send to a server while its limit is in force, and share it equally; they
//! are those with the lowest hashes of their names and the server's. Their number grows with the
//! limit, so that the calls that each may have saved up do not exceed it together. A limit is in
//! force until an answer to a call that was sent under it names none.

use super::*;

/// Time after the last answer that named a limit, at any instance, at which the limit ends: nobody
/// sends there, so that its end could not be seen.
pub const LIMIT_TTL: Duration = Duration::from_secs(15);

/// Time for which an instance reports to its peers what an answer said about a limit.
const REPORT_TIME: Duration = Duration::from_secs(5);

/// Smallest limit that is kept, in calls per second, so that its end can be seen.
const LIMIT_MIN_PER_S: f64 = 0.2;

/// Instances that send to a server in addition to one for each call per second of its limit.
const EXTRA_SENDERS: usize = 2;

/// Part of a limit that is used. The rest covers instances that do not know all others yet, and so
/// may send in addition.
const USED_FRACTION: f64 = 0.9;

/// Calls that an instance may save up, in seconds of its share, beyond the one that it needs.
const SAVED_S: f64 = 0.5;

/// What an answer of a server said about its limit, as instances report it to each other.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitReport {
    /// Time at which the answer arrived, by the clock of the instance that holds the report.
    pub at: Duration,
    /// Calls per second; `None` if the answer named no limit.
    pub per_s: Option<f64>,
    /// Server that the answer came from.
    pub server: ServerName,
}

impl LimitReport {
    /// Converts the time from the clock of a peer whose digest was sent at `sent` and arrived at
    /// `now`.
    pub fn received(mut self, sent: Duration, now: Duration) -> Self {
        self.at = now.saturating_sub(sent.saturating_sub(self.at));
        self
    }

    /// Encodes the report for a digest that is sent at `now`: the time becomes an age.
    pub fn to_wire(&self, now: Duration) -> wire::LimitReport {
        wire::LimitReport {
            age_ms: now.saturating_sub(self.at).as_millis() as u32,
            per_s: self.per_s,
            server: self.server.to_string(),
        }
    }

    /// Decodes a report from a digest that was sent at `sent`. A limit that is not a number is left
    /// out.
    pub fn from_wire(sent: Duration, wire: wire::LimitReport) -> Self {
        let age = Duration::from_millis(u64::from(wire.age_ms));
        Self {
            at: sent.saturating_sub(age),
            per_s: wire
                .per_s
                .filter(|limit| limit.is_finite() && *limit >= 0.0),
            server: wire.server.into(),
        }
    }
}

/// Limit in force, as operators see it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LimitInForce {
    /// Time in seconds since an answer at any instance named it.
    pub age_s: f64,
    /// Calls per second, of all instances together.
    pub per_s: f64,
    /// Server that named it.
    pub server: ServerName,
    /// Part of it that this instance uses; 0 if other instances send to the server.
    pub share_per_s: f64,
}

/// State of one server's limit at this instance.
#[derive(Debug, Default)]
pub struct ServerLimit {
    /// Time at which the limit in force was first named.
    begun_at: Duration,
    filled_at: Duration,
    /// Time of the last answer to this instance.
    own_seen_at: Duration,
    /// Limit of the last answer, in calls per second; `None` if it named none.
    per_s: Option<f64>,
    /// Time of the last answer to any instance, as far as known.
    seen_at: Duration,
    share_per_s: f64,
    /// Calls that this instance may send at `filled_at`.
    tokens: f64,
}

impl ServerLimit {
    /// Records what an answer to a call that this instance sent at `sent_at` says about the limit.
    /// Returns true if that changes it.
    pub fn record_answer(&mut self, now: Duration, sent_at: Duration, per_s: Option<f64>) -> bool {
        // The server may have begun the answer before it needed a limit.
        if per_s.is_none() && self.per_s.is_some() && sent_at <= self.begun_at {
            return false;
        }
        self.own_seen_at = now;
        self.set(now, per_s)
    }

    /// Applies a peer's report, if it is newer than what is known. Returns true if that changes the
    /// limit.
    pub fn merge(&mut self, report: &LimitReport) -> bool {
        report.at > self.seen_at && self.set(report.at, report.per_s)
    }

    /// Ends the limit until an answer names one again. Returns false if none is in force.
    pub fn release(&mut self, now: Duration) -> bool {
        self.own_seen_at = now;
        self.set(now, None)
    }

    /// Sets the number of instances before this one in the order of those that send to the server,
    /// and their total number.
    pub fn set_rank(&mut self, now: Duration, rank: usize, instances: usize) {
        let Some(per_s) = self.per_s else {
            return;
        };
        let limit = per_s.max(LIMIT_MIN_PER_S);
        let senders = senders_max(limit).min(instances.max(1));
        self.refill(now);
        self.share_per_s = match rank < senders {
            true => limit * USED_FRACTION / senders as f64,
            false => 0.0,
        };
    }

    /// Limit in force, in calls per second.
    pub fn per_s(&self, now: Duration) -> Option<f64> {
        let is_current = now.saturating_sub(self.seen_at) < LIMIT_TTL;
        self.per_s.filter(|_| is_current)
    }

    /// Part of the limit that this instance uses, in calls per second.
    pub fn share_per_s(&self) -> f64 {
        self.share_per_s
    }

    /// Time since the last answer, at any instance, that told the limit.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.seen_at)
    }

    /// Time until this instance may send a call to the server: zero if it may now, `None` if it may
    /// not while the limit is in force.
    pub fn wait(&self, now: Duration) -> Option<Duration> {
        if self.per_s(now).is_none() {
            return Some(Duration::ZERO);
        }
        if self.share_per_s <= 0.0 {
            return None;
        }
        let lacking = (1.0 - self.tokens_at(now)).max(0.0);
        Some(Duration::from_secs_f64(lacking / self.share_per_s))
    }

    /// Counts a call that is sent to the server.
    pub fn take(&mut self, now: Duration) {
        if self.per_s.is_some() {
            self.refill(now);
            self.tokens -= 1.0;
        }
    }

    /// Returns the report for the peers, while the last answer to this instance is recent and told
    /// of a limit or of its end.
    pub fn report(&self, now: Duration, server: &ServerName) -> Option<LimitReport> {
        let is_recent = now.saturating_sub(self.own_seen_at) < REPORT_TIME;
        let was_named = self.begun_at > Duration::ZERO;
        (is_recent && was_named).then(|| LimitReport {
            at: self.own_seen_at,
            per_s: self.per_s,
            server: server.clone(),
        })
    }

    fn set(&mut self, at: Duration, per_s: Option<f64>) -> bool {
        let before = self.per_s(at);
        self.seen_at = self.seen_at.max(at);
        self.per_s = per_s;
        if before.is_none() && per_s.is_some() {
            self.begun_at = at;
            self.filled_at = at;
            self.share_per_s = 0.0;
            self.tokens = 0.0;
        }
        before != per_s
    }

    fn tokens_at(&self, now: Duration) -> f64 {
        let elapsed_s = now.saturating_sub(self.filled_at).as_secs_f64();
        let most = 1.0 + self.share_per_s * SAVED_S;
        (self.tokens + elapsed_s * self.share_per_s).min(most)
    }

    fn refill(&mut self, now: Duration) {
        self.tokens = self.tokens_at(now);
        self.filled_at = self.filled_at.max(now);
    }
}

/// Maximum number of instances that send to a server while its limit is in force.
pub fn senders_max(per_s: f64) -> usize {
    per_s as usize + EXTRA_SENDERS
}
