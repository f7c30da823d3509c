//! Reason for which a retry was denied.

use super::*;

/// Limit that denied a retry, with the values that were compared. Balances are in accepted
/// requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDenied {
    /// The balance of the client account does not cover the retry.
    Account {
        /// Balance before the retry.
        balance: i64,
        /// Cost of the retry.
        cost: i64,
    },
    /// The call was sent as often as its route allows.
    Attempts {
        /// Maximum number of times that the route lets a call be sent.
        attempts_max: u32,
        /// Times that the call was sent.
        sends: u32,
    },
    /// The balance of the instance does not cover the retry.
    Instance {
        /// Balance before the retry.
        balance: i64,
        /// Cost of the retry.
        cost: i64,
    },
    /// No other server is healthy.
    NoServer,
    /// The request has parts that crash servers.
    Quarantine,
    /// The route's calls may not be sent again once a server may have run them.
    Route,
    /// The balance of the service (or, where calls are counted by server, of the server) does not
    /// cover the retry.
    Service {
        /// Balance before the retry.
        balance: i64,
        /// Cost of the retry.
        cost: i64,
    },
}

impl RetryDenied {
    /// Name of the limit in logs and metrics.
    pub fn limit(self) -> &'static str {
        match self {
            Self::Account { .. } => "account",
            Self::Attempts { .. } => "attempts",
            Self::Instance { .. } => "instance",
            Self::NoServer => "servers",
            Self::Quarantine => "quarantine",
            Self::Route => "route",
            Self::Service { .. } => "service",
        }
    }
}

/// Writes the limit and its values as the fields of a log line.
impl fmt::Display for RetryDenied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "limit={}", self.limit())?;
        match *self {
            Self::Account { balance, cost }
            | Self::Instance { balance, cost }
            | Self::Service { balance, cost } => write!(f, " balance={balance} cost={cost}"),
            Self::Attempts {
                attempts_max,
                sends,
            } => write!(f, " sends={sends} attempts_max={attempts_max}"),
            Self::NoServer | Self::Quarantine | Self::Route => Ok(()),
        }
    }
}
