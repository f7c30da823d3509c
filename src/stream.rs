//! Runs one accepted model call: sends it to a model engine (a backend server that generates the
//! completion), relays its tokens, resumes it on another engine from the tokens already sent, and
//! lets its caller reconnect.
//!
//! Each call is owned by one task. A caller attaches to it with a channel (its sink), on which it
//! receives the call's events; other tasks reach the call through [`Sessions`], the registry of
//! running calls. The router chooses the engine of each attempt; its choice is a [`Placement`]. An
//! instance that stops hands its calls over to other instances.

use super::*;

use std::rc::Rc;

use tokio::time::Instant as TokioInstant;
use tokio::time::timeout;
use tokio::time::timeout_at;

/// Maximum number of events buffered for a slow caller; while the buffer is full, the call does not
/// read from the engine.
pub const SINK_CAPACITY: usize = 64;

/// A caller whose buffer of events stays full for this long is detached.
const SLOW_CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// If the engine sends no event with data for this long in the middle of a stream, the call is moved
/// to another engine, if one can take it; comments do not count.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Same as [`IDLE_TIMEOUT`], between the head of the engine's response and its first event.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// An attempt that cannot be moved fails if the engine sends no event with data for this long.
const SILENCE_MAX: Duration = Duration::from_secs(600);

/// Time for which a completed call can be fetched again, if it was sent with an idempotency key or
/// handed over from another instance.
pub const SESSION_TTL: Duration = Duration::from_secs(120);

/// Maximum time for which a call is paused until another instance has accepted it; then it continues
/// here.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of failed attempts; after them the model call fails.
const ATTEMPTS_MAX: usize = 8;

/// Position in a stream: number of tokens received and hash of their text.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Position {
    /// Hash of the text up to here, or 0 if there is none. A caller that reconnects with the hash
    /// of a different text is rejected.
    pub text_hash: u64,
    /// Number of tokens received since the start of the completion.
    pub tokens: u32,
}

/// Event sent to the callers of a model call.
#[derive(Debug)]
pub enum CallEvent {
    /// A piece of the completion, which counts as one token.
    Chunk {
        /// JSON of a `chat.completion.chunk` object with the call's own id and without usage.
        data: Bytes,
        /// Position after the chunk, sent to the caller as the event id.
        position: Position,
    },
    /// The completion has been sent in full; no further events follow.
    Done {
        /// Value of the engine's `finish_reason` field.
        finish_reason: SmolStr,
        /// Text of the whole completion, including what earlier engines generated.
        text: String,
        /// Token counts for the caller's `usage` object.
        usage: Usage,
    },
    /// The call failed; no further events follow.
    Failed(Error),
    /// The engine rejected the request as invalid.
    Refused {
        /// Body of the engine's response, forwarded unchanged; empty if it could not be read.
        body: Bytes,
        /// Status of the engine's response, forwarded unchanged: 400 to 499, except 408 and 429.
        status: u16,
    },
}

/// Token counts reported to callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Prompt tokens that the engine found in its cache; attempts that resume the call do not
    /// change it.
    pub cached_tokens: u32,
    /// Tokens in the completion; each relayed chunk with content counts as one.
    pub completion_tokens: u32,
    /// Tokens in the prompt, as the engine last reported them; 0 before its first report.
    pub prompt_tokens: u32,
}

impl Usage {
    /// Formats the `usage` object of the OpenAI API.
    pub fn to_json(self) -> Json {
        serde_json::json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
            "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
        })
    }
}

/// Message from another task to a running call.
#[derive(Debug)]
pub enum CallControl {
    /// Attaches a caller and sends it the rest of the completion.
    Attach {
        /// Position up to which the caller has the completion; 0 tokens if it has nothing.
        from: Position,
        /// Channel for the remaining events. Dropping its receiver detaches the caller.
        sink: mpsc::Sender<CallEvent>,
    },
    /// Pauses the call, returns the state that another instance needs to resume it, and ends it here
    /// once another instance has it.
    HandOver {
        /// Resolves with true once the other instance has accepted the call. Callers stay attached
        /// until then, so that they do not reconnect too early. If it resolves with false, fails or
        /// takes too long, the call continues here.
        moved: oneshot::Receiver<bool>,
        /// Channel for the state of the call. If its receiver has been dropped, the call continues
        /// here.
        reply: oneshot::Sender<CallState>,
    },
}

/// State of a call, sufficient to resume it on another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallState {
    /// Client account of the caller; only callers of this account can reconnect.
    pub account: AccountName,
    /// Request body as sent by the caller.
    pub body: Bytes,
    /// Byte offset in `text` of the end of each token.
    pub end_offsets: Vec<u32>,
    /// Finish reason given by the engine, or `None` while the completion is unfinished.
    pub finish_reason: Option<SmolStr>,
    /// Request id reported to the caller, also part of the chunk ids.
    pub request_id: RequestId,
    /// Key with which the caller can reconnect: its idempotency key, or the request id.
    pub session: SmolStr,
    /// Text of the tokens received so far.
    pub text: String,
}

impl CallState {
    /// Number of tokens received from engines so far, on this and earlier instances.
    pub fn tokens(&self) -> u32 {
        self.end_offsets.len() as u32
    }

    /// Returns the hash of the text of the first `tokens` tokens, 0 if `tokens` is 0, or `None` if
    /// fewer tokens have been received.
    pub fn text_hash(&self, tokens: u32) -> Option<u64> {
        if tokens == 0 {
            return Some(0);
        }
        let end = *self.end_offsets.get(tokens as usize - 1)? as usize;
        Some(xxh3_64(&self.text.as_bytes()[..end]))
    }

    fn token_text(&self, index: usize) -> &str {
        let start = match index {
            0 => 0,
            _ => self.end_offsets[index - 1] as usize,
        };
        &self.text[start..self.end_offsets[index] as usize]
    }
}

/// How an attempt at an engine ended; only `Failed` and `Moved` can lead to another attempt.
enum AttemptOutcome {
    CallerGone,
    Done,
    Failed(AttemptError),
    HandedOver,
    /// The engine was silent, and the call has been placed on another one.
    Moved(Placement),
    Refused {
        body: Bytes,
        status: u16,
    },
}

/// An attached caller and what it has received.
struct Sink {
    channel: mpsc::Sender<CallEvent>,
    /// Position up to which the caller has the completion; chunks before it are not sent again.
    received: Position,
}

impl Sink {
    /// Sends one event. Returns false if the caller has disconnected or reads too slowly.
    async fn send(&self, event: CallEvent) -> bool {
        matches!(
            timeout(SLOW_CALLER_TIMEOUT, self.channel.send(event)).await,
            Ok(Ok(()))
        )
    }

    /// Sends a chunk unless the caller has it already. Returns false if the caller has
    /// disconnected, reads too slowly or has a different text.
    async fn deliver(&self, data: &Bytes, position: Position) -> bool {
        if position.tokens < self.received.tokens {
            return true;
        }
        if position.tokens > self.received.tokens {
            let data = data.clone();
            return self.send(CallEvent::Chunk { data, position }).await;
        }
        if position.text_hash == self.received.text_hash {
            return true;
        }
        self.send(CallEvent::Failed(Error::ResumeMismatch)).await;
        false
    }
}

/// Maximum number of callers attached to one call; attaching one more detaches the oldest.
const SINKS_MAX: usize = 4;

/// An accepted model call, owned by the task that runs it.
pub struct ModelCall {
    route_request: RouteRequest,
    context: Arc<Context>,
    control: mpsc::Receiver<CallControl>,
    dispatcher: Rc<Dispatcher>,
    /// Position and channel of the caller to attach when the call starts.
    first_sink: Option<(Position, mpsc::Sender<CallEvent>)>,
    /// True if the call continues without an attached caller, because its caller sent an
    /// idempotency key or the call was handed over from another instance.
    has_key: bool,
    /// True once a server may have run the call, here or at an earlier instance.
    may_have_run: bool,
    request: ChatRequest,
    /// Attached callers; more than one if a key is sent again while its first caller is still
    /// connected.
    sinks: SmallVec<[Sink; 1]>,
    started_at: Instant,
    state: CallState,
    /// False once a chunk with content other than text was sent; such a stream cannot be resumed.
    text_only: bool,
    usage: Usage,
}

/// Parameters of [`ModelCall::new`].
pub struct CallStart {
    /// Request by which the router chose the engine of the first attempt; it is used again to
    /// choose one for each retry.
    pub route_request: RouteRequest,
    /// Receiver of the call's messages. Other tasks get the sender from [`Sessions`].
    pub control: mpsc::Receiver<CallControl>,
    /// HTTP clients of the thread that runs the call.
    pub dispatcher: Rc<Dispatcher>,
    /// True if the call is to continue without an attached caller, because its caller sent an
    /// idempotency key or the call was handed over from another instance.
    pub has_key: bool,
    /// True if the call was moved here from another instance, whose servers may have run it.
    pub may_have_run: bool,
    /// Request parsed from the body in `state`; the engines' request bodies are made from it.
    pub request: ChatRequest,
    /// Channel of the first caller and the position up to which it has the completion; `None` after
    /// a hand-over, when no caller is attached yet.
    pub sink: Option<(Position, mpsc::Sender<CallEvent>)>,
    /// State from which the call is resumed; for a new call it contains no tokens.
    pub state: CallState,
}

impl ModelCall {
    /// Creates a call. Nothing is sent until [`run`](Self::run).
    pub fn new(context: Arc<Context>, start: CallStart) -> Self {
        Self {
            route_request: start.route_request,
            context,
            control: start.control,
            dispatcher: start.dispatcher,
            has_key: start.has_key,
            may_have_run: start.may_have_run,
            request: start.request,
            first_sink: start.sink,
            sinks: SmallVec::new(),
            started_at: Instant::now(),
            state: start.state,
            text_only: true,
            usage: Usage::default(),
        }
    }

    /// Runs the call to its end. `placement` holds the engine chosen for the first attempt.
    pub async fn run(mut self, placement: Placement) {
        if let Some((received, channel)) = self.first_sink.take() {
            self.attach(received, channel).await;
        }
        let mut tried: Vec<ServerName> = Vec::new();
        let mut placement = placement;
        let tokens_before = self.state.tokens();
        loop {
            let outcome = match self.state.finish_reason {
                Some(_) => AttemptOutcome::Done,
                None => self.attempt(&placement, &tried).await,
            };
            let failed = match outcome {
                AttemptOutcome::Failed(failed) => failed,
                AttemptOutcome::Done => {
                    self.end_attempt(&placement);
                    self.finish_whole(tokens_before).await;
                    return;
                }
                AttemptOutcome::CallerGone | AttemptOutcome::HandedOver => {
                    self.end_attempt(&placement);
                    self.finish(tokens_before);
                    return;
                }
                AttemptOutcome::Moved(next) => {
                    tried.push(placement.server.name.clone());
                    placement = next;
                    continue;
                }
                AttemptOutcome::Refused { body, status } => {
                    self.end_attempt(&placement);
                    if self.may_have_run {
                        let error = Error::ResponseLost {
                            server: placement.server.name.clone(),
                            reason: format!("status {status}"),
                        };
                        self.fail(error, tokens_before).await;
                        return;
                    }
                    self.send_all(|| CallEvent::Refused {
                        body: body.clone(),
                        status,
                    })
                    .await;
                    self.finish(tokens_before);
                    return;
                }
            };
            tried.push(placement.server.name.clone());
            match self.next_placement(&placement, failed, &tried).await {
                Ok(next) => placement = next,
                Err(error) => {
                    self.fail(error, tokens_before).await;
                    return;
                }
            }
        }
    }

    async fn next_placement(
        &mut self,
        placement: &Placement,
        failed: AttemptError,
        tried: &[ServerName],
    ) -> Result<Placement> {
        warn!(
            "attempt request={} server={} failed reason=\"{}\" tokens_sent={}",
            self.route_request.request_id,
            placement.server.name,
            shorten(&failed.reason),
            self.state.tokens(),
        );
        if !self.text_only || tried.len() >= ATTEMPTS_MAX {
            self.end_attempt(placement);
            return Err(Error::ResponseLost {
                server: placement.server.name.clone(),
                reason: failed.reason,
            });
        }
        self.context.metrics.retry(failed.failure);
        let retry = RetryAttempt {
            route_request: self.route_request.clone(),
            failed: placement.clone(),
            failure: failed.failure,
            tried: tried.to_vec(),
        };
        match self.context.retry(retry).await {
            Err(error) if self.may_have_run => {
                Err(error.after_lost_attempt(&placement.server.name, &failed.reason))
            }
            next => next,
        }
    }

    /// Asks for another engine for a call whose engine sends nothing but may still be working on it.
    /// Returns `None` if the call has to wait.
    async fn move_stalled(
        &self,
        placement: &Placement,
        tried: &[ServerName],
        silence: Duration,
    ) -> Option<Placement> {
        if !self.text_only || tried.len() + 1 >= ATTEMPTS_MAX {
            return None;
        }
        let mut tried = tried.to_vec();
        tried.push(placement.server.name.clone());
        let stalled = MoveStalled {
            route_request: self.route_request.clone(),
            stalled: placement.clone(),
            tried,
        };
        let moved = self.context.move_stalled(stalled).await;
        let outcome = match &moved {
            Ok(_) => "moved".to_owned(),
            Err(error) => format!("waits ({error})"),
        };
        warn!(
            "attempt request={} server={} silent_ms={} outcome=\"{outcome}\" tokens_sent={}",
            self.route_request.request_id,
            placement.server.name,
            silence.as_millis(),
            self.state.tokens(),
        );
        let next = moved.ok()?;
        self.context.metrics.retry(Failure::Stalled);
        Some(next)
    }

    async fn attempt(&mut self, placement: &Placement, tried: &[ServerName]) -> AttemptOutcome {
        let body = self.engine_body(placement);
        let mut response = match self.open(placement, body).await {
            Ok(response) => response,
            Err(outcome) => return outcome,
        };
        self.may_have_run = true;
        let resumed_tokens = self.state.tokens();
        let reservation = ByteReservation::new(self.dispatcher.event_budget.clone());
        let mut parser = SseParser::with_reservation(reservation);
        let mut idle = FIRST_EVENT_TIMEOUT;
        let mut event_at = TokioInstant::now();
        let mut wait_until = event_at + idle;
        let mut has_received = false;
        loop {
            while let Some(data) = parser.next_data() {
                if let Some(outcome) = self.handle_event(placement, &data, resumed_tokens).await {
                    return outcome;
                }
                idle = IDLE_TIMEOUT;
                event_at = TokioInstant::now();
                wait_until = event_at + idle;
                has_received = false;
            }
            let next = tokio::select! {
                next = timeout_at(wait_until, response.next()) => next,
                Some(control) = self.control.recv() => {
                    if self.handle_control(control).await {
                        return AttemptOutcome::HandedOver;
                    }
                    continue;
                }
                () = all_callers_gone(&self.sinks), if !self.has_key =>
                    return AttemptOutcome::CallerGone,
            };
            let (failure, reason) = match next {
                Ok(Some(Ok(bytes))) => match parser.push(&bytes) {
                    Ok(()) => {
                        has_received = true;
                        continue;
                    }
                    Err(error) => (Failure::Broken, error.to_string()),
                },
                Ok(Some(Err(error))) => (Failure::Broken, error.to_string()),
                Ok(None) => (
                    Failure::Broken,
                    "stream ended without a [DONE] event".to_owned(),
                ),
                Err(_) => {
                    let silence = event_at.elapsed();
                    if silence < SILENCE_MAX {
                        if let Some(next) = self.move_stalled(placement, tried, silence).await {
                            return AttemptOutcome::Moved(next);
                        }
                        // A silent engine may still answer; one that sends other bytes may do so
                        // without end.
                        if !has_received {
                            wait_until = TokioInstant::now() + idle;
                            continue;
                        }
                    }
                    let reason = format!("no event for {} s", silence.as_secs());
                    (Failure::Stalled, reason)
                }
            };
            let has_begun = self.state.tokens() > resumed_tokens;
            let failure = match failure {
                Failure::Broken if !has_begun => Failure::BrokenAtStart,
                failure => failure,
            };
            return AttemptOutcome::Failed(AttemptError {
                closed: false,
                failure,
                reason,
            });
        }
    }

    /// Opens the engine's stream. While it waits, callers can attach and disconnect.
    async fn open(
        &mut self,
        placement: &Placement,
        body: Bytes,
    ) -> Result<ResponseStream, AttemptOutcome> {
        let dispatcher = self.dispatcher.clone();
        let request_id = self.route_request.request_id.clone();
        let opened = dispatcher.open_stream(&placement.server, body, &request_id);
        tokio::pin!(opened);
        let refusal = loop {
            tokio::select! {
                opened = &mut opened => match opened {
                    Ok(response) => return Ok(response),
                    Err(refusal) => break refusal,
                },
                Some(control) = self.control.recv() => {
                    if self.handle_control(control).await {
                        return Err(AttemptOutcome::HandedOver);
                    }
                }
                () = all_callers_gone(&self.sinks), if !self.has_key =>
                    return Err(AttemptOutcome::CallerGone),
            }
        };
        Err(match refusal {
            OpenStreamError::BadRequest { body, status } => {
                AttemptOutcome::Refused { body, status }
            }
            OpenStreamError::Failed(mut failed) => {
                self.may_have_run |= failed.may_have_run();
                if failed.failure == Failure::Broken {
                    failed.failure = Failure::BrokenAtStart;
                }
                AttemptOutcome::Failed(failed)
            }
        })
    }

    /// Builds the request body for the engine: the caller's body, with streaming on and with the
    /// text already sent, from which the engine resumes.
    fn engine_body(&self, placement: &Placement) -> Bytes {
        let mut body = self.request.body.clone();
        body.insert("stream".to_owned(), Json::Bool(true));
        body.insert(
            "stream_options".to_owned(),
            serde_json::json!({ "include_usage": true }),
        );
        if let Some((_, version)) = placement.served_as.split_once('@') {
            body.insert("model_version".to_owned(), Json::from(version));
        }
        if self.state.tokens() > 0 {
            let resume = serde_json::json!({
                "text": self.state.text,
                "tokens": self.state.tokens(),
            });
            body.insert("resume_from".to_owned(), resume);
        }
        serde_json::to_vec(&body).unwrap_or_default().into()
    }

    /// Handles one event from the engine. Returns the outcome if the attempt has ended.
    async fn handle_event(
        &mut self,
        placement: &Placement,
        data: &Bytes,
        resumed_tokens: u32,
    ) -> Option<AttemptOutcome> {
        if data.as_ref() == b"[DONE]" {
            if self.state.finish_reason.is_some() {
                return Some(AttemptOutcome::Done);
            }
            return Some(failed_attempt(
                Failure::Broken,
                "stream ended without a finish reason",
            ));
        }
        let Ok(mut chunk) = serde_json::from_slice::<JsonMap>(data) else {
            return Some(failed_attempt(
                Failure::Broken,
                "engine sent an event that is not a JSON object",
            ));
        };
        if let Some(error) = chunk.get("error") {
            let leaving = error.get("code") == Some(&Json::from("leaving"));
            let failure = if leaving {
                Failure::Leaving
            } else {
                Failure::Status
            };
            return Some(failed_attempt(failure, &error.to_string()));
        }
        self.record_usage(placement, &chunk, resumed_tokens);
        if let Some(reason) = finish_reason(&chunk) {
            self.state.finish_reason = Some(reason);
        }
        let content = match chunk_content(&chunk) {
            ChunkContent::Empty => return None,
            ChunkContent::Other => {
                self.text_only = false;
                String::new()
            }
            ChunkContent::Text(text) => text,
        };
        if self.state.tokens() == 0 {
            self.context.metrics.first_token(self.started_at.elapsed());
        }
        if self.state.tokens() == resumed_tokens {
            self.context.router.do_send(RecordAnswer {
                content_hash: self.route_request.content_hash,
                parts: self.route_request.parts.clone(),
            });
        }
        self.state.text.push_str(&content);
        self.state.end_offsets.push(self.state.text.len() as u32);
        self.context.metrics.tokens(1);
        chunk.insert("id".to_owned(), Json::from(self.chunk_id()));
        chunk.insert("usage".to_owned(), Json::Null);
        let data = serde_json::to_vec(&chunk).unwrap_or_default().into();
        self.deliver(&data).await;
        let gone = self.sinks.is_empty() && !self.has_key;
        gone.then_some(AttemptOutcome::CallerGone)
    }

    fn record_usage(&mut self, placement: &Placement, chunk: &JsonMap, resumed_tokens: u32) {
        let Some(usage) = chunk.get("usage").and_then(Json::as_object) else {
            return;
        };
        let count = |field: &str| usage.get(field).and_then(Json::as_u64).unwrap_or(0) as u32;
        let details = usage.get("prompt_tokens_details");
        let cached = details.and_then(|details| details.get("cached_tokens"));
        let cached_tokens = cached.and_then(Json::as_u64).unwrap_or(0) as u32;
        let prompt_tokens = count("prompt_tokens");
        if resumed_tokens > 0 {
            let recomputed = (prompt_tokens + resumed_tokens).saturating_sub(cached_tokens);
            self.context.metrics.tokens_recomputed(recomputed);
        } else {
            self.usage.cached_tokens = cached_tokens;
        }
        self.usage.prompt_tokens = prompt_tokens;
        self.context.router.do_send(CorrectPrefixes {
            route_request: self.route_request.clone(),
            cached_tokens,
            placement: placement.clone(),
            prompt_tokens,
        });
    }

    fn chunk_id(&self) -> String {
        format!("chatcmpl-{}", self.state.request_id)
    }

    /// Sends the newest token to the attached callers and detaches those that did not take it.
    async fn deliver(&mut self, data: &Bytes) {
        let position = Position {
            text_hash: xxh3_64(self.state.text.as_bytes()),
            tokens: self.state.tokens(),
        };
        let mut index = 0;
        while index < self.sinks.len() {
            if self.sinks[index].deliver(data, position).await {
                index += 1;
            } else {
                self.sinks.remove(index);
            }
        }
    }

    async fn send_all(&mut self, event: impl Fn() -> CallEvent) {
        for sink in &self.sinks {
            // A failed send can be ignored because the call ends with this event.
            let _ = sink.send(event()).await;
        }
    }

    /// Handles a message from another task. Returns true if the call was handed over.
    async fn handle_control(&mut self, control: CallControl) -> bool {
        match control {
            CallControl::Attach { from, sink } => {
                self.attach(from, sink).await;
                false
            }
            CallControl::HandOver { moved, reply } => {
                if reply.send(self.state.clone()).is_err() {
                    return false;
                }
                let has_moved = matches!(timeout(HAND_OVER_TIMEOUT, moved).await, Ok(Ok(true)));
                if has_moved {
                    self.sinks.clear();
                }
                has_moved
            }
        }
    }

    /// Attaches a caller and sends it the tokens that it does not have yet.
    async fn attach(&mut self, received: Position, channel: mpsc::Sender<CallEvent>) {
        let sink = Sink { channel, received };
        let known = self.state.text_hash(received.tokens);
        if known.is_some_and(|known| known != received.text_hash) {
            sink.send(CallEvent::Failed(Error::ResumeMismatch)).await;
            return;
        }
        for index in received.tokens as usize..self.state.end_offsets.len() {
            let data = self.replayed_chunk(index);
            let tokens = index as u32 + 1;
            let text_hash = self.state.text_hash(tokens).unwrap_or(0);
            if !sink.deliver(&data, Position { text_hash, tokens }).await {
                return;
            }
        }
        if self.sinks.len() >= SINKS_MAX {
            self.sinks.remove(0);
        }
        self.sinks.push(sink);
    }

    fn replayed_chunk(&self, index: usize) -> Bytes {
        let chunk = serde_json::json!({
            "id": self.chunk_id(),
            "object": "chat.completion.chunk",
            "model": self.request.body.get("model"),
            "choices": [{
                "index": 0,
                "delta": { "content": self.state.token_text(index) },
                "finish_reason": null,
            }],
        });
        chunk.to_string().into()
    }

    fn end_attempt(&self, placement: &Placement) {
        self.context.router.do_send(EndAttempt {
            route_request: self.route_request.clone(),
            placement: placement.clone(),
        });
    }

    /// Reports the end to the attached callers, then keeps the completion so that callers can
    /// reconnect and fetch it.
    async fn finish_whole(&mut self, tokens_before: u32) {
        self.finish(tokens_before);
        self.send_done().await;
        if !self.has_key {
            return;
        }
        let until = tokio::time::Instant::now() + SESSION_TTL;
        loop {
            let control = tokio::time::timeout_at(until, self.control.recv()).await;
            let Ok(Some(control)) = control else {
                return;
            };
            if self.handle_control(control).await {
                return;
            }
            self.send_done().await;
        }
    }

    async fn send_done(&mut self) {
        self.usage.completion_tokens = self.state.tokens();
        for sink in std::mem::take(&mut self.sinks) {
            let event = match sink.received.tokens > self.state.tokens() {
                true => CallEvent::Failed(Error::ResumeMismatch),
                false => CallEvent::Done {
                    finish_reason: self.state.finish_reason.clone().unwrap_or_default(),
                    text: self.state.text.clone(),
                    usage: self.usage,
                },
            };
            sink.send(event).await;
        }
    }

    async fn fail(&mut self, error: Error, tokens_before: u32) {
        self.finish(tokens_before);
        self.send_all(|| CallEvent::Failed(error.clone())).await;
    }

    fn finish(&self, tokens_before: u32) {
        self.context.router.do_send(FinishRequest {
            route_request: self.route_request.clone(),
            tokens: self.state.tokens() - tokens_before,
        });
    }
}

/// Resolves when all attached callers have disconnected; never resolves if none is attached.
async fn all_callers_gone(sinks: &[Sink]) {
    if sinks.is_empty() {
        return std::future::pending().await;
    }
    for sink in sinks {
        sink.channel.closed().await;
    }
}

fn failed_attempt(failure: Failure, reason: &str) -> AttemptOutcome {
    AttemptOutcome::Failed(AttemptError {
        closed: false,
        failure,
        reason: reason.to_owned(),
    })
}

enum ChunkContent {
    Empty,
    Other,
    Text(String),
}

fn first_choice(chunk: &JsonMap) -> Option<&Json> {
    chunk.get("choices")?.get(0)
}

fn finish_reason(chunk: &JsonMap) -> Option<SmolStr> {
    let reason = first_choice(chunk)?.get("finish_reason")?.as_str()?;
    Some(reason.into())
}

/// Classifies the content of a chunk as text, as content that cannot be resumed (tool calls), or as
/// empty.
fn chunk_content(chunk: &JsonMap) -> ChunkContent {
    let Some(delta) = first_choice(chunk).and_then(|choice| choice.get("delta")) else {
        return ChunkContent::Empty;
    };
    if delta.get("tool_calls").is_some() {
        return ChunkContent::Other;
    }
    match delta.get("content").and_then(Json::as_str) {
        Some(text) if !text.is_empty() => ChunkContent::Text(text.to_owned()),
        _ => ChunkContent::Empty,
    }
}
