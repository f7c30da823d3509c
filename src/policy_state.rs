//! Policy in force at one instance, and the time at which it was last known to be the newest of
//! all. A policy is one version of the operators' configuration of routes, services and client
//! accounts; the one in force is the newest that the instance has, by which it serves calls.
//!
//! A revoked key must stop working at every instance, including one that is cut off. Calls with a
//! key are therefore served only while a read of the log, or a peer that has read it, shows that no
//! newer policy had been accepted until a short time ago. The age of a policy is the time since the
//! start of the last such read, by a clock that also advances while the machine is suspended.
//!
//! The log may be restored from an older copy. A read then shows that the policy is the newest only
//! if the log holds the newest version that any instance is known to have.

use super::*;

/// Decides whether an instance may still serve calls by the policy that it has.
#[derive(Debug, Default)]
pub struct PolicyState {
    confirmed_at: Option<Duration>,
    in_force: Option<Arc<Policy>>,
    /// True once this instance has had the newest version that its peers are known to have.
    is_settled: bool,
    /// Version that the log held when it was last read; `None` before that, and after a restore.
    log_version: Option<PolicyVersion>,
    /// Newest version that a peer has named.
    peer_version: PolicyVersion,
}

impl PolicyState {
    /// Puts a policy that the log holds in force. Returns false and keeps the one in force if the
    /// new one is not newer.
    pub fn update(&mut self, policy: Arc<Policy>) -> bool {
        self.log_version = Some(policy.version);
        self.adopt(policy)
    }

    /// Puts a policy that a peer has in force. Returns false and keeps the one in force if the new
    /// one is not newer.
    pub fn adopt(&mut self, policy: Arc<Policy>) -> bool {
        if let Some(current) = &self.in_force
            && policy.version <= current.version
            && !is_disabled(Safeguard::VersionMonotone)
        {
            return false;
        }
        self.in_force = Some(policy);
        true
    }

    /// Records that a read of the log that started at `began_at` reached its end, so that the
    /// policy in force was the newest at that time. Has no effect if the log was restored and holds
    /// an older one, or if a peer has a newer one.
    pub fn confirm_newest(&mut self, began_at: Duration) {
        let version = self.in_force.as_ref().map_or(0, |policy| policy.version);
        let log_has_newest = self.in_force.is_none() || self.log_version >= Some(version);
        if log_has_newest && !self.is_behind() {
            self.confirmed_at = self.confirmed_at.max(Some(began_at));
        }
    }

    /// Records that the log was restored from an older copy, so that the version that it holds is
    /// not known until it is read again.
    pub fn mark_restored(&mut self) {
        self.log_version = None;
    }

    /// Records the version that a peer has in force.
    pub fn record_peer_version(&mut self, version: PolicyVersion) {
        self.peer_version = self.peer_version.max(version);
    }

    /// Records that the peers have had time to tell which version they have. Until this has been
    /// called with none of them ahead, the policy is not fresh.
    pub fn settle(&mut self) {
        self.is_settled |= self.in_force.is_some() && !self.is_behind();
    }

    /// Returns true if a peer has a newer version than the one in force.
    pub fn is_behind(&self) -> bool {
        let version = self.in_force.as_ref().map_or(0, |policy| policy.version);
        version < self.peer_version
    }

    /// Records a peer's confirmation that the policy with this version was the newest one at
    /// `confirmed_at` by the clock of this instance. Returns false if that is not the version in
    /// force.
    pub fn confirm_by_peer(&mut self, version: PolicyVersion, confirmed_at: Duration) -> bool {
        let Some(current) = &self.in_force else {
            return false;
        };
        if current.version != version {
            return false;
        }
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
        true
    }

    /// Returns the policy in force, however old; `None` until the first has been read.
    pub fn in_force(&self) -> Option<&Arc<Policy>> {
        self.in_force.as_ref()
    }

    /// Returns the time since the policy was last known to be the newest; `None` if it never was.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at
            .map(|confirmed_at| now.saturating_sub(confirmed_at))
    }

    /// Returns the policy in force if it was known to be the newest at most `age_max` ago. The
    /// error is `TableMissing` if the instance has no policy yet, and `TableStale` if the policy is
    /// older than that or peers may have a newer one.
    pub fn fresh(&self, now: Duration, age_max: Duration) -> Result<Arc<Policy>> {
        let Some(policy) = &self.in_force else {
            return Err(Error::TableMissing);
        };
        match self.age(now) {
            Some(age) if age <= age_max && self.is_settled => Ok(policy.clone()),
            age => Err(Error::TableStale {
                age_ms: age.unwrap_or(now).as_millis() as u64,
            }),
        }
    }
}
