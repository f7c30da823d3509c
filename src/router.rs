//! Routing state of one instance and its decisions: admit, retry, finish.
//!
//! The state does no I/O: events and the time since the start go in, decisions come out, and
//! [`RouterActor`](crate::router_actor) is its only writer.

use super::*;

/// Blocks assumed for an engine's prefix cache.
const CACHE_BLOCKS: usize = 8_192;

/// A server whose connections fail is left out for this long, doubled by each failure in a row.
const DOWN_FIRST: Duration = Duration::from_millis(500);

/// Longest time for which a failing server is left out.
const DOWN_MAX: Duration = Duration::from_secs(8);

/// Reports of load older than this are not used.
const REPORT_TTL: Duration = Duration::from_secs(5);

/// Leading blocks of a prompt that decide its home.
const AFFINITY_BLOCKS: usize = 16;

/// Conversations whose variant is remembered.
const CONVERSATIONS_MAX: usize = 65_536;

/// Retry time told when no server is live.
const NO_SERVER_RETRY_MS: u64 = 1_000;

/// Retry time told when all servers are full.
const OVERLOADED_RETRY_MS: u64 = 2_000;

/// What a request needs to be placed.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Account of the caller.
    pub account: AccountName,
    /// Hash of the content; 0 for plain calls.
    pub content_hash: u64,
    /// Hash of the conversation; 0 for plain calls.
    pub conversation: u64,
    /// Hashes of the prompt's prefixes; empty for plain calls.
    pub prefixes: PrefixHashes,
    /// Blocks of the prompt.
    pub prompt_blocks: usize,
    /// Id of the request.
    pub request_id: RequestId,
    /// Model or route.
    pub subject: Subject,
}

/// Where an attempt goes.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Blocks believed to be cached.
    pub cached_blocks: usize,
    /// The server's row.
    pub server: Arc<BackendServer>,
    /// Name under which the server serves the variant chosen.
    pub served_as: SmolStr,
    /// True if the request was placed apart from other suspects.
    pub suspect: bool,
}

/// Why an attempt is given up and another asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection broke while the request ran: the server may have crashed.
    Broken,
    /// The server could not be reached; nothing was sent.
    Connect,
    /// The server is leaving and gave its work up, or refused new work.
    Leaving,
    /// The server answered with an error.
    Status,
}

/// Load that a server reported.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadReport {
    /// Requests waiting.
    pub queued: u32,
    /// Requests running.
    pub running: u32,
}

/// Who says that a backend server is leaving. Each says so for itself: a server leaves while any
/// of them says it does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSource {
    /// The platform's instance list.
    InstanceList,
    /// An operator's drain.
    Operator,
    /// The server's own load report or refusal.
    Server,
}

#[derive(Debug)]
struct ServerState {
    /// When the prefill that this instance sent it will have been done.
    backlog_until: Duration,
    down_until: Duration,
    failures_in_a_row: u32,
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
            down_until: Duration::ZERO,
            failures_in_a_row: 0,
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
        let stays = self.leaving.is_empty() || is_disabled(Safeguard::Leaving);
        stays && now >= self.down_until
    }

    /// Requests at the server: the last report plus what this instance has sent since.
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

/// Routing state of one instance.
#[derive(Debug)]
pub struct Router {
    budget: RetryBudget,
    conversations: HashMap<u64, usize>,
    data_centre: DataCentreName,
    /// This instance's share of every account's limits.
    limit_fraction: f64,
    limits: Limits,
    /// Quarantined contents.
    pub quarantine: Quarantine,
    rng: StdRng,
    servers: Vec<ServerState>,
    shares: ShareBook,
    table: Arc<Table>,
    version: TableVersion,
}

impl Router {
    /// Creates the state without a table; `seed` decides draws and the shares' phase.
    pub fn new(data_centre: DataCentreName, seed: u64) -> Self {
        Self {
            budget: RetryBudget::default(),
            conversations: HashMap::new(),
            data_centre,
            limit_fraction: 1.0,
            limits: Limits::default(),
            quarantine: Quarantine::default(),
            rng: StdRng::seed_from_u64(seed),
            servers: Vec::new(),
            shares: ShareBook::new(seed),
            table: Arc::default(),
            version: 0,
        }
    }

    /// Takes a newer table; state of servers whose address stayed is kept.
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
        self.shares.retain(&table);
        self.limits.retain(&table);
        self.budget.retain(&table);
        self.conversations.clear();
        self.table = table;
        self.version = version;
        Ok(())
    }

    /// Version of the table in force.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// Sets this instance's share of every account's limits.
    pub fn set_limit_fraction(&mut self, fraction: f64) {
        self.limit_fraction = fraction.clamp(0.0, 1.0);
    }

    /// Admits a request under its account's limits and places its first attempt.
    pub fn admit(&mut self, now: Duration, ask: &Ask) -> Result<Placement> {
        if self.version == 0 {
            return Err(Error::TableMissing);
        }
        if self.quarantine.holds(ask.content_hash) {
            return Err(Error::Quarantined {
                content_hash: ask.content_hash,
            });
        }
        let table = self.table.clone();
        let account = find_account(&table, &ask.account)?;
        self.limits.admit(now, account, self.limit_fraction)?;
        let placed = self.choose(now, account, ask, None, &[]);
        match placed {
            Ok(placement) => {
                self.budget.deposit(&ask.account, &placement.server.name);
                Ok(placement)
            }
            Err(error) => {
                self.limits.finish(&ask.account, 0);
                Err(error)
            }
        }
    }

    /// Places an admitted request anew, on any of its servers.
    pub fn place_again(&mut self, now: Duration, ask: &Ask) -> Result<Placement> {
        let table = self.table.clone();
        let account = find_account(&table, &ask.account)?;
        self.choose(now, account, ask, None, &[])
    }

    /// Places a request that another instance accepted: it is carried on whatever its account's
    /// limits say now.
    pub fn readmit(&mut self, now: Duration, ask: &Ask) -> Result<Placement> {
        let table = self.table.clone();
        let account = find_account(&table, &ask.account)?;
        self.limits.readmit(now, account, self.limit_fraction);
        let placed = self.choose(now, account, ask, None, &[]);
        if placed.is_err() {
            self.limits.finish(&ask.account, 0);
        }
        placed
    }

    /// Ends a failed attempt and places the next one, within the retry budget.
    ///
    /// `tried` are the servers that failed this request; a move off a leaving server or one
    /// that was never reached costs no budget.
    pub fn retry(
        &mut self,
        now: Duration,
        ask: &Ask,
        failed: &Placement,
        failure: Failure,
        tried: &[ServerName],
    ) -> Result<Placement> {
        let failure = self.cause_of(failure, &failed.server.name);
        self.end_attempt(now, ask, failed, Some(failure));
        if self.quarantine.holds(ask.content_hash) {
            return Err(Error::Quarantined {
                content_hash: ask.content_hash,
            });
        }
        let costs_budget = match failure {
            Failure::Broken | Failure::Status => true,
            Failure::Connect | Failure::Leaving => false,
        };
        if costs_budget && !self.budget.withdraw(&ask.account, &failed.server.name) {
            return Err(Error::RetryBudgetSpent {
                subject: ask.subject.clone(),
                retry_after_ms: OVERLOADED_RETRY_MS,
            });
        }
        let table = self.table.clone();
        let account = find_account(&table, &ask.account)?;
        self.choose(now, account, ask, Some(failed), tried)
    }

    /// A leaving server's connections break because it leaves, not because of what it ran.
    pub fn cause_of(&self, failure: Failure, server: &ServerName) -> Failure {
        let state = self.servers.iter().find(|state| state.row.name == *server);
        match state {
            Some(state) if !state.leaving.is_empty() => Failure::Leaving,
            _ => failure,
        }
    }

    /// Ends an attempt that gave a whole answer, or whose request is given up.
    pub fn end_attempt(
        &mut self,
        now: Duration,
        ask: &Ask,
        placement: &Placement,
        failure: Option<Failure>,
    ) {
        if failure == Some(Failure::Broken) && ask.content_hash != 0 {
            let server = &placement.server.name;
            self.quarantine
                .suspect(now, ask.content_hash, &ask.account, server);
        }
        let Some(state) = self.state_mut(&placement.server.name) else {
            return;
        };
        state.running_here = state.running_here.saturating_sub(1);
        if placement.suspect {
            state.suspects_here = state.suspects_here.saturating_sub(1);
        }
        match failure {
            Some(Failure::Broken | Failure::Connect) => {
                state.failures_in_a_row += 1;
                let doublings = (state.failures_in_a_row - 1).min(4);
                let pause = (DOWN_FIRST * (1 << doublings)).min(DOWN_MAX);
                state.down_until = now + pause;
                state.prefixes.clear();
            }
            Some(Failure::Leaving) => {
                if !state.leaving.contains(&LeavingSource::Server) {
                    state.leaving.push(LeavingSource::Server);
                }
            }
            Some(Failure::Status) => {}
            None => state.failures_in_a_row = 0,
        }
    }

    /// Ends an admitted request and charges its tokens.
    pub fn finish(&mut self, ask: &Ask, tokens: u32) {
        self.limits.finish(&ask.account, tokens);
    }

    /// Corrects the prefix estimate by what the engine reported.
    pub fn correct_prefixes(&mut self, ask: &Ask, placement: &Placement, cached_blocks: usize) {
        if let Some(state) = self.state_mut(&placement.server.name) {
            state
                .prefixes
                .correct(&ask.prefixes, placement.cached_blocks, cached_blocks);
        }
    }

    /// Takes a server's load report.
    pub fn report_load(&mut self, now: Duration, server: &ServerName, report: LoadReport) {
        if let Some(state) = self.state_mut(server) {
            state.report = Some((now, report));
            state.running_here_at_report = state.running_here;
        }
    }

    /// Takes one source's word that a server is leaving or not. Returns true if the server's
    /// state changed by it.
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
            // A server that left and came back is another process with an empty cache.
            state.prefixes.clear();
        }
        was_leaving != is_leaving
    }

    /// Servers of the table in force with their load here, for status and polling.
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

    fn choose(
        &mut self,
        now: Duration,
        account: &ClientAccount,
        ask: &Ask,
        keep: Option<&Placement>,
        tried: &[ServerName],
    ) -> Result<Placement> {
        let table = self.table.clone();
        let Some(variants) = table.variants.get(&ask.subject) else {
            return Err(self.no_server(ask));
        };
        let variant = match self.kept_variant(now, variants, keep, tried) {
            Some(index) => index,
            None => self.pick_variant(now, &table, account, ask, tried)?,
        };
        self.place_in(now, ask, &variants[variant], tried)
    }

    /// Variant of the failed attempt, if another of its servers is live: a retry stays on the
    /// path that its request was counted for.
    fn kept_variant(
        &self,
        now: Duration,
        variants: &[Variant],
        keep: Option<&Placement>,
        tried: &[ServerName],
    ) -> Option<usize> {
        let keep = keep?;
        let same = |variant: &Variant| {
            variant.path == keep.server.path && variant.served_as == keep.served_as
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
        ask: &Ask,
        tried: &[ServerName],
    ) -> Result<usize> {
        let variants = &table.variants[&ask.subject];
        let mut weights: SmallVec<[u32; 4]> = SmallVec::new();
        let mut usable: SmallVec<[bool; 4]> = SmallVec::new();
        for variant in variants {
            weights.push(table.weight_for(account, variant));
            usable.push(self.is_usable(now, variant, tried));
        }
        let sticky = self.conversations.get(&ask.conversation).copied();
        let picked = self
            .shares
            .pick(&ask.account, &ask.subject, &weights, &usable, sticky);
        let index = picked.ok_or_else(|| self.no_server(ask))?;
        if ask.conversation != 0 {
            if self.conversations.len() >= CONVERSATIONS_MAX {
                self.conversations.clear();
            }
            self.conversations.insert(ask.conversation, index);
        }
        Ok(index)
    }

    fn is_usable(&self, now: Duration, variant: &Variant, tried: &[ServerName]) -> bool {
        self.servers
            .iter()
            .any(|state| serves(state, variant, tried) && state.is_live(now))
    }

    fn place_in(
        &mut self,
        now: Duration,
        ask: &Ask,
        variant: &Variant,
        tried: &[ServerName],
    ) -> Result<Placement> {
        let is_suspect = self.quarantine.is_suspect(ask.content_hash);
        let affinity = self.affinity_key(ask);
        let mut candidates: SmallVec<[Candidate; 16]> = SmallVec::new();
        for (index, state) in self.servers.iter().enumerate() {
            if !state.is_live(now) || !serves(state, variant, tried) {
                continue;
            }
            if is_suspect && state.suspects_here > 0 {
                continue;
            }
            let backlog = state.backlog_until.saturating_sub(now);
            candidates.push(Candidate {
                backlog_ms: backlog.as_secs_f64() * 1_000.0,
                cached_blocks: state.prefixes.cached_blocks(&ask.prefixes),
                index,
                price_cents_per_hour: state.row.price_cents_per_hour,
                rank: xxh3_64_with_seed(state.row.name.as_bytes(), affinity),
                remote: state.row.data_centre != self.data_centre,
                requests: state.requests(now),
                slots: state.row.slots,
            });
        }
        let choice = place(&candidates, ask.prompt_blocks);
        log_decision(ask, variant, &candidates, &self.servers, choice);
        let Some(choice) = choice else {
            return Err(Error::Overloaded {
                subject: ask.subject.clone(),
                retry_after_ms: OVERLOADED_RETRY_MS,
            });
        };
        let state = &mut self.servers[choice.index];
        if !state.leaving.is_empty() && !is_disabled(Safeguard::Leaving) {
            return Err(Error::Invariant {
                invariant: "a leaving server gets no new work",
            });
        }
        let cached_blocks = state.prefixes.cached_blocks(&ask.prefixes);
        state.running_here += 1;
        if is_suspect {
            state.suspects_here += 1;
        }
        state.prefixes.record(now, &ask.prefixes);
        let prefill = Duration::from_secs_f64(prefill_ms(ask.prompt_blocks, cached_blocks) / 1e3);
        state.backlog_until = state.backlog_until.max(now) + prefill;
        Ok(Placement {
            cached_blocks,
            server: state.row.clone(),
            served_as: variant.served_as.clone(),
            suspect: is_suspect,
        })
    }

    /// Key of the prompt's home: the hash of its first blocks, or a draw for prompts without one,
    /// which then spread evenly.
    fn affinity_key(&mut self, ask: &Ask) -> u64 {
        let blocks = ask.prefixes.len().min(AFFINITY_BLOCKS);
        match blocks {
            0 => self.rng.random(),
            _ => ask.prefixes[blocks - 1],
        }
    }

    fn no_server(&self, ask: &Ask) -> Error {
        Error::NoBackendServer {
            subject: ask.subject.clone(),
            retry_after_ms: NO_SERVER_RETRY_MS,
        }
    }
}

fn find_account<'a>(table: &'a Table, name: &AccountName) -> Result<&'a ClientAccount> {
    let found = table.client_accounts.iter().find(|row| row.name == *name);
    found.ok_or(Error::UnknownKey)
}

fn serves(state: &ServerState, variant: &Variant, tried: &[ServerName]) -> bool {
    state.row.path == variant.path
        && state.row.serves.contains(&variant.served_as)
        && !tried.contains(&state.row.name)
}

/// Candidates named in a decision's log line.
const LOGGED_CANDIDATES: usize = 8;

fn log_decision(
    ask: &Ask,
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
        let score = candidate.score_ms(ask.prompt_blocks, false);
        let _ = write!(
            listed,
            "{name}:{score:.0}ms:{}req:{}cached ",
            candidate.requests, candidate.cached_blocks
        );
    }
    let (chosen, reason) = match choice {
        Some(choice) => (servers[choice.index].row.name.as_str(), "least score"),
        None if candidates.is_empty() => ("-", "no live server"),
        None => ("-", "all servers full"),
    };
    info!(
        "route request={} account={} subject=\"{}\" path={} of={} candidates=[{}] choice={chosen} reason=\"{reason}\"",
        ask.request_id,
        ask.account,
        ask.subject,
        variant.path,
        candidates.len(),
        listed.trim_end(),
    );
}
