//! Detects requests whose content (all messages of a model request) crashes the backend servers
//! that run it, and refuses them.
//!
//! The content of every model request that was running on a server when its connection broke
//! becomes a suspect, with that server as evidence; a server that is only silent is no evidence. Content with evidence from two servers is
//! quarantined. An instance does not run two suspects on the same server at the same time, so that
//! a second crash identifies the content that caused it. Operators can list the quarantined
//! contents and release them, so that their requests are accepted again.

use super::*;

/// Distinct servers that must have broken while they ran a content before it is quarantined.
pub const SERVERS_TO_QUARANTINE: usize = 2;

/// Maximum number of suspects; when it is reached, the older half is dropped.
const SUSPECTS_MAX: usize = 4_096;

/// Time after its last crash at which a suspect, quarantined or not, expires. It is removed when
/// the next crash of any content is recorded.
const SUSPECT_TTL: Duration = Duration::from_secs(3_600);

#[derive(Debug, Clone)]
struct Suspect {
    account: AccountName,
    seen_at: Duration,
    servers: SmallVec<[ServerName; 2]>,
}

/// Entry of the list of quarantined contents that operators get.
#[derive(Debug, Clone, Serialize)]
pub struct QuarantineEntry {
    /// Account whose request with this content was running at the first crash recorded for the
    /// content.
    pub account: AccountName,
    /// Hash of the content as 16 hexadecimal digits, by which an operator names the content to
    /// release it.
    pub content_hash: String,
    /// Distinct servers whose connections broke while they ran the content, at least
    /// [`SERVERS_TO_QUARANTINE`], in the order in which the crashes were recorded.
    pub servers: Vec<ServerName>,
}

/// Suspects, including the quarantined ones, by the hash of their content, with the crashes that
/// this and other instances have seen.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<u64, Suspect>,
}

impl Quarantine {
    /// Records that the connection to `server` broke while it ran the content, as seen by this or
    /// another instance. Returns true if no crash of that server was recorded for the content
    /// before.
    pub fn record_crash(
        &mut self,
        now: Duration,
        content_hash: u64,
        account: &AccountName,
        server: &ServerName,
    ) -> bool {
        self.expire(now);
        let suspect = self
            .suspects
            .entry(content_hash)
            .or_insert_with(|| Suspect {
                account: account.clone(),
                seen_at: now,
                servers: SmallVec::new(),
            });
        suspect.seen_at = now;
        if suspect.servers.contains(server) {
            return false;
        }
        suspect.servers.push(server.clone());
        true
    }

    /// Returns true if [`SERVERS_TO_QUARANTINE`] distinct servers broke while they ran the content,
    /// so that its requests are refused.
    pub fn is_quarantined(&self, content_hash: u64) -> bool {
        match self.suspects.get(&content_hash) {
            Some(_) if is_disabled(Safeguard::Quarantine) => false,
            Some(suspect) => suspect.servers.len() >= SERVERS_TO_QUARANTINE,
            None => false,
        }
    }

    /// Returns true if the content was running on any server that broke, whether or not it is
    /// quarantined.
    pub fn is_suspect(&self, content_hash: u64) -> bool {
        self.suspects.contains_key(&content_hash)
    }

    /// Lists the quarantined contents in the order of their hashes, without the other suspects.
    pub fn list(&self) -> Vec<QuarantineEntry> {
        let mut entries = Vec::new();
        for (content_hash, suspect) in &self.suspects {
            if suspect.servers.len() < SERVERS_TO_QUARANTINE {
                continue;
            }
            entries.push(QuarantineEntry {
                account: suspect.account.clone(),
                content_hash: format!("{content_hash:016x}"),
                servers: suspect.servers.to_vec(),
            });
        }
        entries.sort_by(|a, b| a.content_hash.cmp(&b.content_hash));
        entries
    }

    /// Releases a content at an operator's request and forgets its evidence. Returns false if it
    /// was not a suspect.
    pub fn release(&mut self, content_hash: u64) -> bool {
        self.suspects.remove(&content_hash).is_some()
    }

    fn expire(&mut self, now: Duration) {
        let fresh = |seen_at: Duration| now.saturating_sub(seen_at) < SUSPECT_TTL;
        self.suspects.retain(|_, suspect| fresh(suspect.seen_at));
        if self.suspects.len() < SUSPECTS_MAX {
            return;
        }
        let mut times: Vec<Duration> = self.suspects.values().map(|s| s.seen_at).collect();
        let (_, median, _) = times.select_nth_unstable(SUSPECTS_MAX / 2);
        let median = *median;
        self.suspects.retain(|_, suspect| suspect.seen_at > median);
    }
}
