//! What registered servers have said about themselves in answers, as the [`Fleet`] of one instance
//! keeps it.

use super::*;

/// Maximum number of leaving servers that one digest names.
pub const LEAVING_PER_DIGEST_MAX: usize = 24;

/// Process of a server that is leaving, as instances tell each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingServer {
    /// Start time of the process in milliseconds since 1970.
    pub created_ms: u64,
    /// Name of the server.
    pub server: ServerName,
}

impl From<&LeavingServer> for wire::LeavingServer {
    fn from(leaving: &LeavingServer) -> Self {
        Self {
            created_ms: leaving.created_ms,
            server: leaving.server.to_string(),
        }
    }
}

impl From<wire::LeavingServer> for LeavingServer {
    fn from(wire: wire::LeavingServer) -> Self {
        Self {
            created_ms: wire.created_ms,
            server: wire.server.into(),
        }
    }
}

impl Fleet {
    /// Records that a server's answer says that it is leaving: it gets no new calls until it
    /// restarts. Returns true if that is new.
    pub fn record_leaving(&mut self, now: Duration, id: &str) -> bool {
        let server = self.servers.get_mut(id);
        server.is_some_and(|server| server.notice.record_leaving(now))
    }

    /// Applies a peer's news of leaving servers. Returns the names of those that are new.
    pub fn merge_leaving(&mut self, leaving: Vec<LeavingServer>) -> Vec<ServerName> {
        let mut changes = Vec::new();
        for leaving in leaving {
            let Some(server) = self.servers.get_mut(&leaving.server) else {
                continue;
            };
            let is_same = server.record.created_ms == leaving.created_ms;
            if is_same && server.notice.merge_leaving() {
                changes.push(leaving.server);
            }
        }
        changes
    }

    /// Returns the leaving servers that peers are to be told of, at most
    /// [`LEAVING_PER_DIGEST_MAX`], which vary with `round`.
    pub fn leaving_to_send(&self, now: Duration, round: u64) -> Vec<LeavingServer> {
        let mut news = Vec::new();
        for server in self.servers.values() {
            if server.notice.is_news(now) {
                news.push(LeavingServer {
                    created_ms: server.record.created_ms,
                    server: server.record.id.clone(),
                });
            }
        }
        if news.len() > LEAVING_PER_DIGEST_MAX {
            let first = (round as usize).wrapping_mul(LEAVING_PER_DIGEST_MAX) % news.len();
            news.rotate_left(first);
            news.truncate(LEAVING_PER_DIGEST_MAX);
        }
        news
    }

    /// Records that a server, which has refused a call, wants no calls from this instance for
    /// `pause`.
    pub fn record_pause(&mut self, now: Duration, id: &str, pause: Duration) {
        if let Some(server) = self.servers.get_mut(id) {
            server.notice.record_pause(now, pause);
        }
    }

    /// Forgets what a server has said about itself, at an operator's request. Returns false if there
    /// was nothing.
    pub fn release_notice(&mut self, now: Duration, id: &str) -> bool {
        let server = self.servers.get_mut(id);
        server.is_some_and(|server| server.notice.release(now))
    }

    /// Returns what servers have said about themselves, in the order of their names.
    pub fn notices_in_force(&self, now: Duration) -> Vec<NoticeInForce> {
        let mut notices = Vec::new();
        for server in self.servers.values() {
            let pause = server.notice.pause_left(now);
            if server.notice.is_leaving() || !pause.is_zero() {
                notices.push(NoticeInForce {
                    leaving: server.notice.is_leaving(),
                    pause_s: pause.as_secs_f64(),
                    server: server.record.id.clone(),
                });
            }
        }
        notices
    }

    /// Returns the time until the first server that could run the call takes calls again; `None` if
    /// one takes calls now, or none could run it.
    pub fn pause_wait(&self, now: Duration, query: &PlacementQuery<'_>) -> Option<Duration> {
        let mut shortest: Option<Duration> = None;
        for server in self.servers.values() {
            if !self.could_run(server, query) {
                continue;
            }
            let wait = server.notice.pause_left(now);
            shortest = Some(shortest.map_or(wait, |known| known.min(wait)));
        }
        shortest.filter(|wait| !wait.is_zero())
    }
}
