//! Settings of rollouts: how many calls may reach a version before it is known to be good.

use super::*;

/// Limits that the operators set for all rollouts of the deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutSettings {
    /// Maximum number of calls that reach a bad version, as a fraction of all calls of its service
    /// between the order and its deadline.
    pub exposure_share: f64,
    /// Number of calls that may reach a bad version in addition to `exposure_share`.
    pub exposure_slack: u32,
    /// Maximum time from the 50th bad answer of a version to the last call that is sent to it.
    pub rollback_time: Duration,
}
