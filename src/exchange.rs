//! Carries one call: admits it, sends it to backend servers and passes the answer on.
//!
//! The way of a call: [`admission`], [`fleet`], [`server_link`], answer.
//! A call ends as whole, as not run (only where that is proved), or as unknown.

use super::*;

use std::rc::Rc;

use actix_http::Request;
use actix_http::Response;
use actix_http::ResponseHead;
use actix_http::StatusCode;
use actix_http::body::BodyStream;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use tokio::time::Instant as TokioInstant;
use tokio::time::timeout_at;

/// Longest answer that is read whole before it is passed on.
const WHOLE_ANSWER_MAX_BYTES: usize = 16 << 20;

/// Connections that may fail to open before a call is refused; each costs the caller time.
const CONNECT_FAILURES_MAX: u32 = 3;

/// Time kept for the answer's way back to the caller.
const WAY_BACK: Duration = Duration::from_millis(10);

/// Time for the body of a refusal: it is short and comes with its head.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Retry time told when the servers refused a call.
pub(crate) const REFUSED_RETRY: Duration = Duration::from_millis(300);

/// Serves one request of a caller.
pub async fn serve_call(serving: Rc<Serving>, request: Request) -> Response<BoxBody> {
    let received_at = TokioInstant::now();
    let _in_flight = InFlight::new(&serving);
    let mut request_id = RequestId::default();
    let accepted = accept_call(&serving, request, received_at, &mut request_id).await;
    let mut response = match accepted {
        Ok(call) => call.run().await,
        Err(error) => refuse(&serving, &request_id, received_at, &error),
    };
    if serving.draining.get() {
        response
            .head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}

/// Counts a call in progress, so that a stop can wait for it.
pub(crate) struct InFlight {
    serving: Rc<Serving>,
}

impl InFlight {
    pub(crate) fn new(serving: &Rc<Serving>) -> Self {
        serving.in_flight.set(serving.in_flight.get() + 1);
        Self {
            serving: serving.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let count = self.serving.in_flight.get();
        self.serving.in_flight.set(count - 1);
    }
}

/// An accepted call.
pub(crate) struct Exchange {
    pub(crate) account: Option<AccountName>,
    pub(crate) body: Bytes,
    pub(crate) call: CallHead,
    pub(crate) connect_failures: u32,
    /// When the answer is of no use any more.
    pub(crate) ends_at: TokioInstant,
    /// True once an attempt may have run.
    pub(crate) may_have_run: bool,
    /// Rank of the call; 0 is the most urgent.
    pub(crate) priority: u8,
    pub(crate) received_at: TokioInstant,
    pub(crate) route: Arc<PolicyRoute>,
    pub(crate) sends: u32,
    pub(crate) service: ServiceName,
    pub(crate) serving: Rc<Serving>,
    pub(crate) tried: SmallVec<[ServerName; 4]>,
    pub(crate) units: f64,
}

/// One attempt at a server; ends it in the fleet when dropped.
pub(crate) struct Attempt {
    pub(crate) end: AttemptEnd,
    pub(crate) placed: Placed,
    serving: Rc<Serving>,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let mut fleet = self.serving.fleet.borrow_mut();
        fleet.end_attempt(boot_time(), &self.placed.server, false, self.end);
    }
}

/// What came of an attempt.
enum Attempted {
    /// No connection was made.
    NotSent(String),
    /// The server, or whoever has its address, did not run the call.
    NotRun(String),
    /// The attempt may have run, and its answer is lost.
    Lost(String),
    /// The attempt was given up; another one is paid.
    Moved,
    /// The caller's time is over.
    TimedOut,
    /// The head of an event stream.
    Stream(Attempt, Box<LinkAnswer>),
    /// A whole answer.
    Whole(Attempt, Box<ResponseHead>, Bytes),
}

/// What came of sending an attempt.
enum Sent {
    /// The head of an answer.
    Answered(Box<LinkAnswer>),
    /// The server's data centre was cut off meanwhile.
    CutOff,
    /// The connection failed.
    Failed(LinkError),
    /// The answer did not begin in time, and another attempt is paid.
    GivenUp,
    /// The caller's time is over.
    TimedOut,
}

impl Exchange {
    async fn run(mut self) -> Response<BoxBody> {
        match self.carry(None).await {
            Ok(Carried::Whole(attempt, head, body)) => {
                self.log_finish("whole", head.status.as_u16(), &attempt.placed.server);
                respond(&head, BoxBody::new(body))
            }
            Ok(Carried::Stream(attempt, answer)) => {
                let first_event = self.received_at.elapsed();
                self.serving.metrics.first_token(first_event);
                let head = answer.head;
                let stream = Relay::start(self, attempt, answer.body);
                respond(&head, BodyStream::new(stream).boxed())
            }
            Err(error) => {
                if error.outcome() == Outcome::NotRun
                    && let Some(account) = &self.account
                {
                    let mut limits = self.serving.limits.borrow_mut();
                    limits.give_back(boot_time(), account, self.units);
                }
                refuse(
                    &self.serving,
                    &self.call.request_id,
                    self.received_at,
                    &error,
                )
            }
        }
    }

    /// Sends attempts until one is answered or none is left.
    pub(crate) async fn carry(&mut self, last_event_id: Option<&str>) -> Result<Carried> {
        loop {
            let attempted = self.attempt(last_event_id).await?;
            match attempted {
                Attempted::Stream(attempt, answer) => {
                    return Ok(Carried::Stream(attempt, answer));
                }
                Attempted::Whole(attempt, head, body) => {
                    if self.wants_another(&head)
                        && let Some(better) = self.try_for_better(last_event_id).await
                    {
                        return Ok(better);
                    }
                    return Ok(Carried::Whole(attempt, head, body));
                }
                Attempted::NotSent(reason) => {
                    self.log_failed("not-sent", &reason);
                    self.connect_failures += 1;
                    if self.connect_failures >= CONNECT_FAILURES_MAX {
                        return Err(self.refused());
                    }
                }
                Attempted::NotRun(reason) => {
                    self.log_failed("not-run", &reason);
                    if !self.may_send_again() {
                        return Err(self.refused());
                    }
                }
                Attempted::Lost(reason) => {
                    self.log_failed("lost", &reason);
                    self.may_have_run = true;
                    let repeatable = self.route.call_kind.is_repeatable();
                    if !repeatable || !self.may_send_again() {
                        return Err(self.lost(reason));
                    }
                }
                Attempted::Moved => {
                    self.log_failed("moved", "no answer in time");
                    self.may_have_run = true;
                }
                Attempted::TimedOut => {
                    self.log_failed("timed-out", "");
                    return Err(self.timed_out());
                }
            }
        }
    }

    async fn attempt(&mut self, last_event_id: Option<&str>) -> Result<Attempted> {
        if TokioInstant::now() + WAY_BACK >= self.ends_at {
            return Err(self.timed_out());
        }
        let placed = self.place()?;
        let mut attempt = Attempt {
            end: AttemptEnd::GivenUp,
            placed,
            serving: self.serving.clone(),
        };
        self.tried.push(attempt.placed.server.clone());
        let sent_at = TokioInstant::now();
        let answer = match self.send(&mut attempt, last_event_id).await {
            Sent::Answered(answer) => *answer,
            Sent::CutOff => {
                self.sends += 1;
                return Ok(Attempted::Lost("data centre was cut off".to_owned()));
            }
            Sent::Failed(error) => return Ok(self.failed(&mut attempt, error)),
            Sent::GivenUp => {
                self.sends += 1;
                return Ok(Attempted::Moved);
            }
            Sent::TimedOut => {
                self.sends += 1;
                self.may_have_run = true;
                return Ok(Attempted::TimedOut);
            }
        };
        self.sends += 1;
        self.observe(&attempt, sent_at.elapsed());
        self.take_answer(attempt, answer).await
    }

    /// Sends an attempt and waits for the head of its answer, as long as its patience lasts.
    async fn send(&self, attempt: &mut Attempt, last_event_id: Option<&str>) -> Sent {
        let sent_at = TokioInstant::now();
        let time_left = self.ends_at - sent_at;
        let dialect = &self.serving.dialect;
        let head = dialect.build_request(
            &self.call,
            AttemptHead {
                account: self.account.as_ref(),
                last_event_id,
                priority: self.priority,
                server: &attempt.placed.server,
                time_left: time_left.saturating_sub(WAY_BACK),
            },
        );
        let owner_of = |head: &ResponseHead| dialect.owner_of(&self.call, head);
        let mut sending = std::pin::pin!(self.serving.links.send(LinkCall {
            body: &self.body,
            head,
            owner_of: &owner_of,
            target: LinkTarget {
                address: attempt.placed.address,
                server: attempt.placed.server.clone(),
            },
        }));
        let patience = self.patience(&attempt.placed);
        let mut until = match patience {
            Some(patience) => (sent_at + patience.first()).min(self.ends_at),
            None => self.ends_at,
        };
        let centre = attempt.placed.data_centre.clone();
        loop {
            let sent = tokio::select! {
                biased;
                sent = timeout_at(until, &mut sending) => sent,
                () = wait_for_cut(&self.serving, &centre), if patience.is_some() => {
                    attempt.end = AttemptEnd::Broken;
                    return Sent::CutOff;
                }
            };
            match (sent, patience) {
                (Ok(Ok(answer)), _) => return Sent::Answered(Box::new(answer)),
                (Ok(Err(error)), _) => return Sent::Failed(error),
                (Err(_), Some(patience)) if until < self.ends_at => {
                    match self.end_patience(patience, attempt, sent_at) {
                        PatienceEnd::Move => return Sent::GivenUp,
                        PatienceEnd::WaitToEnd => until = self.ends_at,
                        PatienceEnd::WaitUntil(waited) => {
                            until = (sent_at + waited).min(self.ends_at);
                        }
                    }
                }
                (Err(_), _) => return Sent::TimedOut,
            }
        }
    }

    /// Lets the fleet learn from the time to the head of a call's answer.
    fn observe(&self, attempt: &Attempt, elapsed: Duration) {
        let mut fleet = self.serving.fleet.borrow_mut();
        fleet.note_answer(boot_time(), &attempt.placed.server);
        let Some(prompt) = &self.call.prompt else {
            return;
        };
        fleet.observe_first_event(&self.service, prompt, &attempt.placed, elapsed);
    }

    fn place(&mut self) -> Result<Placed> {
        let now = boot_time();
        let ask = PlaceAsk {
            prompt: self.call.prompt.as_ref(),
            service: &self.service,
            suspect: false,
            tried: &self.tried,
        };
        let placed = self.serving.fleet.borrow_mut().place(now, ask);
        let placed = match placed {
            Ok(placed) => placed,
            Err(_) if self.may_have_run => return Err(self.lost("no server left".to_owned())),
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
            placed.wait.as_millis(),
            placed.cached_tokens,
            self.tried.len() + 1,
        );
        Ok(placed)
    }

    /// Patience with an attempt, if its call may be sent to another server.
    fn patience(&self, placed: &Placed) -> Option<Patience> {
        let is_last = self.sends + 1 >= self.route.attempts_max;
        if is_last || !self.route.call_kind.is_repeatable() {
            return None;
        }
        Some(Patience::new(self.route.target_latency, placed.wait))
    }

    /// Decides on an attempt whose answer has not begun in time.
    fn end_patience(
        &self,
        patience: Patience,
        attempt: &mut Attempt,
        sent_at: TokioInstant,
    ) -> PatienceEnd {
        let waited = sent_at.elapsed();
        let since = boot_time().saturating_sub(waited);
        let server_answers = {
            let fleet = self.serving.fleet.borrow();
            fleet.has_answered_since(since, &attempt.placed.server)
        };
        let end = patience.end(waited, server_answers, || self.pay_retry());
        if end == PatienceEnd::Move && !server_answers {
            attempt.end = AttemptEnd::Broken;
        }
        end
    }

    fn failed(&mut self, attempt: &mut Attempt, error: LinkError) -> Attempted {
        match error.reached {
            Reached::NotSent => {
                attempt.end = AttemptEnd::Unreachable;
                Attempted::NotSent(error.reason)
            }
            Reached::MaybeRun => {
                attempt.end = AttemptEnd::Broken;
                self.sends += 1;
                Attempted::Lost(error.reason)
            }
        }
    }

    async fn take_answer(
        &mut self,
        mut attempt: Attempt,
        mut answer: LinkAnswer,
    ) -> Result<Attempted> {
        match self.serving.dialect.classify_response(&answer.head) {
            ResponseKind::NotRun => {
                attempt.end = AttemptEnd::Refused;
                self.finish_refusal(answer.body).await;
                return Ok(Attempted::NotRun("refused by the server".to_owned()));
            }
            ResponseKind::WrongServer => {
                attempt.end = AttemptEnd::WrongServer;
                return Ok(Attempted::NotRun(
                    "another server has the address".to_owned(),
                ));
            }
            ResponseKind::Untrusted => {
                attempt.end = AttemptEnd::Broken;
                return Ok(Attempted::Lost("answer is not the server's own".to_owned()));
            }
            ResponseKind::Executed => {}
        }
        self.count_begun();
        let is_stream = matches!(self.route.call_kind, CallKind::Stream { .. });
        if is_stream && answer.head.status == StatusCode::OK {
            return Ok(Attempted::Stream(attempt, Box::new(answer)));
        }
        let reading = answer.body.read_whole(WHOLE_ANSWER_MAX_BYTES);
        match timeout_at(self.ends_at, reading).await {
            Ok(Ok(body)) => {
                attempt.end = AttemptEnd::Whole;
                Ok(Attempted::Whole(attempt, Box::new(answer.head), body))
            }
            Ok(Err(error)) => {
                attempt.end = AttemptEnd::Broken;
                Ok(Attempted::Lost(error.reason))
            }
            Err(_) => {
                self.may_have_run = true;
                Ok(Attempted::TimedOut)
            }
        }
    }

    /// Reads a refusal's body, so that its connection can be used again; it is closed if the body
    /// does not end in time.
    async fn finish_refusal(&self, mut body: LinkBody) {
        let reading = body.read_whole(WHOLE_ANSWER_MAX_BYTES);
        match tokio::time::timeout(REFUSAL_BODY_TIMEOUT, reading).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => self.log_failed("refusal-cut", &error.reason),
            Err(_) => self.log_failed("refusal-cut", "body did not end in time"),
        }
    }

    fn count_begun(&self) {
        let Some(account) = &self.account else {
            return;
        };
        let window = self.serving.usage_window_now();
        self.serving.usage.borrow_mut().count(window, account);
    }

    /// True if the call may be sent to one more server, paid from the retry budget.
    pub(crate) fn may_send_again(&self) -> bool {
        self.sends < self.route.attempts_max && self.pay_retry()
    }

    /// Takes a retry from the budget; false if there is none.
    fn pay_retry(&self) -> bool {
        let account = self.account.clone().unwrap_or_default();
        let mut budget = self.serving.budget.borrow_mut();
        let paid = budget.withdraw(&account, &self.service);
        if paid {
            self.serving.metrics.retry(Failure::Broken);
        }
        paid
    }

    /// True if a server's failure may be another one's success.
    fn wants_another(&self, head: &ResponseHead) -> bool {
        head.status.is_server_error()
            && self.route.call_kind == CallKind::Idempotent
            && self.may_send_again()
    }

    async fn try_for_better(&mut self, last_event_id: Option<&str>) -> Option<Carried> {
        self.may_have_run = true;
        match self.attempt(last_event_id).await {
            Ok(Attempted::Whole(attempt, head, body)) => Some(Carried::Whole(attempt, head, body)),
            Ok(Attempted::Stream(attempt, answer)) => Some(Carried::Stream(attempt, answer)),
            // The answer that is at hand is passed on.
            Ok(_) | Err(_) => None,
        }
    }

    fn refused(&self) -> Error {
        match self.may_have_run {
            true => self.lost("no further server took it".to_owned()),
            false => Error::Overloaded {
                subject: Subject::Service(self.service.clone()),
                retry_after_ms: REFUSED_RETRY.as_millis() as u64,
            },
        }
    }

    pub(crate) fn lost(&self, reason: String) -> Error {
        Error::ResponseLost {
            reason,
            server: self.tried.last().cloned().unwrap_or_default(),
        }
    }

    pub(crate) fn timed_out(&self) -> Error {
        if !self.may_have_run {
            return self.refused();
        }
        Error::ResponseTimeout {
            server: self.tried.last().cloned().unwrap_or_default(),
            timeout_ms: self.received_at.elapsed().as_millis() as u64,
        }
    }

    pub(crate) fn log_failed(&self, stage: &str, reason: &str) {
        let server = self.tried.last().map_or("", |server| server.as_str());
        warn!(
            "attempt request={} server={server} end={stage} sends={} reason=\"{}\"",
            self.call.request_id,
            self.sends,
            shorten(reason),
        );
    }

    pub(crate) fn log_finish(&self, outcome: &str, status: u16, server: &str) {
        self.serving.metrics.call(self.received_at.elapsed());
        self.serving.metrics.outcome(Outcome::Whole, "ok");
        info!(
            "finish request={} outcome={outcome} status={status} server={server} ms={}",
            self.call.request_id,
            self.received_at.elapsed().as_millis(),
        );
    }
}

/// An answer at hand.
pub(crate) enum Carried {
    Stream(Attempt, Box<LinkAnswer>),
    Whole(Attempt, Box<ResponseHead>, Bytes),
}
