//! Passes an event stream on to its caller, and goes on at another server when it breaks.

use super::*;

use futures_util::stream::LocalBoxStream;
use tokio::time::Instant as TokioInstant;
use tokio::time::timeout_at;

/// Pause in a resumable stream, in longest on-time pauses, after which it goes on elsewhere.
const GAP_PATIENCE_TARGETS: f64 = 3.0;

/// Time for events at hand to be written before a broken stream's connection is closed.
const FLUSH_TIME: Duration = Duration::from_millis(5);

/// Passes an event stream on, whole event by whole event.
pub(crate) struct Relay {
    _in_flight: InFlight,
    attempt: Option<Attempt>,
    body: LinkBody,
    /// Data centre of the server.
    centre: DataCentreName,
    ended: bool,
    events: SseParser,
    exchange: Exchange,
    last_event_id: Option<SmolStr>,
    /// True once a silent stream could not be moved for want of a retry.
    waits_to_end: bool,
}

impl Relay {
    /// Starts passing on the stream that an attempt opened.
    pub(crate) fn start(
        exchange: Exchange,
        attempt: Attempt,
        body: LinkBody,
    ) -> LocalBoxStream<'static, Result<Bytes>> {
        let relay = Self {
            _in_flight: InFlight::new(&exchange.serving),
            body,
            centre: attempt.placed.data_centre.clone(),
            attempt: Some(attempt),
            ended: false,
            events: SseParser::default(),
            exchange,
            last_event_id: None,
            waits_to_end: false,
        };
        Box::pin(futures_util::stream::unfold(relay, Self::next))
    }

    async fn next(mut self) -> Option<(Result<Bytes>, Self)> {
        if self.ended {
            return None;
        }
        loop {
            if let Some(events) = self.take_events() {
                return Some((Ok(events), self));
            }
            let ends_at = self.patience();
            let can_move = ends_at < self.exchange.ends_at;
            let read = tokio::select! {
                biased;
                read = timeout_at(ends_at, self.body.next()) => read,
                () = wait_for_cut_off(&self.exchange.serving, &self.centre), if can_move => {
                    match self.go_on("data centre was cut off".to_owned()).await {
                        Ok(()) => continue,
                        Err(error) => return Some(self.end_broken(error).await),
                    }
                }
            };
            let chunk = match read {
                Ok(Some(Ok(chunk))) => chunk,
                Ok(None) => return self.end_whole().await,
                Ok(Some(Err(error))) => match self.go_on(error.reason).await {
                    Ok(()) => continue,
                    Err(error) => return Some(self.end_broken(error).await),
                },
                Err(_) if ends_at < self.exchange.ends_at => {
                    // Without a retry to pay, a slow stream is better than none.
                    if !self.exchange.may_send_again() {
                        self.waits_to_end = true;
                        continue;
                    }
                    match self.go_on_paid("stream fell silent".to_owned()).await {
                        Ok(()) => continue,
                        Err(error) => return Some(self.end_broken(error).await),
                    }
                }
                Err(_) => {
                    let error = self.exchange.timed_out();
                    return Some(self.end_broken(error).await);
                }
            };
            if let Err(error) = self.events.push(&chunk) {
                return Some(self.end_broken(error).await);
            }
        }
    }

    /// All whole events received so far.
    fn take_events(&mut self) -> Option<Bytes> {
        let mut joined: Option<BytesMut> = None;
        let mut single: Option<Bytes> = None;
        while let Some(event) = self.events.next_event() {
            if let Some(id) = id_of_event(&event) {
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
        joined.map(BytesMut::freeze).or(single)
    }

    fn patience(&self) -> TokioInstant {
        let exchange = &self.exchange;
        let can_resume = exchange.route.call_kind == CallKind::Stream { resumable: true }
            && exchange.sends < exchange.route.attempts_max;
        if !can_resume || self.waits_to_end {
            return exchange.ends_at;
        }
        let gap = exchange.route.gap_target.mul_f64(GAP_PATIENCE_TARGETS);
        (TokioInstant::now() + gap).min(exchange.ends_at)
    }

    /// Goes on at another server, if the stream may be resumed and a retry can be paid.
    async fn go_on(&mut self, reason: String) -> Result {
        let resumable = self.exchange.route.call_kind.is_repeatable();
        if !resumable || !self.exchange.may_send_again() {
            self.leave_server(&reason);
            return Err(self.exchange.lost(reason));
        }
        self.go_on_paid(reason).await
    }

    fn leave_server(&mut self, reason: &str) {
        if let Some(attempt) = &mut self.attempt {
            attempt.end = AttemptEnd::Broken;
        }
        self.attempt = None;
        // The server may be slow rather than dead: it has to stop before another one goes on.
        self.body.close();
        self.events.clear();
        self.exchange.may_have_run = true;
        self.exchange.log_failed("broken-stream", reason);
    }

    /// Goes on at another server after the last event that was passed on.
    async fn go_on_paid(&mut self, reason: String) -> Result {
        self.leave_server(&reason);
        let last_event_id = self.last_event_id.clone();
        match self.exchange.carry(last_event_id.as_deref()).await? {
            Carried::Stream(attempt, answer) => {
                self.centre = attempt.placed.data_centre.clone();
                self.attempt = Some(attempt);
                self.body = answer.body;
                Ok(())
            }
            Carried::Whole(..) => Err(self.exchange.lost(reason)),
        }
    }

    async fn end_whole(mut self) -> Option<(Result<Bytes>, Self)> {
        if self.events.has_partial() {
            let error = self
                .exchange
                .lost("stream ended inside an event".to_owned());
            return Some(self.end_broken(error).await);
        }
        let attempt = self.attempt.as_mut()?;
        attempt.end = AttemptEnd::Whole;
        let server = attempt.placed.server.clone();
        self.exchange.log_finish("whole", 200, &server);
        None
    }

    /// Ends the caller's connection, so that the answer cannot be taken for a whole one.
    async fn end_broken(mut self, error: Error) -> (Result<Bytes>, Self) {
        // The connection is closed as soon as the error is seen; the events before it go first.
        tokio::time::sleep(FLUSH_TIME).await;
        warn!(
            "finish request={} outcome=broken-stream ms={} reason=\"{error}\"",
            self.exchange.call.request_id,
            self.exchange.received_at.elapsed().as_millis(),
        );
        let code = error.status().1;
        self.exchange
            .serving
            .metrics
            .outcome(Outcome::Unknown, code);
        self.ended = true;
        (Err(error), self)
    }
}
