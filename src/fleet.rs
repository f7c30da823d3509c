//! Backend servers that registered themselves: who is there, who is well, and where a call goes.
//!
//! The registry decides which servers may be used; what this instance's own calls saw decides
//! which of them are well. The state does no I/O: events and the time go in, choices come out.

use super::*;

/// A server that cannot be reached, or breaks one call after the other, is left out for this
/// long, doubled by each failure in a row; a restart takes seconds, a lost packet less.
const DOWN_FIRST: Duration = Duration::from_millis(500);

/// Longest time for which a failing server is left out.
const DOWN_MAX: Duration = Duration::from_secs(5);

/// Broken calls in a row from which a server is left out. Fewer are borne: a server that loses
/// some answers still gives the others.
const BROKEN_IN_A_ROW_MAX: u32 = 4;

/// Time that each broken call in a row adds to a server's cost.
const BROKEN_COST_MS: f64 = 40.0;

/// Time without a sign of life from a data centre after which it is asked for one.
pub const CENTRE_SILENCE: Duration = Duration::from_millis(700);

/// Prompt parts remembered for each server's cache.
const CACHED_PARTS_MAX: usize = 4_096;

/// Time that a call to another data centre costs more, for its round trip and its bytes.
const OTHER_CENTRE_COST_MS: f64 = 4.0;

/// Time that each running request adds to the first token of the next one: steps grow with the
/// batch.
const RUNNING_COST_MS: f64 = 1.0;

/// Time after which a server is believed to hold the prompts whose home it is: most prompts come
/// again within it.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Time that a plain call at the server adds to the next one's wait.
const PLAIN_CALL_COST_MS: f64 = 20.0;

/// Time after which what a peer told of its calls no longer counts; a few digests may be lost.
const PEER_LOAD_TTL: Duration = Duration::from_secs(3);

/// Retry time told while no server is ready.
const NO_SERVER_RETRY: Duration = Duration::from_millis(500);

/// State that a server reports of itself to the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRecord {
    /// Address of its listener.
    pub address: SocketAddr,
    /// Time of its start in milliseconds since 1970; another one is another life.
    pub born_ms: u64,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Unique name.
    pub id: ServerName,
    /// True once it has announced that it leaves.
    pub leaving: bool,
    /// Service that it runs.
    pub service: ServiceName,
    /// Calls that it runs at once.
    pub slots: u32,
    /// True if its machine is reclaimable.
    pub spot: bool,
}

/// A registered server with what is believed of it.
#[derive(Debug)]
pub struct FleetServer {
    /// When it last answered a call of this instance.
    answered_at: Duration,
    down_until: Duration,
    failures_in_a_row: u32,
    prefill_until: Duration,
    prefixes: PrefixEstimate,
    /// The server's last report.
    pub record: ServerRecord,
    /// What other instances last told of their calls there.
    elsewhere: SmallVec<[(InstanceName, Duration, ServerLoad); 8]>,
    /// Calls of this instance that it runs.
    pub running_here: u32,
    /// When this instance learned of it.
    seen_at: Duration,
    suspects_here: u32,
}

impl FleetServer {
    fn new(now: Duration, record: ServerRecord) -> Self {
        Self {
            answered_at: Duration::ZERO,
            down_until: Duration::ZERO,
            failures_in_a_row: 0,
            prefill_until: Duration::ZERO,
            prefixes: PrefixEstimate::new(CACHED_PARTS_MAX),
            record,
            elsewhere: SmallVec::new(),
            running_here: 0,
            seen_at: now,
            suspects_here: 0,
        }
    }

    fn leave_out(&mut self, now: Duration, doublings: u32) {
        let pause = (DOWN_FIRST * (1 << doublings.min(4))).min(DOWN_MAX);
        self.down_until = now + pause;
    }

    /// Calls of all instances that it runs.
    pub fn running(&self) -> u32 {
        let elsewhere: u32 = self.elsewhere.iter().map(|(.., load)| load.running).sum();
        self.running_here + elsewhere
    }

    /// Time for which prompts sent by this instance still keep it busy.
    fn own_backlog(&self, now: Duration) -> Duration {
        self.prefill_until.saturating_sub(now)
    }

    /// Time for which prompts sent by all instances still keep it busy.
    fn backlog(&self, now: Duration) -> Duration {
        let mut sum = self.own_backlog(now);
        for (_, told_at, load) in &self.elsewhere {
            sum += load.backlog.saturating_sub(now.saturating_sub(*told_at));
        }
        sum
    }

    /// Tokens of a prompt that it has to read, as far as this instance knows.
    fn tokens_to_read(&self, prompt: &Prompt, prefixes: &PrefixHashes, homes: &Homes) -> f64 {
        let cached_parts = self.prefixes.cached_blocks(prefixes);
        homes.tokens_to_read(&self.record.id, cached_parts, prompt)
    }

    /// This instance's calls there, to tell peers.
    pub fn own_load(&self, now: Duration) -> ServerLoad {
        ServerLoad {
            backlog: self.own_backlog(now),
            running: self.running_here,
        }
    }
}

/// Calls of one instance at a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerLoad {
    /// Time for which their prompts still keep the server busy.
    pub backlog: Duration,
    /// Number of calls.
    pub running: u32,
}

/// How a call's attempt ended, as far as its server's health goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The connection broke or the answer was spoiled while the call ran.
    Broken,
    /// The caller went away, or its time ran out.
    GivenUp,
    /// The server refused the call without running it.
    Refused,
    /// No connection was made.
    Unreachable,
    /// The server answered whole.
    Whole,
    /// Another server has the address now.
    WrongServer,
}

/// What placement has to know of a call.
#[derive(Debug, Clone, Copy)]
pub struct PlaceAsk<'a> {
    /// Prompt, for model calls.
    pub prompt: Option<&'a Prompt>,
    /// Service that the call goes to.
    pub service: &'a ServiceName,
    /// True if the call's content was running at a server that crashed.
    pub suspect: bool,
    /// Servers that the call was sent to before.
    pub tried: &'a [ServerName],
}

/// Where an attempt goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Placed {
    /// Address of the server.
    pub address: SocketAddr,
    /// Time for which earlier prompts were believed to keep the server busy.
    pub backlog: Duration,
    /// Prompt tokens believed to be in the server's cache.
    pub cached_tokens: u32,
    /// Data centre of the server.
    pub data_centre: DataCentreName,
    /// True if the server is the one that all instances agree on for the prompt's shared parts, and
    /// this instance sent it these parts before.
    pub is_warm_home: bool,
    /// Name of the server.
    pub server: ServerName,
    /// Expected time until the answer begins.
    pub wait: Duration,
}

/// What is known of the way to a data centre.
#[derive(Debug, Default)]
struct CentreState {
    heard_at: Duration,
    unreachable: bool,
}

/// All registered servers.
#[derive(Debug)]
pub struct Fleet {
    centres: BTreeMap<DataCentreName, CentreState>,
    data_centre: DataCentreName,
    /// Prompt tokens a second that peers send to each service.
    peer_rates: HashMap<InstanceName, (Duration, HashMap<ServiceName, f64>)>,
    /// Speed of each service's engines.
    prefill: HashMap<ServiceName, PrefillRate>,
    /// Prompt tokens a second sent to each service.
    prefill_rates: HashMap<ServiceName, DecayingRate>,
    servers: BTreeMap<ServerName, FleetServer>,
}

impl Fleet {
    /// Creates an empty fleet as seen from a data centre.
    pub fn new(data_centre: DataCentreName) -> Self {
        Self {
            centres: BTreeMap::new(),
            data_centre,
            peer_rates: HashMap::new(),
            prefill: HashMap::new(),
            prefill_rates: HashMap::new(),
            servers: BTreeMap::new(),
        }
    }

    /// Takes a server's report. Returns true if it changed what is believed of the server.
    pub fn report(&mut self, now: Duration, record: ServerRecord) -> bool {
        let Some(known) = self.servers.get_mut(&record.id) else {
            let id = record.id.clone();
            self.servers.insert(id, FleetServer::new(now, record));
            return true;
        };
        if record.born_ms < known.record.born_ms {
            return false;
        }
        if record.born_ms > known.record.born_ms || record.address != known.record.address {
            *known = FleetServer::new(now, record);
            return true;
        }
        if known.record.leaving && !record.leaving && !is_disabled(Safeguard::Leaving) {
            return false;
        }
        let changed = known.record.leaving != record.leaving;
        known.record = record;
        changed
    }

    /// Drops a server that left the registry.
    pub fn remove(&mut self, id: &str) -> bool {
        self.servers.remove(id).is_some()
    }

    /// All servers by name.
    pub fn servers(&self) -> impl Iterator<Item = &FleetServer> {
        self.servers.values()
    }

    /// Takes a sign of life from a data centre: an answer, a connection or a peer's datagram.
    /// Returns true if it could not be reached before.
    pub fn hear_centre(&mut self, now: Duration, centre: &DataCentreName) -> bool {
        let state = self.centres.entry(centre.clone()).or_default();
        state.heard_at = now;
        std::mem::replace(&mut state.unreachable, false)
    }

    /// Records that a data centre did not answer when it was asked for a sign of life. Returns
    /// true if it could be reached before.
    pub fn lose_centre(&mut self, centre: &DataCentreName) -> bool {
        let state = self.centres.entry(centre.clone()).or_default();
        !std::mem::replace(&mut state.unreachable, true)
    }

    /// True if a data centre cannot be reached.
    pub fn is_cut_off(&self, centre: &DataCentreName) -> bool {
        self.centres
            .get(centre)
            .is_some_and(|state| state.unreachable)
    }

    /// Data centres to ask for a sign of life, each with the addresses of up to two servers;
    /// `round` makes them vary.
    pub fn silent_centres(
        &self,
        now: Duration,
        round: usize,
    ) -> Vec<(DataCentreName, SmallVec<[SocketAddr; 2]>)> {
        let mut by_centre: BTreeMap<&DataCentreName, Vec<SocketAddr>> = BTreeMap::new();
        for server in self.servers.values() {
            let centre = &server.record.data_centre;
            let heard_at = self.centres.get(centre).map(|state| state.heard_at);
            if heard_at.is_some_and(|at| now.saturating_sub(at) < CENTRE_SILENCE) {
                continue;
            }
            by_centre
                .entry(centre)
                .or_default()
                .push(server.record.address);
        }
        let mut silent = Vec::new();
        for (centre, addresses) in by_centre {
            let count = addresses.len();
            let first = addresses[round % count];
            let second = addresses[(round + count / 2) % count];
            silent.push((centre.clone(), SmallVec::from_slice(&[first, second])));
        }
        silent
    }

    /// Takes what a peer tells of its calls at all servers.
    pub fn take_peer_loads(
        &mut self,
        now: Duration,
        peer: &InstanceName,
        loads: &HashMap<ServerName, ServerLoad>,
    ) {
        for server in self.servers.values_mut() {
            server.elsewhere.retain(|(instance, told_at, _)| {
                instance != peer && now.saturating_sub(*told_at) < PEER_LOAD_TTL
            });
            if let Some(load) = loads.get(&server.record.id) {
                server.elsewhere.push((peer.clone(), now, *load));
            }
        }
    }

    /// Prompt tokens a second that this instance sent to a service uncached, averaged.
    pub fn prefill_rates(&mut self, now: Duration) -> HashMap<ServiceName, f64> {
        let mut rates = HashMap::new();
        for (service, rate) in &mut self.prefill_rates {
            rates.insert(service.clone(), rate.at(now));
        }
        rates
    }

    /// Takes the time to the first event of a call, if it tells something of the engine. Away from
    /// a prompt's home, parts that other instances sent may be cached unknown to this one; a home
    /// that just became one may not hold what it is believed to hold.
    pub fn observe_first_event(
        &mut self,
        service: &ServiceName,
        prompt: &Prompt,
        placed: &Placed,
        elapsed: Duration,
    ) {
        if !placed.is_warm_home {
            return;
        }
        let uncached = prompt.tokens.saturating_sub(placed.cached_tokens);
        let rate = self.prefill.entry(service.clone()).or_default();
        rate.observe(uncached, placed.backlog, elapsed);
    }

    /// Prompt tokens that an engine of a service reads in a millisecond.
    fn tokens_per_ms(&self, service: &ServiceName) -> f64 {
        match self.prefill.get(service) {
            Some(rate) => rate.tokens_per_ms(),
            None => PrefillRate::default().tokens_per_ms(),
        }
    }

    /// Takes the prompt tokens a second that a peer sends to each service.
    pub fn take_peer_rates(
        &mut self,
        now: Duration,
        peer: &InstanceName,
        rates: HashMap<ServiceName, f64>,
    ) {
        self.peer_rates.insert(peer.clone(), (now, rates));
        self.peer_rates
            .retain(|_, (told_at, _)| now.saturating_sub(*told_at) < PEER_LOAD_TTL);
    }

    /// What a plan for a service's capacity is made from.
    pub fn capacity_view(&self, now: Duration, service: &ServicePolicy) -> CapacityView {
        let mut view = CapacityView {
            prefill_rate_per_s: self.tokens_per_ms(&service.name) * 1_000.0,
            slots: service.engine.map_or(0, |engine| engine.slots),
            ..CapacityView::default()
        };
        let own = self.prefill_rates.get(&service.name);
        view.prefill_tokens_per_s = own.map_or(0.0, |rate| rate.at(now));
        for (_, rates) in self.peer_rates.values() {
            view.prefill_tokens_per_s += rates.get(&service.name).copied().unwrap_or(0.0);
        }
        for server in self.servers.values() {
            let record = &server.record;
            if record.service != service.name {
                continue;
            }
            let key = (record.data_centre.clone(), record.spot);
            let count = view.counts.entry(key).or_default();
            match record.leaving {
                true => count.leaving += 1,
                false => count.ready += 1,
            }
            view.running += server.running();
        }
        view
    }

    /// Chooses a server for an attempt and counts the attempt there.
    pub fn place(&mut self, now: Duration, ask: PlaceAsk<'_>) -> Result<Placed> {
        let prefixes = ask.prompt.map(Prompt::prefixes).unwrap_or_default();
        // If no server is believed to be well, one that may be is better than none.
        let strict = self
            .servers
            .values()
            .any(|server| self.is_candidate(server, now, &ask, true));
        let homes = self.homes(now, &ask, &prefixes, strict);
        let mut best: Option<(f64, ServerName)> = None;
        for server in self.servers.values() {
            if !self.is_candidate(server, now, &ask, strict) {
                continue;
            }
            let cost = self.cost_ms(now, server, &ask, &prefixes, &homes);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, server.record.id.clone()));
            }
        }
        let Some((cost_ms, id)) = best else {
            self.count_unplaced(now, &ask);
            return Err(self.none_ready(&ask));
        };
        Ok(self.commit(now, &id, &ask, &prefixes, &homes, cost_ms))
    }

    /// Records that a server began to answer a call.
    pub fn note_answer(&mut self, now: Duration, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.answered_at = now;
        }
    }

    /// True if a server answered any call of this instance since a time.
    pub fn has_answered_since(&self, since: Duration, id: &str) -> bool {
        let server = self.servers.get(id);
        server.is_some_and(|server| server.answered_at > since)
    }

    /// Ends an attempt counted by [`place`](Self::place).
    pub fn end_attempt(&mut self, now: Duration, id: &str, suspect: bool, end: AttemptEnd) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.running_here = server.running_here.saturating_sub(1);
        if suspect {
            server.suspects_here = server.suspects_here.saturating_sub(1);
        }
        match end {
            AttemptEnd::Broken => {
                server.failures_in_a_row += 1;
                if server.failures_in_a_row >= BROKEN_IN_A_ROW_MAX {
                    server.leave_out(now, server.failures_in_a_row - BROKEN_IN_A_ROW_MAX);
                }
            }
            AttemptEnd::Unreachable => {
                server.failures_in_a_row += 1;
                server.leave_out(now, server.failures_in_a_row - 1);
            }
            AttemptEnd::WrongServer => server.down_until = now + DOWN_MAX,
            AttemptEnd::GivenUp | AttemptEnd::Refused => {}
            AttemptEnd::Whole => {
                server.failures_in_a_row = 0;
                let centre = &server.record.data_centre;
                // Whether the way is open again is for whoever asks to find out and to tell.
                if let Some(state) = self.centres.get_mut(centre)
                    && !state.unreachable
                {
                    state.heard_at = now;
                }
            }
        }
    }

    /// Counts the demand of a call that no server could take, so that servers are ordered for it.
    fn count_unplaced(&mut self, now: Duration, ask: &PlaceAsk<'_>) {
        let Some(prompt) = ask.prompt else {
            return;
        };
        let own = prompt.tokens - prompt.tokens_in(prompt.shared_count()).min(prompt.tokens);
        let rate = self.prefill_rates.entry(ask.service.clone()).or_default();
        rate.add(now, f64::from(own));
    }

    fn commit(
        &mut self,
        now: Duration,
        id: &ServerName,
        ask: &PlaceAsk<'_>,
        prefixes: &PrefixHashes,
        homes: &Homes,
        cost_ms: f64,
    ) -> Placed {
        let tokens_per_ms = self.tokens_per_ms(ask.service);
        let server = self.servers.get_mut(id).expect("chosen among the servers");
        let backlog = server.backlog(now);
        server.running_here += 1;
        if ask.suspect {
            server.suspects_here += 1;
        }
        let mut placed = Placed {
            address: server.record.address,
            backlog,
            cached_tokens: 0,
            data_centre: server.record.data_centre.clone(),
            is_warm_home: false,
            server: id.clone(),
            wait: Duration::from_secs_f64(cost_ms / 1_000.0),
        };
        let Some(prompt) = ask.prompt else {
            return placed;
        };
        let tokens = server.tokens_to_read(prompt, prefixes, homes);
        let cached_here = server.prefixes.cached_blocks(prefixes);
        placed.is_warm_home = homes.is_home(id) && cached_here >= prompt.shared_count();
        placed.cached_tokens = prompt.tokens.saturating_sub(tokens as u32);
        let rate = self.prefill_rates.entry(ask.service.clone()).or_default();
        rate.add(now, tokens);
        let work = Duration::from_secs_f64(tokens / tokens_per_ms / 1_000.0);
        server.prefill_until = server.prefill_until.max(now) + work;
        server.prefixes.record(now, prefixes);
        placed
    }

    /// Where the shared parts of a prompt belong and where they are, by the highest hash of server
    /// and parts: all instances agree on both without messages.
    fn homes(
        &self,
        now: Duration,
        ask: &PlaceAsk<'_>,
        prefixes: &PrefixHashes,
        strict: bool,
    ) -> Homes {
        let mut homes = Homes::default();
        let shared_count = ask.prompt.map_or(0, Prompt::shared_count);
        let Some(shared) = shared_count
            .checked_sub(1)
            .and_then(|last| prefixes.get(last))
        else {
            return homes;
        };
        let mut home_score = 0;
        let mut holder_score = 0;
        for server in self.servers.values() {
            let record = &server.record;
            if record.service != *ask.service {
                continue;
            }
            let score = xxh3_64_with_seed(record.id.as_bytes(), *shared);
            if score >= home_score && self.is_candidate(server, now, ask, strict) {
                home_score = score;
                homes.home = Some(record.id.clone());
            }
            let is_settled = now.saturating_sub(server.seen_at) >= SETTLE_TIME;
            if score >= holder_score && is_settled && self.is_well(server, now) {
                holder_score = score;
                homes.holder = Some(record.id.clone());
            }
        }
        homes
    }

    fn cost_ms(
        &self,
        now: Duration,
        server: &FleetServer,
        ask: &PlaceAsk<'_>,
        prefixes: &PrefixHashes,
        homes: &Homes,
    ) -> f64 {
        let mut cost = f64::from(server.failures_in_a_row) * BROKEN_COST_MS;
        if server.record.data_centre != self.data_centre {
            cost += OTHER_CENTRE_COST_MS;
        }
        let Some(prompt) = ask.prompt else {
            let load = f64::from(server.running()) / f64::from(server.record.slots.max(1));
            return cost + load * PLAIN_CALL_COST_MS;
        };
        let backlog = server.backlog(now);
        let tokens = server.tokens_to_read(prompt, prefixes, homes);
        cost += tokens / self.tokens_per_ms(ask.service);
        cost += backlog.as_secs_f64() * 1_000.0;
        cost += f64::from(server.running()) * RUNNING_COST_MS;
        if server.running() >= server.record.slots {
            cost += f64::from(server.running() - server.record.slots + 1) * PLAIN_CALL_COST_MS;
        }
        cost
    }

    fn none_ready(&self, ask: &PlaceAsk<'_>) -> Error {
        Error::NoBackendServer {
            subject: Subject::Service(ask.service.clone()),
            retry_after_ms: NO_SERVER_RETRY.as_millis() as u64,
        }
    }

    /// True if a server may be sent the call; with `strict`, also if it is believed to be well.
    fn is_candidate(
        &self,
        server: &FleetServer,
        now: Duration,
        ask: &PlaceAsk<'_>,
        strict: bool,
    ) -> bool {
        let stays = !server.record.leaving || is_disabled(Safeguard::Leaving);
        server.record.service == *ask.service
            && stays
            && (!strict || self.is_well(server, now))
            && !ask.tried.contains(&server.record.id)
            && !(ask.suspect && server.suspects_here > 0)
    }

    /// True if a server is believed to be well and within reach.
    fn is_well(&self, server: &FleetServer, now: Duration) -> bool {
        now >= server.down_until && !self.is_cut_off(&server.record.data_centre)
    }
}
