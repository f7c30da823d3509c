//! Conversions of claim records and verdicts to and from their wire types. A claim record reserves
//! an idempotency key for one call, records the answer to the call, or releases the key; a verdict
//! tells what the record's position in the log means for it.

use super::*;

use wire::log_record::Body;

fn split_hash(key: KeyHash) -> (u64, u64) {
    ((key >> 64) as u64, key as u64)
}

fn join_hash(high: u64, low: u64) -> KeyHash {
    (KeyHash::from(high) << 64) | KeyHash::from(low)
}

impl From<&ClaimRecord> for wire::LogRecord {
    fn from(record: &ClaimRecord) -> Self {
        let (key_hash_high, key_hash_low) = split_hash(record.key());
        let nonce = record.nonce();
        let body = match record {
            ClaimRecord::Claim(claim) => Body::Claim(wire::Claim {
                is_generated: claim.is_generated,
                key_hash_high,
                key_hash_low,
                nonce,
                body_hash: claim.body_hash,
                key_time_ms: claim.key_time_ms,
                holder: claim.holder.to_string(),
            }),
            ClaimRecord::Finished { answer, .. } => Body::ClaimFinished(wire::ClaimFinished {
                key_hash_high,
                key_hash_low,
                nonce,
                ..answer.into()
            }),
            ClaimRecord::Released { .. } => Body::ClaimReleased(wire::ClaimReleased {
                key_hash_high,
                key_hash_low,
                nonce,
            }),
        };
        Self { body: Some(body) }
    }
}

impl From<&RecordedAnswer> for wire::ClaimFinished {
    fn from(answer: &RecordedAnswer) -> Self {
        Self {
            status: u32::from(answer.status),
            content_type: answer.content_type.to_string(),
            body: answer.body.to_vec(),
            body_dropped: answer.body_dropped,
            ..Self::default()
        }
    }
}

impl From<wire::ClaimFinished> for RecordedAnswer {
    fn from(finished: wire::ClaimFinished) -> Self {
        Self {
            body: finished.body.into(),
            body_dropped: finished.body_dropped,
            content_type: finished.content_type.into(),
            status: finished.status as u16,
        }
    }
}

impl TryFrom<wire::LogRecord> for ClaimRecord {
    type Error = Error;

    fn try_from(record: wire::LogRecord) -> Result<Self> {
        match record.body {
            Some(Body::Claim(claim)) => Ok(Self::Claim(Claim {
                is_generated: claim.is_generated,
                body_hash: claim.body_hash,
                holder: claim.holder.into(),
                key: join_hash(claim.key_hash_high, claim.key_hash_low),
                key_time_ms: claim.key_time_ms,
                nonce: claim.nonce,
            })),
            Some(Body::ClaimFinished(finished)) => Ok(Self::Finished {
                key: join_hash(finished.key_hash_high, finished.key_hash_low),
                nonce: finished.nonce,
                answer: finished.into(),
            }),
            Some(Body::ClaimReleased(released)) => Ok(Self::Released {
                key: join_hash(released.key_hash_high, released.key_hash_low),
                nonce: released.nonce,
            }),
            _ => Err(Error::LogService {
                reason: "unexpected kind of record in a claim stream".to_owned(),
            }),
        }
    }
}

impl From<&Verdict> for wire::ClaimReply {
    fn from(verdict: &Verdict) -> Self {
        use wire::ClaimVerdict as Wire;
        let mut reply = Self::default();
        let wire_verdict = match verdict {
            Verdict::Finished(answer) => {
                reply.finished = Some(answer.into());
                Wire::Finished
            }
            Verdict::Granted { offset } => {
                reply.offset = *offset;
                Wire::Granted
            }
            Verdict::KeyAge => Wire::KeyAge,
            Verdict::OtherBody => Wire::OtherBody,
            Verdict::Recorded => Wire::Recorded,
            Verdict::Running { holder } => {
                reply.holder = holder.to_string();
                Wire::Running
            }
            Verdict::Unavailable => Wire::Unavailable,
        };
        reply.set_verdict(wire_verdict);
        reply
    }
}

impl From<wire::ClaimReply> for Verdict {
    fn from(reply: wire::ClaimReply) -> Self {
        use wire::ClaimVerdict as Wire;
        match reply.verdict() {
            Wire::Finished => Self::Finished(reply.finished.unwrap_or_default().into()),
            Wire::Granted => Self::Granted {
                offset: reply.offset,
            },
            Wire::KeyAge => Self::KeyAge,
            Wire::OtherBody => Self::OtherBody,
            Wire::Recorded => Self::Recorded,
            Wire::Running => Self::Running {
                holder: reply.holder.into(),
            },
            Wire::Unavailable | Wire::Unspecified => Self::Unavailable,
        }
    }
}
