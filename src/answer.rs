//! Attaches callers to model calls (chat completions) and converts the calls' events into HTTP
//! responses.

use super::*;

use actix_web::HttpResponse;
use futures_util::stream;

/// A caller's request to start a model call or to reconnect to one.
pub struct JoinCall {
    /// Client account of the caller's key; calls of other accounts cannot be joined.
    pub account: AccountName,
    /// Request body as received. A call is moved here from another instance only if it has the same
    /// body.
    pub body: Bytes,
    /// Request parsed from `body`.
    pub chat: ChatRequest,
    /// Position up to which the caller has the completion; 0 tokens if it sent no event id.
    pub from: Position,
    /// Idempotency key sent by the caller, which names the session; if it is `None`, the request id
    /// does.
    pub key: Option<SmolStr>,
    /// Id generated for the request, or the one in the event id of a returning caller.
    pub request_id: RequestId,
    /// True if the caller sent an event id, so that its call may be running on another instance.
    pub is_returning: bool,
    /// Channel on which the caller's response receives the events of the call.
    pub sink: mpsc::Sender<CallEvent>,
}

/// Attaches the caller to the running call of its session (named by its idempotency key, or else by
/// its request id), or starts a call. If a returning caller's call runs on another instance, the
/// call is moved here and continued.
pub async fn join_call(worker: &Worker, join: JoinCall) -> Result {
    let context = &worker.context;
    let session = join.key.clone().unwrap_or_else(|| join.request_id.clone());
    let (control, control_receiver) = mpsc::channel(CONTROL_CAPACITY);
    let open = OpenSession {
        content_hash: join.chat.content_hash,
        control,
        key: (join.account.clone(), session.clone()),
    };
    if let Some(running) = context.open_session(open).await? {
        let attach = CallControl::Attach {
            from: join.from,
            sink: join.sink.clone(),
        };
        if running.send(attach).await.is_ok() {
            info!(
                "join request={} account={} session=running",
                join.request_id, join.account
            );
            return Ok(());
        }
    }
    let key = (join.account.clone(), session.clone());
    let moved = match join.is_returning {
        true => context.fetch_session(key).await,
        false => None,
    };
    let moved = moved.filter(|state| state.body == join.body);
    let route_request =
        placement_request(&join.chat, join.account.clone(), join.request_id.clone());
    let placement = context
        .admit(route_request.clone(), moved.is_some())
        .await?;
    let start = CallStart {
        route_request,
        control: control_receiver,
        dispatcher: worker.dispatcher.clone(),
        has_key: join.key.is_some(),
        may_have_run: moved.is_some(),
        request: join.chat,
        sink: Some((join.from, join.sink)),
        state: moved.unwrap_or_else(|| CallState {
            account: join.account,
            body: join.body,
            end_offsets: Vec::new(),
            finish_reason: None,
            request_id: join.request_id,
            session,
            text: String::new(),
        }),
    };
    spawn_call(context.clone(), start, placement);
    Ok(())
}

/// Runs a call in a task on the current thread. At its end, removes it from the registry of running
/// calls.
pub fn spawn_call(context: Arc<Context>, start: CallStart, placement: Placement) {
    let key = (start.state.account.clone(), start.state.session.clone());
    let sessions = context.sessions.clone();
    let call = ModelCall::new(context, start);
    actix_rt::spawn(async move {
        call.run(placement).await;
        sessions.do_send(CloseSession(key));
    });
}

/// Builds the request by which the router chooses a server. The prompt's length is given in blocks
/// of `BLOCK_BYTES`, rounded up.
pub fn placement_request(
    chat: &ChatRequest,
    account: AccountName,
    request_id: RequestId,
) -> RouteRequest {
    RouteRequest {
        call: 0,
        account,
        content_hash: chat.content_hash,
        conversation: chat.conversation_hash,
        parts: chat.parts.clone(),
        prefixes: chat.prefixes.clone(),
        prompt_blocks: chat.prompt_bytes.div_ceil(BLOCK_BYTES),
        request_id,
        subject: chat.subject.clone(),
    }
}

/// Waits for the end of a call and returns the completion in one response. Fails with
/// [`Error::CallMoved`] if the call has moved to another instance before its end.
pub async fn collect_response(
    worker: &Worker,
    request_id: &str,
    chat: &ChatRequest,
    mut events: mpsc::Receiver<CallEvent>,
) -> Result<HttpResponse> {
    while let Some(event) = events.recv().await {
        match event {
            CallEvent::Chunk { .. } => {}
            CallEvent::Done {
                finish_reason,
                text,
                usage,
            } => {
                log_whole(
                    &worker.context,
                    request_id,
                    &format!("tokens={}", usage.completion_tokens),
                );
                let model = model_name(chat);
                let completion = chat_json(request_id, &model, &text, &finish_reason, usage);
                return Ok(response_builder(200, request_id, Outcome::Whole).json(completion));
            }
            CallEvent::Failed(error) => return Err(error),
            CallEvent::Refused { body, status } => {
                return Ok(refused(worker, request_id, body, status));
            }
        }
    }
    Err(Error::CallMoved)
}

/// Starts a streaming response. The head is sent only after the first event, so that a call that
/// fails before it still gets an error status.
pub async fn stream_response(
    worker: &Worker,
    request_id: &str,
    chat: &ChatRequest,
    mut events: mpsc::Receiver<CallEvent>,
) -> Result<HttpResponse> {
    let first = match events.recv().await {
        Some(CallEvent::Failed(error)) => return Err(error),
        Some(CallEvent::Refused { body, status }) => {
            return Ok(refused(worker, request_id, body, status));
        }
        Some(first) => first,
        None => return Err(Error::CallMoved),
    };
    let writer = EventWriter {
        context: worker.context.clone(),
        events,
        first: Some(first),
        has_ended: false,
        include_usage: chat.stream_usage,
        model: model_name(chat),
        request_id: request_id.into(),
    };
    let body = stream::unfold(writer, |mut writer| async move {
        let bytes = writer.next().await?;
        Some((bytes, writer))
    });
    Ok(HttpResponse::Ok()
        .insert_header((REQUEST_ID_HEADER, request_id))
        .insert_header(("cache-control", "no-cache"))
        .content_type("text/event-stream")
        .streaming(body))
}

/// Forwards an engine's rejection of a request as invalid; the engine has generated nothing.
fn refused(worker: &Worker, request_id: &str, body: Bytes, status: u16) -> HttpResponse {
    worker
        .context
        .metrics
        .outcome(Outcome::NotRun, "refused_by_engine");
    info!("finish request={request_id} outcome=not-run status={status} code=refused_by_engine");
    response_builder(status, request_id, Outcome::NotRun)
        .content_type("application/json")
        .body(body)
}

fn model_name(chat: &ChatRequest) -> Json {
    chat.body.get("model").cloned().unwrap_or_default()
}

/// Converts a call's events into server-sent events.
struct EventWriter {
    context: Arc<Context>,
    events: mpsc::Receiver<CallEvent>,
    first: Option<CallEvent>,
    has_ended: bool,
    include_usage: bool,
    model: Json,
    request_id: RequestId,
}

impl EventWriter {
    /// Formats the next event, or returns `None` at the end of the stream. If the call has moved to
    /// another instance, the body ends with an error. This closes the connection, and the caller
    /// reconnects for the rest.
    async fn next(&mut self) -> Option<Result<Bytes, Error>> {
        if self.has_ended {
            return None;
        }
        let event = match self.first.take() {
            Some(first) => Some(first),
            None => self.events.recv().await,
        };
        match event {
            Some(CallEvent::Chunk { data, position }) => Some(Ok(write_event(
                &event_id(&self.request_id, position),
                &data,
            ))),
            Some(CallEvent::Done {
                finish_reason,
                usage,
                ..
            }) => {
                self.has_ended = true;
                Some(Ok(self.closing_events(&finish_reason, usage)))
            }
            Some(CallEvent::Failed(error)) => {
                self.has_ended = true;
                Some(Ok(self.error_event(&error)))
            }
            Some(CallEvent::Refused { .. }) | None => {
                self.has_ended = true;
                Some(Err(Error::CallMoved))
            }
        }
    }

    fn closing_events(&self, finish_reason: &str, usage: Usage) -> Bytes {
        let detail = format!("tokens={}", usage.completion_tokens);
        log_whole(&self.context, &self.request_id, &detail);
        let choices = serde_json::json!([{
            "index": 0, "delta": {}, "finish_reason": finish_reason,
        }]);
        let last = closing_chunk(&self.request_id, &self.model, choices, Json::Null);
        let mut text = format!("data: {last}\n\n");
        if self.include_usage {
            let empty = Json::Array(Vec::new());
            let chunk = closing_chunk(&self.request_id, &self.model, empty, usage.to_json());
            let _ = write!(text, "data: {chunk}\n\n");
        }
        let mut bytes = BytesMut::from(text.as_bytes());
        bytes.extend_from_slice(DONE_EVENT);
        bytes.freeze()
    }

    fn error_event(&self, error: &Error) -> Bytes {
        let (status, code) = error.status();
        self.context.metrics.outcome(error.outcome(), code);
        info!(
            "finish request={} outcome={} status={status} code={code} reason=\"{error}\"",
            self.request_id,
            error.outcome().as_str()
        );
        format!("data: {}\n\n", error_json(error)).into()
    }
}
