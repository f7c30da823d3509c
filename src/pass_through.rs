//! Forwards a response that is too large to be kept whole: what was kept of its body, then the rest
//! as it arrives and as fast as the caller reads it.

use super::*;

use futures_util::stream::LocalBoxStream;
use tokio::time::Instant as TokioInstant;

/// Minimum time after which a deadline that has moved is checked again.
const DEADLINE_STEP_MIN: Duration = Duration::from_millis(50);

/// Forwards the body of one response.
pub(crate) struct PassThrough {
    _in_flight: InFlightGuard,
    attempt: Attempt,
    body: KeptBody,
    ended: bool,
    exchange: Exchange,
    forwarded_bytes: usize,
    status: u16,
}

impl PassThrough {
    /// Returns the body of the caller's response. The call counts as in flight until the returned
    /// stream is dropped. The stream fails if the server's connection breaks, at
    /// [`RESPONSE_MAX_BYTES`], and at [`Exchange::response_deadline`]; the caller's connection is
    /// then closed, so that the response cannot be mistaken for a complete one.
    pub(crate) fn start(
        exchange: Exchange,
        attempt: Attempt,
        status: u16,
        body: KeptBody,
    ) -> LocalBoxStream<'static, Result<Bytes>> {
        exchange.trace.stage.set(CallStage::Body);
        let pass_through = Self {
            _in_flight: InFlightGuard::new(&exchange.serving),
            attempt,
            body,
            ended: false,
            exchange,
            forwarded_bytes: 0,
            status,
        };
        Box::pin(futures_util::stream::unfold(pass_through, Self::next))
    }

    async fn next(mut self) -> Option<(Result<Bytes>, Self)> {
        if self.ended {
            return None;
        }
        if let Some(part) = self.body.kept.pop() {
            self.count_part(&part);
            return Some((Ok(part), self));
        }
        let reason = match self.read_rest().await {
            Some(Some(Ok(part))) => {
                let placed = &self.attempt.placed;
                record_received(&self.exchange.serving, &placed.data_centre, &placed.server);
                self.count_part(&part);
                if self.forwarded_bytes <= RESPONSE_MAX_BYTES {
                    return Some((Ok(part), self));
                }
                self.attempt.outcome = AttemptOutcome::Broken;
                too_large_reason(self.forwarded_bytes as u64)
            }
            Some(None) => {
                self.attempt.outcome = AttemptOutcome::Completed;
                if (200..300).contains(&self.status) {
                    let rest = self.body.rest.as_ref();
                    let ends_with_connection = rest.is_some_and(|rest| rest.ends_with_connection());
                    self.exchange.record_answer(ends_with_connection);
                }
                let server = &self.attempt.placed.server;
                self.exchange.log_finish("whole", self.status, server);
                return None;
            }
            Some(Some(Err(error))) => {
                if error.closed {
                    self.exchange.record_broken_answer();
                }
                self.attempt.outcome = AttemptOutcome::Broken;
                error.reason
            }
            None => {
                self.attempt.mark_failed();
                format!(
                    "body did not end in time, after {} bytes",
                    self.forwarded_bytes
                )
            }
        };
        tokio::time::sleep(FLUSH_TIME).await;
        Some(self.finish_broken(reason))
    }

    /// Reads the next part of the body, until the response has to be complete (`None`).
    async fn read_rest(&mut self) -> Option<Option<Result<Bytes, ServerCallError>>> {
        let rest = self.body.rest.as_mut()?;
        let mut deadline = self.exchange.response_deadline();
        loop {
            if let Some(read) = before(deadline, rest.next()).await {
                return Some(read);
            }
            let now = TokioInstant::now();
            deadline = self.exchange.response_deadline();
            if deadline <= now {
                return None;
            }
            // While the caller does not read, the deadline moves as fast as the time passes.
            deadline = deadline.max(now + DEADLINE_STEP_MIN);
        }
    }

    fn count_part(&mut self, part: &Bytes) {
        self.forwarded_bytes += part.len();
        self.exchange.trace.count_response_bytes(part.len());
    }

    fn finish_broken(mut self, reason: String) -> (Result<Bytes>, Self) {
        self.body.rest = None;
        self.ended = true;
        self.exchange.trace.end(false);
        self.exchange.log_attempt_failure("lost", &reason);
        let error = self.exchange.lost_error(reason);
        warn!(
            "finish request={} outcome=broken-body ms={} reason=\"{error}\"",
            self.exchange.call.request_id,
            self.exchange.received_at.elapsed().as_millis(),
        );
        self.exchange
            .serving
            .metrics
            .outcome(Outcome::Unknown, error.status().1);
        (Err(error), self)
    }
}
