//! Claims of one partition (a share of all idempotency keys, with its own log stream), built by
//! applying the records of its stream in log order. A claim reserves an idempotency key for one
//! call; the instance that wrote it is its holder.
//!
//! The claim with the lowest offset wins its key until it is released. Every reader of the same
//! records reaches the same verdicts, so any instance may read a partition and answer for it.
//!
//! When the log is restored from an older copy, the newest claims are lost. From the first record of
//! the new era on, keys that may have been claimed before are not granted, by any reader.

use super::*;

/// Maximum time by which a key's timestamp may be ahead of the log's time, for callers whose clock
/// is fast.
pub const KEY_SKEW_MAX: Duration = Duration::from_secs(600);

/// Maximum number of nonces of released claims that are kept for a key, so that a late copy of such
/// a claim is not granted; the oldest nonce is dropped first.
const RELEASES_MAX: usize = 8;

/// Hash of an account name and an idempotency key of its caller, as computed by [`key_hash`].
pub type KeyHash = u128;

/// Random number that identifies one attempt to claim a key, so that a record that is appended
/// twice takes effect once.
pub type ClaimNonce = u64;

/// A claim, as written by its holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// True if this program generated the key for the call, so that no other call has it.
    pub is_generated: bool,
    /// Hash of the call's method, path and body.
    pub body_hash: u64,
    /// Instance that wrote the claim; no other may send the call under it.
    pub holder: InstanceName,
    /// Hash of the account name and the idempotency key that the call claims.
    pub key: KeyHash,
    /// Timestamp of the key by the clock that generated it, in milliseconds since 1970.
    pub key_time_ms: u64,
    /// Number that distinguishes a repeated append of this claim from a claim of another call.
    pub nonce: ClaimNonce,
}

/// Answer of a backend server as it is kept in the log and replayed to later calls with the same
/// key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// Body of the answer; empty if `body_dropped` is true.
    pub body: Bytes,
    /// True if the body was too long to record.
    pub body_dropped: bool,
    /// Value of the content-type header; empty if the replay carries no such header.
    pub content_type: SmolStr,
    /// HTTP status code of the backend server's answer.
    pub status: u16,
}

/// Record of the log stream that holds the claims of one partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimRecord {
    /// Claims a key for one call; granted only if the key is free.
    Claim(Claim),
    /// Records the answer to the holder's call.
    Finished {
        /// Answer that calls with the same key and body receive from then on.
        answer: RecordedAnswer,
        /// Key whose call has been answered.
        key: KeyHash,
        /// Nonce of the holder's claim; the record has no effect if the key is held by a claim with
        /// another nonce.
        nonce: ClaimNonce,
    },
    /// Makes a key free again, because the holder has not sent the call and will not send it.
    Released {
        /// Key that later calls may claim again.
        key: KeyHash,
        /// Nonce of the holder's claim; a claim with this nonce that reaches the log later is not
        /// granted.
        nonce: ClaimNonce,
    },
}

impl ClaimRecord {
    /// Returns the key, which every kind of record carries.
    pub fn key(&self) -> KeyHash {
        match self {
            Self::Claim(claim) => claim.key,
            Self::Finished { key, .. } | Self::Released { key, .. } => *key,
        }
    }

    /// Returns the nonce of the claim itself, or of the claim that is finished or released.
    pub fn nonce(&self) -> ClaimNonce {
        match self {
            Self::Claim(claim) => claim.nonce,
            Self::Finished { nonce, .. } | Self::Released { nonce, .. } => *nonce,
        }
    }
}

/// Result of submitting a record, which follows from the record's position in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The key was claimed earlier and its answer is recorded.
    Finished(RecordedAnswer),
    /// The claim is granted: only its holder may send the call.
    Granted {
        /// Offset of the granted claim in its stream, which backend servers receive as the fencing
        /// token, by which they can reject a call with an older claim.
        offset: LogOffset,
    },
    /// The key's timestamp is too old or too far ahead of the log's time, or an earlier claim of
    /// the key may be among records that the log dropped before they were read.
    KeyAge,
    /// The key was claimed earlier by a call with a different method, path or body.
    OtherBody,
    /// The release or answer is in the log, or the claim was released before it reached the log.
    Recorded,
    /// The key was claimed earlier and no answer is recorded.
    Running {
        /// Instance that wrote the earlier claim and may have sent the call.
        holder: InstanceName,
    },
    /// The log did not confirm the record in time; the record may or may not be in the log.
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

/// State of each recently claimed key of one partition.
#[derive(Debug, Clone)]
pub struct ClaimIndex {
    /// Log time, in milliseconds since 1970, from which on the index has read every claim; 0 if no
    /// record was skipped.
    complete_since_ms: u64,
    /// Era of the last record.
    era: LogEra,
    keys: HashMap<KeyHash, KeyEntry>,
    next_offset: LogOffset,
    now_ms: u64,
    /// Keys in the order in which they were added, each with the log time in milliseconds after
    /// which it is checked for eviction.
    expiry_queue: VecDeque<(u64, KeyHash)>,
    window_ms: u64,
}

impl ClaimIndex {
    /// Creates an index that has read no record and grants claims only of keys whose timestamp is
    /// at most `window` old.
    pub fn new(window: Duration) -> Self {
        Self {
            complete_since_ms: 0,
            era: 0,
            keys: HashMap::new(),
            next_offset: 0,
            now_ms: 0,
            expiry_queue: VecDeque::new(),
            window_ms: window.as_millis() as u64,
        }
    }

    /// Goes on at the tail of a log that was restored and holds no record after the next one.
    pub fn enter_era(&mut self, tail: LogOffset) {
        self.next_offset = self.next_offset.max(tail);
    }

    /// Returns the offset of the next record to read, the only one of its era that [`Self::apply`]
    /// accepts.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns the number of keys that have not been evicted, including released ones.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns true before the first claim or release, and when all keys have been evicted.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Skips the records before `start`, which the log has dropped. Claims among them are unknown
    /// to the index. `first_time_ms` is the log's time of the first record that it still has.
    pub fn skip_to(&mut self, start: LogOffset, first_time_ms: u64) {
        if start <= self.next_offset {
            return;
        }
        self.next_offset = start;
        self.complete_since_ms = self.complete_since_ms.max(first_time_ms);
    }

    /// Applies one record and returns the verdict on it, or an invariant error if `offset` is not
    /// the next one. `time_ms` is the log's time of the append, in milliseconds since 1970.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        time_ms: u64,
        record: &ClaimRecord,
    ) -> Result<Verdict> {
        if era_of(offset) > self.era {
            // Claims between the end of the copy and this record may be lost.
            self.era = era_of(offset);
            self.next_offset = offset;
            self.complete_since_ms = self.complete_since_ms.max(time_ms);
        }
        if offset != self.next_offset {
            return Err(Error::Invariant {
                invariant: "claim records are folded in order without gaps",
            });
        }
        self.next_offset += 1;
        self.now_ms = self.now_ms.max(time_ms);
        self.evict_expired();
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

    /// Returns the verdict on a claim if it can be given without an append, because the records
    /// read so far show that another claim holds the key; `None` otherwise. A claimed key stays
    /// claimed unless its holder releases it.
    pub fn peek(&self, claim: &Claim) -> Option<Verdict> {
        let entry = self.keys.get(&claim.key)?;
        match entry.state {
            KeyState::Free => None,
            _ if entry.nonce == claim.nonce || is_disabled(Safeguard::FirstClaimWins) => None,
            _ => Some(entry.verdict_for_duplicate(claim)),
        }
    }

    fn apply_claim(&mut self, offset: LogOffset, claim: &Claim) -> Verdict {
        if !self.is_key_time_valid(claim) && !is_disabled(Safeguard::KeyWindow) {
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
                entry.reassign(offset, claim);
                Verdict::Granted { offset }
            }
            KeyState::Running if entry.nonce == claim.nonce => Verdict::Granted {
                offset: entry.offset,
            },
            _ if is_disabled(Safeguard::FirstClaimWins) => Verdict::Granted { offset },
            _ => entry.verdict_for_duplicate(claim),
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
        let expires_at_ms = self.now_ms + self.window_ms;
        let entry = self.keys.entry(key).or_insert_with(|| {
            self.expiry_queue.push_back((expires_at_ms, key));
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
        let expires_at_ms = claim.key_time_ms.max(self.now_ms) + self.window_ms;
        self.expiry_queue.push_back((expires_at_ms, claim.key));
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

    /// Returns true if the key's timestamp is neither too old nor too far ahead, and the index has
    /// every claim that the key can have. Such claims have log times of at least `key_time -
    /// KEY_SKEW_MAX`, so the index must be complete from then on, unless the key was generated for
    /// this claim.
    fn is_key_time_valid(&self, claim: &Claim) -> bool {
        let key_time_ms = claim.key_time_ms;
        let ahead_ms = KEY_SKEW_MAX.as_millis() as u64;
        let first_claim_ms = key_time_ms.saturating_sub(ahead_ms);
        let complete = claim.is_generated
            || self.complete_since_ms == 0
            || first_claim_ms >= self.complete_since_ms;
        let not_old = key_time_ms + self.window_ms >= self.now_ms;
        let not_ahead = key_time_ms <= self.now_ms + ahead_ms;
        complete && not_old && not_ahead
    }

    /// Evicts keys whose timestamp is too old for any further claim to be granted.
    fn evict_expired(&mut self) {
        while let Some((expires_at_ms, key)) = self.expiry_queue.front().copied() {
            if expires_at_ms >= self.now_ms {
                return;
            }
            self.expiry_queue.pop_front();
            let Some(entry) = self.keys.get(&key) else {
                continue;
            };
            let entry_expires_at_ms = entry.key_time_ms + self.window_ms;
            if entry_expires_at_ms < self.now_ms {
                self.keys.remove(&key);
            } else {
                self.expiry_queue
                    .push_back((self.now_ms + self.window_ms, key));
            }
        }
    }
}

impl KeyEntry {
    fn reassign(&mut self, offset: LogOffset, claim: &Claim) {
        self.body_hash = claim.body_hash;
        self.holder = claim.holder.clone();
        self.key_time_ms = claim.key_time_ms;
        self.nonce = claim.nonce;
        self.offset = offset;
        self.state = KeyState::Running;
    }

    fn verdict_for_duplicate(&self, claim: &Claim) -> Verdict {
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
