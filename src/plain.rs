//! Runs plain calls (calls other than chat completions): idempotent ones with retries, the others
//! at most once under a claim, a log record that reserves the call's idempotency key for one
//! instance. A later record holds the outcome, or releases the claim if the call did not run. The
//! router chooses the server of each attempt; its choice is a [`Placement`].

use super::*;

use actix_web::HttpResponse;
use actix_web::http::Method;
use actix_web::http::header::HeaderName;
use actix_web::http::header::HeaderValue;
use rand::Rng;

/// Maximum size of a response body that is recorded with the outcome of a claim; for a larger one
/// only the status and the content type are recorded.
const RECORDED_BODY_MAX_BYTES: usize = 4 << 10;

/// Maximum size of the response to a call that may not be repeated; it is buffered before it is
/// forwarded.
const ONCE_RESPONSE_MAX_BYTES: usize = 16 << 20;

/// Maximum time for looking up a key at one backend server; after it the key counts as not found on
/// that server.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time that a call waits until the record that releases its claim is in the log.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of attempts for one idempotent call.
const ATTEMPTS_MAX: usize = 4;

/// A plain call whose account and route are known, before anything of it is sent.
pub struct PlainRequest {
    /// Client account of the caller's key, sent to the server as `x-client-account`.
    pub account: AccountName,
    /// Whole request body. A key that is used again with a different body is rejected.
    pub body: Bytes,
    /// Caller's headers without those of the connection, credentials, request id and idempotency
    /// key.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Idempotency key sent by the caller. If it is `None`, a call that may not be repeated gets a
    /// generated one.
    pub key: Option<SmolStr>,
    /// HTTP method; `GET` and `HEAD` are idempotent on any route.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub path_and_query: String,
    /// Id generated for this request, sent to the server and returned to the caller.
    pub request_id: RequestId,
    /// Settings of the route whose prefix is the longest match for the path.
    pub route: Route,
    /// Prefix of that route; the router chooses among the servers that serve it.
    pub subject: Subject,
}

impl PlainRequest {
    fn route_request(&self) -> RouteRequest {
        RouteRequest {
            account: self.account.clone(),
            call: xxh3_64_with_seed(self.account.as_bytes(), self.body_hash()),
            content_hash: 0,
            conversation: 0,
            parts: SuspectParts::new(),
            prefixes: PrefixHashes::new(),
            prompt_blocks: 0,
            request_id: self.request_id.clone(),
            subject: self.subject.clone(),
        }
    }

    /// Returns true if running the call more than once does no harm.
    fn is_idempotent(&self) -> bool {
        self.route.repeatable || self.method == Method::GET || self.method == Method::HEAD
    }

    fn outgoing_headers(&self, key: Option<&str>) -> Vec<(String, Vec<u8>)> {
        let mut headers = self.headers.clone();
        let mut add = |name: &str, value: &str| {
            headers.push((name.to_owned(), value.as_bytes().to_vec()));
        };
        add("x-client-account", &self.account);
        add(REQUEST_ID_HEADER, &self.request_id);
        if let Some(key) = key {
            add("idempotency-key", key);
        }
        headers
    }

    fn call<'a>(
        &'a self,
        headers: &'a [(String, Vec<u8>)],
        fencing: Option<LogOffset>,
    ) -> PlainCall<'a> {
        PlainCall {
            body: self.body.clone(),
            fencing,
            headers,
            method: self.method.clone(),
            path_and_query: &self.path_and_query,
            timeout: self.route.timeout,
        }
    }

    fn body_hash(&self) -> u64 {
        let seed = xxh3_64(format!("{} {}", self.method, self.path_and_query).as_bytes());
        xxh3_64_with_seed(&self.body, seed)
    }
}

/// Runs a plain call: an idempotent one is retried on other servers, any other one runs at most
/// once. The error tells whether the call may have run.
pub async fn serve_plain(worker: &Worker, request: PlainRequest) -> Result<HttpResponse> {
    match request.is_idempotent() {
        true => serve_idempotent(worker, &request).await,
        false => serve_at_most_once(worker, &request).await,
    }
}

async fn serve_idempotent(worker: &Worker, request: &PlainRequest) -> Result<HttpResponse> {
    let context = &worker.context;
    let route_request = request.route_request();
    let headers = request.outgoing_headers(request.key.as_deref());
    let mut placement = context.admit(route_request.clone(), false).await?;
    let mut may_have_run = false;
    let mut tried = Vec::new();
    loop {
        let call = request.call(&headers, None);
        let sent = worker
            .dispatcher
            .send_plain(&placement.server, call, false)
            .await;
        let failed = match sent {
            Ok(response) => {
                end_request(context, &route_request, &placement);
                log_whole(
                    context,
                    &request.request_id,
                    &format!("status={}", response.status),
                );
                let route_request = route_request.clone();
                return Ok(forward_response(
                    context,
                    request,
                    route_request,
                    placement,
                    response,
                ));
            }
            Err(failed) => failed,
        };
        log_attempt_failure(request, &placement, &failed);
        record_broken_call(context, &route_request, &placement, &failed);
        may_have_run |= failed.may_have_run();
        tried.push(placement.server.name.clone());
        context.metrics.retry(failed.failure);
        let retry = RetryAttempt {
            route_request: route_request.clone(),
            failed: placement.clone(),
            failure: failed.failure,
            tried: tried.clone(),
        };
        let next = match tried.len() < ATTEMPTS_MAX {
            true => match context.retry(retry).await {
                Err(error) if may_have_run => {
                    Err(error.after_lost_attempt(&placement.server.name, &failed.reason))
                }
                next => next,
            },
            false => {
                context.router.do_send(EndAttempt {
                    route_request: route_request.clone(),
                    placement: placement.clone(),
                });
                Err(lost_error(&placement, failed))
            }
        };
        match next {
            Ok(next) => placement = next,
            Err(error) => {
                context.router.do_send(FinishRequest {
                    route_request,
                    tokens: 0,
                });
                return Err(error);
            }
        }
    }
}

/// Runs a call that may not be repeated: claims its key, sends it once and records its outcome.
async fn serve_at_most_once(worker: &Worker, request: &PlainRequest) -> Result<HttpResponse> {
    let context = &worker.context;
    let key = match &request.key {
        Some(key) => key.clone(),
        None => SmolStr::from(uuid::Uuid::now_v7().to_string()),
    };
    let claim = Claim {
        body_hash: request.body_hash(),
        holder: context.settings.instance.clone(),
        is_generated: request.key.is_none(),
        key: key_hash(&request.account, &key),
        key_time_ms: key_time_ms(&key)?,
        nonce: rand::rng().next_u64(),
    };
    let route_request = request.route_request();
    let placement = context.admit(route_request.clone(), false).await?;
    let task = OnceTask {
        route_request,
        call: AtMostOnceCall::new(
            boot_time(),
            claim,
            request.key.is_none(),
            context.settings.claim_window,
        ),
        failed: None,
        headers: request.outgoing_headers(Some(&key)),
        is_placed: true,
        key: key.clone(),
        placement,
        request,
        response: None,
        tried: Vec::new(),
        worker,
    };
    let mut response = task.run().await?;
    if let Ok(value) = HeaderValue::from_str(&key) {
        let name = HeaderName::from_static("idempotency-key");
        response.headers_mut().insert(name, value);
    }
    Ok(response)
}

/// Executes the actions of an [`AtMostOnceCall`], which decides the steps of a call that may not be
/// repeated.
struct OnceTask<'a> {
    route_request: RouteRequest,
    call: AtMostOnceCall,
    /// Failure of the last attempt, until a server is chosen for the next one.
    failed: Option<AttemptError>,
    headers: Vec<(String, Vec<u8>)>,
    /// True while the router counts the attempt at the server of `placement` as running.
    is_placed: bool,
    key: SmolStr,
    placement: Placement,
    request: &'a PlainRequest,
    /// Buffered response of the server; `None` until a complete one has arrived.
    response: Option<HttpResponse>,
    tried: Vec<ServerName>,
    worker: &'a Worker,
}

impl OnceTask<'_> {
    async fn run(mut self) -> Result<HttpResponse> {
        let context = self.worker.context.clone();
        let result = self.run_steps(&context).await;
        // A retry for which the router found no server has already ended the previous attempt.
        if self.is_placed {
            end_attempt(&context, &self.route_request, &self.placement);
        }
        context.router.do_send(FinishRequest {
            route_request: self.route_request,
            tokens: 0,
        });
        result
    }

    async fn run_steps(&mut self, context: &Arc<Context>) -> Result<HttpResponse> {
        let verdict = context
            .order(ClaimRecord::Claim(self.call.claim().clone()))
            .await;
        info!(
            "claim request={} account={} key={} verdict={}",
            self.request.request_id,
            self.request.account,
            self.key,
            verdict_name(&verdict)
        );
        let mut event = AtMostOnceEvent::Ordered(verdict);
        loop {
            let step = context.checked(self.call.step(boot_time(), event))?;
            event = match step.action {
                AtMostOnceAction::LookUp => AtMostOnceEvent::LookedUp(self.look_up().await),
                AtMostOnceAction::Place { pause } => {
                    tokio::time::sleep(pause).await;
                    AtMostOnceEvent::Placed(self.place().await)
                }
                AtMostOnceAction::Release => {
                    AtMostOnceEvent::Ordered(append_release(context, step.record).await)
                }
                AtMostOnceAction::Reply(reply) => {
                    if let Some(record) = step.record {
                        append_in_background(context, record);
                    }
                    return self.reply(context, reply);
                }
                AtMostOnceAction::Send { fencing } => self.send(fencing).await,
            };
        }
    }

    async fn send(&mut self, fencing: LogOffset) -> AtMostOnceEvent {
        let call = self.request.call(&self.headers, Some(fencing));
        let server = self.placement.server.clone();
        let sent = self.worker.dispatcher.send_plain(&server, call, true).await;
        let failed = match sent {
            Ok(response) => match self.buffer_response(response).await {
                Ok(event) => return event,
                Err(failed) => failed,
            },
            Err(failed) => failed,
        };
        log_attempt_failure(self.request, &self.placement, &failed);
        record_broken_call(
            &self.worker.context,
            &self.route_request,
            &self.placement,
            &failed,
        );
        match failed.failure {
            Failure::Connect | Failure::Leaving => {
                self.failed = Some(failed);
                AtMostOnceEvent::NotSent
            }
            Failure::Broken | Failure::BrokenAtStart | Failure::Stalled | Failure::Status => {
                AtMostOnceEvent::AnswerLost(lost_error(&self.placement, failed))
            }
        }
    }

    /// Buffers the whole response and keeps it for the reply. The body may take as long as the head.
    async fn buffer_response(
        &mut self,
        response: PlainResponse,
    ) -> Result<AtMostOnceEvent, AttemptError> {
        let (status, headers) = (response.status, response.headers.clone());
        let proves_end = !response.ends_with_connection;
        let timeout = self.request.route.timeout;
        let body = match tokio::time::timeout(timeout, read_response_body(response)).await {
            Ok(read) => read?,
            Err(_) => {
                return Err(AttemptError {
                    closed: false,
                    failure: Failure::Broken,
                    reason: format!("body did not end within {} ms", timeout.as_millis()),
                });
            }
        };
        let content_type = headers.get("content-type");
        let content_type = content_type
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        let record = recorded_answer(status, content_type, &body);
        if proves_end {
            record_whole_answer(&self.worker.context, &self.route_request, status);
        }
        let mut builder = response_builder(status, &self.request.request_id, Outcome::Whole);
        forward_headers(&mut builder, &headers);
        self.response = Some(builder.body(body));
        Ok(AtMostOnceEvent::Answered(record))
    }

    /// Chooses another server for a call that the last one did not run. Once all servers have
    /// failed, they are tried again, as they may have recovered.
    async fn place(&mut self) -> Result {
        let context = self.worker.context.clone();
        let Some(failed) = self.failed.take() else {
            self.tried.clear();
            self.placement = context.place_again(self.route_request.clone()).await?;
            self.is_placed = true;
            return Ok(());
        };
        self.tried.push(self.placement.server.name.clone());
        let retry = RetryAttempt {
            route_request: self.route_request.clone(),
            failed: self.placement.clone(),
            failure: failed.failure,
            tried: self.tried.clone(),
        };
        self.is_placed = false;
        self.placement = context.retry(retry).await?;
        self.is_placed = true;
        Ok(())
    }

    /// Looks up the recorded response for the key: at the server that received the call or, if
    /// another instance sent it, at all servers of the route.
    async fn look_up(&self) -> Option<RecordedAnswer> {
        let account = &self.request.account;
        if matches!(self.call.stage(), AtMostOnceStage::Sent { .. }) {
            return look_up_at(self.worker, &self.placement.server, account, &self.key).await;
        }
        look_up_everywhere(self.worker, self.request, &self.key).await
    }

    fn reply(&mut self, context: &Context, reply: AtMostOnceReply) -> Result<HttpResponse> {
        match reply {
            AtMostOnceReply::Answer => {
                let response = self.response.take().ok_or(Error::Invariant {
                    invariant: "an answer is there when it is passed on",
                })?;
                let detail = format!("status={}", response.status().as_u16());
                log_whole(context, &self.request.request_id, &detail);
                Ok(response)
            }
            AtMostOnceReply::Error(error) => Err(error),
            AtMostOnceReply::Replay(answer) => Ok(replay_response(context, self.request, &answer)),
        }
    }
}

async fn read_response_body(mut response: PlainResponse) -> Result<Bytes, AttemptError> {
    let broken = |reason: String| AttemptError {
        closed: false,
        failure: Failure::Broken,
        reason,
    };
    let mut body = BytesMut::new();
    while let Some(chunk) = response.body.next().await {
        let chunk = chunk.map_err(|error| AttemptError {
            closed: is_closed(&error),
            ..broken(error.to_string())
        })?;
        if body.len() + chunk.len() > ONCE_RESPONSE_MAX_BYTES {
            return Err(broken(format!(
                "response is larger than {ONCE_RESPONSE_MAX_BYTES} bytes"
            )));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Looks up the recorded response for a key at the servers of the route until one has it.
async fn look_up_everywhere(
    worker: &Worker,
    request: &PlainRequest,
    key: &str,
) -> Option<RecordedAnswer> {
    let in_force = worker.context.table.load_full();
    let Subject::Route(prefix) = &request.subject else {
        return None;
    };
    for server in &in_force.table.servers {
        if !server.serves.contains(prefix) {
            continue;
        }
        let found = look_up_at(worker, server, &request.account, key).await;
        if found.is_some() {
            return found;
        }
    }
    None
}

async fn look_up_at(
    worker: &Worker,
    server: &BackendServer,
    account: &AccountName,
    key: &str,
) -> Option<RecordedAnswer> {
    if server.lookup_path.is_empty() {
        return None;
    }
    let path = server
        .lookup_path
        .replace("{key}", key)
        .replace("{account}", account);
    let url = format!("http://{}{path}", server.address);
    let (status, body) = worker.dispatcher.fetch(&url, LOOKUP_TIMEOUT).await.ok()?;
    (status == 200).then(|| recorded_answer(200, "application/json", &body))
}

fn recorded_answer(status: u16, content_type: &str, body: &Bytes) -> RecordedAnswer {
    let body_dropped = body.len() > RECORDED_BODY_MAX_BYTES;
    RecordedAnswer {
        body: if body_dropped {
            Bytes::new()
        } else {
            body.clone()
        },
        body_dropped,
        content_type: content_type.into(),
        status,
    }
}

/// Returns the recorded response of an earlier run under the same key to the caller.
fn replay_response(
    context: &Context,
    request: &PlainRequest,
    answer: &RecordedAnswer,
) -> HttpResponse {
    log_whole(
        context,
        &request.request_id,
        &format!("status={} source=record", answer.status),
    );
    let mut builder = response_builder(answer.status, &request.request_id, Outcome::Whole);
    builder.insert_header(("idempotent-replayed", "true"));
    if answer.body_dropped {
        builder.insert_header(("ebonyspread-body", "too long to be recorded"));
    }
    if !answer.content_type.is_empty() {
        builder.insert_header(("content-type", answer.content_type.as_str()));
    }
    builder.body(answer.body.clone())
}

/// Appends a record that releases a claim to the log and returns whether it was accepted. The
/// append continues after a timeout.
async fn append_release(context: &Arc<Context>, record: Option<ClaimRecord>) -> Verdict {
    let Some(record) = record else {
        return Verdict::Unavailable;
    };
    let context = context.clone();
    let ordered = actix_rt::spawn(async move { context.order(record).await });
    match tokio::time::timeout(RELEASE_TIMEOUT, ordered).await {
        Ok(Ok(verdict)) => verdict,
        Ok(Err(_)) | Err(_) => Verdict::Unavailable,
    }
}

/// Appends a record with the outcome or the release of a claim to the log without delaying the
/// caller.
fn append_in_background(context: &Arc<Context>, record: ClaimRecord) {
    let context = context.clone();
    actix_rt::spawn(async move {
        if context.order(record).await == Verdict::Unavailable {
            warn!("claims: outcome not recorded; it stays unknown until the key is looked up");
        }
    });
}

fn end_attempt(context: &Context, route_request: &RouteRequest, placement: &Placement) {
    context.router.do_send(EndAttempt {
        route_request: route_request.clone(),
        placement: placement.clone(),
    });
}

fn end_request(context: &Context, route_request: &RouteRequest, placement: &Placement) {
    end_attempt(context, route_request, placement);
    context.router.do_send(FinishRequest {
        route_request: route_request.clone(),
        tokens: 0,
    });
}

fn log_attempt_failure(request: &PlainRequest, placement: &Placement, failed: &AttemptError) {
    warn!(
        "attempt request={} server={} failed reason=\"{}\"",
        request.request_id,
        placement.server.name,
        shorten(&failed.reason)
    );
}

/// Reports the call as one that may crash servers, if the server closed the connection.
fn record_broken_call(
    context: &Context,
    route_request: &RouteRequest,
    placement: &Placement,
    failed: &AttemptError,
) {
    if failed.closed {
        context.router.do_send(RecordCrash {
            placement: placement.clone(),
            route_request: route_request.clone(),
        });
    }
}

/// Records that a call was answered in full, so that it does not crash servers. A server's own error
/// may come from a call that it has not begun.
pub(crate) fn record_whole_answer(context: &Context, route_request: &RouteRequest, status: u16) {
    if (200..300).contains(&status) {
        context.router.do_send(RecordAnswer {
            content_hash: route_request.call,
            parts: SuspectParts::new(),
        });
    }
}

fn lost_error(placement: &Placement, failed: AttemptError) -> Error {
    Error::ResponseLost {
        server: placement.server.name.clone(),
        reason: failed.reason,
    }
}

fn verdict_name(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Finished(_) => "finished",
        Verdict::Granted { .. } => "granted",
        Verdict::KeyAge => "key-age",
        Verdict::OtherBody => "other-body",
        Verdict::Recorded => "released",
        Verdict::Running { .. } => "running",
        Verdict::Unavailable => "unavailable",
    }
}

fn forward_headers(
    builder: &mut actix_web::HttpResponseBuilder,
    headers: &actix_web::http::header::HeaderMap,
) {
    for (name, value) in headers {
        if is_forwarded_header(name.as_str()) && name != REQUEST_ID_HEADER {
            builder.append_header((name.clone(), value.clone()));
        }
    }
}

/// Forwards a response; its body may take as long as the head.
fn forward_response(
    context: &Arc<Context>,
    request: &PlainRequest,
    route_request: RouteRequest,
    placement: Placement,
    response: PlainResponse,
) -> HttpResponse {
    let request_id = &request.request_id;
    let mut builder = response_builder(response.status, request_id, Outcome::Whole);
    forward_headers(&mut builder, &response.headers);
    builder.streaming(ForwardedBody::start(
        context.clone(),
        route_request,
        placement,
        response,
        request.route.timeout,
    ))
}
