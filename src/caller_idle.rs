//! When a caller's connection that has no call in progress is closed.
//!
//! Connections are observed at intervals ([`ServingState::close_idle_callers`]) rather than timed one by
//! one, so that a call costs nothing here and an edit of the timeout also holds for connections that are
//! already open.

use super::*;

/// Time after which an idle connection of a caller is closed if the policy sets none. Callers reuse a
/// connection for less than the timeout, so that they send no request while it is being closed.
pub const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// State of a caller's connection when it is observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionActivity {
    /// Number of bytes read and written since the connection was accepted.
    pub bytes: u64,
    /// True if a call is in progress or its response has not been written in full.
    pub is_busy: bool,
}

/// How long a caller's connection has been idle.
#[derive(Debug, Clone, Copy, Default)]
pub struct IdleClock {
    bytes: u64,
    /// Time of the first observation since which nothing was read or written.
    idle_since: Option<Duration>,
}

impl IdleClock {
    /// Records what the connection does at time `now` and returns for how long at least it has been
    /// idle.
    pub fn observe(&mut self, now: Duration, activity: ConnectionActivity) -> Duration {
        if activity.is_busy || activity.bytes != self.bytes {
            self.bytes = activity.bytes;
            self.idle_since = None;
        }
        if activity.is_busy {
            return Duration::ZERO;
        }
        let idle_since = *self.idle_since.get_or_insert(now);
        now.saturating_sub(idle_since)
    }
}
