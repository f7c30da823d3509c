//! What a backend server has said about itself in its answers to calls: that it is leaving, and until
//! when it wants no calls from this instance.

use super::*;

/// Longest pause that is kept. A server that names a longer one gets a call again then.
pub const PAUSE_MAX: Duration = Duration::from_secs(3_600);

/// Time for which an instance tells its peers that a server is leaving. In this time it sends digests
/// to several hundred peers.
const REPORT_TIME: Duration = Duration::from_secs(6);

/// State of one process of a server; a restart of the server resets it.
#[derive(Debug, Default)]
pub struct ServerNotice {
    /// Time at which an answer to this instance first said that the server is leaving.
    left_at: Option<Duration>,
    is_leaving: bool,
    paused_until: Duration,
}

impl ServerNotice {
    /// Records that the server is leaving, as its answer to this instance says. Returns false if
    /// that was known.
    pub fn record_leaving(&mut self, now: Duration) -> bool {
        self.left_at.get_or_insert(now);
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Records that the server is leaving, as its answer to a peer says. Returns false if that was
    /// known.
    pub fn merge_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Records that the server wants no calls from this instance for `pause`, of which at most
    /// [`PAUSE_MAX`] is kept.
    pub fn record_pause(&mut self, now: Duration, pause: Duration) {
        self.paused_until = self.paused_until.max(now + pause.min(PAUSE_MAX));
    }

    /// Forgets what the server has said, at an operator's request. Returns false if there was
    /// nothing.
    pub fn release(&mut self, now: Duration) -> bool {
        let had_notice = self.is_leaving || !self.pause_left(now).is_zero();
        *self = Self::default();
        had_notice
    }

    /// Returns true if the server is leaving, which holds until it restarts.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns true if peers are to be told that the server is leaving.
    pub fn is_news(&self, now: Duration) -> bool {
        let left_at = self.left_at;
        left_at.is_some_and(|at| now.saturating_sub(at) < REPORT_TIME)
    }

    /// Time for which the server still wants no calls from this instance; zero if it takes them.
    pub fn pause_left(&self, now: Duration) -> Duration {
        self.paused_until.saturating_sub(now)
    }
}

/// What a server has said about itself, as operators see it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct NoticeInForce {
    /// True if it is leaving.
    pub leaving: bool,
    /// Seconds for which it still wants no calls from this instance; 0 if it takes them.
    pub pause_s: f64,
    /// Server that said it.
    pub server: ServerName,
}
