//! The holder's side of a call that may not be repeated: from its claim to its one dispatch.
//!
//! Events go in, what to do next comes out. A dispatch is asked for only under a granted claim
//! and only once; "not run" is said only where nothing was sent and nobody else can have sent it.
//!
//! The caller may have sent the same key before, to an instance that is slow or frozen. So a
//! grant that comes later than [`GRANT_TIMEOUT`] after the call was accepted is not used, and a
//! call that is given up keeps its claim for as long before it is released: whatever claims the
//! key after the release either was accepted after this call or is too late to be sent. Only
//! lengths of time are compared between instances, never their clocks.

use super::*;

/// Time from acceptance within which a claim has to be granted.
pub const GRANT_TIMEOUT: Duration = Duration::from_secs(3);

/// Margin for clocks that run at different rates.
const GRANT_MARGIN: Duration = Duration::from_millis(100);

/// Pause before another server is looked for.
const PLACE_PAUSE: Duration = Duration::from_millis(250);

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
    /// Another call holds the key; its answer is looked up.
    LookingUp,
    /// Given up before anything was sent; the release is on the way to the log.
    Releasing,
    /// Sent; whether it ran is not known.
    Sent {
        /// Offset of the claim.
        offset: LogOffset,
    },
    /// Its caller has been answered.
    Settled,
}

/// What happened to a call.
#[derive(Debug, Clone)]
pub enum OnceEvent {
    /// The backend server answered; the record is what is kept of it.
    Answered(RecordedAnswer),
    /// A backend server's own record of the key, if it has one.
    Found(Option<RecordedAnswer>),
    /// It was sent and its answer did not arrive whole.
    Lost(Error),
    /// No byte of it was sent, or the server refused it before it ran.
    NotSent,
    /// Another server was placed, or none was.
    Placed(Result),
    /// What the log says of its claim or of its release.
    Ordered(Verdict),
}

/// What a caller is told.
#[derive(Debug, Clone)]
pub enum OnceReply {
    /// The answer that just arrived.
    Answer,
    /// A refusal, a loss or a wait.
    Error(Error),
    /// The recorded answer of an earlier run under the same key.
    Replay(RecordedAnswer),
}

/// What to do next.
#[derive(Debug, Clone)]
pub enum OnceAction {
    /// Ask backend servers for their record of the key.
    LookUp,
    /// Place it on another server after a pause.
    Place {
        /// Length of the pause.
        pause: Duration,
    },
    /// Order the record that goes with this action and wait for the log's word.
    Release,
    /// Answer the caller; the call is over.
    Reply(OnceReply),
    /// Send it to the placed server.
    Send {
        /// The claim's offset.
        fencing: LogOffset,
    },
}

/// An action, and a record to append beside it.
#[derive(Debug, Clone)]
pub struct OnceStep {
    /// What to do next.
    pub action: OnceAction,
    /// Record to append; only a release is waited for.
    pub record: Option<ClaimRecord>,
}

/// A call that may not be repeated, at the one instance that may send it.
#[derive(Debug)]
pub struct OnceCall {
    accepted_at: Duration,
    claim: Claim,
    /// Why it was given up.
    given_up: Option<Error>,
    /// True if this instance made the key, so that no earlier call can have used it.
    is_own_key: bool,
    lost: Option<Error>,
    stage: OnceStage,
    window: Duration,
}

impl OnceCall {
    /// Starts a call that was accepted now, and whose claim is to be ordered by the log.
    pub fn new(now: Duration, claim: Claim, is_own_key: bool, window: Duration) -> Self {
        Self {
            accepted_at: now,
            claim,
            given_up: None,
            is_own_key,
            lost: None,
            stage: OnceStage::Claiming,
            window,
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

    /// Takes an event and returns what to do next.
    ///
    /// `now` has to count the time for which the process or its machine was stopped.
    pub fn step(&mut self, now: Duration, event: OnceEvent) -> Result<OnceStep> {
        match (self.stage, event) {
            (OnceStage::Claiming, OnceEvent::Ordered(verdict)) => self.take_verdict(now, verdict),
            (OnceStage::Granted { .. }, OnceEvent::Placed(Ok(()))) => self.send(),
            (OnceStage::Granted { .. }, OnceEvent::Placed(Err(error))) => {
                self.place_again(now, error)
            }
            (OnceStage::LookingUp, OnceEvent::Found(Some(answer))) => {
                Ok(self.reply(OnceReply::Replay(answer)))
            }
            (OnceStage::LookingUp, OnceEvent::Found(None)) => {
                Ok(self.reply(OnceReply::Error(Error::CallInProgress)))
            }
            (OnceStage::Sent { .. }, OnceEvent::Answered(answer)) => {
                Ok(self.settle(answer, OnceReply::Answer))
            }
            (OnceStage::Sent { .. }, OnceEvent::Found(found)) => Ok(self.take_found(found)),
            (OnceStage::Sent { offset }, OnceEvent::Lost(_))
                if is_disabled(Safeguard::SentIsUnknown) =>
            {
                self.stage = OnceStage::Granted { offset };
                Ok(OnceStep::only(OnceAction::Place {
                    pause: Duration::ZERO,
                }))
            }
            (OnceStage::Sent { .. }, OnceEvent::Lost(error)) => {
                self.lost = Some(error);
                Ok(OnceStep::only(OnceAction::LookUp))
            }
            (OnceStage::Sent { offset }, OnceEvent::NotSent) => {
                self.stage = OnceStage::Granted { offset };
                Ok(OnceStep::only(OnceAction::Place {
                    pause: Duration::ZERO,
                }))
            }
            (OnceStage::Releasing, OnceEvent::Ordered(verdict)) => {
                Ok(self.finish_release(&verdict))
            }
            _ => Err(Error::Invariant {
                invariant: "a call that may not be repeated takes only the events of its stage",
            }),
        }
    }

    fn take_verdict(&mut self, now: Duration, verdict: Verdict) -> Result<OnceStep> {
        match verdict {
            Verdict::Finished(answer) => Ok(self.reply(OnceReply::Replay(answer))),
            Verdict::Granted { .. } if self.is_too_late(now) => self.abandon_claim(),
            Verdict::Granted { offset } => {
                self.stage = OnceStage::Granted { offset };
                self.send()
            }
            Verdict::KeyAge => Ok(self.reply(OnceReply::Error(Error::KeyOutsideWindow {
                window_s: self.window.as_secs(),
            }))),
            // The call that has the key may have run.
            Verdict::OtherBody => Ok(self.reply(OnceReply::Error(Error::OutcomeUnknown {
                cause: Box::new(Error::KeyReused),
            }))),
            Verdict::Recorded | Verdict::Unavailable => self.abandon_claim(),
            Verdict::Running { .. } => {
                self.stage = OnceStage::LookingUp;
                Ok(OnceStep::only(OnceAction::LookUp))
            }
        }
    }

    /// Permits the one dispatch.
    fn send(&mut self) -> Result<OnceStep> {
        let OnceStage::Granted { offset } = self.stage else {
            return Err(Error::Invariant {
                invariant: "a call that may not be repeated is sent only under a granted claim",
            });
        };
        self.stage = OnceStage::Sent { offset };
        Ok(OnceStep::only(OnceAction::Send { fencing: offset }))
    }

    fn is_too_late(&self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.accepted_at);
        elapsed > GRANT_TIMEOUT && !self.is_own_key && !is_disabled(Safeguard::LateGrant)
    }

    /// Looks for a server until the call may be released, then releases it.
    fn place_again(&mut self, now: Duration, error: Error) -> Result<OnceStep> {
        let release_at = self.accepted_at + GRANT_TIMEOUT + GRANT_MARGIN;
        if now < release_at && !self.is_own_key && !is_disabled(Safeguard::LateGrant) {
            let pause = PLACE_PAUSE.min(release_at - now);
            return Ok(OnceStep::only(OnceAction::Place { pause }));
        }
        self.given_up = Some(error);
        self.release(OnceAction::Release)
    }

    /// Gives up a claim that was not granted in time. It may be in the log or still on the way
    /// there; the release frees the key in either case.
    fn abandon_claim(&mut self) -> Result<OnceStep> {
        let cause = Box::new(Error::ClaimUnavailable {
            reason: "the log service did not order the claim in time".to_owned(),
        });
        // An earlier call with the caller's key may have run; with a key of our own none can.
        let proves_it = self.is_own_key || is_disabled(Safeguard::NotRunNeedsProof);
        let error = match proves_it {
            true => Error::NotRun { cause },
            false => Error::OutcomeUnknown { cause },
        };
        self.release(OnceAction::Reply(OnceReply::Error(error)))
    }

    fn release(&mut self, action: OnceAction) -> Result<OnceStep> {
        if !matches!(self.stage, OnceStage::Claiming | OnceStage::Granted { .. }) {
            return Err(Error::Invariant {
                invariant: "only a call that was never sent is given up",
            });
        }
        self.stage = match action {
            OnceAction::Release => OnceStage::Releasing,
            _ => OnceStage::Settled,
        };
        Ok(OnceStep {
            action,
            record: Some(ClaimRecord::Released {
                key: self.claim.key,
                nonce: self.claim.nonce,
            }),
        })
    }

    fn finish_release(&mut self, verdict: &Verdict) -> OnceStep {
        let cause = Box::new(self.given_up.take().unwrap_or(Error::TableMissing));
        let is_released = *verdict == Verdict::Recorded || self.is_own_key;
        let error = match is_released {
            true => Error::NotRun { cause },
            false => Error::OutcomeUnknown { cause },
        };
        self.reply(OnceReply::Error(error))
    }

    fn take_found(&mut self, found: Option<RecordedAnswer>) -> OnceStep {
        match found {
            Some(answer) => self.settle(answer.clone(), OnceReply::Replay(answer)),
            // A server that knows nothing of the call proves nothing: it may still arrive.
            None => {
                let error = self.lost.take().unwrap_or(Error::CallInProgress);
                self.reply(OnceReply::Error(error))
            }
        }
    }

    fn settle(&mut self, answer: RecordedAnswer, reply: OnceReply) -> OnceStep {
        let record = ClaimRecord::Finished {
            answer,
            key: self.claim.key,
            nonce: self.claim.nonce,
        };
        OnceStep {
            record: Some(record),
            ..self.reply(reply)
        }
    }

    fn reply(&mut self, reply: OnceReply) -> OnceStep {
        self.stage = OnceStage::Settled;
        OnceStep::only(OnceAction::Reply(reply))
    }
}

impl OnceStep {
    fn only(action: OnceAction) -> Self {
        Self {
            action,
            record: None,
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
