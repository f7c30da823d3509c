//! Verdict on the new version of a service.

use super::*;

/// Fewest answers of the new side for the verdict that a version is good.
pub const GOOD_ANSWERS_MIN: u32 = 30;

/// Verdict on the new version of a service, from the answers so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutVerdict {
    /// The version is worse than the old one.
    Bad {
        /// What is worse, with the counts, for the log and the status.
        reason: SmolStr,
        /// Route on which it is worse; `None` if over all routes.
        route: Option<SmolStr>,
    },
    /// The version is shown to be about as good as the old one.
    Good,
    /// The answers so far show neither.
    Open,
}

/// Judges the new version by the answers of all instances. [`RolloutTally::mark`] is called before.
pub fn judge(tally: &RolloutTally) -> RolloutVerdict {
    let answers: u32 = tally.sums().values().map(|counts| counts.new.answers).sum();
    if answers < GOOD_ANSWERS_MIN {
        return RolloutVerdict::Open;
    }
    RolloutVerdict::Good
}
