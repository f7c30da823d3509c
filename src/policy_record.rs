//! What a record of the operators' topic holds: the policy, which is their configuration of routes,
//! services and client accounts, or something else.

use super::*;

/// Decoded record of the operators' topic.
#[derive(Debug)]
pub enum PolicyRecord {
    /// A record that is not about the policy.
    Other,
    /// A version of the policy.
    Policy(Arc<Policy>),
    /// The removal of the policy.
    Removed,
    /// A version of the policy that this program cannot decode.
    Unreadable {
        /// Why it could not be decoded.
        error: Error,
        /// The version, if at least that could be decoded.
        version: Option<PolicyVersion>,
    },
}
