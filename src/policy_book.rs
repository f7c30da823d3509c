//! The policy in force at one instance, and the proof of how fresh it is.
//!
//! A revoked key binds every instance, also one that is cut off. So calls with a key are served
//! only while a read of the log, or a peer's word about its own read, shows that no newer policy
//! was accepted up to a short while ago. All ages are counted on the clock that runs while the
//! machine is suspended, from the start of the read.

use super::*;

/// The policy in force and the time up to which it is known to be the newest.
#[derive(Debug, Default)]
pub struct PolicyBook {
    fresh_at: Option<Duration>,
    in_force: Option<Arc<Policy>>,
}

impl PolicyBook {
    /// Takes a policy. Returns false for one that is not newer than the policy in force.
    pub fn offer(&mut self, policy: Arc<Policy>) -> bool {
        if let Some(known) = &self.in_force
            && policy.version <= known.version
            && !is_disabled(Safeguard::VersionMonotone)
        {
            return false;
        }
        self.in_force = Some(policy);
        true
    }

    /// Records that a read which began at `began_at` saw the end of the log.
    pub fn prove(&mut self, began_at: Duration) {
        self.fresh_at = self.fresh_at.max(Some(began_at));
    }

    /// Records a peer's proof: its policy has the same version as ours and was the newest at
    /// `fresh_at` on our clock.
    pub fn prove_by_peer(&mut self, version: PolicyVersion, fresh_at: Duration) -> bool {
        let Some(known) = &self.in_force else {
            return false;
        };
        if known.version != version {
            return false;
        }
        self.fresh_at = self.fresh_at.max(Some(fresh_at));
        true
    }

    /// Policy in force.
    pub fn in_force(&self) -> Option<&Arc<Policy>> {
        self.in_force.as_ref()
    }

    /// Time since the policy was last proved to be the newest; `None` without a proof.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.fresh_at.map(|fresh_at| now.saturating_sub(fresh_at))
    }

    /// The policy in force, if it was the newest at most `age_max` ago.
    pub fn fresh(&self, now: Duration, age_max: Duration) -> Result<Arc<Policy>> {
        let Some(policy) = &self.in_force else {
            return Err(Error::TableMissing);
        };
        match self.age(now) {
            Some(age) if age <= age_max => Ok(policy.clone()),
            age => Err(Error::TableStale {
                age_ms: age.unwrap_or(now).as_millis() as u64,
            }),
        }
    }
}
