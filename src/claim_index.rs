//! The claims of one partition, folded from the log in its order.
//!
//! The first claim for a key wins, by offset. Every reader of the same records reaches the same
//! verdicts, so any instance may read a partition and answer for it.

use super::*;

/// A key may carry a time this far ahead of the log's time, for callers whose clock is fast.
pub const KEY_AHEAD_MAX: Duration = Duration::from_secs(600);

/// Releases remembered of one key.
const RELEASES_MAX: usize = 8;

/// Hash of an account and its key.
pub type KeyHash = u128;

/// Random number of one attempt to claim.
pub type ClaimNonce = u64;

/// A claim as its holder writes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Hash of method, path and body.
    pub body_hash: u64,
    /// Instance that alone may send the call.
    pub holder: InstanceName,
    /// What is claimed.
    pub key: KeyHash,
    /// Time that the key carries, by its maker's clock, in milliseconds since 1970.
    pub key_time_ms: u64,
    /// Number of this attempt to claim.
    pub nonce: ClaimNonce,
}

/// An answer as it is recorded.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// Body; empty if `body_dropped`.
    pub body: Bytes,
    /// True if the body was too long to be recorded.
    pub body_dropped: bool,
    /// Content type.
    pub content_type: SmolStr,
    /// Status code.
    pub status: u16,
}

/// A record of a claim stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimRecord {
    /// Claims a key.
    Claim(Claim),
    /// The holder has an answer.
    Finished {
        /// The answer.
        answer: RecordedAnswer,
        /// Key.
        key: KeyHash,
        /// The holder's claim.
        nonce: ClaimNonce,
    },
    /// The holder did not send the call and never will.
    Released {
        /// Key.
        key: KeyHash,
        /// The holder's claim.
        nonce: ClaimNonce,
    },
}

impl ClaimRecord {
    /// Key that the record is about.
    pub fn key(&self) -> KeyHash {
        match self {
            Self::Claim(claim) => claim.key,
            Self::Finished { key, .. } | Self::Released { key, .. } => *key,
        }
    }

    /// Claim that the record is about.
    pub fn nonce(&self) -> ClaimNonce {
        match self {
            Self::Claim(claim) => claim.nonce,
            Self::Finished { nonce, .. } | Self::Released { nonce, .. } => *nonce,
        }
    }
}

/// What the log's order says of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The key was claimed before and has its answer.
    Finished(RecordedAnswer),
    /// The claim holds; only its holder may send the call.
    Granted {
        /// Offset of the claim, which serves as fencing number.
        offset: LogOffset,
    },
    /// The key's time is outside the window.
    KeyAge,
    /// The key was claimed with another body.
    OtherBody,
    /// The release or answer is in the log.
    Recorded,
    /// The key was claimed before and has no answer.
    Running {
        /// Instance that holds the claim.
        holder: InstanceName,
    },
    /// The log could not order the record in time. Nothing is said of whether it is there.
    Unavailable,
}

#[derive(Debug, Clone)]
enum KeyState {
    Finished(RecordedAnswer),
    Free,
    Running,
}

#[derive(Debug, Clone)]
struct KeyEntry {
    body_hash: u64,
    holder: InstanceName,
    key_time_ms: u64,
    nonce: ClaimNonce,
    offset: LogOffset,
    released: SmallVec<[ClaimNonce; 1]>,
    state: KeyState,
}

/// Claims of one partition.
#[derive(Debug, Clone)]
pub struct ClaimIndex {
    /// All claims with a log time from here on have been read.
    complete_since_ms: u64,
    keys: HashMap<KeyHash, KeyEntry>,
    next_offset: LogOffset,
    now_ms: u64,
    /// Keys by the time at which they leave the window.
    by_age: VecDeque<(u64, KeyHash)>,
    window_ms: u64,
}

impl ClaimIndex {
    /// Creates an empty index that accepts keys up to `window` old.
    pub fn new(window: Duration) -> Self {
        Self {
            complete_since_ms: 0,
            keys: HashMap::new(),
            next_offset: 0,
            now_ms: 0,
            by_age: VecDeque::new(),
            window_ms: window.as_millis() as u64,
        }
    }

    /// Offset of the next record to read.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Number of keys held.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// True if no key is held.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Takes note that the log dropped the records before `start`, the first of which is left
    /// has `first_time_ms`: what was dropped unread is not known to the index.
    pub fn skip_to(&mut self, start: LogOffset, first_time_ms: u64) {
        if start <= self.next_offset {
            return;
        }
        self.next_offset = start;
        self.complete_since_ms = self.complete_since_ms.max(first_time_ms);
    }

    /// Folds one record and returns what the log's order says of it.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        time_ms: u64,
        record: &ClaimRecord,
    ) -> Result<Verdict> {
        if offset != self.next_offset {
            return Err(Error::Invariant {
                invariant: "claim records are folded in order without gaps",
            });
        }
        self.next_offset += 1;
        self.now_ms = self.now_ms.max(time_ms);
        self.drop_old();
        match record {
            ClaimRecord::Claim(claim) => Ok(self.apply_claim(offset, claim)),
            ClaimRecord::Finished { answer, key, nonce } => {
                self.apply_finished(*key, *nonce, answer);
                Ok(Verdict::Recorded)
            }
            ClaimRecord::Released { key, nonce } => {
                self.apply_released(*key, *nonce);
                Ok(Verdict::Recorded)
            }
        }
    }

    /// Answers a claim from what has been read, if that settles it without an append: keys that
    /// are claimed stay claimed unless their holder releases them.
    pub fn peek(&self, claim: &Claim) -> Option<Verdict> {
        let entry = self.keys.get(&claim.key)?;
        match entry.state {
            KeyState::Free => None,
            _ if entry.nonce == claim.nonce || is_disabled(Safeguard::FirstClaimWins) => None,
            _ => Some(entry.verdict_for_other(claim)),
        }
    }

    fn apply_claim(&mut self, offset: LogOffset, claim: &Claim) -> Verdict {
        if !self.is_key_time_valid(claim.key_time_ms) && !is_disabled(Safeguard::KeyWindow) {
            return Verdict::KeyAge;
        }
        let Some(entry) = self.keys.get_mut(&claim.key) else {
            self.insert(offset, claim);
            return Verdict::Granted { offset };
        };
        if entry.released.contains(&claim.nonce) {
            return Verdict::Recorded;
        }
        match entry.state {
            KeyState::Free => {
                entry.take(offset, claim);
                Verdict::Granted { offset }
            }
            KeyState::Running if entry.nonce == claim.nonce => Verdict::Granted {
                offset: entry.offset,
            },
            _ if is_disabled(Safeguard::FirstClaimWins) => Verdict::Granted { offset },
            _ => entry.verdict_for_other(claim),
        }
    }

    fn apply_finished(&mut self, key: KeyHash, nonce: ClaimNonce, answer: &RecordedAnswer) {
        let Some(entry) = self.keys.get_mut(&key) else {
            return;
        };
        if entry.nonce == nonce && matches!(entry.state, KeyState::Running) {
            entry.state = KeyState::Finished(answer.clone());
        }
    }

    fn apply_released(&mut self, key: KeyHash, nonce: ClaimNonce) {
        let leaves_ms = self.now_ms + self.window_ms;
        let entry = self.keys.entry(key).or_insert_with(|| {
            self.by_age.push_back((leaves_ms, key));
            KeyEntry {
                body_hash: 0,
                holder: InstanceName::default(),
                key_time_ms: self.now_ms,
                nonce,
                offset: 0,
                released: SmallVec::new(),
                state: KeyState::Free,
            }
        });
        if entry.released.len() >= RELEASES_MAX {
            entry.released.remove(0);
        }
        entry.released.push(nonce);
        if entry.nonce == nonce && matches!(entry.state, KeyState::Running) {
            entry.state = KeyState::Free;
        }
    }

    fn insert(&mut self, offset: LogOffset, claim: &Claim) {
        let leaves_ms = claim.key_time_ms.max(self.now_ms) + self.window_ms;
        self.by_age.push_back((leaves_ms, claim.key));
        let entry = KeyEntry {
            body_hash: claim.body_hash,
            holder: claim.holder.clone(),
            key_time_ms: claim.key_time_ms,
            nonce: claim.nonce,
            offset,
            released: SmallVec::new(),
            state: KeyState::Running,
        };
        self.keys.insert(claim.key, entry);
    }

    /// A key is accepted while its claims can all be in the index. Its claims have log times
    /// from `key_time - KEY_AHEAD_MAX` on, so the index must be complete since then.
    fn is_key_time_valid(&self, key_time_ms: u64) -> bool {
        let ahead_ms = KEY_AHEAD_MAX.as_millis() as u64;
        let first_claim_ms = key_time_ms.saturating_sub(ahead_ms);
        let complete = self.complete_since_ms == 0 || first_claim_ms >= self.complete_since_ms;
        let not_old = key_time_ms + self.window_ms >= self.now_ms;
        let not_ahead = key_time_ms <= self.now_ms + ahead_ms;
        complete && not_old && not_ahead
    }

    /// Drops keys that no later claim can be accepted for.
    fn drop_old(&mut self) {
        while let Some((leaves_ms, key)) = self.by_age.front().copied() {
            if leaves_ms >= self.now_ms {
                return;
            }
            self.by_age.pop_front();
            let Some(entry) = self.keys.get(&key) else {
                continue;
            };
            let entry_leaves_ms = entry.key_time_ms + self.window_ms;
            if entry_leaves_ms < self.now_ms {
                self.keys.remove(&key);
            } else {
                self.by_age.push_back((self.now_ms + self.window_ms, key));
            }
        }
    }
}

impl KeyEntry {
    fn take(&mut self, offset: LogOffset, claim: &Claim) {
        self.body_hash = claim.body_hash;
        self.holder = claim.holder.clone();
        self.key_time_ms = claim.key_time_ms;
        self.nonce = claim.nonce;
        self.offset = offset;
        self.state = KeyState::Running;
    }

    fn verdict_for_other(&self, claim: &Claim) -> Verdict {
        if self.body_hash != claim.body_hash {
            return Verdict::OtherBody;
        }
        match &self.state {
            KeyState::Finished(answer) => Verdict::Finished(answer.clone()),
            KeyState::Free | KeyState::Running => Verdict::Running {
                holder: self.holder.clone(),
            },
        }
    }
}
