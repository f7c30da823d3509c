//! State machine of an at-most-once call at the instance that claims its idempotency key, from the
//! claim (a log record that reserves the key for one call) to the reply. The log grants a claim if
//! the key is free at the claim's position in the log.
//!
//! The machine takes events and returns actions; it does no I/O. It sends the call only under a
//! granted claim, and again only if nothing of the earlier attempt was sent or the server refused
//! it before running it. It reports "not run" only if this instance sent nothing that a server may
//! have run, and no other instance can have sent the call.
//!
//! The caller may have sent the same key earlier, through an instance that is slow or suspended.
//! Therefore a grant that arrives later than [`GRANT_TIMEOUT`] after the call was accepted is not
//! used, and a call that is given up because no backend server can be chosen for it (it cannot be
//! placed) keeps its claim for the same time plus a margin before it releases the claim, which
//! makes the key free again. A call that claims the key after the release was then either accepted
//! after this one, or its own grant comes too late to be used. Instances compare only durations,
//! never their clocks.

use super::*;

/// Maximum time from accepting a call to the grant of its claim.
pub const GRANT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time added to [`GRANT_TIMEOUT`] before a claim is released, because the clocks of two instances
/// may run at different rates.
const CLOCK_RATE_MARGIN: Duration = Duration::from_millis(100);

/// Delay between attempts to choose a backend server for (place) a call whose claim is too recent
/// to be released.
const PLACEMENT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Progress of an at-most-once call; each stage accepts only certain events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AtMostOnceStage {
    /// The claim has been submitted to the log; whether it is granted is not known yet.
    Claiming,
    /// The claim was granted; nothing has been sent.
    Granted {
        /// Offset of the claim in the log stream of its partition. The call is sent with it as the
        /// fencing token, by which the server can reject a call with an older claim.
        offset: LogOffset,
    },
    /// Another call holds the key; the answer to that call is being looked up at the backend
    /// servers.
    LookingUp,
    /// The call was given up before anything was sent, and its release has been submitted to the
    /// log.
    Releasing,
    /// The call was sent; whether it ran is not known.
    Sent {
        /// Offset of the claim in the log stream of its partition, which was sent as the fencing
        /// token.
        offset: LogOffset,
    },
    /// The caller has been answered.
    Settled,
}

/// Event of an at-most-once call, passed to [`AtMostOnceCall::step`].
#[derive(Debug, Clone)]
pub enum AtMostOnceEvent {
    /// The backend server answered; the value is the answer as it will be recorded.
    Answered(RecordedAnswer),
    /// Result of looking up the key at the backend servers; `None` if none of them returned an
    /// answer.
    LookedUp(Option<RecordedAnswer>),
    /// The call was sent, but no complete answer arrived.
    AnswerLost(Error),
    /// No byte of the call was sent, or the server refused it before running it.
    NotSent,
    /// Result of choosing another backend server for the call.
    Placed(Result),
    /// Verdict on the claim or the release: the decision that follows from its position in the log,
    /// or `Unavailable` if the log did not confirm the record in time.
    Ordered(Verdict),
}

/// Reply to the caller.
#[derive(Debug, Clone)]
pub enum AtMostOnceReply {
    /// The answer that has just arrived.
    Answer,
    /// An error: the call was refused, its answer was lost, or an earlier call is still running.
    Error(Error),
    /// The recorded answer of an earlier run under the same key.
    Replay(RecordedAnswer),
}

/// Action that the caller of the state machine performs.
#[derive(Debug, Clone)]
pub enum AtMostOnceAction {
    /// Look the key up at the backend servers.
    LookUp,
    /// Choose another backend server for the call after a delay.
    Place {
        /// Zero if the previous server received nothing or refused the call; otherwise the delay
        /// after a failed choice of a server.
        pause: Duration,
    },
    /// Release the claim: append the record of this step to the log and wait for the verdict.
    Release,
    /// Reply to the caller. This is the last action of the call.
    Reply(AtMostOnceReply),
    /// Send the call to the backend server that was chosen for it.
    Send {
        /// Offset of the claim, by which the server can reject a call whose claim is older than one
        /// that it has seen.
        fencing: LogOffset,
    },
}

/// Next action of a call, with an optional record to append to the log.
#[derive(Debug, Clone)]
pub struct AtMostOnceStep {
    /// Action to perform now; its result is the next event, except after a reply.
    pub action: AtMostOnceAction,
    /// Record to append to the log. The verdict on it is awaited only for
    /// [`AtMostOnceAction::Release`].
    pub record: Option<ClaimRecord>,
}

/// State of an at-most-once call at the instance that claims its key, which is the only one that
/// may send it under that claim.
#[derive(Debug)]
pub struct AtMostOnceCall {
    accepted_at: Duration,
    claim: Claim,
    /// Error of the last failed choice of a backend server, which the reply gives as the cause once
    /// the claim has been released.
    give_up_cause: Option<Error>,
    /// True if this instance generated the key, so that no earlier call can have used it.
    is_generated_key: bool,
    lost_error: Option<Error>,
    stage: AtMostOnceStage,
    window: Duration,
}

impl AtMostOnceCall {
    /// Creates a call that was accepted at `now` and whose claim is about to be submitted to the
    /// log. `window` is the maximum age of a key, named in the error for a key that is too old.
    pub fn new(now: Duration, claim: Claim, is_generated_key: bool, window: Duration) -> Self {
        Self {
            accepted_at: now,
            claim,
            give_up_cause: None,
            is_generated_key,
            lost_error: None,
            stage: AtMostOnceStage::Claiming,
            window,
        }
    }

    /// Returns the claim, whose verdict is the first event to pass to [`Self::step`].
    pub fn claim(&self) -> &Claim {
        &self.claim
    }

    /// Returns the stage; after [`AtMostOnceStage::Settled`] every event is an error.
    pub fn stage(&self) -> AtMostOnceStage {
        self.stage
    }

    /// Handles an event and returns the next action, or an invariant error if the event does not
    /// belong to the current stage.
    ///
    /// `now` must come from a clock that also advances while the process or its machine is
    /// suspended.
    pub fn step(&mut self, now: Duration, event: AtMostOnceEvent) -> Result<AtMostOnceStep> {
        match (self.stage, event) {
            (AtMostOnceStage::Claiming, AtMostOnceEvent::Ordered(verdict)) => {
                self.handle_verdict(now, verdict)
            }
            (AtMostOnceStage::Granted { .. }, AtMostOnceEvent::Placed(Ok(()))) => self.send(),
            (AtMostOnceStage::Granted { .. }, AtMostOnceEvent::Placed(Err(error))) => {
                self.retry_placement(now, error)
            }
            (AtMostOnceStage::LookingUp, AtMostOnceEvent::LookedUp(Some(answer))) => {
                Ok(self.reply(AtMostOnceReply::Replay(answer)))
            }
            (AtMostOnceStage::LookingUp, AtMostOnceEvent::LookedUp(None)) => {
                Ok(self.reply(AtMostOnceReply::Error(Error::CallInProgress)))
            }
            (AtMostOnceStage::Sent { .. }, AtMostOnceEvent::Answered(answer)) => {
                Ok(self.reply_and_record(answer, AtMostOnceReply::Answer))
            }
            (AtMostOnceStage::Sent { .. }, AtMostOnceEvent::LookedUp(found)) => {
                Ok(self.handle_lookup(found))
            }
            (AtMostOnceStage::Sent { offset }, AtMostOnceEvent::AnswerLost(_))
                if is_disabled(Safeguard::SentIsUnknown) =>
            {
                self.stage = AtMostOnceStage::Granted { offset };
                Ok(AtMostOnceStep::only(AtMostOnceAction::Place {
                    pause: Duration::ZERO,
                }))
            }
            (AtMostOnceStage::Sent { .. }, AtMostOnceEvent::AnswerLost(error)) => {
                self.lost_error = Some(error);
                Ok(AtMostOnceStep::only(AtMostOnceAction::LookUp))
            }
            (AtMostOnceStage::Sent { offset }, AtMostOnceEvent::NotSent) => {
                self.stage = AtMostOnceStage::Granted { offset };
                Ok(AtMostOnceStep::only(AtMostOnceAction::Place {
                    pause: Duration::ZERO,
                }))
            }
            (AtMostOnceStage::Releasing, AtMostOnceEvent::Ordered(verdict)) => {
                Ok(self.finish_release(&verdict))
            }
            _ => Err(Error::Invariant {
                invariant: "a call that may not be repeated takes only the events of its stage",
            }),
        }
    }

    fn handle_verdict(&mut self, now: Duration, verdict: Verdict) -> Result<AtMostOnceStep> {
        match verdict {
            Verdict::Finished(answer) => Ok(self.reply(AtMostOnceReply::Replay(answer))),
            Verdict::Granted { .. } if self.is_grant_late(now) => self.abandon_claim(),
            Verdict::Granted { offset } => {
                self.stage = AtMostOnceStage::Granted { offset };
                self.send()
            }
            Verdict::KeyAge => Ok(self.reply(AtMostOnceReply::Error(Error::KeyOutsideWindow {
                window_s: self.window.as_secs(),
            }))),
            // The call that holds the key may have run.
            Verdict::OtherBody => Ok(self.reply(AtMostOnceReply::Error(Error::OutcomeUnknown {
                cause: Box::new(Error::KeyReused),
            }))),
            Verdict::Recorded | Verdict::Unavailable => self.abandon_claim(),
            Verdict::Running { .. } => {
                self.stage = AtMostOnceStage::LookingUp;
                Ok(AtMostOnceStep::only(AtMostOnceAction::LookUp))
            }
        }
    }

    fn send(&mut self) -> Result<AtMostOnceStep> {
        let AtMostOnceStage::Granted { offset } = self.stage else {
            return Err(Error::Invariant {
                invariant: "a call that may not be repeated is sent only under a granted claim",
            });
        };
        self.stage = AtMostOnceStage::Sent { offset };
        Ok(AtMostOnceStep::only(AtMostOnceAction::Send {
            fencing: offset,
        }))
    }

    fn is_grant_late(&self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.accepted_at);
        elapsed > GRANT_TIMEOUT && !self.is_generated_key && !is_disabled(Safeguard::LateGrant)
    }

    /// Retries the choice of a backend server until the claim may be released, then releases it. A
    /// claim of a key that this instance generated may be released at once.
    fn retry_placement(&mut self, now: Duration, error: Error) -> Result<AtMostOnceStep> {
        let release_at = self.accepted_at + GRANT_TIMEOUT + CLOCK_RATE_MARGIN;
        if now < release_at && !self.is_generated_key && !is_disabled(Safeguard::LateGrant) {
            let pause = PLACEMENT_RETRY_DELAY.min(release_at - now);
            return Ok(AtMostOnceStep::only(AtMostOnceAction::Place { pause }));
        }
        self.give_up_cause = Some(error);
        self.release(AtMostOnceAction::Release)
    }

    /// Gives up a claim that was not granted in time. The claim may be in the log or may still
    /// reach it; the release frees the key in both cases.
    fn abandon_claim(&mut self) -> Result<AtMostOnceStep> {
        let cause = Box::new(Error::ClaimUnavailable {
            reason: "the log service did not confirm the claim in time".to_owned(),
        });
        // An earlier call with the caller's key may have run. No earlier call has a key that this
        // instance generated.
        let is_proven = self.is_generated_key || is_disabled(Safeguard::NotRunNeedsProof);
        let error = match is_proven {
            true => Error::NotRun { cause },
            false => Error::OutcomeUnknown { cause },
        };
        self.release(AtMostOnceAction::Reply(AtMostOnceReply::Error(error)))
    }

    fn release(&mut self, action: AtMostOnceAction) -> Result<AtMostOnceStep> {
        if !matches!(
            self.stage,
            AtMostOnceStage::Claiming | AtMostOnceStage::Granted { .. }
        ) {
            return Err(Error::Invariant {
                invariant: "only a call that was never sent is given up",
            });
        }
        self.stage = match action {
            AtMostOnceAction::Release => AtMostOnceStage::Releasing,
            _ => AtMostOnceStage::Settled,
        };
        Ok(AtMostOnceStep {
            action,
            record: Some(ClaimRecord::Released {
                key: self.claim.key,
                nonce: self.claim.nonce,
            }),
        })
    }

    fn finish_release(&mut self, verdict: &Verdict) -> AtMostOnceStep {
        let cause = Box::new(self.give_up_cause.take().unwrap_or(Error::TableMissing));
        let is_released = *verdict == Verdict::Recorded || self.is_generated_key;
        let error = match is_released {
            true => Error::NotRun { cause },
            false => Error::OutcomeUnknown { cause },
        };
        self.reply(AtMostOnceReply::Error(error))
    }

    fn handle_lookup(&mut self, found: Option<RecordedAnswer>) -> AtMostOnceStep {
        match found {
            Some(answer) => self.reply_and_record(answer.clone(), AtMostOnceReply::Replay(answer)),
            // A server without a record of the call proves nothing, because the call may still
            // arrive there.
            None => {
                let error = self.lost_error.take().unwrap_or(Error::CallInProgress);
                self.reply(AtMostOnceReply::Error(error))
            }
        }
    }

    fn reply_and_record(
        &mut self,
        answer: RecordedAnswer,
        reply: AtMostOnceReply,
    ) -> AtMostOnceStep {
        let record = ClaimRecord::Finished {
            answer,
            key: self.claim.key,
            nonce: self.claim.nonce,
        };
        AtMostOnceStep {
            record: Some(record),
            ..self.reply(reply)
        }
    }

    fn reply(&mut self, reply: AtMostOnceReply) -> AtMostOnceStep {
        self.stage = AtMostOnceStage::Settled;
        AtMostOnceStep::only(AtMostOnceAction::Reply(reply))
    }
}

impl AtMostOnceStep {
    fn only(action: AtMostOnceAction) -> Self {
        Self {
            action,
            record: None,
        }
    }
}

/// Returns the timestamp of a version 7 UUID in milliseconds since 1970, or `KeyFormat` if the key
/// is anything else.
pub fn key_time_ms(key: &str) -> Result<u64> {
    let uuid = uuid::Uuid::try_parse(key).map_err(|_| Error::KeyFormat)?;
    if uuid.get_version_num() != 7 {
        return Err(Error::KeyFormat);
    }
    let (seconds, nanos) = uuid.get_timestamp().ok_or(Error::KeyFormat)?.to_unix();
    Ok(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}

/// Returns the first 128 bits of the SHA-256 hash of an account name and an idempotency key, which
/// is converted to lower case. The hashed input starts with the length of the account name, so that
/// different pairs never have the same input.
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

/// Returns the number of the partition whose log stream holds the claims of a key. The result is
/// less than `partitions`, the number of partitions; 0 is treated as 1.
pub fn partition_of(key: KeyHash, partitions: u32) -> u32 {
    ((key >> 64) as u64 % u64::from(partitions.max(1))) as u32
}
