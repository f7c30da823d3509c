//! Actor that owns the [`Router`]; only it changes the routing state.

use super::*;

/// Admits a request and places its first attempt.
#[derive(Message)]
#[rtype(result = "Result<Placement>")]
pub struct AdmitRequest {
    /// True if another instance admitted it before, which charged its account's limits.
    pub handed_over: bool,
    /// The request.
    pub route_request: RouteRequest,
}

/// Places an admitted request again, on any server that serves it.
#[derive(Message)]
#[rtype(result = "Result<Placement>")]
pub struct PlaceAgain {
    /// The request.
    pub route_request: RouteRequest,
}

/// Ends a failed attempt and places the next one.
#[derive(Message)]
#[rtype(result = "Result<Placement>")]
pub struct RetryAttempt {
    /// Attempt that failed.
    pub failed: Placement,
    /// Why it failed.
    pub failure: Failure,
    /// The request.
    pub route_request: RouteRequest,
    /// Servers that failed this request.
    pub tried: Vec<ServerName>,
}

/// Ends an attempt that did not fail.
#[derive(Message)]
#[rtype(result = "()")]
pub struct EndAttempt {
    /// Attempt that ended.
    pub placement: Placement,
    /// The request.
    pub route_request: RouteRequest,
}

/// Ends an admitted request.
#[derive(Message)]
#[rtype(result = "()")]
pub struct FinishRequest {
    /// The request.
    pub route_request: RouteRequest,
    /// Tokens to charge.
    pub tokens: u32,
}

/// Corrects the estimate of a server's prefix cache.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CorrectPrefixes {
    /// Prompt tokens that the engine found cached.
    pub cached_tokens: u32,
    /// Attempt that the engine reported on.
    pub placement: Placement,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// The request.
    pub route_request: RouteRequest,
}

/// Applies a newer table.
#[derive(Message)]
#[rtype(result = "Result")]
pub struct ApplyTable {
    /// The table.
    pub table: Arc<Table>,
    /// Version of the table.
    pub version: TableVersion,
}

/// Marks a backend server as leaving or live. Returns true if this changed its state.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct SetLeaving {
    /// True if this instance detected it, and so announces it to the others.
    pub is_detected_here: bool,
    /// True if it is leaving.
    pub leaving: bool,
    /// The server.
    pub server: ServerName,
    /// Source of the report.
    pub source: LeavingSource,
}

/// Records evidence from another instance that a content crashed a server.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SuspectContent {
    /// Account whose request it was.
    pub account: AccountName,
    /// Hash of the content.
    pub content_hash: u64,
    /// Server that broke.
    pub server: ServerName,
}

/// Releases a quarantined content. Returns true if it was quarantined or suspect.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct ReleaseContent {
    /// Hash of the content.
    pub content_hash: u64,
}

/// Lists the quarantined contents.
#[derive(Message)]
#[rtype(result = "Vec<QuarantineEntry>")]
pub struct ListQuarantine;

/// Records a load report.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ReportLoad {
    /// What the server reported.
    pub report: LoadReport,
    /// The server.
    pub server: ServerName,
}

/// Sets this instance's share of every account's limits.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetLimitFraction(
    /// Share in 0..=1.
    pub f64,
);

/// Sets the recipient of announcements to the other instances.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetAnnouncer(
    /// Actor that sends announcements to peers.
    pub Recipient<Announce>,
);

/// Status of a backend server as this instance sees it.
#[derive(Debug, Clone, Serialize)]
pub struct ServerStatus {
    /// Address that it listens on.
    pub address: SmolStr,
    /// True if it gets no new work because it is leaving.
    pub leaving: bool,
    /// Unique name.
    pub name: ServerName,
    /// Path that it belongs to.
    pub path: PathName,
    /// Requests of this instance running there.
    pub running_here: u32,
}

/// Lists the status of all backend servers.
#[derive(Message)]
#[rtype(result = "Vec<ServerStatus>")]
pub struct ListServers;

/// Actor that owns the routing state.
pub struct RouterActor {
    announcer: Option<Recipient<Announce>>,
    metrics: Metrics,
    router: Router,
    started_at: Instant,
}

impl RouterActor {
    /// Creates the actor with its routing state.
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
            Failure::Broken if request.content_hash != 0 => self.announce(Announce::Suspect {
                account: request.account.clone(),
                content_hash: request.content_hash,
                server,
            }),
            Failure::Leaving => self.announce(Announce::ServerLeaving {
                leaving: true,
                server,
                source: LeavingSource::Server,
            }),
            Failure::Broken | Failure::Connect | Failure::Status => {}
        }
    }

    fn announce(&self, announcement: Announce) {
        if let Some(announcer) = &self.announcer {
            announcer.do_send(announcement);
        }
    }

    /// Logs and counts a violated invariant, and passes the result on.
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

/// Capacity of the actor's mailbox. While it is full, `send` waits; `do_send` ignores it.
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
        let quarantine = &mut self.router.quarantine;
        quarantine.record_crash(now, message.content_hash, &message.account, &message.server);
    }
}

impl Handler<ReleaseContent> for RouterActor {
    type Result = bool;

    fn handle(&mut self, message: ReleaseContent, _: &mut Self::Context) -> bool {
        self.router.quarantine.release(message.content_hash)
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
