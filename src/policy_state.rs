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
//!
//! The newest version in the log may be one that this program cannot decode. The policy in force is
//! then known to be out of date, and no call is served by it.

use super::*;

/// Decides whether an instance may still serve calls by the policy that it has.
#[derive(Debug, Default)]
pub struct PolicyState {
    confirmed_at: Option<Duration>,
    in_force: Option<Arc<Policy>>,
    /// True once this instance has had the newest version that its peers are known to have.
    is_settled: bool,
    /// Version that the log held when it was last read; `None` before that, after a restore or a
    /// removal, and while it is unreadable.
    log_version: Option<PolicyVersion>,
    /// Newest version that a peer has named.
    peer_version: PolicyVersion,
    /// Lowest version that the newest unreadable policy can have; 0 if there was none.
    unreadable_version: PolicyVersion,
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

    /// Records that the log holds a policy that cannot be decoded. Without its version, it counts as
    /// newer than the one that the log held before.
    pub fn record_unreadable(&mut self, version: Option<PolicyVersion>) {
        let lowest = self.log_version.map_or(0, |held| held.saturating_add(1));
        self.record_unreadable_version(version.unwrap_or(lowest));
        self.log_version = version;
    }

    /// Records that there is a policy with this version, or a newer one, that cannot be decoded.
    pub fn record_unreadable_version(&mut self, version: PolicyVersion) {
        self.unreadable_version = self.unreadable_version.max(version);
    }

    /// Records that a read of the log that started at `began_at` reached its end, so that the
    /// policy in force was the newest at that time. Has no effect if there is none, if the log holds
    /// none or an older one because it was restored, if it holds one that cannot be decoded, or if a
    /// peer has a newer one.
    pub fn confirm_newest(&mut self, began_at: Duration) {
        let Some(policy) = &self.in_force else {
            return;
        };
        if self.log_version >= Some(policy.version) && !self.is_behind() {
            self.confirmed_at = self.confirmed_at.max(Some(began_at));
        }
    }

    /// Records that the log was restored from an older copy, so that the version that it holds is
    /// not known until it is read again.
    pub fn mark_restored(&mut self) {
        self.log_version = None;
    }

    /// Records that the log no longer holds a policy. The one in force stays, but is not confirmed.
    pub fn record_removed(&mut self) {
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

    /// Returns true if there is a newer version than the one in force, which a peer has or which
    /// cannot be decoded.
    pub fn is_behind(&self) -> bool {
        self.version_in_force() < self.peer_version || self.is_superseded()
    }

    /// Returns the version in force; 0 until the first has been read.
    pub fn version_in_force(&self) -> PolicyVersion {
        self.in_force.as_ref().map_or(0, |policy| policy.version)
    }

    /// Returns the newest version that this instance has found in the log or at a peer that serves a
    /// copy of it, also if it cannot be decoded. If its version cannot be decoded either, the result
    /// may be lower, but is higher than that of the policy before.
    pub fn newest_version(&self) -> PolicyVersion {
        self.version_in_force().max(self.unreadable_version)
    }

    /// Returns true if a newer version than the one in force cannot be decoded.
    fn is_superseded(&self) -> bool {
        self.version_in_force() < self.unreadable_version
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

    /// Returns the time since the policy was last known to be the newest; `None` if it never was, or
    /// if a newer one cannot be decoded.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at
            .filter(|_| !self.is_superseded())
            .map(|confirmed_at| now.saturating_sub(confirmed_at))
    }

    /// Returns the policy in force if it was known to be the newest at most `age_max` ago. The
    /// error is `TableMissing` if the instance has no policy yet, `PolicyUnreadable` if there is a
    /// newer one that cannot be decoded, and `TableStale` if the policy is older than that or peers
    /// may have a newer one.
    pub fn fresh(&self, now: Duration, age_max: Duration) -> Result<Arc<Policy>> {
        let Some(policy) = &self.in_force else {
            return Err(Error::TableMissing);
        };
        if self.is_superseded() {
            return Err(Error::PolicyUnreadable {
                in_force: policy.version,
                version: self.unreadable_version,
            });
        }
        match self.age(now) {
            Some(age) if age <= age_max && self.is_settled => Ok(policy.clone()),
            age => Err(Error::TableStale {
                age_ms: age.unwrap_or(now).as_millis() as u64,
            }),
        }
    }
}
