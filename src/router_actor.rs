//! The actor that owns the [`Router`] and is its only writer.

use super::*;

/// Admits a request and places its first attempt.
#[derive(Message)]
#[rtype(result = "Result<Placement>")]
pub struct Admit {
    /// The request.
    pub ask: Ask,
    /// True if another instance accepted it before: its account's limits were already charged.
    pub handed_over: bool,
}

/// Places an admitted request anew, on any of its servers.
#[derive(Message)]
#[rtype(result = "Result<Placement>")]
pub struct PlaceAgain {
    /// The request.
    pub ask: Ask,
}

/// Ends a failed attempt and places the next.
#[derive(Message)]
#[rtype(result = "Result<Placement>")]
pub struct RetryAsk {
    /// The request.
    pub ask: Ask,
    /// Attempt that failed.
    pub failed: Placement,
    /// How it failed.
    pub failure: Failure,
    /// Servers that failed this request.
    pub tried: Vec<ServerName>,
}

/// Ends an attempt that did not fail.
#[derive(Message)]
#[rtype(result = "()")]
pub struct EndAttempt {
    /// The request.
    pub ask: Ask,
    /// Attempt that ended.
    pub placement: Placement,
}

/// Ends an admitted request.
#[derive(Message)]
#[rtype(result = "()")]
pub struct FinishRequest {
    /// The request.
    pub ask: Ask,
    /// Tokens to charge.
    pub tokens: u32,
}

/// Corrects the estimate of a server's prefix cache.
#[derive(Message)]
#[rtype(result = "()")]
pub struct CorrectPrefixes {
    /// The request.
    pub ask: Ask,
    /// Prompt tokens that the engine found cached.
    pub cached_tokens: u32,
    /// Attempt that the engine reported on.
    pub placement: Placement,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
}

/// Puts a newer table in force.
#[derive(Message)]
#[rtype(result = "Result")]
pub struct ApplyTable {
    /// The table.
    pub table: Arc<Table>,
    /// Its version.
    pub version: TableVersion,
}

/// Marks a backend server as leaving or live. The result tells if that is news.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct SetLeaving {
    /// True if this instance found it out itself, and so tells the others.
    pub is_own_word: bool,
    /// True if it is leaving.
    pub leaving: bool,
    /// The server.
    pub server: ServerName,
    /// Who says so.
    pub source: LeavingSource,
}

/// Takes evidence of another instance that a content crashed a server.
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

/// Releases a quarantined content. The result tells if it was held.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct ReleaseContent {
    /// Hash of the content.
    pub content_hash: u64,
}

/// Asks for the quarantined contents.
#[derive(Message)]
#[rtype(result = "Vec<QuarantineEntry>")]
pub struct ListQuarantine;

/// Takes a load report.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ReportLoad {
    /// What the server reported.
    pub report: LoadReport,
    /// The server.
    pub server: ServerName,
}

/// Sets this instance's share of all limits.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetLimitFraction(
    /// Share in 0..=1.
    pub f64,
);

/// Sets who tells the other instances of news.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetAnnouncer(
    /// Owner of the membership.
    pub Recipient<Announce>,
);

/// Status of a backend server as this instance sees it.
#[derive(Debug, Clone, Serialize)]
pub struct ServerStatus {
    /// Address.
    pub address: SmolStr,
    /// True if it gets no new work because it is leaving.
    pub leaving: bool,
    /// Name.
    pub name: ServerName,
    /// Path.
    pub path: PathName,
    /// Requests of this instance that it runs.
    pub running_here: u32,
}

/// Asks for the status of all backend servers.
#[derive(Message)]
#[rtype(result = "Vec<ServerStatus>")]
pub struct ListServers;

/// Owner of the routing state.
pub struct RouterActor {
    announcer: Option<Recipient<Announce>>,
    metrics: Metrics,
    router: Router,
    started_at: Instant,
}

impl RouterActor {
    /// Creates the actor with a state.
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

    /// Tells the other instances what a failed attempt says of its server or its content.
    fn announce_failure(&self, ask: &Ask, failed: &Placement, failure: Failure) {
        let server = failed.server.name.clone();
        match failure {
            Failure::Broken if ask.content_hash != 0 => self.announce(Announce::Suspect {
                account: ask.account.clone(),
                content_hash: ask.content_hash,
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

    fn announce(&self, news: Announce) {
        if let Some(announcer) = &self.announcer {
            announcer.do_send(news);
        }
    }

    /// Reports violated invariants before the result goes to the request.
    fn checked<T>(&self, result: Result<T>) -> Result<T> {
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

/// Messages that wait for the actor before senders are made to wait.
const MAILBOX_CAPACITY: usize = 4_096;

impl Handler<Admit> for RouterActor {
    type Result = Result<Placement>;

    fn handle(&mut self, message: Admit, _: &mut Self::Context) -> Self::Result {
        let now = self.now();
        let placed = match message.handed_over {
            false => self.router.admit(now, &message.ask),
            true => self.router.readmit(now, &message.ask),
        };
        self.checked(placed)
    }
}

impl Handler<PlaceAgain> for RouterActor {
    type Result = Result<Placement>;

    fn handle(&mut self, message: PlaceAgain, _: &mut Self::Context) -> Self::Result {
        let now = self.now();
        let placed = self.router.place_again(now, &message.ask);
        self.checked(placed)
    }
}

impl Handler<RetryAsk> for RouterActor {
    type Result = Result<Placement>;

    fn handle(&mut self, message: RetryAsk, _: &mut Self::Context) -> Self::Result {
        let RetryAsk {
            ask,
            failed,
            failure,
            tried,
        } = message;
        let now = self.now();
        let cause = self.router.cause_of(failure, &failed.server.name);
        let placed = self.router.retry(now, &ask, &failed, failure, &tried);
        self.announce_failure(&ask, &failed, cause);
        self.checked(placed)
    }
}

impl Handler<EndAttempt> for RouterActor {
    type Result = ();

    fn handle(&mut self, message: EndAttempt, _: &mut Self::Context) {
        let now = self.now();
        self.router
            .end_attempt(now, &message.ask, &message.placement, None);
    }
}

impl Handler<FinishRequest> for RouterActor {
    type Result = ();

    fn handle(&mut self, message: FinishRequest, _: &mut Self::Context) {
        self.router.finish(&message.ask, message.tokens);
    }
}

impl Handler<CorrectPrefixes> for RouterActor {
    type Result = ();

    fn handle(&mut self, message: CorrectPrefixes, _: &mut Self::Context) {
        let blocks = message.ask.prompt_blocks as u64;
        let tokens = u64::from(message.prompt_tokens.max(1));
        let cached = (u64::from(message.cached_tokens) * blocks).div_ceil(tokens);
        self.router
            .correct_prefixes(&message.ask, &message.placement, cached as usize);
    }
}

impl Handler<ApplyTable> for RouterActor {
    type Result = Result;

    fn handle(&mut self, message: ApplyTable, _: &mut Self::Context) -> Self::Result {
        let applied = self.router.apply_table(message.version, message.table);
        self.checked(applied)
    }
}

impl Handler<SetLeaving> for RouterActor {
    type Result = bool;

    fn handle(&mut self, message: SetLeaving, _: &mut Self::Context) -> bool {
        let news = self
            .router
            .set_leaving(&message.server, message.source, message.leaving);
        if news && message.is_own_word {
            self.announce(Announce::ServerLeaving {
                leaving: message.leaving,
                server: message.server.clone(),
                source: message.source,
            });
        }
        if news {
            info!(
                "drain server={} leaving={} source={:?}",
                message.server, message.leaving, message.source
            );
        }
        news
    }
}

impl Handler<SuspectContent> for RouterActor {
    type Result = ();

    fn handle(&mut self, message: SuspectContent, _: &mut Self::Context) {
        let now = self.now();
        let quarantine = &mut self.router.quarantine;
        quarantine.suspect(now, message.content_hash, &message.account, &message.server);
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
