//! Priorities of the calls that reach a service, which decide whose calls are rejected first while
//! the service lacks capacity.
//!
//! A call has the priority of its account or, if the account sets none, that of its route. A policy
//! computes the priorities of each service when a route or an account is added to it.

use super::*;

/// Priorities of the calls of a service, each with the shortest target latency of its routes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServicePriorities {
    targets: BTreeMap<u32, Duration>,
}

impl ServicePriorities {
    /// Adds calls of a priority whose route has the given target latency; zero for none.
    pub fn add(&mut self, priority: u32, target: Duration) {
        let shortest = self.targets.entry(priority).or_insert(target);
        if shortest.is_zero() || !target.is_zero() && target < *shortest {
            *shortest = target;
        }
    }

    /// Returns true if the calls of the service have different priorities.
    pub fn has_several(&self) -> bool {
        self.targets.len() > 1
    }

    /// Returns true if no call of the service is more urgent than those of this priority.
    pub fn is_most_urgent(&self, priority: u32) -> bool {
        let most_urgent = self.targets.keys().next();
        most_urgent.is_none_or(|most_urgent| priority <= *most_urgent)
    }

    /// Returns the shorter one of `target` and the targets of all more urgent calls except the most
    /// urgent ones, which are not limited by a target. A less urgent call is thus never accepted at
    /// a longer wait than a more urgent one.
    pub fn limited_target(&self, priority: u32, target: Duration) -> Duration {
        let more_urgent = self.targets.range(..priority).skip(1);
        let targets = more_urgent.map(|(_, target)| *target);
        let shortest = targets.filter(|target| !target.is_zero()).min();
        shortest.map_or(target, |shortest| shortest.min(target))
    }
}
