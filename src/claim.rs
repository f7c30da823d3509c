//! The holder's side of a call that may not be repeated: from its claim to its one dispatch.
//!
//! Only [`OnceCall::send`] permits a dispatch and only [`OnceCall::release`] permits the outcome
//! "not run"; a call never passes through both.

use super::*;

/// Stage of a call that may not be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnceStage {
    /// Its claim is on the way to the log.
    Claiming,
    /// Its claim holds; nothing was sent.
    Granted {
        /// Offset of the claim.
        offset: LogOffset,
    },
    /// Given up before anything was sent.
    Released,
    /// Sent; whether it ran is not known.
    Sent {
        /// Offset of the claim.
        offset: LogOffset,
    },
    /// Answered.
    Settled,
}

/// A call that may not be repeated, at the one instance that may send it.
#[derive(Debug)]
pub struct OnceCall {
    claim: Claim,
    stage: OnceStage,
}

impl OnceCall {
    /// Starts a call whose claim is to be appended.
    pub fn new(claim: Claim) -> Self {
        Self {
            claim,
            stage: OnceStage::Claiming,
        }
    }

    /// The claim.
    pub fn claim(&self) -> &Claim {
        &self.claim
    }

    /// Current stage.
    pub fn stage(&self) -> OnceStage {
        self.stage
    }

    /// Takes the log's grant. A grant that comes after the release changes nothing.
    pub fn grant(&mut self, offset: LogOffset) {
        if self.stage == OnceStage::Claiming {
            self.stage = OnceStage::Granted { offset };
        }
    }

    /// Permits the one dispatch; returns the fencing number.
    pub fn send(&mut self) -> Result<LogOffset> {
        match self.stage {
            OnceStage::Granted { offset } => {
                self.stage = OnceStage::Sent { offset };
                Ok(offset)
            }
            _ => Err(Error::Invariant {
                invariant: "a call that may not be repeated is sent once, under a granted claim",
            }),
        }
    }

    /// Takes back a dispatch whose connection was refused: no byte of it was sent.
    pub fn was_not_sent(&mut self) {
        if let OnceStage::Sent { offset } = self.stage {
            self.stage = OnceStage::Granted { offset };
        }
    }

    /// Gives the call up before anything was sent: it did not run and never will. Returns the
    /// record that frees the key.
    pub fn release(&mut self) -> Result<ClaimRecord> {
        match self.stage {
            OnceStage::Claiming | OnceStage::Granted { .. } => {
                self.stage = OnceStage::Released;
                Ok(ClaimRecord::Released {
                    key: self.claim.key,
                    nonce: self.claim.nonce,
                })
            }
            OnceStage::Released | OnceStage::Sent { .. } | OnceStage::Settled => {
                Err(Error::Invariant {
                    invariant: "not run is said only of a call that was never sent",
                })
            }
        }
    }

    /// Takes the backend server's answer. Returns the record that keeps it.
    pub fn settle(&mut self, answer: RecordedAnswer) -> Result<ClaimRecord> {
        match self.stage {
            OnceStage::Sent { .. } => {
                self.stage = OnceStage::Settled;
                Ok(ClaimRecord::Finished {
                    answer,
                    key: self.claim.key,
                    nonce: self.claim.nonce,
                })
            }
            _ => Err(Error::Invariant {
                invariant: "only a call that was sent has an answer",
            }),
        }
    }
}

/// Time that a UUID of version 7 carries, in milliseconds since 1970.
pub fn key_time_ms(key: &str) -> Result<u64> {
    let uuid = uuid::Uuid::try_parse(key).map_err(|_| Error::KeyFormat)?;
    if uuid.get_version_num() != 7 {
        return Err(Error::KeyFormat);
    }
    let (seconds, nanos) = uuid.get_timestamp().ok_or(Error::KeyFormat)?.to_unix();
    Ok(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}

/// Hash of an account and its key; keys of different accounts never meet.
pub fn key_hash(account: &AccountName, key: &str) -> KeyHash {
    let mut hasher = Sha256::new();
    hasher.update((account.len() as u64).to_le_bytes());
    hasher.update(account.as_bytes());
    hasher.update(key.to_ascii_lowercase().as_bytes());
    let digest = hasher.finalize();
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&digest[..16]);
    KeyHash::from_le_bytes(bytes)
}

/// Partition whose stream orders the claims of a key.
pub fn partition_of(key: KeyHash, partitions: u32) -> u32 {
    ((key >> 64) as u64 % u64::from(partitions.max(1))) as u32
}
