//! Routing state of one entry instance (a process that accepts callers' requests) and its
//! decisions: whether to admit a request, where to place each attempt, and whether to retry.
//!
//! Placing an attempt means to choose the backend server that it is sent to. The servers, the
//! models and routes that they serve, and the client accounts are listed in the table that the
//! operators maintain. A suspect is a content (the messages of a model request) that was running on
//! a server when the connection to it broke. The state does no I/O: events and the time since the
//! router was started go in, decisions come out. Only [`RouterActor`](crate::router_actor) writes
//! it.

use super::*;

/// Assumed size of the prefix cache of an engine (a model server), in blocks of [`BLOCK_BYTES`]
/// bytes of prompt text.
const CACHE_BLOCKS: usize = 8_192;

/// A server whose connections fail is ejected (gets no requests) for this long, doubled with each
/// consecutive failure.
const EJECTION_INITIAL: Duration = Duration::from_millis(500);

/// Longest time for which a failing server is ejected.
const EJECTION_MAX: Duration = Duration::from_secs(8);

/// Reports of a server's crash within this time are about the same crash: it takes longer to start.
const CRASH_INTERVAL_MIN: Duration = Duration::from_secs(1);

/// Maximum age of a server's load report. An older one is ignored, and only this instance's own
/// requests are counted as the server's load.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// Maximum number of leading blocks of a prompt whose hash determines its preferred server, the one
/// that its prompt prefix is sent to if others do not have a better score.
const AFFINITY_BLOCKS: usize = 16;

/// Maximum number of conversations for which the variant (the model version or route row that
/// served them) is remembered. All of them are forgotten when a request arrives after this number
/// is reached.
const CONVERSATIONS_MAX: usize = 65_536;

/// Retry delay sent to callers when all servers for a request are leaving, are ejected or have
/// already failed the request.
const NO_SERVER_RETRY_AFTER_MS: u64 = 1_000;

/// Retry delay sent to callers when all servers are full or the retry budget is used up.
const OVERLOADED_RETRY_AFTER_MS: u64 = 2_000;

/// Properties of a request from which the server of each attempt is chosen.
#[derive(Debug, Clone)]
pub struct RouteRequest {
    /// Account that owns the caller's key; its limits, retry budget and traffic weights apply.
    pub account: AccountName,
    /// Hash of a plain call (a call other than a model call) as a whole, by which a call that
    /// crashes servers is recognized; 0 for model calls.
    pub call: PartHash,
    /// Hash of all messages of a model request, by which content that crashes servers is
    /// recognized; 0 for plain calls, which are never suspects.
    pub content_hash: u64,
    /// Hash of the leading messages that identify the conversation, whose requests keep their
    /// variant; 0 for plain calls.
    pub conversation: u64,
    /// Hashes of the messages that other requests may have too, by which a part that crashes servers
    /// is recognized; empty for plain calls.
    pub parts: SuspectParts,
    /// Hashes of the prompt's prefixes, shortest first; empty for plain calls.
    pub prefixes: PrefixHashes,
    /// Length of the prompt in blocks of [`BLOCK_BYTES`] bytes, rounded up; 0 for plain calls.
    pub prompt_blocks: usize,
    /// Id that the log line of each placement contains; it does not influence the choice.
    pub request_id: RequestId,
    /// Model or route that the request is addressed to; the table lists its variants (the model
    /// versions or route rows that can serve it) with their traffic weights.
    pub subject: Subject,
}

impl RouteRequest {
    /// Returns the parts by which requests that crash servers are recognized.
    pub fn suspect_parts(&self) -> SuspectParts {
        let mut parts = self.parts.clone();
        parts.extend((self.call != 0).then_some(self.call));
        parts
    }
}

/// Server chosen for an attempt. The attempt is included in the number of requests that run there
/// until [`Router::end_attempt`] or [`Router::retry`] ends it.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Leading prompt blocks that were estimated to be in the server's cache before this attempt; 0
    /// for plain calls.
    pub cached_blocks: usize,
    /// Row of the server in the operators' table, as of the table version that was current when the
    /// attempt was placed.
    pub server: Arc<BackendServer>,
    /// Name under which the server serves the chosen variant: "model@version" or a route prefix.
    pub served_as: SmolStr,
    /// True if the request's content was a suspect when the attempt was placed, so that the chosen
    /// server runs no other suspect of this instance.
    pub suspect: bool,
}

/// Why an attempt failed, which determines whether its retry costs budget, its server is ejected
/// and its content becomes a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection broke while the request ran: the server may have crashed.
    Broken,
    /// The same, before the first token of the answer.
    BrokenAtStart,
    /// The server could not be reached; nothing was sent.
    Connect,
    /// The server is leaving, and it stopped running the request or refused to start it.
    Leaving,
    /// The server sent nothing for too long; it may still be working on the request.
    Stalled,
    /// The server answered with an error.
    Status,
}

impl Failure {
    /// Returns true if a retry after this failure is taken from the retry budget.
    fn costs_budget(self) -> bool {
        match self {
            Self::Broken | Self::BrokenAtStart | Self::Stalled | Self::Status => true,
            Self::Connect | Self::Leaving => false,
        }
    }
}

/// Number of requests of all instances at a server, as the server reported them when polled.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadReport {
    /// Requests that wait for a free slot.
    pub queued: u32,
    /// Requests that occupy a slot.
    pub running: u32,
}

/// Source that reports a backend server as leaving. Sources are tracked separately: a server is
/// leaving while any of them reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSource {
    /// The platform's list of server instances and their states, which is polled.
    InstanceList,
    /// An operator's drain command.
    Operator,
    /// The server's own load report, or its refusal or end of an attempt because it is leaving.
    Server,
}

#[derive(Debug)]
struct ServerState {
    /// Estimated end of the prefill (the processing before the first token is generated) of the
    /// prompts that this instance sent it.
    backlog_until: Duration,
    /// Time of the last crash that was reported.
    crashed_at: Duration,
    ejected_until: Duration,
    failure_streak: u32,
    leaving: SmallVec<[LeavingSource; 2]>,
    prefixes: PrefixEstimate,
    report: Option<(Duration, LoadReport)>,
    row: Arc<BackendServer>,
    running_here: u32,
    running_here_at_report: u32,
    suspects_here: u32,
}

impl ServerState {
    fn new(row: Arc<BackendServer>) -> Self {
        Self {
            backlog_until: Duration::ZERO,
            crashed_at: Duration::ZERO,
            ejected_until: Duration::ZERO,
            failure_streak: 0,
            leaving: SmallVec::new(),
            prefixes: PrefixEstimate::new(CACHE_BLOCKS),
            report: None,
            row,
            running_here: 0,
            running_here_at_report: 0,
            suspects_here: 0,
        }
    }

    fn is_live(&self, now: Duration) -> bool {
        let accepts_work = self.leaving.is_empty() || is_disabled(Safeguard::Leaving);
        accepts_work && now >= self.ejected_until
    }

    /// Returns the number of requests at the server: that of the last report plus the change in
    /// this instance's own number since then; only its own if the report is missing or too old.
    fn requests(&self, now: Duration) -> u32 {
        let Some((reported_at, report)) = self.report else {
            return self.running_here;
        };
        if now.saturating_sub(reported_at) > REPORT_TTL {
            return self.running_here;
        }
        let reported = i64::from(report.running) + i64::from(report.queued);
        let since = i64::from(self.running_here) - i64::from(self.running_here_at_report);
        let sum = (reported + since).max(i64::from(self.running_here));
        u32::try_from(sum).unwrap_or(u32::MAX)
    }
}

/// Routing state of one instance: health and load of the servers, usage of the accounts' limits,
/// retry budget, and the table in force, which is the newest one that the instance accepted.
#[derive(Debug)]
pub struct Router {
    budget: RetryBudget,
    conversations: HashMap<u64, usize>,
    data_centre: DataCentreName,
    /// Fraction of every account's limits that this instance may spend, in 0..=1.
    limit_fraction: f64,
    limits: AccountLimits,
    /// Parts that crash servers; requests with them are refused.
    pub part_quarantine: PartQuarantine,
    /// Suspects, with the servers that broke while they ran them; requests with a quarantined
    /// content are refused.
    pub quarantine: Quarantine,
    rng: StdRng,
    servers: Vec<ServerState>,
    splitter: WeightedSplitter,
    table: Arc<Table>,
    version: TableVersion,
}

impl Router {
    /// Creates the state without a table, so that [`admit`](Self::admit) refuses all requests until
    /// [`apply_table`](Self::apply_table). `seed` determines random choices and where the splitter
    /// starts in its cycle of variants.
    pub fn new(data_centre: DataCentreName, seed: u64) -> Self {
        Self {
            budget: RetryBudget::default(),
            conversations: HashMap::new(),
            data_centre,
            limit_fraction: 1.0,
            limits: AccountLimits::default(),
            part_quarantine: PartQuarantine::default(),
            quarantine: Quarantine::default(),
            rng: StdRng::seed_from_u64(seed),
            servers: Vec::new(),
            splitter: WeightedSplitter::new(seed),
            table: Arc::default(),
            version: 0,
        }
    }

    /// Applies a newer table; the state of servers whose address is unchanged is kept, while the
    /// variants of all conversations are forgotten. Fails with [`Error::Invariant`] if `version` is
    /// not higher than the current one.
    pub fn apply_table(&mut self, version: TableVersion, table: Arc<Table>) -> Result {
        if version <= self.version {
            return Err(Error::Invariant {
                invariant: "table version never decreases",
            });
        }
        let mut old: HashMap<ServerName, ServerState> = HashMap::new();
        for state in self.servers.drain(..) {
            old.insert(state.row.name.clone(), state);
        }
        for row in &table.servers {
            let row = Arc::new(row.clone());
            let state = match old.remove(&row.name) {
                Some(mut state) if state.row.address == row.address => {
                    state.row = row;
                    state
                }
                _ => ServerState::new(row),
            };
            self.servers.push(state);
        }
        self.splitter.retain(&table);
        self.limits.retain(&table);
        self.budget.retain(&table);
        self.conversations.clear();
        self.table = table;
        self.version = version;
        Ok(())
    }

    /// Returns the version of the table in force; 0 if none was applied yet.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// Sets the fraction of every account's limits that this instance may spend, clamped to 0..=1;
    /// it is 1 until first set.
    pub fn set_limit_fraction(&mut self, fraction: f64) {
        self.limit_fraction = fraction.clamp(0.0, 1.0);
    }

    /// Admits a request under its account's limits and places its first attempt. Fails if no table
    /// was applied, the content is quarantined, a limit is exceeded, or no server can take the
    /// request.
    pub fn admit(&mut self, now: Duration, request: &RouteRequest) -> Result<Placement> {
        if self.version == 0 {
            return Err(Error::TableMissing);
        }
        self.check_quarantine(now, request, true)?;
        let table = self.table.clone();
        let account = find_account(&table, &request.account)?;
        self.limits.admit(now, account, self.limit_fraction)?;
        let placed = self.choose_server(now, account, request, None, &[]);
        match placed {
            Ok(placement) => {
                self.budget
                    .deposit(&request.account, &placement.server.name);
                Ok(placement)
            }
            Err(error) => {
                self.limits.finish(&request.account, 0);
                Err(error)
            }
        }
    }

    /// Places an admitted request again, on any server that serves it, including those that failed
    /// it before; used once all of them have failed.
    pub fn place_again(&mut self, now: Duration, request: &RouteRequest) -> Result<Placement> {
        let table = self.table.clone();
        let account = find_account(&table, &request.account)?;
        self.choose_server(now, account, request, None, &[])
    }

    /// Places a request that another instance admitted and handed over: it is not refused even if
    /// its account has reached its limits.
    pub fn admit_handed_over(
        &mut self,
        now: Duration,
        request: &RouteRequest,
    ) -> Result<Placement> {
        let table = self.table.clone();
        let account = find_account(&table, &request.account)?;
        self.limits
            .admit_handed_over(now, account, self.limit_fraction);
        let placed = self.choose_server(now, account, request, None, &[]);
        if placed.is_err() {
            self.limits.finish(&request.account, 0);
        }
        placed
    }

    /// Ends a failed attempt and places the next one, within the retry budget, which allows retries
    /// in proportion to accepted requests.
    ///
    /// `tried` are the servers that failed this request. The retry takes nothing from the budget if
    /// the failed server is leaving or could not be reached.
    pub fn retry(
        &mut self,
        now: Duration,
        request: &RouteRequest,
        failed: &Placement,
        failure: Failure,
        tried: &[ServerName],
    ) -> Result<Placement> {
        let failure = self.classify_failure(failure, &failed.server.name);
        self.end_attempt(now, request, failed, Some(failure));
        self.check_quarantine(now, request, false)?;
        if failure.costs_budget()
            && let Err(denied) = self.budget.withdraw(&request.account, &failed.server.name)
        {
            return Err(retry_denied(request, failed, denied));
        }
        let table = self.table.clone();
        let account = find_account(&table, &request.account)?;
        self.choose_server(now, account, request, Some(failed), tried)
    }

    /// Moves a request away from the silent server of `stalled`, which may still be working on it:
    /// places the next attempt within the retry budget and ends the stalled one. Fails, and leaves
    /// the stalled attempt as it is, if no other server can take the request or the retry is
    /// denied.
    ///
    /// `tried` are the servers that are not chosen, including the silent one.
    pub fn move_stalled(
        &mut self,
        now: Duration,
        request: &RouteRequest,
        stalled: &Placement,
        tried: &[ServerName],
    ) -> Result<Placement> {
        self.check_quarantine(now, request, false)?;
        let server = &stalled.server.name;
        let failure = self.classify_failure(Failure::Stalled, server);
        if failure.costs_budget()
            && let Err(denied) = self.budget.check(&request.account, server)
        {
            return Err(retry_denied(request, stalled, denied));
        }
        let table = self.table.clone();
        let account = find_account(&table, &request.account)?;
        let placement = self.choose_server(now, account, request, Some(stalled), tried)?;
        if failure.costs_budget()
            && let Err(denied) = self.budget.withdraw(&request.account, server)
        {
            return Err(retry_denied(request, stalled, denied));
        }
        self.end_attempt(now, request, stalled, Some(failure));
        Ok(placement)
    }

    /// Returns [`Failure::Leaving`] in place of any failure at a server that is leaving, and other
    /// failures unchanged: connections of a leaving server break because it is leaving, not because
    /// of the requests that it ran.
    pub fn classify_failure(&self, failure: Failure, server: &ServerName) -> Failure {
        let state = self.servers.iter().find(|state| state.row.name == *server);
        match state {
            Some(state) if !state.leaving.is_empty() => Failure::Leaving,
            _ => failure,
        }
    }

    /// Fails if the request's content or parts crash servers. One that is `new` may be tried to find
    /// out whether its parts still do.
    fn check_quarantine(&mut self, now: Duration, request: &RouteRequest, new: bool) -> Result {
        if self.quarantine.is_quarantined(request.content_hash) {
            return Err(Error::Quarantined {
                content_hash: request.content_hash,
            });
        }
        let parts = request.suspect_parts();
        let refusal = self.part_quarantine.refusal(now, &parts).cloned();
        match refusal {
            Some(refusal) if !new || !self.part_quarantine.begin_trial(now, &refusal) => {
                Err(Error::QuarantinedParts {
                    crashes: refusal.crashes,
                    parts: format_parts(&refusal.parts),
                })
            }
            Some(_) | None => Ok(()),
        }
    }

    /// Records that a server crashed while it ran a request with these parts, as another instance
    /// saw it; `call` is the one that is the hash of the whole request, or 0.
    pub fn merge_crash(
        &mut self,
        now: Duration,
        server: &ServerName,
        parts: SuspectParts,
        call: PartHash,
    ) -> Vec<RefusalChange> {
        match self.crash_report(now, server, parts) {
            Some(report) => {
                let reports = vec![report.with_call(call)];
                self.part_quarantine.merge(now, reports)
            }
            None => Vec::new(),
        }
    }

    /// Records that a server crashed while it ran a plain call of this instance.
    pub fn record_crash(
        &mut self,
        now: Duration,
        request: &RouteRequest,
        server: &ServerName,
    ) -> Vec<RefusalChange> {
        match self.crash_report(now, server, request.suspect_parts()) {
            Some(report) => {
                let report = report.with_call(request.call);
                self.part_quarantine.record_crash(now, report)
            }
            None => Vec::new(),
        }
    }

    fn crash_report(
        &mut self,
        now: Duration,
        server: &ServerName,
        parts: SuspectParts,
    ) -> Option<CrashReport> {
        let state = self.state_mut(server)?;
        // Several requests, of several instances, break at one crash.
        if now.saturating_sub(state.crashed_at) >= CRASH_INTERVAL_MIN {
            state.crashed_at = now;
        }
        let crash = CrashReport::crash_id(server, state.crashed_at.as_millis() as u64);
        let servers = self.servers.len() as u32;
        Some(CrashReport::new(now, crash, parts).at_service(0, servers))
    }

    /// Ends an attempt; `failure` is `None` if its answer was complete or its request is abandoned.
    pub fn end_attempt(
        &mut self,
        now: Duration,
        request: &RouteRequest,
        placement: &Placement,
        failure: Option<Failure>,
    ) {
        let is_broken = matches!(failure, Some(Failure::Broken | Failure::BrokenAtStart));
        if is_broken && request.content_hash != 0 {
            let server = &placement.server.name;
            self.quarantine
                .record_crash(now, request.content_hash, &request.account, server);
        }
        if failure == Some(Failure::BrokenAtStart) && !request.parts.is_empty() {
            let server = &placement.server.name;
            if let Some(report) = self.crash_report(now, server, request.parts.clone()) {
                let changes = self.part_quarantine.record_crash(now, report);
                log_refusals(&changes, "crash");
            }
        }
        let Some(state) = self.state_mut(&placement.server.name) else {
            return;
        };
        state.running_here = state.running_here.saturating_sub(1);
        if placement.suspect {
            state.suspects_here = state.suspects_here.saturating_sub(1);
        }
        match failure {
            Some(
                Failure::Broken | Failure::BrokenAtStart | Failure::Connect | Failure::Stalled,
            ) => {
                state.failure_streak += 1;
                let doublings = (state.failure_streak - 1).min(4);
                let duration = (EJECTION_INITIAL * (1 << doublings)).min(EJECTION_MAX);
                state.ejected_until = now + duration;
                state.prefixes.clear();
            }
            Some(Failure::Leaving) => {
                if !state.leaving.contains(&LeavingSource::Server) {
                    state.leaving.push(LeavingSource::Server);
                }
            }
            Some(Failure::Status) => {}
            None => state.failure_streak = 0,
        }
    }

    /// Ends an admitted request: it is no longer counted as a concurrent stream of its account, and
    /// `tokens` are charged to the account's token bucket, whose level may become negative.
    pub fn finish(&mut self, request: &RouteRequest, tokens: u32) {
        self.limits.finish(&request.account, tokens);
    }

    /// Lowers the estimate of a server's prefix cache if the engine reported fewer leading prompt
    /// blocks cached than estimated.
    pub fn correct_prefixes(
        &mut self,
        request: &RouteRequest,
        placement: &Placement,
        cached_blocks: usize,
    ) {
        if let Some(state) = self.state_mut(&placement.server.name) {
            state
                .prefixes
                .correct(&request.prefixes, placement.cached_blocks, cached_blocks);
        }
    }

    /// Records a server's load report, received by polling or from another instance; reports on
    /// servers that are not in the table are dropped.
    pub fn report_load(&mut self, now: Duration, server: &ServerName, report: LoadReport) {
        if let Some(state) = self.state_mut(server) {
            state.report = Some((now, report));
            state.running_here_at_report = state.running_here;
        }
    }

    /// Records whether one source reports a server as leaving. Returns true if this changed whether
    /// the server is leaving.
    pub fn set_leaving(
        &mut self,
        server: &ServerName,
        source: LeavingSource,
        leaving: bool,
    ) -> bool {
        let Some(state) = self.state_mut(server) else {
            return false;
        };
        let was_leaving = !state.leaving.is_empty();
        if !leaving {
            state.leaving.retain(|known| *known != source);
        } else if !state.leaving.contains(&source) {
            state.leaving.push(source);
        }
        let is_leaving = !state.leaving.is_empty();
        if was_leaving && !is_leaving {
            // A server that left and returned is a new process with an empty cache.
            state.prefixes.clear();
        }
        was_leaving != is_leaving
    }

    /// Iterates over the servers of the current table: for each its row, whether it is leaving, and
    /// how many requests of this instance it runs.
    pub fn servers(&self) -> impl Iterator<Item = (&Arc<BackendServer>, bool, u32)> {
        self.servers
            .iter()
            .map(|state| (&state.row, !state.leaving.is_empty(), state.running_here))
    }

    fn state_mut(&mut self, server: &ServerName) -> Option<&mut ServerState> {
        self.servers
            .iter_mut()
            .find(|state| state.row.name == *server)
    }

    fn choose_server(
        &mut self,
        now: Duration,
        account: &ClientAccount,
        request: &RouteRequest,
        previous: Option<&Placement>,
        tried: &[ServerName],
    ) -> Result<Placement> {
        let table = self.table.clone();
        let Some(variants) = table.variants.get(&request.subject) else {
            return Err(self.no_server(request));
        };
        let variant = match self.previous_variant(now, variants, previous, tried) {
            Some(index) => index,
            None => self.pick_variant(now, &table, account, request, tried)?,
        };
        self.place_on(now, request, &variants[variant], tried)
    }

    /// Returns the variant of the failed attempt if another server for it is live: a retry stays on
    /// the path to which its request was assigned by the traffic weights. A path is the group of
    /// servers and table rows that belong to one deployment, such as the old or the new one.
    fn previous_variant(
        &self,
        now: Duration,
        variants: &[Variant],
        previous: Option<&Placement>,
        tried: &[ServerName],
    ) -> Option<usize> {
        let previous = previous?;
        let same = |variant: &Variant| {
            variant.path == previous.server.path && variant.served_as == previous.served_as
        };
        let index = variants.iter().position(same)?;
        self.is_usable(now, &variants[index], tried)
            .then_some(index)
    }

    fn pick_variant(
        &mut self,
        now: Duration,
        table: &Table,
        account: &ClientAccount,
        request: &RouteRequest,
        tried: &[ServerName],
    ) -> Result<usize> {
        let variants = &table.variants[&request.subject];
        let mut weights: SmallVec<[u32; 4]> = SmallVec::new();
        let mut usable: SmallVec<[bool; 4]> = SmallVec::new();
        for variant in variants {
            weights.push(table.weight_for(account, variant));
            usable.push(self.is_usable(now, variant, tried));
        }
        let sticky = self.conversations.get(&request.conversation).copied();
        let picked = self.splitter.pick(
            &request.account,
            &request.subject,
            &weights,
            &usable,
            sticky,
        );
        let index = picked.ok_or_else(|| self.no_server(request))?;
        if request.conversation != 0 {
            if self.conversations.len() >= CONVERSATIONS_MAX {
                self.conversations.clear();
            }
            self.conversations.insert(request.conversation, index);
        }
        Ok(index)
    }

    fn is_usable(&self, now: Duration, variant: &Variant, tried: &[ServerName]) -> bool {
        self.servers
            .iter()
            .any(|state| can_serve(state, variant, tried) && state.is_live(now))
    }

    fn place_on(
        &mut self,
        now: Duration,
        request: &RouteRequest,
        variant: &Variant,
        tried: &[ServerName],
    ) -> Result<Placement> {
        let is_suspect = self.quarantine.is_suspect(request.content_hash);
        let affinity = self.affinity_key(request);
        let mut candidates: SmallVec<[Candidate; 16]> = SmallVec::new();
        for (index, state) in self.servers.iter().enumerate() {
            if !state.is_live(now) || !can_serve(state, variant, tried) {
                continue;
            }
            if is_suspect && state.suspects_here > 0 {
                continue;
            }
            let backlog = state.backlog_until.saturating_sub(now);
            candidates.push(Candidate {
                backlog_ms: backlog.as_secs_f64() * 1_000.0,
                cached_blocks: state.prefixes.cached_blocks(&request.prefixes),
                index,
                price_cents_per_hour: state.row.price_cents_per_hour,
                rank: xxh3_64_with_seed(state.row.name.as_bytes(), affinity),
                remote: state.row.data_centre != self.data_centre,
                requests: state.requests(now),
                slots: state.row.slots,
            });
        }
        let choice = place(&candidates, request.prompt_blocks);
        log_decision(request, variant, &candidates, &self.servers, choice);
        let Some(choice) = choice else {
            return Err(Error::Overloaded {
                subject: request.subject.clone(),
                retry_after_ms: OVERLOADED_RETRY_AFTER_MS,
            });
        };
        let state = &mut self.servers[choice.index];
        if !state.leaving.is_empty() && !is_disabled(Safeguard::Leaving) {
            return Err(Error::Invariant {
                invariant: "a leaving server gets no new work",
            });
        }
        let cached_blocks = state.prefixes.cached_blocks(&request.prefixes);
        state.running_here += 1;
        if is_suspect {
            state.suspects_here += 1;
        }
        state.prefixes.record(now, &request.prefixes);
        let prefill =
            Duration::from_secs_f64(prefill_ms(request.prompt_blocks, cached_blocks) / 1e3);
        state.backlog_until = state.backlog_until.max(now) + prefill;
        Ok(Placement {
            cached_blocks,
            server: state.row.clone(),
            served_as: variant.served_as.clone(),
            suspect: is_suspect,
        })
    }

    /// Returns the key by which the prompt's preferred server is chosen: the hash of its first
    /// blocks. A prompt shorter than a block gets a random key, so that such prompts are spread
    /// evenly over the servers.
    fn affinity_key(&mut self, request: &RouteRequest) -> u64 {
        let blocks = request.prefixes.len().min(AFFINITY_BLOCKS);
        match blocks {
            0 => self.rng.random(),
            _ => request.prefixes[blocks - 1],
        }
    }

    fn no_server(&self, request: &RouteRequest) -> Error {
        Error::NoBackendServer {
            subject: request.subject.clone(),
            retry_after_ms: NO_SERVER_RETRY_AFTER_MS,
        }
    }
}

fn find_account<'a>(table: &'a Table, name: &AccountName) -> Result<&'a ClientAccount> {
    let found = table.client_accounts.iter().find(|row| row.name == *name);
    found.ok_or(Error::UnknownKey)
}

/// Logs a denied retry and returns the error for it.
fn retry_denied(request: &RouteRequest, failed: &Placement, denied: RetryDenied) -> Error {
    warn!(
        "retry request={} account={} server={} outcome=denied {denied}",
        request.request_id, request.account, failed.server.name
    );
    Error::RetryBudgetSpent {
        subject: request.subject.clone(),
        retry_after_ms: OVERLOADED_RETRY_AFTER_MS,
    }
}

fn can_serve(state: &ServerState, variant: &Variant, tried: &[ServerName]) -> bool {
    state.row.path == variant.path
        && state.row.serves.contains(&variant.served_as)
        && !tried.contains(&state.row.name)
}

/// Maximum number of candidate servers listed in the log line of a placement.
const LOGGED_CANDIDATES: usize = 8;

fn log_decision(
    request: &RouteRequest,
    variant: &Variant,
    candidates: &[Candidate],
    servers: &[ServerState],
    choice: Option<Choice>,
) {
    if !log::log_enabled!(log::Level::Info) {
        return;
    }
    let mut listed = String::new();
    for candidate in candidates.iter().take(LOGGED_CANDIDATES) {
        let name = &servers[candidate.index].row.name;
        // Scores are logged without the credit for prompt blocks that the preferred server is
        // assumed to have cached.
        let score = candidate.score_ms(request.prompt_blocks, false);
        let _ = write!(
            listed,
            "{name}:{score:.0}ms:{}req:{}cached ",
            candidate.requests, candidate.cached_blocks
        );
    }
    let (chosen, reason) = match choice {
        Some(choice) => (
            servers[choice.index].row.name.as_str(),
            "best score or tied with it",
        ),
        None if candidates.is_empty() => ("-", "no eligible server"),
        None => ("-", "all servers full"),
    };
    info!(
        "route request={} account={} subject=\"{}\" path={} of={} candidates=[{}] choice={chosen} reason=\"{reason}\"",
        request.request_id,
        request.account,
        request.subject,
        variant.path,
        candidates.len(),
        listed.trim_end(),
    );
}
