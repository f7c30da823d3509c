//! Report of a backend server that ended before it had answered a request in full.

use super::*;

/// Hash by which a part of a request is recognized: a part of a prompt, or the request as a whole.
pub type PartHash = u64;

/// Hash that identifies one crash: of the server's name and the start time of its process.
pub type CrashId = u64;

/// Parts of a request, sorted, any of which may be the cause of a crash.
pub type SuspectParts = SmallVec<[PartHash; 4]>;

/// A server's process ended while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashReport {
    /// Time of the crash by the clock of the instance that holds the report.
    pub at: Duration,
    /// The part that is the hash of the request as a whole, which only the same request of the same
    /// account has; 0 if none is.
    pub call: PartHash,
    /// Crash that the report is about; several requests may have been running.
    pub crash: CrashId,
    /// True if the head of the answer had arrived, so that the server had begun the request and was
    /// not past its start.
    pub has_begun: bool,
    /// Identifies the report, however many of its parts have been cleared.
    pub id: u64,
    /// Parts of the request that have not been cleared since; empty if another cause is likely.
    pub parts: SuspectParts,
    /// Time for which the request had been at the server.
    pub ran_for: Duration,
    /// Number of servers of the service that took calls, as the instance that saw the crash knew
    /// them; 0 if it did not say.
    pub servers: u32,
    /// Hash of the name of the server's service; 0 if the instance did not say.
    pub service: u64,
}

impl CrashReport {
    /// Creates the report of a request with `parts`, whose answer had begun. If one of them is the
    /// request as a whole, [`with_call`](Self::with_call) names it.
    pub fn new(at: Duration, crash: CrashId, mut parts: SuspectParts) -> Self {
        parts.sort_unstable();
        parts.dedup();
        let mut id = crash;
        for part in &parts {
            id = xxh3_64_with_seed(&part.to_le_bytes(), id);
        }
        Self {
            at,
            call: 0,
            crash,
            has_begun: true,
            id,
            parts,
            ran_for: Duration::ZERO,
            servers: 0,
            service: 0,
        }
    }

    /// Names the part that is the hash of the request as a whole.
    pub fn with_call(mut self, call: PartHash) -> Self {
        self.call = call;
        self
    }

    /// Sets whether the head of the answer had arrived.
    pub fn begun(mut self, has_begun: bool) -> Self {
        self.has_begun = has_begun;
        self
    }

    /// Sets the service of the server, by the hash of its name, and the number of its servers.
    pub fn at_service(mut self, service: u64, servers: u32) -> Self {
        self.service = service;
        self.servers = servers;
        self
    }

    /// Sets the time for which the request had been at the server.
    pub fn ran_for(mut self, ran_for: Duration) -> Self {
        self.ran_for = ran_for;
        self
    }

    /// Identifies the crash of the process of `server` that started at `created_ms`, in
    /// milliseconds since 1970.
    pub fn crash_id(server: &str, created_ms: u64) -> CrashId {
        xxh3_64_with_seed(server.as_bytes(), created_ms)
    }

    /// Converts the time from the clock of a peer whose digest was sent at `sent` and arrived at
    /// `now`.
    pub fn received(mut self, sent: Duration, now: Duration) -> Self {
        self.at = now.saturating_sub(sent.saturating_sub(self.at));
        self
    }

    /// Encodes the report for a digest that is sent at `now`: the time becomes an age.
    pub fn to_wire(&self, now: Duration) -> wire::CrashReport {
        wire::CrashReport {
            age_ms: now.saturating_sub(self.at).as_millis() as u32,
            call: self.call,
            crash: self.crash,
            has_begun: self.has_begun,
            id: self.id,
            parts: self.parts.to_vec(),
            ran_ms: self.ran_for.as_millis() as u32,
            servers: self.servers,
            service: self.service,
        }
    }

    /// Decodes a report from a digest that was sent at `sent`.
    pub fn from_wire(sent: Duration, wire: wire::CrashReport) -> Self {
        let age = Duration::from_millis(u64::from(wire.age_ms));
        let mut parts: SuspectParts = wire.parts.into_iter().take(PARTS_MAX).collect();
        parts.sort_unstable();
        Self {
            at: sent.saturating_sub(age),
            call: wire.call,
            crash: wire.crash,
            has_begun: wire.has_begun,
            id: wire.id,
            parts,
            ran_for: Duration::from_millis(u64::from(wire.ran_ms)),
            servers: wire.servers,
            service: wire.service,
        }
    }
}

/// Maximum number of parts of a report; of a longer prompt the last ones before its own are kept.
pub const PARTS_MAX: usize = 16;

/// Formats parts as comma-separated hashes in hexadecimal, by which operators name them.
pub fn format_parts(parts: &[PartHash]) -> String {
    let hashes: SmallVec<[String; 4]> = parts.iter().map(|part| format!("{part:016x}")).collect();
    hashes.join(",")
}
