//! Limits that registered servers name, as the [`Fleet`] of one instance keeps them: which are in
//! force, what peers are told of them, and to which servers this instance sends meanwhile.

use super::*;

/// Maximum number of reports on servers' limits in one digest, about 30 bytes each.
pub const LIMITS_PER_DIGEST_MAX: usize = 24;

/// Longest retry delay sent to callers when the limits of the servers are used up. A caller that
/// comes back may reach an instance that has calls left.
const LIMIT_RETRY_AFTER_MAX: Duration = Duration::from_millis(1_000);

impl Fleet {
    /// Records what an answer to a call that was sent at `sent_at` says about its server's limit, in
    /// calls per second of all instances. Returns true if that changes the limit.
    pub fn record_limit(
        &mut self,
        now: Duration,
        id: &str,
        sent_at: Duration,
        per_s: Option<f64>,
    ) -> bool {
        let Some(server) = self.servers.get_mut(id) else {
            return false;
        };
        let changed = server.limit.record_answer(now, sent_at, per_s);
        if changed {
            self.rank_senders(now);
        }
        changed
    }

    /// Applies a peer's reports on limits. Returns those that changed a limit.
    pub fn merge_limits(&mut self, now: Duration, reports: Vec<LimitReport>) -> Vec<LimitReport> {
        let mut changes = Vec::new();
        for report in reports {
            let server = self.servers.get_mut(&report.server);
            if server.is_some_and(|server| server.limit.merge(&report)) {
                changes.push(report);
            }
        }
        if !changes.is_empty() {
            self.rank_senders(now);
        }
        changes
    }

    /// Ends the limit of a server until an answer names one again. Returns false if none is in
    /// force.
    pub fn release_limit(&mut self, now: Duration, id: &str) -> bool {
        let server = self.servers.get_mut(id);
        server.is_some_and(|server| server.limit.release(now))
    }

    /// Returns the reports on limits for the peers, at most [`LIMITS_PER_DIGEST_MAX`], which vary
    /// with `round`.
    pub fn limits_to_send(&self, now: Duration, round: u64) -> Vec<LimitReport> {
        let servers = self.servers.values();
        let mut reports: Vec<LimitReport> = servers
            .filter_map(|server| server.limit.report(now, &server.record.id))
            .collect();
        if reports.len() > LIMITS_PER_DIGEST_MAX {
            let first = (round as usize).wrapping_mul(LIMITS_PER_DIGEST_MAX) % reports.len();
            reports.rotate_left(first);
            reports.truncate(LIMITS_PER_DIGEST_MAX);
        }
        reports
    }

    /// Returns the limits in force, in the order of the servers' names.
    pub fn limits_in_force(&self, now: Duration) -> Vec<LimitInForce> {
        let mut limits = Vec::new();
        for server in self.servers.values() {
            let Some(per_s) = server.limit.per_s(now) else {
                continue;
            };
            limits.push(LimitInForce {
                age_s: server.limit.age(now).as_secs_f64(),
                per_s,
                server: server.record.id.clone(),
                share_per_s: server.limit.share_per_s(),
            });
        }
        limits
    }

    /// Sets the hashes of the names of this instance and of its active peers, among which the
    /// limits of servers are shared.
    pub fn set_instances(&mut self, now: Duration, own: u64, peers: Vec<u64>) {
        self.own_hash = own;
        self.peer_hashes = peers;
        self.rank_senders(now);
    }

    /// Determines anew to which servers with a limit this instance sends.
    fn rank_senders(&mut self, now: Duration) {
        for server in self.servers.values_mut() {
            if server.limit.per_s(now).is_none() {
                continue;
            }
            let seed = xxh3_64(server.record.id.as_bytes());
            let rank_of = |hash: u64| xxh3_64_with_seed(&hash.to_le_bytes(), seed);
            let own = rank_of(self.own_hash);
            let peers = self.peer_hashes.iter();
            let before = peers.filter(|hash| rank_of(**hash) < own).count();
            server
                .limit
                .set_rank(now, before, self.peer_hashes.len() + 1);
        }
    }

    /// Returns the time until this instance may send the call to a server whose limit is the only
    /// reason against it; `None` if there is no such server. Servers to which only other instances
    /// send count with [`LIMIT_RETRY_AFTER_MAX`].
    pub(crate) fn limit_wait(&self, now: Duration, query: &PlacementQuery<'_>) -> Option<Duration> {
        let mut shortest: Option<Duration> = None;
        for server in self.servers.values() {
            if server.limit.per_s(now).is_none() || !self.could_run(server, query) {
                continue;
            }
            let wait = server.limit.wait(now).unwrap_or(LIMIT_RETRY_AFTER_MAX);
            let wait = wait.min(LIMIT_RETRY_AFTER_MAX);
            shortest = Some(shortest.map_or(wait, |known| known.min(wait)));
        }
        shortest
    }
}
