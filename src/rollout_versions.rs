//! Which servers of a service a call may be sent to while the service's version is rolled out.
//!
//! The fault pattern that this is designed for: servers of a new version, which may be bad, start
//! beside the old ones. A call is bound to one side before its server is chosen, so that a side
//! without a server that takes calls never passes them on to the other one.

use super::*;

/// Rule for the servers of one call, by their versions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum VersionRule {
    /// Servers of all versions, as without rollouts.
    #[default]
    Any,
    /// Servers of all versions but these.
    Except(SmallVec<[ServerVersion; 2]>),
    /// These servers, if they still run the version.
    Listed {
        /// Names of the servers.
        servers: Arc<[ServerName]>,
        /// Version that they ran when they were chosen.
        version: ServerVersion,
    },
    /// Servers of one version.
    Only(ServerVersion),
}

impl VersionRule {
    /// Returns true if the rule allows a server.
    pub fn allows(&self, record: &ServerRecord) -> bool {
        match self {
            Self::Any => true,
            Self::Except(versions) => !versions.contains(&record.version),
            Self::Listed { servers, version } => {
                record.version == *version && servers.contains(&record.id)
            }
            Self::Only(version) => record.version == *version,
        }
    }

    /// Returns true if a server that the rule allows may be assumed to have cached the shared parts
    /// of prompts. Listed servers get too few calls for that.
    pub fn allows_warm(&self, record: &ServerRecord) -> bool {
        !matches!(self, Self::Listed { .. }) && self.allows(record)
    }
}
