//! Forwards a backend server's event stream to the caller, and resumes it on another server when it
//! breaks. The retry budget limits retries, such as resumed streams, to a fraction of the accepted
//! calls.

use super::*;

use actix_http::ResponseHead;
use actix_http::header::CONTENT_TYPE;
use actix_http::header::HeaderValue;
use futures_util::stream::LocalBoxStream;
use tokio::time::Instant as TokioInstant;
use tokio::time::timeout_at;

/// Multiple of the route's target gap (the longest time between two events that counts as on time)
/// after which a stalled resumable stream is moved to another server.
const STALL_TIMEOUT_GAP_TARGETS: f64 = 3.0;

/// Content type of event streams; parameters may follow it.
const EVENT_STREAM: &str = "text/event-stream";

/// Delay before an incomplete body closes the caller's connection, so that the head and the parts
/// that have arrived are written first.
pub(crate) const FLUSH_TIME: Duration = Duration::from_millis(5);

/// Forwards one event stream, in whole events so that it can be resumed between two of them.
pub(crate) struct Relay {
    _in_flight: InFlightGuard,
    attempt: Option<Attempt>,
    body: ServerResponseBody,
    /// Data centre of the server that sends the stream. If it becomes unreachable, a resumable
    /// stream is resumed on another server.
    centre: DataCentreName,
    /// Content type of the caller's response.
    content_type: Option<HeaderValue>,
    ended: bool,
    events: SseParser,
    exchange: Exchange,
    /// Cause of the last interruption, for the log.
    interruption: Interruption,
    last_event_id: Option<SmolStr>,
    /// Time from which the stream may be moved because its data centre seems cut off.
    move_at: TokioInstant,
    /// Time at which the caller had taken the last event with data, or at which the current server
    /// began to answer.
    progress_at: TokioInstant,
    /// Number of events with data at `progress_at`.
    progress_events: u64,
    /// Whether a retry was allowed after the last interruption, or which limit denied it; `None` if
    /// none was requested.
    retry: Option<Result<(), RetryDenied>>,
    /// Server that sent the stream until the last interruption.
    server: ServerName,
    /// True once a stalled stream could not be moved to another server; it then waits until the
    /// caller's deadline.
    waits_for_deadline: bool,
}

impl Relay {
    /// Returns the body of the caller's response: the events of `body`, continued from another
    /// server if it breaks. The call counts as in flight until the returned stream is dropped.
    pub(crate) fn start(
        exchange: Exchange,
        attempt: Attempt,
        content_type: Option<HeaderValue>,
        body: ServerResponseBody,
    ) -> LocalBoxStream<'static, Result<Bytes>> {
        let server = attempt.placed.server.clone();
        exchange.trace.stage.set(CallStage::Stream);
        let reservation = ByteReservation::new(exchange.serving.event_budget.clone());
        let relay = Self {
            _in_flight: InFlightGuard::new(&exchange.serving),
            body,
            centre: attempt.placed.data_centre.clone(),
            attempt: Some(attempt),
            content_type,
            ended: false,
            events: SseParser::with_reservation(reservation),
            exchange,
            interruption: Interruption::Broken,
            last_event_id: None,
            move_at: TokioInstant::now(),
            progress_at: TokioInstant::now(),
            progress_events: 0,
            retry: None,
            server,
            waits_for_deadline: false,
        };
        Box::pin(futures_util::stream::unfold(relay, Self::next))
    }

    async fn next(mut self) -> Option<(Result<Bytes>, Self)> {
        if self.ended {
            return None;
        }
        self.record_progress();
        loop {
            if let Some(events) = self.drain_events() {
                return Some((Ok(events), self));
            }
            let read_deadline = self.read_deadline();
            let serving = self.exchange.serving.clone();
            let read = tokio::select! {
                biased;
                read = timeout_at(read_deadline, self.body.next()) => read,
                () = wait_for_cut_off(&serving, &self.centre, self.move_at), if self.can_move() => {
                    if !self.exchange.acquire_move() {
                        self.move_at = TokioInstant::now() + MOVE_INTERVAL;
                        continue;
                    }
                    let reason = CUT_OFF_REASON.to_owned();
                    match self.resume(Interruption::CutOff, reason).await {
                        Ok(()) => continue,
                        Err(error) => return Some(self.finish_broken(error).await),
                    }
                }
            };
            let chunk = match read {
                Ok(Some(Ok(chunk))) => chunk,
                Ok(None) => {
                    let Some(reason) = self.early_end() else {
                        return self.finish_whole();
                    };
                    self.exchange.record_broken_answer();
                    let cause = Interruption::PartialEvent;
                    match self.try_resume(cause, reason.to_owned()).await {
                        Ok(()) => continue,
                        Err(error) => return Some(self.finish_broken(error).await),
                    }
                }
                Ok(Some(Err(error))) => {
                    if error.closed {
                        self.exchange.record_broken_answer();
                    }
                    match self.try_resume(Interruption::Broken, error.reason).await {
                        Ok(()) => continue,
                        Err(error) => return Some(self.finish_broken(error).await),
                    }
                }
                Err(_) if read_deadline < self.exchange.deadline => {
                    if !self.exchange.acquire_move() {
                        self.waits_for_deadline = true;
                        continue;
                    }
                    let reason = "stream stalled".to_owned();
                    match self.resume(Interruption::Stalled, reason).await {
                        Ok(()) => continue,
                        Err(error) => return Some(self.finish_broken(error).await),
                    }
                }
                Err(_) => {
                    self.set_interruption(Interruption::Deadline, None);
                    if let Some(attempt) = &mut self.attempt {
                        attempt.mark_failed();
                    }
                    let error = self.exchange.timeout_error();
                    return Some(self.finish_broken(error).await);
                }
            };
            record_received(&self.exchange.serving, &self.centre, &self.server);
            if let Err(error) = self.events.push(&chunk)
                && let Err(error) = self
                    .try_resume(Interruption::Malformed, error.to_string())
                    .await
            {
                return Some(self.finish_broken(error).await);
            }
        }
    }

    /// Restarts the time without progress if the caller has taken an event with data. Comments are
    /// no progress: a server could send them for ever.
    fn record_progress(&mut self) {
        let events = self.events.data_events();
        if events != self.progress_events {
            self.progress_events = events;
            self.progress_at = TokioInstant::now();
        }
    }

    /// Takes all whole events received so far, joined into one buffer.
    fn drain_events(&mut self) -> Option<Bytes> {
        let mut joined: Option<BytesMut> = None;
        let mut single: Option<Bytes> = None;
        while let Some(event) = self.events.next_event() {
            self.exchange.trace.count_event();
            self.exchange.record_event();
            if let Some(id) = parse_event_id(&event) {
                self.last_event_id = Some(id.into());
            }
            match (&mut joined, single.take()) {
                (Some(joined), _) => joined.extend_from_slice(&event),
                (None, None) => single = Some(event),
                (None, Some(first)) => {
                    let mut both = BytesMut::with_capacity(first.len() + event.len());
                    both.extend_from_slice(&first);
                    both.extend_from_slice(&event);
                    joined = Some(both);
                }
            }
        }
        let events = joined.map(BytesMut::freeze).or(single)?;
        self.exchange.trace.count_response_bytes(events.len());
        Some(events)
    }

    /// Returns true if the stream's route lets it go on at another server.
    fn can_move(&self) -> bool {
        let exchange = &self.exchange;
        exchange.route.call_kind == CallKind::Stream { resumable: true }
            && exchange.sends < exchange.route.attempts_max
    }

    fn read_deadline(&self) -> TokioInstant {
        let exchange = &self.exchange;
        if !self.can_move() || self.waits_for_deadline {
            return exchange.deadline;
        }
        let gap = exchange.route.gap_target.mul_f64(STALL_TIMEOUT_GAP_TARGETS);
        (self.progress_at + gap).min(exchange.deadline)
    }

    /// Resumes on another server if the stream is resumable and the retry budget allows it.
    async fn try_resume(&mut self, cause: Interruption, reason: String) -> Result {
        let retry = match self.exchange.route.call_kind.is_repeatable() {
            true => self.exchange.request_retry(),
            false => Err(RetryDenied::Route),
        };
        if let Err(denied) = retry {
            self.set_interruption(cause, Some(Err(denied)));
            self.abandon_server(&reason);
            return Err(self.exchange.lost_error(reason));
        }
        self.resume(cause, reason).await
    }

    fn abandon_server(&mut self, reason: &str) {
        if let Some(attempt) = &mut self.attempt {
            attempt.outcome = match self.interruption {
                Interruption::CutOff => AttemptOutcome::Abandoned,
                _ => AttemptOutcome::Broken,
            };
        }
        self.attempt = None;
        // The server may be slow rather than down, so it has to stop before another one resumes.
        self.body.close();
        self.events.clear();
        self.exchange.may_have_run = true;
        self.exchange.log_attempt_failure("broken-stream", reason);
    }

    /// Resumes on another server after the last forwarded event. Whoever calls this must have
    /// withdrawn the retry from the retry budget before.
    async fn resume(&mut self, cause: Interruption, reason: String) -> Result {
        self.set_interruption(cause, Some(Ok(())));
        self.abandon_server(&reason);
        let last_event_id = self.last_event_id.clone();
        match self.exchange.run_attempts(last_event_id.as_deref()).await? {
            AttemptResponse::Stream(mut attempt, response)
                if !self.is_continued_by(&response.head) =>
            {
                attempt.outcome = AttemptOutcome::Broken;
                let reason = "answer of the next server has another content type".to_owned();
                Err(self.exchange.lost_error(reason))
            }
            AttemptResponse::Stream(attempt, response) => {
                self.centre = attempt.placed.data_centre.clone();
                self.server = attempt.placed.server.clone();
                self.exchange.trace.stage.set(CallStage::Stream);
                self.attempt = Some(attempt);
                self.body = response.body;
                self.waits_for_deadline = false;
                self.progress_at = TokioInstant::now();
                Ok(())
            }
            AttemptResponse::Whole(..) => Err(self.exchange.lost_error(reason)),
        }
    }

    /// Returns true if a body with this head is an event stream, or of the type that the caller got.
    fn is_continued_by(&self, head: &ResponseHead) -> bool {
        let Some(content_type) = head.headers.get(CONTENT_TYPE) else {
            return true;
        };
        let start = content_type.as_bytes().get(..EVENT_STREAM.len());
        let is_event_stream =
            start.is_some_and(|start| start.eq_ignore_ascii_case(EVENT_STREAM.as_bytes()));
        is_event_stream || self.content_type.as_ref() == Some(content_type)
    }

    /// Returns why the end of the server's stream is not the end of the answer; `None` if it is. A
    /// stream without a length or chunks ends with its connection, also if the server crashes.
    fn early_end(&self) -> Option<&'static str> {
        let has_events = self.exchange.answer == AnswerProgress::Events;
        match self.events.has_partial() {
            true => Some("stream ended inside an event"),
            false if !has_events && self.body.ends_with_connection() => {
                Some("stream without a length ended before its first event")
            }
            false => None,
        }
    }

    fn finish_whole(mut self) -> Option<(Result<Bytes>, Self)> {
        let attempt = self.attempt.as_mut()?;
        attempt.outcome = AttemptOutcome::Completed;
        let server = attempt.placed.server.clone();
        self.exchange
            .record_answer(self.body.ends_with_connection());
        self.exchange.log_finish("whole", 200, &server);
        None
    }

    /// Ends the body with an error, which closes the caller's connection, so that the response
    /// cannot be mistaken for a complete one.
    async fn finish_broken(mut self, error: Error) -> (Result<Bytes>, Self) {
        // The connection is closed as soon as the error is polled; write pending events first.
        tokio::time::sleep(FLUSH_TIME).await;
        self.exchange.trace.end(false);
        self.log_interruption(&error);
        let code = error.status().1;
        self.exchange
            .serving
            .metrics
            .outcome(Outcome::Unknown, code);
        self.ended = true;
        (Err(error), self)
    }

    fn set_interruption(&mut self, cause: Interruption, retry: Option<Result<(), RetryDenied>>) {
        self.interruption = cause;
        self.retry = retry;
    }

    fn log_interruption(&self, error: &Error) {
        let exchange = &self.exchange;
        exchange
            .serving
            .metrics
            .interrupted_stream(self.interruption);
        let retry = match self.retry {
            None => "none",
            Some(Ok(())) => "allowed",
            Some(Err(denied)) => denied.limit(),
        };
        warn!(
            "finish request={} outcome=broken-stream status=200 server={} data_centre={} \
             cause={} retry={retry} sends={} events={} idle_ms={} ms={} reason=\"{error}\"",
            exchange.call.request_id,
            self.server,
            self.centre,
            self.interruption.as_str(),
            exchange.sends,
            exchange.trace.events_forwarded.get(),
            exchange.trace.last_event_at.get().elapsed().as_millis(),
            exchange.received_at.elapsed().as_millis(),
        );
    }
}
