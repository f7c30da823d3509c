//! Actor that owns the [`Router`], the routing state of an instance; only it changes that state,
//! one message at a time. Placing an attempt means to choose the backend server that it is sent to.
//! The table is the operators' list of backend servers, model versions, routes and client accounts.

use super::*;

/// Admits a request under its account's limits and places its first attempt. The sender has to end
/// an admitted request by [`FinishRequest`].
#[derive(Message)]
#[rtype(result = "Result<Placement>")]
pub struct AdmitRequest {
    /// True if another instance admitted the request before and handed it over to this one; then it
    /// is not refused even if its account has reached its limits.
    pub handed_over: bool,
    /// Properties from which its server is chosen; later messages about the request carry the same
    /// value.
    pub route_request: RouteRequest,
}

/// Places an admitted request again, on any server that serves it, including those that failed it;
/// used once all of them have failed.
#[derive(Message)]
#[rtype(result = "Result<Placement>")]
pub struct PlaceAgain {
    /// Request as passed in [`AdmitRequest`], which is not charged to its account's limits again.
    pub route_request: RouteRequest,
}

/// Ends a failed attempt and places the next one, if the retry budget allows it. The failure may
/// eject the server, make the request's content a suspect (one that may have crashed the server),
/// and be announced to the other instances.
#[derive(Message)]
#[rtype(result = "Result<Placement>")]
pub struct RetryAttempt {
    /// Placement of the failed attempt, which is no longer included in the number of requests that
    /// run on its server.
    pub failed: Placement,
    /// Failure that the sender observed; [`Failure::Leaving`] is recorded instead if its server is
    /// known to be leaving.
    pub failure: Failure,
    /// Request as passed in [`AdmitRequest`]; the retry is taken from the retry budgets of its
    /// account, the server and the instance, unless the server is leaving or could not be reached.
    pub route_request: RouteRequest,
    /// Servers that failed this request and are not chosen again.
    pub tried: Vec<ServerName>,
}

/// Moves a request away from a silent server that may still be working on it, if another server can
/// take it and the retry budget allows it; otherwise fails and leaves the attempt as it is.
#[derive(Message)]
#[rtype(result = "Result<Placement>")]
pub struct MoveStalled {
    /// Request as passed in [`AdmitRequest`]; the retry is taken from the retry budgets as for
    /// [`RetryAttempt`].
    pub route_request: RouteRequest,
    /// Placement of the attempt at the silent server, which ends if the request is moved.
    pub stalled: Placement,
    /// Servers that are not chosen: the silent one and those that failed this request.
    pub tried: Vec<ServerName>,
}

/// Ends an attempt that did not fail: its answer was complete or its request was abandoned.
#[derive(Message)]
#[rtype(result = "()")]
pub struct EndAttempt {
    /// Placement of the attempt. It is no longer included in the number of requests that run on its
    /// server, whose count of consecutive failures is reset.
    pub placement: Placement,
    /// Request as passed in [`AdmitRequest`], which stays admitted.
    pub route_request: RouteRequest,
}

/// Ends an admitted request after its last attempt, which is then no longer counted as a concurrent
/// stream of its account.
#[derive(Message)]
#[rtype(result = "()")]
pub struct FinishRequest {
    /// Request as passed in [`AdmitRequest`], whose account is charged.
    pub route_request: RouteRequest,
    /// Tokens generated for the request on this instance, which are charged to the account's limit
    /// of tokens per second; 0 for plain calls.
    pub tokens: u32,
}

/// Corrects the estimate of which prompt prefixes a server has cached, from the number of cached
/// prompt tokens that the engine (the model server) reports with an answer.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CorrectPrefixes {
    /// Prompt tokens that the engine found cached; 0 if it does not report them.
    pub cached_tokens: u32,
    /// Placement of the attempt that the engine reported on, with the estimate to correct.
    pub placement: Placement,
    /// Length of the prompt in tokens as the engine counted it, used to convert `cached_tokens` to
    /// blocks.
    pub prompt_tokens: u32,
    /// Request whose prompt the engine reported on.
    pub route_request: RouteRequest,
}

/// Applies a newer version of the operators' table. Fails if the version is not higher than the
/// current one.
#[derive(Message)]
#[rtype(result = "Result")]
pub struct ApplyTable {
    /// Table after validation; its servers replace the known ones.
    pub table: Arc<Table>,
    /// Offset in the log of the edit that produced this table, plus one.
    pub version: TableVersion,
}

/// Records whether one source reports a backend server as leaving. Returns true if this changed
/// whether the server is leaving: it is while any source reports it.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct SetLeaving {
    /// True if this instance received the report itself, and so announces a change to the others;
    /// false if another instance announced it.
    pub is_detected_here: bool,
    /// True if the source reports the server as leaving, false if it withdraws its report.
    pub leaving: bool,
    /// Server by its name in the table; an unknown name changes nothing.
    pub server: ServerName,
    /// Source whose earlier report about the server this one replaces.
    pub source: LeavingSource,
}

/// Records evidence from another instance that a content (the messages of a model request) or a
/// plain call crashed a server.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SuspectContent {
    /// Account that sent the request; operators see it in the list of quarantined contents.
    pub account: AccountName,
    /// Hash of the request's messages, which is equal on all instances; 0 for a plain call.
    pub content_hash: u64,
    /// Parts of the request that other requests may have, if the server crashed as it began to
    /// answer it; otherwise empty. Of a plain call, which has no content, the hash of the call.
    pub parts: SuspectParts,
    /// Server whose connection broke while it ran the content; after crashes of two servers the
    /// content is quarantined, so that its requests are refused.
    pub server: ServerName,
}

/// Records that a server crashed while it ran a plain call of this instance, and announces it to
/// the others. Has no effect if the server is leaving.
#[derive(Message)]
#[rtype(result = "()")]
pub struct RecordCrash {
    /// Server whose connection broke.
    pub placement: Placement,
    /// Call that it ran.
    pub route_request: RouteRequest,
}

/// Releases a quarantined content, or parts that are refused, so that they are accepted again.
/// Returns true if the content was quarantined or suspect, or the part refused.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct ReleaseContent {
    /// Hash of the content, as in the error that its callers get and in [`ListQuarantine`].
    pub content_hash: u64,
}

/// Records that a server sent the first token of an answer to a request with these parts, or the
/// whole answer to a plain call.
#[derive(Message)]
#[rtype(result = "()")]
pub struct RecordAnswer {
    /// Hash of the request's messages, or of the plain call.
    pub content_hash: u64,
    /// Hashes of the messages that other requests may have.
    pub parts: SuspectParts,
}

/// Lists the parts of prompts whose requests are refused.
#[derive(Message)]
#[rtype(result = "Vec<Refusal>")]
pub struct ListRefusals;

/// Lists the quarantined contents in the order of their hashes; contents that crashed only one
/// server are left out.
#[derive(Message)]
#[rtype(result = "Vec<QuarantineEntry>")]
pub struct ListQuarantine;

/// Records the number of requests at a server, as polled by this instance or by another one of its
/// data centre.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ReportLoad {
    /// Requests of all instances at the server; ignored a few seconds after it was received.
    pub report: LoadReport,
    /// Server by its name in the table; reports on unknown names are dropped.
    pub server: ServerName,
}

/// Sets this instance's share of every account's limits. It is sent whenever the number of live
/// instances has been determined.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetLimitFraction(
    /// Share in 0..=1: one divided by the number of live instances in reachable data centres.
    pub f64,
);

/// Sets the recipient of announcements to the other instances; before it is set, announcements are
/// dropped.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetAnnouncer(
    /// Address of the actor that is connected to the other instances.
    pub Recipient<Announce>,
);

/// Status of a backend server as this instance sees it, listed to operators.
#[derive(Debug, Clone, Serialize)]
pub struct ServerStatus {
    /// Host and port from the server's table row.
    pub address: SmolStr,
    /// True if it gets no new work because some source reports it as leaving.
    pub leaving: bool,
    /// Name by which table rows, drain commands and log lines refer to it.
    pub name: ServerName,
    /// Path that it belongs to: the group of servers and table rows of one deployment, such as the
    /// old or the new one.
    pub path: PathName,
    /// Attempts of this instance that were placed there and have not ended.
    pub running_here: u32,
}

/// Lists the status of the backend servers in the table in force, the newest one that the instance
/// accepted.
#[derive(Message)]
#[rtype(result = "Vec<ServerStatus>")]
pub struct ListServers;

/// Actor that owns the routing state of an instance and announces to the others what failed
/// attempts show.
pub struct RouterActor {
    announcer: Option<Recipient<Announce>>,
    metrics: Metrics,
    router: Router,
    started_at: Instant,
}

impl RouterActor {
    /// Creates the actor; the times that it passes to `router` are measured from this call.
    /// `metrics` counts violated invariants.
    pub fn new(router: Router, metrics: Metrics) -> Self {
        Self {
            announcer: None,
            metrics,
            router,
            started_at: Instant::now(),
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Announces to the other instances what a failed attempt shows about its server or content.
    fn announce_failure(&self, request: &RouteRequest, failed: &Placement, failure: Failure) {
        let server = failed.server.name.clone();
        match failure {
            Failure::Broken | Failure::BrokenAtStart if request.content_hash != 0 => {
                let parts = match failure {
                    Failure::BrokenAtStart => request.parts.clone(),
                    _ => SuspectParts::new(),
                };
                self.announce(Announce::Suspect {
                    account: request.account.clone(),
                    content_hash: request.content_hash,
                    parts,
                    server,
                });
            }
            Failure::Leaving => self.announce(Announce::ServerLeaving {
                leaving: true,
                server,
                source: LeavingSource::Server,
            }),
            Failure::Broken
            | Failure::BrokenAtStart
            | Failure::Connect
            | Failure::Stalled
            | Failure::Status => {}
        }
    }

    fn announce(&self, announcement: Announce) {
        if let Some(announcer) = &self.announcer {
            announcer.do_send(announcement);
        }
    }

    /// Logs the error and counts it in the metrics if `result` is a violated invariant; returns
    /// `result` unchanged.
    fn report_invariant<T>(&self, result: Result<T>) -> Result<T> {
        if let Err(Error::Invariant { invariant }) = &result {
            error!("invariant violated: {invariant}");
            self.metrics.invariant(invariant);
        }
        result
    }
}

impl Actor for RouterActor {
    type Context = actix::Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.set_mailbox_capacity(MAILBOX_CAPACITY);
    }
}

/// Capacity of the actor's mailbox in messages. While it is full, `send` waits, and `do_send`
/// exceeds the capacity.
const MAILBOX_CAPACITY: usize = 4_096;

impl Handler<AdmitRequest> for RouterActor {
    type Result = Result<Placement>;

    fn handle(&mut self, message: AdmitRequest, _: &mut Self::Context) -> Self::Result {
        let now = self.now();
        let placed = match message.handed_over {
            false => self.router.admit(now, &message.route_request),
            true => self.router.admit_handed_over(now, &message.route_request),
        };
        self.report_invariant(placed)
    }
}

impl Handler<PlaceAgain> for RouterActor {
    type Result = Result<Placement>;

    fn handle(&mut self, message: PlaceAgain, _: &mut Self::Context) -> Self::Result {
        let now = self.now();
        let placed = self.router.place_again(now, &message.route_request);
        self.report_invariant(placed)
    }
}

impl Handler<RetryAttempt> for RouterActor {
    type Result = Result<Placement>;

    fn handle(&mut self, message: RetryAttempt, _: &mut Self::Context) -> Self::Result {
        let RetryAttempt {
            failed,
            failure,
            route_request,
            tried,
        } = message;
        let now = self.now();
        let cause = self.router.classify_failure(failure, &failed.server.name);
        let placed = self
            .router
            .retry(now, &route_request, &failed, failure, &tried);
        self.announce_failure(&route_request, &failed, cause);
        self.report_invariant(placed)
    }
}

impl Handler<MoveStalled> for RouterActor {
    type Result = Result<Placement>;

    fn handle(&mut self, message: MoveStalled, _: &mut Self::Context) -> Self::Result {
        let MoveStalled {
            route_request,
            stalled,
            tried,
        } = message;
        let now = self.now();
        let cause = self
            .router
            .classify_failure(Failure::Stalled, &stalled.server.name);
        let placed = self
            .router
            .move_stalled(now, &route_request, &stalled, &tried);
        if placed.is_ok() {
            self.announce_failure(&route_request, &stalled, cause);
        }
        self.report_invariant(placed)
    }
}

impl Handler<EndAttempt> for RouterActor {
    type Result = ();

    fn handle(&mut self, message: EndAttempt, _: &mut Self::Context) {
        let now = self.now();
        self.router
            .end_attempt(now, &message.route_request, &message.placement, None);
    }
}

impl Handler<FinishRequest> for RouterActor {
    type Result = ();

    fn handle(&mut self, message: FinishRequest, _: &mut Self::Context) {
        self.router.finish(&message.route_request, message.tokens);
    }
}

impl Handler<CorrectPrefixes> for RouterActor {
    type Result = ();

    fn handle(&mut self, message: CorrectPrefixes, _: &mut Self::Context) {
        let blocks = message.route_request.prompt_blocks as u64;
        let tokens = u64::from(message.prompt_tokens.max(1));
        let cached = (u64::from(message.cached_tokens) * blocks).div_ceil(tokens);
        self.router
            .correct_prefixes(&message.route_request, &message.placement, cached as usize);
    }
}

impl Handler<ApplyTable> for RouterActor {
    type Result = Result;

    fn handle(&mut self, message: ApplyTable, _: &mut Self::Context) -> Self::Result {
        let applied = self.router.apply_table(message.version, message.table);
        self.report_invariant(applied)
    }
}

impl Handler<SetLeaving> for RouterActor {
    type Result = bool;

    fn handle(&mut self, message: SetLeaving, _: &mut Self::Context) -> bool {
        let changed = self
            .router
            .set_leaving(&message.server, message.source, message.leaving);
        if changed && message.is_detected_here {
            self.announce(Announce::ServerLeaving {
                leaving: message.leaving,
                server: message.server.clone(),
                source: message.source,
            });
        }
        if changed {
            info!(
                "drain server={} leaving={} source={:?}",
                message.server, message.leaving, message.source
            );
        }
        changed
    }
}

impl Handler<SuspectContent> for RouterActor {
    type Result = ();

    fn handle(&mut self, message: SuspectContent, _: &mut Self::Context) {
        let now = self.now();
        let call = match message.content_hash {
            0 => message.parts.first().copied().unwrap_or_default(),
            _ => 0,
        };
        if message.content_hash != 0 {
            let quarantine = &mut self.router.quarantine;
            quarantine.record_crash(now, message.content_hash, &message.account, &message.server);
        }
        if !message.parts.is_empty() {
            let changes = self
                .router
                .merge_crash(now, &message.server, message.parts, call);
            log_refusals(&changes, "peer");
        }
    }
}

impl Handler<RecordCrash> for RouterActor {
    type Result = ();

    fn handle(&mut self, message: RecordCrash, _: &mut Self::Context) {
        let now = self.now();
        let RecordCrash {
            placement,
            route_request,
        } = message;
        let server = &placement.server.name;
        if self.router.classify_failure(Failure::Broken, server) != Failure::Broken {
            return;
        }
        warn!(
            "crash request={} server={server} parts={}",
            route_request.request_id,
            format_parts(&route_request.suspect_parts()),
        );
        let changes = self.router.record_crash(now, &route_request, server);
        log_refusals(&changes, "crash");
        self.announce(Announce::Suspect {
            account: route_request.account.clone(),
            content_hash: 0,
            parts: route_request.suspect_parts(),
            server: server.clone(),
        });
    }
}

impl Handler<ReleaseContent> for RouterActor {
    type Result = bool;

    fn handle(&mut self, message: ReleaseContent, _: &mut Self::Context) -> bool {
        let now = self.now();
        let changes = self
            .router
            .part_quarantine
            .release(now, message.content_hash);
        log_refusals(&changes, "operator");
        self.router.quarantine.release(message.content_hash) || !changes.is_empty()
    }
}

impl Handler<RecordAnswer> for RouterActor {
    type Result = ();

    fn handle(&mut self, message: RecordAnswer, _: &mut Self::Context) {
        let now = self.now();
        let quarantine = &mut self.router.part_quarantine;
        let changes = quarantine.record_answer(now, &message.parts, message.content_hash);
        log_refusals(&changes, "answer");
    }
}

impl Handler<ListRefusals> for RouterActor {
    type Result = Vec<Refusal>;

    fn handle(&mut self, _: ListRefusals, _: &mut Self::Context) -> Self::Result {
        let refusals = self.router.part_quarantine.refusals(self.now());
        refusals.cloned().collect()
    }
}

impl Handler<ListQuarantine> for RouterActor {
    type Result = Vec<QuarantineEntry>;

    fn handle(&mut self, _: ListQuarantine, _: &mut Self::Context) -> Self::Result {
        self.router.quarantine.list()
    }
}

impl Handler<ReportLoad> for RouterActor {
    type Result = ();

    fn handle(&mut self, message: ReportLoad, _: &mut Self::Context) {
        let now = self.now();
        self.router
            .report_load(now, &message.server, message.report);
    }
}

impl Handler<SetLimitFraction> for RouterActor {
    type Result = ();

    fn handle(&mut self, message: SetLimitFraction, _: &mut Self::Context) {
        self.router.set_limit_fraction(message.0);
    }
}

impl Handler<SetAnnouncer> for RouterActor {
    type Result = ();

    fn handle(&mut self, message: SetAnnouncer, _: &mut Self::Context) {
        self.announcer = Some(message.0);
    }
}

impl Handler<ListServers> for RouterActor {
    type Result = Vec<ServerStatus>;

    fn handle(&mut self, _: ListServers, _: &mut Self::Context) -> Self::Result {
        let mut statuses = Vec::new();
        for (row, leaving, running_here) in self.router.servers() {
            statuses.push(ServerStatus {
                address: row.address.clone(),
                leaving,
                name: row.name.clone(),
                path: row.path.clone(),
                running_here,
            });
        }
        statuses
    }
}
