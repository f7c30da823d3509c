//! Carries one accepted model call to its end: places it, relays tokens, resumes on another
//! engine from the tokens already sent, and lets its caller come back.
//!
//! One task owns a call. Callers attach to it by channel; other tasks reach it through
//! [`Sessions`].

use super::*;

use std::rc::Rc;

use tokio::time::timeout;

/// Events that wait for a slow caller before the engine's stream is stalled.
pub const SINK_EVENTS: usize = 64;

/// A caller that takes nothing for this long is given up.
const SLOW_CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// An engine that sends nothing for this long in the middle of a stream is given up.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for the first event after the head.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// A finished call can be fetched again for this long.
pub const SESSION_TTL: Duration = Duration::from_secs(120);

/// Callers are let go at the latest after this part of a hand-over.
const MOVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Servers that a call may try.
const ATTEMPTS_MAX: usize = 8;

/// Place in a stream: tokens received and the hash of their text.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Position {
    /// Hash of the text of the tokens; guards against joining two different texts.
    pub text_hash: u64,
    /// Tokens received.
    pub tokens: u32,
}

/// What a call's caller is sent.
#[derive(Debug)]
pub enum CallEvent {
    /// One chunk of the answer.
    Chunk {
        /// JSON of the chunk.
        data: Bytes,
        /// Place after it.
        position: Position,
    },
    /// The whole answer has been sent.
    Done {
        /// Reason the engine gave.
        finish_reason: SmolStr,
        /// Text of the whole answer.
        text: String,
        /// Token counts.
        usage: Usage,
    },
    /// The call failed; nothing follows.
    Failed(Error),
    /// The engine refused the request itself.
    Refused {
        /// Body of the refusal.
        body: Bytes,
        /// Status of the refusal.
        status: u16,
    },
}

/// Token counts as callers see them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Prompt tokens found in a cache.
    pub cached_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
}

impl Usage {
    /// JSON of the usual `usage` object.
    pub fn to_json(self) -> Json {
        serde_json::json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
            "prompt_tokens_details": { "cached_tokens": self.cached_tokens },
        })
    }
}

/// What other tasks ask of a running call.
#[derive(Debug)]
pub enum CallControl {
    /// Sends the answer from a place on to a caller who came back.
    Attach {
        /// What the caller has.
        from: Position,
        /// Where the rest goes.
        sink: mpsc::Sender<CallEvent>,
    },
    /// Stops the call here and gives what another instance needs to go on.
    HandOver {
        /// Resolves once the other instance has the call; until then callers stay attached, so
        /// that they do not come back too early.
        moved: oneshot::Receiver<()>,
        /// Takes the state of the call.
        reply: oneshot::Sender<CallState>,
    },
}

/// What is kept of a call, enough to go on elsewhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallState {
    /// Account of the caller.
    pub account: AccountName,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// End of each token in `text`, in bytes.
    pub ends: Vec<u32>,
    /// Reason the engine gave, once the answer is whole.
    pub finish_reason: Option<SmolStr>,
    /// Id told to the caller.
    pub request_id: RequestId,
    /// Key under which the caller may come back: its own, or the request id.
    pub session: SmolStr,
    /// Text sent so far.
    pub text: String,
}

impl CallState {
    /// Tokens so far.
    pub fn tokens(&self) -> u32 {
        self.ends.len() as u32
    }

    /// Hash of the text of the first `tokens` tokens, if there are as many.
    pub fn text_hash(&self, tokens: u32) -> Option<u64> {
        if tokens == 0 {
            return Some(0);
        }
        let end = *self.ends.get(tokens as usize - 1)? as usize;
        Some(xxh3_64(&self.text.as_bytes()[..end]))
    }

    fn piece(&self, index: usize) -> &str {
        let start = match index {
            0 => 0,
            _ => self.ends[index - 1] as usize,
        };
        &self.text[start..self.ends[index] as usize]
    }
}

/// How an attempt ended.
enum AttemptEnd {
    CallerGone,
    Done,
    Failed(AttemptError),
    HandedOver,
    Refused { body: Bytes, status: u16 },
}

/// An attached caller.
struct Sink {
    channel: mpsc::Sender<CallEvent>,
    /// What the caller has; chunks up to it are not sent again.
    has: Position,
}

impl Sink {
    /// Sends one event. Returns false if the caller is gone.
    async fn send(&self, event: CallEvent) -> bool {
        matches!(
            timeout(SLOW_CALLER_TIMEOUT, self.channel.send(event)).await,
            Ok(Ok(()))
        )
    }

    /// Sends a chunk unless the caller has it. Returns false if the caller is gone or has
    /// another text.
    async fn deliver(&self, data: &Bytes, position: Position) -> bool {
        if position.tokens < self.has.tokens {
            return true;
        }
        if position.tokens > self.has.tokens {
            let data = data.clone();
            return self.send(CallEvent::Chunk { data, position }).await;
        }
        if position.text_hash == self.has.text_hash {
            return true;
        }
        self.send(CallEvent::Failed(Error::ResumeMismatch)).await;
        false
    }
}

/// Callers attached to one call; a further one displaces the first.
const SINKS_MAX: usize = 4;

/// One accepted model call.
pub struct ModelCall {
    ask: Ask,
    context: Arc<Context>,
    control: mpsc::Receiver<CallControl>,
    dispatcher: Rc<Dispatcher>,
    /// The caller that the call starts with.
    first_sink: Option<(Position, mpsc::Sender<CallEvent>)>,
    /// True if the caller gave a key and may come back.
    keyed: bool,
    request: ChatRequest,
    /// Attached callers; more than one if a key was sent again while its first caller still reads.
    sinks: SmallVec<[Sink; 1]>,
    started_at: Instant,
    state: CallState,
    /// False once something other than text was sent, which cannot be resumed.
    text_only: bool,
    usage: Usage,
}

/// What starts a call.
pub struct CallStart {
    /// Placement needs.
    pub ask: Ask,
    /// Other tasks' requests.
    pub control: mpsc::Receiver<CallControl>,
    /// Clients of the current thread.
    pub dispatcher: Rc<Dispatcher>,
    /// True if the caller gave a key.
    pub keyed: bool,
    /// The checked request.
    pub request: ChatRequest,
    /// The first caller; `None` after a hand-over.
    pub sink: Option<(Position, mpsc::Sender<CallEvent>)>,
    /// Empty for a new call.
    pub state: CallState,
}

impl ModelCall {
    /// Prepares a call; [`run`](Self::run) carries it out.
    pub fn new(context: Arc<Context>, start: CallStart) -> Self {
        Self {
            ask: start.ask,
            context,
            control: start.control,
            dispatcher: start.dispatcher,
            keyed: start.keyed,
            request: start.request,
            first_sink: start.sink,
            sinks: SmallVec::new(),
            started_at: Instant::now(),
            state: start.state,
            text_only: true,
            usage: Usage::default(),
        }
    }

    /// Carries the call to its end. `placement` is its first attempt's.
    pub async fn run(mut self, placement: Placement) {
        if let Some((has, channel)) = self.first_sink.take() {
            self.attach(has, channel).await;
        }
        let mut tried: Vec<ServerName> = Vec::new();
        let mut placement = placement;
        let tokens_before = self.state.tokens();
        loop {
            let end = match self.state.finish_reason {
                Some(_) => AttemptEnd::Done,
                None => self.attempt(&placement).await,
            };
            let failed = match end {
                AttemptEnd::Failed(failed) => failed,
                AttemptEnd::Done => {
                    self.end_attempt(&placement);
                    self.finish_whole(tokens_before).await;
                    return;
                }
                AttemptEnd::CallerGone | AttemptEnd::HandedOver => {
                    self.end_attempt(&placement);
                    self.finish(tokens_before);
                    return;
                }
                AttemptEnd::Refused { body, status } => {
                    self.end_attempt(&placement);
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
            self.ask.request_id,
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
        let retry = RetryAsk {
            ask: self.ask.clone(),
            failed: placement.clone(),
            failure: failed.failure,
            tried: tried.to_vec(),
        };
        self.context.retry(retry).await
    }

    /// Runs one attempt on a server.
    async fn attempt(&mut self, placement: &Placement) -> AttemptEnd {
        let body = self.engine_body(placement);
        let mut answer = match self.open(placement, body).await {
            Ok(answer) => answer,
            Err(end) => return end,
        };
        let resumed_at = self.state.tokens();
        let mut parser = SseParser::default();
        let mut idle = FIRST_EVENT_TIMEOUT;
        loop {
            while let Some(data) = parser.next_data() {
                idle = IDLE_TIMEOUT;
                if let Some(end) = self.take_event(placement, &data, resumed_at).await {
                    return end;
                }
            }
            let next = tokio::select! {
                next = timeout(idle, answer.next()) => next,
                Some(control) = self.control.recv() => {
                    if self.take_control(control).await {
                        return AttemptEnd::HandedOver;
                    }
                    continue;
                }
                () = callers_gone(&self.sinks), if !self.keyed => return AttemptEnd::CallerGone,
            };
            let failed = match next {
                Ok(Some(Ok(bytes))) => match parser.push(&bytes) {
                    Ok(()) => continue,
                    Err(error) => error.to_string(),
                },
                Ok(Some(Err(error))) => error.to_string(),
                Ok(None) => "stream ended before its answer did".to_owned(),
                Err(_) => format!("no event for {} s", idle.as_secs()),
            };
            return AttemptEnd::Failed(AttemptError {
                failure: Failure::Broken,
                reason: failed,
            });
        }
    }

    /// Opens the engine's stream, while callers may leave or come back.
    async fn open(
        &mut self,
        placement: &Placement,
        body: Bytes,
    ) -> Result<AnswerStream, AttemptEnd> {
        let dispatcher = self.dispatcher.clone();
        let request_id = self.ask.request_id.clone();
        let opened = dispatcher.open_stream(&placement.server, body, &request_id);
        tokio::pin!(opened);
        let refusal = loop {
            tokio::select! {
                opened = &mut opened => match opened {
                    Ok(answer) => return Ok(answer),
                    Err(refusal) => break refusal,
                },
                Some(control) = self.control.recv() => {
                    if self.take_control(control).await {
                        return Err(AttemptEnd::HandedOver);
                    }
                }
                () = callers_gone(&self.sinks), if !self.keyed => return Err(AttemptEnd::CallerGone),
            }
        };
        Err(match refusal {
            StreamRefusal::Caller { body, status } => AttemptEnd::Refused { body, status },
            StreamRefusal::Failed(failed) => AttemptEnd::Failed(failed),
        })
    }

    /// Body for the engine: the caller's, streamed, with the text already sent as a prefix.
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

    /// Takes one event of the engine. Returns how the attempt ended, if it did.
    async fn take_event(
        &mut self,
        placement: &Placement,
        data: &Bytes,
        resumed_at: u32,
    ) -> Option<AttemptEnd> {
        if data.as_ref() == b"[DONE]" {
            if self.state.finish_reason.is_some() {
                return Some(AttemptEnd::Done);
            }
            return Some(failed(
                Failure::Broken,
                "stream is done without a finish reason",
            ));
        }
        let Ok(mut chunk) = serde_json::from_slice::<JsonMap>(data) else {
            return Some(failed(
                Failure::Broken,
                "engine sent an event that is not JSON",
            ));
        };
        if let Some(error) = chunk.get("error") {
            let leaving = error.get("code") == Some(&Json::from("leaving"));
            let failure = if leaving {
                Failure::Leaving
            } else {
                Failure::Status
            };
            return Some(failed(failure, &error.to_string()));
        }
        self.take_usage(placement, &chunk, resumed_at);
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
        self.state.text.push_str(&content);
        self.state.ends.push(self.state.text.len() as u32);
        self.context.metrics.tokens(1);
        chunk.insert("id".to_owned(), Json::from(self.chunk_id()));
        chunk.insert("usage".to_owned(), Json::Null);
        let data = serde_json::to_vec(&chunk).unwrap_or_default().into();
        self.deliver(&data).await;
        let gone = self.sinks.is_empty() && !self.keyed;
        gone.then_some(AttemptEnd::CallerGone)
    }

    fn take_usage(&mut self, placement: &Placement, chunk: &JsonMap, resumed_at: u32) {
        let Some(usage) = chunk.get("usage").and_then(Json::as_object) else {
            return;
        };
        let count = |field: &str| usage.get(field).and_then(Json::as_u64).unwrap_or(0) as u32;
        let details = usage.get("prompt_tokens_details");
        let cached = details.and_then(|details| details.get("cached_tokens"));
        let cached_tokens = cached.and_then(Json::as_u64).unwrap_or(0) as u32;
        let prompt_tokens = count("prompt_tokens");
        if resumed_at > 0 {
            let recomputed = (prompt_tokens + resumed_at).saturating_sub(cached_tokens);
            self.context.metrics.tokens_recomputed(recomputed);
        } else {
            self.usage.cached_tokens = cached_tokens;
        }
        self.usage.prompt_tokens = prompt_tokens;
        self.context.router.do_send(CorrectPrefixes {
            ask: self.ask.clone(),
            cached_tokens,
            placement: placement.clone(),
            prompt_tokens,
        });
    }

    fn chunk_id(&self) -> String {
        format!("chatcmpl-{}", self.state.request_id)
    }

    /// Sends the newest token to the attached callers and lets go of those that are gone.
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
            // A caller that is gone misses nothing: the call ends here.
            let _ = sink.send(event()).await;
        }
    }

    /// Takes a request of another task. Returns true if the call was handed over.
    async fn take_control(&mut self, control: CallControl) -> bool {
        match control {
            CallControl::Attach { from, sink } => {
                self.attach(from, sink).await;
                false
            }
            CallControl::HandOver { moved, reply } => {
                let handed = reply.send(self.state.clone()).is_ok();
                if handed {
                    // Resolves too, with an error, if the other side gives up.
                    let _ = timeout(MOVE_TIMEOUT, moved).await;
                    self.sinks.clear();
                }
                handed
            }
        }
    }

    /// Sends a returned caller what it lacks of the tokens so far.
    async fn attach(&mut self, has: Position, channel: mpsc::Sender<CallEvent>) {
        let sink = Sink { channel, has };
        let known = self.state.text_hash(has.tokens);
        if known.is_some_and(|known| known != has.text_hash) {
            sink.send(CallEvent::Failed(Error::ResumeMismatch)).await;
            return;
        }
        for index in has.tokens as usize..self.state.ends.len() {
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
                "delta": { "content": self.state.piece(index) },
                "finish_reason": null,
            }],
        });
        chunk.to_string().into()
    }

    fn end_attempt(&self, placement: &Placement) {
        self.context.router.do_send(EndAttempt {
            ask: self.ask.clone(),
            placement: placement.clone(),
        });
    }

    /// Tells the caller of the end, then keeps the answer for callers who come back.
    async fn finish_whole(&mut self, tokens_before: u32) {
        self.finish(tokens_before);
        self.send_done().await;
        if !self.keyed {
            return;
        }
        let until = tokio::time::Instant::now() + SESSION_TTL;
        loop {
            let control = tokio::time::timeout_at(until, self.control.recv()).await;
            let Ok(Some(control)) = control else {
                return;
            };
            if self.take_control(control).await {
                return;
            }
            self.send_done().await;
        }
    }

    async fn send_done(&mut self) {
        self.usage.completion_tokens = self.state.tokens();
        for sink in std::mem::take(&mut self.sinks) {
            let event = match sink.has.tokens > self.state.tokens() {
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
            ask: self.ask.clone(),
            tokens: self.state.tokens() - tokens_before,
        });
    }
}

/// Ends when all attached callers are gone; never, if none is attached.
async fn callers_gone(sinks: &[Sink]) {
    if sinks.is_empty() {
        return std::future::pending().await;
    }
    for sink in sinks {
        sink.channel.closed().await;
    }
}

fn failed(failure: Failure, reason: &str) -> AttemptEnd {
    AttemptEnd::Failed(AttemptError {
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

/// Content of a chunk: text, something that cannot be resumed (tool calls), or nothing to send.
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
