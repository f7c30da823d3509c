//! Proxies one call: admits it, sends it to backend servers and forwards the response.
//!
//! The fleet is the set of known backend servers and chooses the server of each attempt; a route is
//! the rule that matches a call and holds its settings, such as the maximum number of attempts. The
//! retry budget limits retries to a fraction of the accepted calls.
//!
//! Stages of a call: `admission` (checks and usage limits), [`fleet`] (choice of a server),
//! [`connection_pool`] (sending it), and [`reply`] or [`relay`] (a whole response or an event
//! stream). Its outcome is `whole` (a complete response was returned, possibly with an error
//! status), `not-run` (reported only if no server can have run it) or `unknown`.

use super::*;

use std::rc::Rc;

use actix_http::Request;
use actix_http::Response;
use actix_http::ResponseHead;
use actix_http::StatusCode;
use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use actix_http::body::SizedStream;
use actix_http::header::CONTENT_TYPE;
use tokio::time::Instant as TokioInstant;
use tokio::time::timeout_at;

/// Maximum size of the body of a response to a call other than an event stream.
pub(crate) const RESPONSE_MAX_BYTES: usize = 64 << 20;

/// Failed connection attempts after which a call that cannot have run is refused, since each one
/// delays the caller by up to the connection timeout.
const CONNECT_FAILURES_MAX: u32 = 3;

/// Part of the caller's timeout that is reserved for returning the response to the caller.
const REPLY_MARGIN: Duration = Duration::from_millis(10);

/// Maximum size of the body of a server's refusal.
const REFUSAL_BODY_MAX_BYTES: usize = 64 << 10;

/// Timeout for reading the body of a server's refusal; the body is short and arrives with the head.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Reason for moving a call away from a server whose data centre seems cut off.
pub(crate) const CUT_OFF_REASON: &str = "data centre seems cut off";

/// `Retry-After` value sent when no server accepted a call.
pub(crate) const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Admits a caller's request and runs it. An error is returned as a response, too. While the
/// instance drains (finishes its calls before it stops), the response also closes the caller's
/// connection.
pub(crate) async fn serve_call(
    serving: Rc<ServingState>,
    connection: Rc<ConnectionTrace>,
    request: Request,
) -> Response<BoxBody> {
    let received_at = TokioInstant::now();
    let _in_flight = InFlightGuard::new(&serving);
    let trace = CallTrace::start(&serving, connection);
    let accepted = accept_call(&serving, request, received_at, &trace).await;
    let mut response = match accepted {
        Ok(call) => call.run().await,
        Err(error) => {
            trace.end(true);
            refuse(&serving, trace.request_id(), received_at, &error)
        }
    };
    if serving.draining.get() {
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}

/// Counts a call as in flight until dropped, so that shutdown can wait for it.
pub(crate) struct InFlightGuard {
    serving: Rc<ServingState>,
}

impl InFlightGuard {
    pub(crate) fn new(serving: &Rc<ServingState>) -> Self {
        serving.in_flight.set(serving.in_flight.get() + 1);
        Self {
            serving: serving.clone(),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let count = self.serving.in_flight.get();
        self.serving.in_flight.set(count - 1);
    }
}

/// State of an accepted call across its attempts.
pub(crate) struct Exchange {
    pub(crate) account: Option<AccountName>,
    /// Part of the answer that has arrived in the last attempt.
    pub(crate) answer: AnswerProgress,
    pub(crate) body: Bytes,
    pub(crate) call: CallHead,
    pub(crate) connect_failures: u32,
    /// Time at which the caller's timeout expires.
    pub(crate) deadline: TokioInstant,
    /// True once a server may have run the call; from then on an error must not report `not-run`.
    pub(crate) may_have_run: bool,
    /// Priority of the call; 0 is the most urgent.
    pub(crate) priority: u32,
    /// Class of the priority if the routes of the service have different ones.
    pub(crate) queue_class: Option<QueueClass>,
    pub(crate) received_at: TokioInstant,
    pub(crate) route: Arc<PolicyRoute>,
    pub(crate) sends: u32,
    /// Time at which the last attempt was sent.
    pub(crate) sent_at: TokioInstant,
    pub(crate) service: ServiceName,
    pub(crate) serving: Rc<ServingState>,
    pub(crate) trace: Rc<CallTrace>,
    pub(crate) tried: SmallVec<[ServerName; 4]>,
    pub(crate) units: f64,
    /// Hash of the whole request.
    pub(crate) whole: PartHash,
    /// Hash of the request without the query of its path; `None` if it has none.
    pub(crate) without_query: Option<PartHash>,
}

/// One attempt at a server. Dropping it tells the fleet that the attempt has ended with `outcome`.
pub(crate) struct Attempt {
    pub(crate) outcome: AttemptOutcome,
    pub(crate) placed: PlacedAttempt,
    /// What its answer says about the version of the server; `None` if there are no rollouts.
    rollout: Option<RolloutAttempt>,
    serving: Rc<ServingState>,
}

impl Attempt {
    /// Records that the answer stalled or did not come in time.
    pub(crate) fn mark_failed(&mut self) {
        if let Some(rollout) = &mut self.rollout {
            rollout.mark_failed();
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if let Some(rollout) = self.rollout.take() {
            rollout.end(&self.serving, self.outcome);
        }
        let mut fleet = self.serving.fleet.borrow_mut();
        fleet.leave_queue(&self.placed);
        fleet.end_attempt(boot_time(), &self.placed.server, false, self.outcome);
    }
}

/// How one attempt ended, which decides whether another one follows. A `String` holds the reason.
enum AttemptResult {
    /// No connection could be made, or it failed before anything was sent.
    NotSent(String),
    /// The server refused the call, or a server other than the expected one answered at the
    /// address, so the call did not run.
    NotRun(String),
    /// The server may have run the call, but its response was lost.
    Lost(String),
    /// The server seems unresponsive or cut off, so the call goes to another server; a retry has
    /// already been withdrawn from the retry budget for it. Holds the reason.
    Moved(&'static str),
    /// The caller's deadline passed.
    TimedOut,
    /// The head of an event stream; the body follows.
    Stream(Attempt, Box<ServerResponse>),
    /// A response, which may have an error status; its body is whole or was read up to the limit
    /// for kept bodies.
    Whole(Attempt, Box<ResponseHead>, Box<KeptBody>),
}

/// Result of sending an attempt and waiting for the head of its response.
enum SendResult {
    /// The head of the response arrived.
    Answered(Box<ServerResponse>),
    /// The connection could not be opened, or it broke; the error tells whether anything was sent.
    Failed(ServerCallError),
    /// The response did not begin in time, or the data centre of the server seems cut off; another
    /// server can take the call, and a retry has been withdrawn from the retry budget for it. Holds
    /// the reason.
    GivenUp(&'static str),
    /// The caller's deadline passed.
    TimedOut,
}

impl Exchange {
    async fn run(mut self) -> Response<BoxBody> {
        match self.run_attempts(None).await {
            Ok(AttemptResponse::Whole(attempt, head, body)) if body.rest.is_none() => {
                self.trace.count_response_bytes(body.kept.len());
                self.log_finish("whole", head.status.as_u16(), &attempt.placed.server);
                respond(&head, BoxBody::new(body.kept))
            }
            Ok(AttemptResponse::Whole(attempt, head, body)) => {
                let stream = PassThrough::start(self, attempt, head.status.as_u16(), *body);
                let body = match content_length(&head) {
                    Some(bytes) => SizedStream::new(bytes, stream).boxed(),
                    None => BodyStream::new(stream).boxed(),
                };
                respond(&head, body)
            }
            Ok(AttemptResponse::Stream(attempt, response)) => {
                let first_event = self.received_at.elapsed();
                self.serving.metrics.first_token(first_event);
                let head = response.head;
                let content_type = head.headers.get(CONTENT_TYPE).cloned();
                let stream = Relay::start(self, attempt, content_type, response.body);
                respond(&head, BodyStream::new(stream).boxed())
            }
            Err(error) => {
                if error.outcome() == Outcome::NotRun
                    && let Some(account) = &self.account
                {
                    let mut limits = self.serving.limits.borrow_mut();
                    limits.refund(boot_time(), account, self.units);
                }
                self.trace.end(true);
                refuse(
                    &self.serving,
                    &self.call.request_id,
                    self.received_at,
                    &error,
                )
            }
        }
    }

    /// Makes attempts until one gets a response or no further attempt is allowed. If a stream is
    /// resumed, `last_event_id` is the id of the last event that the caller received.
    pub(crate) async fn run_attempts(
        &mut self,
        last_event_id: Option<&str>,
    ) -> Result<AttemptResponse> {
        loop {
            let attempted = self.attempt(last_event_id).await?;
            match attempted {
                AttemptResult::Stream(attempt, response) => {
                    return Ok(AttemptResponse::Stream(attempt, response));
                }
                AttemptResult::Whole(attempt, head, body) => {
                    if self.acquire_response_retry(&head)
                        && let Some(retried) = self.retry_failed_response(last_event_id).await
                    {
                        return Ok(retried);
                    }
                    return Ok(AttemptResponse::Whole(attempt, head, body));
                }
                AttemptResult::NotSent(reason) => {
                    self.log_attempt_failure("not-sent", &reason);
                    self.connect_failures += 1;
                    if self.connect_failures >= CONNECT_FAILURES_MAX && !self.may_have_run {
                        return Err(self.refused_error());
                    }
                }
                AttemptResult::NotRun(reason) => {
                    self.log_attempt_failure("not-run", &reason);
                    if !self.acquire_retry() {
                        return Err(self.refused_error());
                    }
                }
                AttemptResult::Lost(reason) => {
                    self.log_attempt_failure("lost", &reason);
                    self.may_have_run = true;
                    let repeatable = self.route.call_kind.is_repeatable();
                    if !repeatable || !self.acquire_retry() {
                        return Err(self.lost_error(reason));
                    }
                }
                AttemptResult::Moved(reason) => {
                    self.log_attempt_failure("moved", reason);
                    self.may_have_run = true;
                }
                AttemptResult::TimedOut => {
                    self.log_attempt_failure("timed-out", "");
                    return Err(self.timeout_error());
                }
            }
        }
    }

    async fn attempt(&mut self, last_event_id: Option<&str>) -> Result<AttemptResult> {
        if TokioInstant::now() + REPLY_MARGIN >= self.deadline {
            return Err(self.timeout_error());
        }
        let placed = self.place()?;
        let is_first = self.tried.is_empty();
        let (serving, service) = (&self.serving, &self.service);
        let rollout = RolloutAttempt::begin(serving, service, &self.route, &placed, is_first);
        let mut attempt = Attempt {
            outcome: AttemptOutcome::Abandoned,
            placed,
            rollout,
            serving: self.serving.clone(),
        };
        self.answer = AnswerProgress::None;
        self.tried.push(attempt.placed.server.clone());
        self.trace.begin_attempt(&attempt.placed.server);
        let sent_at = TokioInstant::now();
        self.sent_at = sent_at;
        let response = match self.send(&mut attempt, last_event_id).await {
            SendResult::Answered(response) => *response,
            SendResult::Failed(error) => return Ok(self.on_send_error(&mut attempt, error)),
            SendResult::GivenUp(reason) => {
                if reason != CUT_OFF_REASON {
                    attempt.mark_failed();
                }
                self.sends += 1;
                return Ok(AttemptResult::Moved(reason));
            }
            SendResult::TimedOut => {
                attempt.mark_failed();
                self.sends += 1;
                self.may_have_run = true;
                return Ok(AttemptResult::TimedOut);
            }
        };
        self.sends += 1;
        self.answer = AnswerProgress::Head;
        self.record_response_time(&attempt, &response.head, sent_at.elapsed());
        self.record_limit(&attempt, &response.head, sent_at.elapsed());
        self.record_notice(&attempt, &response.head);
        if let Some(rollout) = &mut attempt.rollout {
            let (dialect, head) = (&self.serving.dialect, &response.head);
            let has_notice = dialect.is_leaving(head) || dialect.pause(head).is_some();
            rollout.record_head(sent_at.elapsed(), head.status, has_notice);
        }
        self.handle_response(attempt, response).await
    }

    /// Sends an attempt and waits for the head of its response, at most until the caller's
    /// deadline. If the call may be sent again and another server can take it, the attempt is given
    /// up sooner when `end_response_wait` decides to retry or the server's data centre seems cut
    /// off.
    async fn send(&self, attempt: &mut Attempt, last_event_id: Option<&str>) -> SendResult {
        let sent_at = TokioInstant::now();
        let time_left = self.deadline - sent_at;
        let dialect = &self.serving.dialect;
        let head = dialect.build_request(
            &self.call,
            AttemptHead {
                account: self.account.as_ref(),
                last_event_id,
                priority: self.queue_class.map_or(self.priority, QueueClass::level),
                server: &attempt.placed.server,
                time_left: time_left.saturating_sub(REPLY_MARGIN),
            },
        );
        let owner_of = |head: &ResponseHead| dialect.owner_of(&self.call, head);
        let mut sending = std::pin::pin!(self.serving.connections.send(ServerCall {
            body: &self.body,
            head,
            owner_of: &owner_of,
            target: ConnectionTarget {
                address: attempt.placed.address,
                server: attempt.placed.server.clone(),
            },
        }));
        let response_wait = self.response_wait(&attempt.placed);
        let mut wait_until = match response_wait {
            Some(response_wait) => (sent_at + response_wait.initial()).min(self.deadline),
            None => self.deadline,
        };
        let centre = attempt.placed.data_centre.clone();
        let mut move_at = sent_at;
        loop {
            let sent = tokio::select! {
                biased;
                sent = timeout_at(wait_until, &mut sending) => sent,
                () = wait_for_cut_off(&self.serving, &centre, move_at),
                    if response_wait.is_some() =>
                {
                    if !self.acquire_move() {
                        move_at = TokioInstant::now() + MOVE_INTERVAL;
                        continue;
                    }
                    return SendResult::GivenUp(CUT_OFF_REASON);
                }
            };
            match (sent, response_wait) {
                (Ok(Ok(response)), _) => return SendResult::Answered(Box::new(response)),
                (Ok(Err(error)), _) => return SendResult::Failed(error),
                (Err(_), Some(response_wait)) if wait_until < self.deadline => {
                    match self.end_response_wait(response_wait, attempt, sent_at) {
                        TimeoutAction::Retry => return SendResult::GivenUp("no answer in time"),
                        TimeoutAction::WaitForDeadline => wait_until = self.deadline,
                        TimeoutAction::WaitUntil(waited) => {
                            wait_until = (sent_at + waited).min(self.deadline);
                        }
                    }
                }
                (Err(_), _) => return SendResult::TimedOut,
            }
        }
    }

    /// Tells the fleet that the server has begun to answer and, for a model call, how long the head
    /// of the response took.
    fn record_response_time(&self, attempt: &Attempt, head: &ResponseHead, elapsed: Duration) {
        let placed = &attempt.placed;
        record_received(&self.serving, &placed.data_centre, &placed.server);
        let mut fleet = self.serving.fleet.borrow_mut();
        let now = boot_time();
        fleet.record_answer(now, now.saturating_sub(elapsed), &attempt.placed.server);
        fleet.leave_queue(&attempt.placed);
        // A server that fails at once is not a fast one.
        if head.status.is_success() {
            fleet.observe_speed(now, &attempt.placed, elapsed);
        }
        let is_observed = attempt.rollout.as_ref().is_some_and(|r| r.is_observed());
        let Some(prompt) = self.call.prompt.as_ref().filter(|_| !is_observed) else {
            let admission = &mut self.serving.overload.borrow_mut().admission;
            admission.record_plain_answer(&self.service, attempt.placed.calls_per_slot, elapsed);
            return;
        };
        fleet.observe_first_event(now, &self.service, prompt, &attempt.placed, elapsed);
    }

    /// Records the limit that the head of a response names, or that it names none.
    fn record_limit(&self, attempt: &Attempt, head: &ResponseHead, elapsed: Duration) {
        let per_s = self.serving.dialect.limit_per_s(head);
        let server = &attempt.placed.server;
        let now = boot_time();
        let mut fleet = self.serving.fleet.borrow_mut();
        if fleet.record_limit(now, server, now.saturating_sub(elapsed), per_s) {
            log_limit(server, per_s, &self.call.request_id);
        }
    }

    /// Records what the head of a response says about its server: that it is leaving, or wants no
    /// further calls for a while. A response that may be another server's or altered says nothing.
    fn record_notice(&self, attempt: &Attempt, head: &ResponseHead) {
        let dialect = &self.serving.dialect;
        match dialect.classify_response(head) {
            ResponseKind::Executed | ResponseKind::NotRun => {}
            ResponseKind::Untrusted | ResponseKind::WrongServer => return,
        }
        let (now, server) = (boot_time(), &attempt.placed.server);
        let request = &self.call.request_id;
        let mut fleet = self.serving.fleet.borrow_mut();
        if dialect.is_leaving(head) && fleet.record_leaving(now, server) {
            info!("server id={server} by={request} leaving=true");
        }
        if let Some(pause) = dialect.pause(head) {
            fleet.record_pause(now, server, pause);
            info!(
                "pause server={server} by={request} ms={}",
                pause.as_millis()
            );
        }
    }

    /// Returns the parts of the request that crash reports name.
    fn suspect_parts(&self) -> SuspectParts {
        let mut parts = self.shared_parts();
        parts.push(self.whole);
        parts
    }

    fn shared_parts(&self) -> SuspectParts {
        let prompt = self.call.prompt.as_ref();
        let mut parts = prompt.map(Prompt::shared_parts).unwrap_or_default();
        parts.extend(self.without_query);
        parts
    }

    /// Records that the server's connection broke, so that the request may be why it crashed. After
    /// an event of the answer, its shared parts are not the reason.
    pub(crate) fn record_broken_answer(&self) {
        let Some(server) = self.tried.last() else {
            return;
        };
        let parts = match self.answer {
            AnswerProgress::None | AnswerProgress::Head => self.suspect_parts(),
            AnswerProgress::Events => SuspectParts::from_slice(&[self.whole]),
        };
        let has_begun = self.answer != AnswerProgress::None;
        let report = |now, process: &ServerProcess| {
            CrashReport::new(now, process.crash, parts)
                .with_call(self.whole)
                .begun(has_begun)
                .at_service(process.service, process.servers)
                .ran_for(self.sent_at.elapsed())
        };
        suspect_crash(&self.serving, &self.call.request_id, server, report);
    }

    /// Records that a whole event has arrived in the last attempt.
    pub(crate) fn record_event(&mut self) {
        if self.answer == AnswerProgress::Events {
            return;
        }
        self.answer = AnswerProgress::Events;
        self.serving.record_first_event(&self.shared_parts());
    }

    /// Records that the answer of the last attempt is complete. Has no effect if only the end of the
    /// connection shows that, since a crash ends it, too.
    pub(crate) fn record_answer(&self, ends_with_connection: bool) {
        if !ends_with_connection {
            self.serving.record_answer(&self.shared_parts(), self.whole);
        }
    }

    /// Fails if the request has parts that crash servers, and may not be sent to find out whether
    /// they still do.
    fn check_quarantine(&self, now: Duration) -> Result {
        let mut quarantine = self.serving.part_quarantine.borrow_mut();
        let refusal = quarantine.refusal(now, &self.suspect_parts()).cloned();
        let Some(refusal) = refusal else {
            return Ok(());
        };
        let is_first = self.sends == 0;
        if is_first && quarantine.begin_trial(now, &refusal) {
            info!(
                "quarantine parts={} state=trial request={} crashes={}",
                format_parts(&refusal.parts),
                self.call.request_id,
                refusal.crashes,
            );
            return Ok(());
        }
        Err(Error::QuarantinedParts {
            crashes: refusal.crashes,
            parts: format_parts(&refusal.parts),
        })
    }

    /// Returns the rule for the versions of the servers of the next attempt. The first attempt may be
    /// charged to the share of a new version; the others keep to the rule in force. Fails while no
    /// version may be used.
    fn choose_versions(&self, now: Duration) -> Result<VersionRule> {
        let Some(rollouts) = &self.serving.rollouts else {
            return Ok(VersionRule::Any);
        };
        let fleet = self.serving.fleet.borrow();
        let unix = self.serving.unix_now();
        let (service, route) = (&self.service, &self.route.name);
        let is_first = self.tried.is_empty();
        let mut rollouts = rollouts.borrow_mut();
        let chosen = rollouts.choose_side(now, unix, &fleet, service, route, is_first)?;
        let query = PlacementQuery {
            prompt: self.call.prompt.as_ref(),
            queue_class: self.queue_class,
            service,
            suspect: false,
            tried: &self.tried,
            versions: &chosen.versions,
        };
        match chosen.is_canary && !fleet.has_healthy_server(now, &query) {
            true => Ok(rollouts.give_back(&fleet, service, route)),
            false => Ok(chosen.versions),
        }
    }

    fn place(&mut self) -> Result<PlacedAttempt> {
        let now = boot_time();
        match self.check_quarantine(now) {
            Err(error) if self.may_have_run => return Err(self.lost_error(error.to_string())),
            checked => checked?,
        }
        let versions = match self.choose_versions(now) {
            Err(error) if self.may_have_run => return Err(self.lost_error(error.to_string())),
            chosen => chosen?,
        };
        let query = PlacementQuery {
            prompt: self.call.prompt.as_ref(),
            queue_class: self.queue_class,
            service: &self.service,
            suspect: false,
            tried: &self.tried,
            versions: &versions,
        };
        let placed = match self.place_admitted(now, &query) {
            Ok(placed) => placed,
            Err(_) if self.may_have_run => return Err(self.lost_error("no server left".to_owned())),
            Err(error) => return Err(error),
        };
        let account = self.account.clone().unwrap_or_default();
        if self.sends == 0 && self.connect_failures == 0 {
            self.serving.count_accepted(&account, &self.service);
        }
        info!(
            "place request={} route={} account={account} server={} wait_ms={} cached_tokens={} \
             attempt={}",
            self.call.request_id,
            self.route.name,
            placed.server,
            placed.wait_estimate.as_millis(),
            placed.cached_tokens,
            self.tried.len() + 1,
        );
        Ok(placed)
    }

    /// Returns how long to wait for a response before trying another server, or `None` if the call
    /// may not be sent again, so that it waits until the caller's deadline.
    fn response_wait(&self, placed: &PlacedAttempt) -> Option<AnswerTimeout> {
        let is_last = self.sends + 1 >= self.route.attempts_max;
        if is_last || !self.route.call_kind.is_repeatable() {
            return None;
        }
        Some(AnswerTimeout::new(
            self.route.target_latency,
            placed.wait_estimate,
        ))
    }

    /// Decides what to do with an attempt whose response has not begun in time.
    fn end_response_wait(
        &self,
        response_wait: AnswerTimeout,
        attempt: &mut Attempt,
        sent_at: TokioInstant,
    ) -> TimeoutAction {
        let waited = sent_at.elapsed();
        let since = boot_time().saturating_sub(waited);
        let server_answers = {
            let fleet = self.serving.fleet.borrow();
            fleet.has_answered_since(since, &attempt.placed.server)
        };
        let action = response_wait.decide(waited, server_answers, || self.acquire_move());
        if action == TimeoutAction::Retry && !server_answers {
            attempt.outcome = AttemptOutcome::Broken;
        }
        action
    }

    fn on_send_error(&mut self, attempt: &mut Attempt, error: ServerCallError) -> AttemptResult {
        match error.progress {
            SendProgress::NotSent => {
                attempt.outcome = AttemptOutcome::Unreachable;
                AttemptResult::NotSent(error.reason)
            }
            SendProgress::MaybeRun => {
                attempt.outcome = AttemptOutcome::Broken;
                self.sends += 1;
                if error.closed {
                    self.record_broken_answer();
                }
                AttemptResult::Lost(error.reason)
            }
        }
    }

    async fn handle_response(
        &mut self,
        mut attempt: Attempt,
        response: ServerResponse,
    ) -> Result<AttemptResult> {
        match self.serving.dialect.classify_response(&response.head) {
            ResponseKind::NotRun => {
                attempt.outcome = AttemptOutcome::Refused;
                self.drain_refusal(response.body).await;
                return Ok(AttemptResult::NotRun("server refused the call".to_owned()));
            }
            ResponseKind::WrongServer => {
                attempt.outcome = AttemptOutcome::WrongServer;
                return Ok(AttemptResult::NotRun(
                    "another server now has this address".to_owned(),
                ));
            }
            ResponseKind::Untrusted => {
                attempt.outcome = AttemptOutcome::Broken;
                return Ok(AttemptResult::Lost(
                    "answer is not the server's own".to_owned(),
                ));
            }
            ResponseKind::Executed => self.may_have_run = true,
        }
        self.count_usage();
        let is_stream = matches!(self.route.call_kind, CallKind::Stream { .. });
        if is_stream && response.head.status == StatusCode::OK {
            return Ok(AttemptResult::Stream(attempt, Box::new(response)));
        }
        let body_bytes = content_length(&response.head).unwrap_or(0);
        if !response.body.has_ended() && body_bytes > RESPONSE_MAX_BYTES as u64 {
            attempt.outcome = AttemptOutcome::Broken;
            return Ok(AttemptResult::Lost(too_large_reason(body_bytes)));
        }
        let ends_with_connection = response.body.ends_with_connection();
        let reading = KeptBody::read(&self.serving.body_budget, response.body);
        match timeout_at(self.deadline, reading).await {
            Ok(Ok(body)) => {
                if body.rest.is_none() {
                    attempt.outcome = AttemptOutcome::Completed;
                    // A server's own error may come from a call that it has not begun.
                    if response.head.status.is_success() {
                        self.record_answer(ends_with_connection);
                    }
                }
                Ok(AttemptResult::Whole(
                    attempt,
                    Box::new(response.head),
                    Box::new(body),
                ))
            }
            Ok(Err(error)) => {
                if error.closed {
                    self.record_broken_answer();
                }
                attempt.outcome = AttemptOutcome::Broken;
                Ok(AttemptResult::Lost(error.reason))
            }
            Err(_) => {
                attempt.mark_failed();
                Ok(AttemptResult::TimedOut)
            }
        }
    }

    /// Time at which a response that is being forwarded has to be complete: the caller's deadline,
    /// moved by the time for which the caller has not read so far.
    pub(crate) fn response_deadline(&self) -> TokioInstant {
        self.deadline + self.trace.write_wait()
    }

    /// Reads the body of a refusal so that its connection can be reused. The connection is closed
    /// if the body does not end in time or is too large.
    async fn drain_refusal(&self, mut body: ServerResponseBody) {
        let skipping = body.skip_rest(REFUSAL_BODY_MAX_BYTES);
        match tokio::time::timeout(REFUSAL_BODY_TIMEOUT, skipping).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => self.log_attempt_failure("refusal-cut", &error.reason),
            Err(_) => self.log_attempt_failure("refusal-cut", "reading the body timed out"),
        }
    }

    fn count_usage(&self) {
        let Some(account) = &self.account else {
            return;
        };
        let window = self.serving.usage_window_now();
        self.serving.usage.borrow_mut().count(window, account);
    }

    /// Withdraws a retry from the retry budget for another attempt. Returns false if the route
    /// allows no further attempt or the budget is exhausted.
    pub(crate) fn acquire_retry(&self) -> bool {
        self.request_retry().is_ok()
    }

    /// Withdraws a retry as [`acquire_retry`](Self::acquire_retry) does; fails with the limit that
    /// denied it.
    pub(crate) fn request_retry(&self) -> Result<(), RetryDenied> {
        if self.check_quarantine(boot_time()).is_err() {
            self.log_denied_retry(RetryDenied::Quarantine);
            return Err(RetryDenied::Quarantine);
        }
        let (sends, attempts_max) = (self.sends, self.route.attempts_max);
        if sends >= attempts_max {
            let denied = RetryDenied::Attempts {
                attempts_max,
                sends,
            };
            self.log_denied_retry(denied);
            return Err(denied);
        }
        self.withdraw_retry()
    }

    /// Withdraws a retry for moving a call away from a server that may still be working on it.
    /// Returns false if no healthy server could take the call or [`acquire_retry`] does: the call
    /// then stays, since a late answer is better than none.
    ///
    /// [`acquire_retry`]: Self::acquire_retry
    pub(crate) fn acquire_move(&self) -> bool {
        let Ok(versions) = self.choose_versions(boot_time()) else {
            self.log_denied_retry(RetryDenied::NoServer);
            return false;
        };
        let query = PlacementQuery {
            prompt: self.call.prompt.as_ref(),
            queue_class: self.queue_class,
            service: &self.service,
            suspect: false,
            tried: &self.tried,
            versions: &versions,
        };
        let can_place = {
            let fleet = self.serving.fleet.borrow();
            fleet.has_healthy_server(boot_time(), &query)
        };
        if !can_place {
            self.log_denied_retry(RetryDenied::NoServer);
            return false;
        }
        self.acquire_retry()
    }

    /// Takes a retry from the budget, which limits retries to a fraction of the accepted calls.
    /// Fails if no retry is left for the instance, the account or the service.
    fn withdraw_retry(&self) -> Result<(), RetryDenied> {
        let account = self.account.clone().unwrap_or_default();
        let mut budget = self.serving.retry_budget.borrow_mut();
        let withdrawn = budget.withdraw(&account, &self.service);
        match withdrawn {
            Ok(()) => self.serving.metrics.retry(Failure::Broken),
            Err(denied) => self.log_denied_retry(denied),
        }
        withdrawn
    }

    fn log_denied_retry(&self, denied: RetryDenied) {
        self.serving.metrics.retry_denied(denied);
        let server = self.tried.last().map_or("", |server| server.as_str());
        let account = self.account.as_ref().map_or("", |name| name.as_str());
        warn!(
            "retry request={} account={account} service={} server={server} outcome=denied {denied}",
            self.call.request_id, self.service,
        );
    }

    /// Returns true if a server error of an idempotent call is to be retried on another server; the
    /// retry has then been withdrawn from the retry budget.
    fn acquire_response_retry(&self, head: &ResponseHead) -> bool {
        head.status.is_server_error()
            && self.route.call_kind == CallKind::Idempotent
            && self.acquire_retry()
    }

    async fn retry_failed_response(
        &mut self,
        last_event_id: Option<&str>,
    ) -> Option<AttemptResponse> {
        match self.attempt(last_event_id).await {
            Ok(AttemptResult::Whole(attempt, head, body)) => {
                Some(AttemptResponse::Whole(attempt, head, body))
            }
            Ok(AttemptResult::Stream(attempt, response)) => {
                Some(AttemptResponse::Stream(attempt, response))
            }
            // `run_attempts` then forwards the error response that it already has.
            Ok(_) | Err(_) => None,
        }
    }

    fn refused_error(&self) -> Error {
        if self.may_have_run {
            return self.lost_error("no further server accepted the call".to_owned());
        }
        let versions = self.choose_versions(boot_time()).unwrap_or_default();
        let query = PlacementQuery {
            prompt: self.call.prompt.as_ref(),
            queue_class: self.queue_class,
            service: &self.service,
            suspect: false,
            tried: &[],
            versions: &versions,
        };
        let wait = self.serving.fleet.borrow().pause_wait(boot_time(), &query);
        let subject = Subject::Service(self.service.clone());
        match wait {
            Some(wait) => Error::ServersPaused {
                subject,
                retry_after_ms: wait.as_millis() as u64 + 1,
            },
            None => Error::Overloaded {
                subject,
                retry_after_ms: REFUSED_RETRY_AFTER.as_millis() as u64,
            },
        }
    }

    pub(crate) fn lost_error(&self, reason: String) -> Error {
        Error::ResponseLost {
            reason,
            server: self.tried.last().cloned().unwrap_or_default(),
        }
    }

    pub(crate) fn timeout_error(&self) -> Error {
        if !self.may_have_run {
            return self.refused_error();
        }
        Error::ResponseTimeout {
            server: self.tried.last().cloned().unwrap_or_default(),
            timeout_ms: self.received_at.elapsed().as_millis() as u64,
        }
    }

    pub(crate) fn log_attempt_failure(&self, end: &str, reason: &str) {
        let server = self.tried.last().map_or("", |server| server.as_str());
        warn!(
            "attempt request={} server={server} end={end} answer={} sends={} call={:016x} prompt={} \
             reason=\"{}\"",
            self.call.request_id,
            self.answer.as_str(),
            self.sends,
            self.whole,
            self.call
                .prompt
                .as_ref()
                .map_or(String::new(), Prompt::parts_text),
            shorten(reason),
        );
    }

    pub(crate) fn log_finish(&self, outcome: &str, status: u16, server: &str) {
        self.serving.metrics.call(self.received_at.elapsed());
        self.serving.metrics.outcome(Outcome::Whole, "ok");
        self.trace.end(true);
        info!(
            "finish request={} outcome={outcome} status={status} server={server} ms={}",
            self.call.request_id,
            self.received_at.elapsed().as_millis(),
        );
    }
}

/// Response to be forwarded to the caller: an event stream whose body is still arriving, or another
/// response, whose body is whole unless it is large.
pub(crate) enum AttemptResponse {
    Stream(Attempt, Box<ServerResponse>),
    Whole(Attempt, Box<ResponseHead>, Box<KeptBody>),
}

/// Reason, for the log, why a response is not forwarded, or not forwarded further.
pub(crate) fn too_large_reason(body_bytes: u64) -> String {
    format!("body of {body_bytes} bytes, limit {RESPONSE_MAX_BYTES}; check the server")
}
