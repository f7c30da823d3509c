//! Registered backend servers: tracks which are present and which are healthy, and chooses the
//! server for each attempt of a call.
//!
//! The log topic in which servers register decides which servers may be used; the results of this
//! instance's own calls decide which of them are healthy. The state does no I/O: events and the
//! time since the machine booted go in, placements (the choice of a server for one attempt of a
//! call) come out. A suspect is a call whose content was running on a server when that server
//! crashed.

use super::*;

/// Time for which a server that cannot be reached, or breaks consecutive calls, is first ejected,
/// that is, not used while others are healthy. It doubles with each further failure, because a
/// server that restarts is away for seconds, while a lost packet is over sooner.
const EJECTION_INITIAL: Duration = Duration::from_millis(500);

/// Longest time for which a failing server is ejected.
const EJECTION_MAX: Duration = Duration::from_secs(5);

/// Consecutive failures after which a server that breaks calls is ejected. Fewer do not eject it,
/// because a server that loses some answers still gives the others.
const BROKEN_STREAK_MAX: u32 = 4;

/// Cost that each consecutive failure adds to a server. A server's cost is the estimated time until
/// it begins to answer plus penalties, in milliseconds; the lowest cost is chosen.
const FAILURE_COST_MS: f64 = 40.0;

/// A data centre from which nothing was received for this long is probed.
pub const CENTRE_PROBE_AFTER: Duration = Duration::from_millis(700);

/// Consecutive probes that have to fail before a data centre counts as unreachable. The servers that
/// one probe chose may have ended while their records remain.
const FAILED_PROBES_LIMIT: u32 = 2;

/// Maximum number of prompt parts that are assumed to be in a server's cache; the least recently
/// used are dropped.
const CACHED_PARTS_MAX: usize = 4_096;

/// Cost in milliseconds that is added for a server in another data centre: the round trip and the
/// transfer of the call's bytes.
const CROSS_CENTRE_COST_MS: f64 = 4.0;

/// Time that each running request adds to the first token of the next one: decode steps, which
/// generate one token for each running request, grow with their number.
const RUNNING_COST_MS: f64 = 1.0;

/// Time after which a newly registered server is assumed to have cached the shared parts that it is
/// preferred for: most of them are sent again within it. Shared parts are those that other prompts
/// may begin with too; the preferred server for them is the eligible one with the highest
/// rendezvous hash of its name and the parts.
const WARM_UP_TIME: Duration = Duration::from_secs(10);

/// Cost of a call without a prompt at a server whose slots (the calls that it can run concurrently)
/// are all in use; at other servers the cost is in proportion to the fraction of slots in use. Also
/// the cost that is added for a model call for each call that runs beyond the number of slots.
const PLAIN_CALL_COST_MS: f64 = 20.0;

/// Shortest time after which a report by a peer (another instance) of its calls expires; a few of the
/// datagrams that carry it may be lost. In large deployments it is longer, since a peer's digests
/// come more rarely.
pub(crate) const PEER_LOAD_TTL_MIN: Duration = Duration::from_secs(3);

/// Shortest retry delay sent to callers when the limits of the servers are used up.
const LIMIT_RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// Retry delay sent to callers when no server can take the call.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Record under which a server registers itself in the log, as last read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRecord {
    /// Address to which calls are sent; another address means a new process.
    pub address: SocketAddr,
    /// Start time of its process in milliseconds since 1970; a later time means a restart.
    pub created_ms: u64,
    /// Data centre that it runs in; calls from other data centres cost more.
    pub data_centre: DataCentreName,
    /// Unique name, which is the record's key in the log.
    pub id: ServerName,
    /// True once it has announced that it is leaving.
    pub leaving: bool,
    /// Service whose calls it accepts, by its name in the policy (the operators' configuration of
    /// routes, services and accounts).
    pub service: ServiceName,
    /// Maximum number of calls that it runs concurrently; a model call beyond them costs more to
    /// place.
    pub slots: u32,
    /// True if its machine is reclaimable.
    pub spot: bool,
    /// Version of the service that it runs; empty if its record names none.
    pub version: ServerVersion,
}

/// A registered server with this instance's estimates of its health, load and cache. They are reset
/// when it restarts.
#[derive(Debug)]
pub struct FleetServer {
    /// Time at which it last began to answer a call of this instance.
    answered_at: Duration,
    /// Time at which the latest call was sent that it has begun to answer.
    answered_call_sent_at: Duration,
    ejected_until: Duration,
    failure_streak: u32,
    /// Limit on the calls that it takes.
    pub(crate) limit: ServerLimit,
    /// What its answers have said about it.
    pub(crate) notice: ServerNotice,
    prefill_until: Duration,
    pub(crate) prefixes: PrefixEstimate,
    /// Latest record of the process; `leaving` never returns to false.
    pub record: ServerRecord,
    /// Latest loads reported by other instances for their calls there.
    pub(crate) peer_loads: SmallVec<[(InstanceName, Duration, ServerLoad); 8]>,
    /// Sum of `running` in `peer_loads`.
    pub(crate) peer_running: u32,
    /// Prompts that wait there, if the routes of its service have different priorities.
    pub(crate) queue: ServerQueue,
    /// Speed of its engine, if the routes of its service have different priorities.
    pub(crate) speed: ServerSpeed,
    /// Attempts of this instance that were placed there and have not ended.
    pub running_here: u32,
    /// Time at which this instance first read the record of its process.
    seen_at: Duration,
    suspects_here: u32,
}

impl FleetServer {
    fn new(now: Duration, record: ServerRecord) -> Self {
        Self {
            answered_at: Duration::ZERO,
            answered_call_sent_at: Duration::ZERO,
            ejected_until: Duration::ZERO,
            failure_streak: 0,
            limit: ServerLimit::default(),
            notice: ServerNotice::default(),
            prefill_until: Duration::ZERO,
            prefixes: PrefixEstimate::new(CACHED_PARTS_MAX),
            record,
            peer_loads: SmallVec::new(),
            peer_running: 0,
            queue: ServerQueue::default(),
            running_here: 0,
            seen_at: now,
            speed: ServerSpeed::default(),
            suspects_here: 0,
        }
    }

    /// Returns its estimated prefill speed, as a multiple of the mean of its service.
    pub fn speed(&self) -> f64 {
        self.speed.speed()
    }

    /// Returns true if its record or one of its answers says that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.record.leaving || self.notice.is_leaving()
    }

    fn eject(&mut self, now: Duration, doublings: u32) {
        let duration = (EJECTION_INITIAL * (1 << doublings.min(4))).min(EJECTION_MAX);
        self.ejected_until = now + duration;
    }

    /// Returns the calls of this instance running there plus those in the last reports of the
    /// peers.
    pub fn running(&self) -> u32 {
        self.running_here + self.peer_running
    }

    /// Returns the calls that run there for each of its slots.
    pub(crate) fn calls_per_slot(&self) -> f64 {
        f64::from(self.running()) / f64::from(self.record.slots.max(1))
    }

    /// Remaining time of the prefill (the processing before the first token is generated) of the
    /// prompts sent by this instance.
    fn own_backlog(&self, now: Duration) -> Duration {
        self.prefill_until.saturating_sub(now)
    }

    /// Remaining prefill time of the prompts sent by all instances.
    fn backlog(&self, now: Duration) -> Duration {
        let mut sum = self.own_backlog(now);
        for (_, received_at, load) in &self.peer_loads {
            sum += load
                .backlog
                .saturating_sub(now.saturating_sub(*received_at));
        }
        sum
    }

    /// Returns the number of prompt tokens that the server has to prefill because they are not in
    /// its cache, as far as this instance knows.
    pub(crate) fn tokens_to_prefill(
        &self,
        prompt: &Prompt,
        prefixes: &PrefixHashes,
        affinity: &PrefixAffinity,
    ) -> f64 {
        let cached_parts = self.prefixes.cached_blocks(prefixes);
        affinity.tokens_to_prefill(&self.record.id, cached_parts, prompt)
    }

    /// Returns the load that this instance puts on the server, which it reports to its peers.
    pub fn own_load(&self, now: Duration) -> ServerLoad {
        ServerLoad {
            backlog: self.own_backlog(now),
            queued_tokens: self.queue.own_tokens(),
            running: self.running_here,
            speed: self.speed.own_sums(now),
        }
    }
}

/// What an instance sends to a service, as instances report it to each other.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceWork {
    /// Its estimate of the service's engines; `None` if it has none.
    pub estimate: Option<PrefillEstimate>,
    /// Prompt tokens per second that are not cached there.
    pub prefill_tokens_per_s: f64,
}

/// Process of a server, as a crash report describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerProcess {
    /// Address of its listener.
    pub address: SocketAddr,
    /// Identifies its end.
    pub crash: CrashId,
    /// Number of servers of its service that take calls.
    pub servers: u32,
    /// Hash of the name of its service.
    pub service: u64,
}

/// Load that one instance puts on a server, as instances report it to each other.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerLoad {
    /// Estimated time until the server has prefilled all prompts that the instance sent it; zero
    /// for a service whose prompts are counted in `queued_tokens`.
    pub backlog: Duration,
    /// Tokens of the prompts that the instance sent it and whose answers have not begun.
    pub queued_tokens: QueuedTokens,
    /// Calls that the instance sent to the server and that have not ended.
    pub running: u32,
    /// How fast the server answered the instance.
    pub speed: SpeedSums,
}

impl ServerLoad {
    /// Number of values of [`values`](Self::values).
    pub const VALUES: usize = 2 + QUEUE_CLASSES + SPEED_VALUES;

    /// Returns the fields as numbers, which can be summed over instances and sent in columns. The
    /// order is that of the wire format: new fields are added at the end.
    pub fn values(&self) -> [u32; Self::VALUES] {
        let mut values = [0; Self::VALUES];
        values[0] = self.running;
        values[1] = self.backlog.as_millis() as u32;
        values[2..2 + QUEUE_CLASSES].copy_from_slice(&self.queued_tokens);
        values[2 + QUEUE_CLASSES..].copy_from_slice(&self.speed.values());
        values
    }

    /// Returns the load with these [`values`](Self::values).
    pub fn from_values(values: [u32; Self::VALUES]) -> Self {
        let [running, backlog_ms, ..] = values;
        let queued_tokens = std::array::from_fn(|class| values[2 + class]);
        let speed = std::array::from_fn(|index| values[2 + QUEUE_CLASSES + index]);
        Self {
            backlog: Duration::from_millis(u64::from(backlog_ms)),
            queued_tokens,
            running,
            speed: SpeedSums::from_values(speed),
        }
    }

    /// Returns the sum of two loads on one server.
    pub fn plus(&self, other: Self) -> Self {
        self.combine(other, u32::saturating_add)
    }

    /// Returns this load without `other`, which is a part of it; at least 0 in each field.
    pub fn minus(&self, other: Self) -> Self {
        self.combine(other, u32::saturating_sub)
    }

    fn combine(&self, other: Self, operation: fn(u32, u32) -> u32) -> Self {
        let (own, other) = (self.values(), other.values());
        Self::from_values(std::array::from_fn(|index| {
            operation(own[index], other[index])
        }))
    }
}

/// Outcome of an attempt, from which the health of its server is updated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The caller disconnected, the deadline passed, or the call was moved because its answer came
    /// late while the server answered others, or because the server's data centre seemed cut off.
    /// The server's health is left as it is.
    Abandoned,
    /// The connection broke, the answer was corrupted or stalled, or the server answered no call in
    /// time.
    Broken,
    /// The server sent a complete answer, which resets its count of consecutive failures.
    Completed,
    /// The server refused the call without running it; its health is left as it is.
    Refused,
    /// The call could not be sent, as when no connection could be made.
    Unreachable,
    /// Another server now listens on the address, so the record is out of date.
    WrongServer,
}

/// Properties of a call from which the server of an attempt is chosen.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuery<'a> {
    /// Prompt of a model call; `None` for other calls, whose server is chosen by the number of
    /// running calls per slot.
    pub prompt: Option<&'a Prompt>,
    /// Priority class of the call if the routes of its service have different priorities; its
    /// server is then chosen by the queues of unanswered prompts.
    pub queue_class: Option<QueueClass>,
    /// Only servers registered for this service are chosen.
    pub service: &'a ServiceName,
    /// True if the call is a suspect: its content was running on a server when that server crashed.
    /// It is not sent to a server on which this instance already runs another suspect.
    pub suspect: bool,
    /// Servers that earlier attempts of the call were sent to; they are not chosen again.
    pub tried: &'a [ServerName],
    /// Only servers that this rule allows are chosen.
    pub versions: &'a VersionRule,
}

/// Server chosen for an attempt, with the estimates made at that time.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacedAttempt {
    /// Address from the server's record when the attempt was placed.
    pub address: SocketAddr,
    /// Estimated remaining prefill time of the prompts sent to the server earlier.
    pub backlog: Duration,
    /// Prompt tokens estimated to be in the server's cache; 0 for calls without a prompt.
    pub cached_tokens: u32,
    /// Calls that run there for each of its slots, including this one.
    pub calls_per_slot: f64,
    /// Data centre of the server; the attempt may be given up if it becomes unreachable.
    pub data_centre: DataCentreName,
    /// True if the server is the preferred one for the prompt's shared parts, those that other
    /// prompts may begin with too.
    pub is_preferred: bool,
    /// True if, in addition, this instance sent it these parts before.
    pub is_warm_preferred: bool,
    /// Time until the answer begins at a server of mean speed, without fixed times and penalties;
    /// zero for calls that are not in a queue.
    pub prefill_at_mean_speed: Duration,
    /// Identifies the prompt in the queue of the server until [`Fleet::leave_queue`] is called;
    /// `None` if it is not counted there.
    pub queue_ticket: Option<QueueTicket>,
    /// Name of the server, to be passed to [`Fleet::end_attempt`] when the attempt ends.
    pub server: ServerName,
    /// Cost of the server for this call: the expected time until the answer begins plus penalties
    /// for failures and distance.
    pub wait_estimate: Duration,
}

/// Server that an attempt would be placed on, for [`Fleet::commit`].
#[derive(Debug)]
pub struct PlacementEstimate {
    pub(crate) affinity: PrefixAffinity,
    pub(crate) prefixes: PrefixHashes,
    /// Name of the server.
    pub server: ServerName,
    /// Cost of the server for this call, as in [`PlacedAttempt::wait_estimate`].
    pub wait: Duration,
}

#[derive(Debug, Default)]
struct CentreState {
    /// Consecutive probes that failed since anything was received.
    failed_probes: u32,
    heard_at: Duration,
    unreachable: bool,
}

/// Registered servers of all services and the reachability of their data centres, as one instance
/// sees them.
#[derive(Debug)]
pub struct Fleet {
    centres: BTreeMap<DataCentreName, CentreState>,
    data_centre: DataCentreName,
    /// Hash of the name of this instance.
    pub(crate) own_hash: u64,
    /// Servers on which each peer last reported load, with the time of its report.
    pub(crate) peer_load_servers: HashMap<InstanceName, (Duration, Vec<ServerName>)>,
    /// Time after which a peer's report expires.
    pub(crate) peer_load_ttl: Duration,
    pub(crate) peer_loads_expired_at: Duration,
    /// Hashes of the names of the active peers.
    pub(crate) peer_hashes: Vec<u64>,
    /// What each peer sends to each service, with the time of its report.
    pub(crate) peer_work: HashMap<InstanceName, (Duration, HashMap<ServiceName, ServiceWork>)>,
    /// Median of the estimates of all instances for each service, and the time at which it was
    /// taken.
    pub(crate) prefill_estimates: HashMap<ServiceName, PrefillEstimate>,
    pub(crate) prefill_estimated_at: Duration,
    /// Samples of this instance of how fast one engine (model server) of each service prefills.
    pub(crate) prefill_samples: HashMap<ServiceName, PrefillRate>,
    /// Uncached prompt tokens per second that this instance sends to each service.
    pub(crate) prefill_rates: HashMap<ServiceName, DecayingRate>,
    /// Number of prompts that were added to the queues of servers.
    pub(crate) queue_tickets: QueueTicket,
    pub(crate) servers: BTreeMap<ServerName, FleetServer>,
    pub(crate) utilizations: HashMap<ServiceName, Utilization>,
}

impl Fleet {
    /// Creates a fleet without servers for an instance that runs in `data_centre`.
    pub fn new(data_centre: DataCentreName) -> Self {
        Self {
            centres: BTreeMap::new(),
            data_centre,
            own_hash: 0,
            peer_load_servers: HashMap::new(),
            peer_load_ttl: PEER_LOAD_TTL_MIN,
            peer_loads_expired_at: Duration::ZERO,
            peer_hashes: Vec::new(),
            peer_work: HashMap::new(),
            prefill_estimated_at: Duration::ZERO,
            prefill_estimates: HashMap::new(),
            prefill_samples: HashMap::new(),
            prefill_rates: HashMap::new(),
            queue_tickets: 0,
            servers: BTreeMap::new(),
            utilizations: HashMap::new(),
        }
    }

    /// Applies a record read from the log. A record of an earlier process is ignored, and a leaving
    /// server stays leaving until it restarts. Returns true if the server is new, restarted or
    /// changed `leaving`.
    pub fn report(&mut self, now: Duration, record: ServerRecord) -> bool {
        let Some(known) = self.servers.get_mut(&record.id) else {
            let id = record.id.clone();
            self.servers.insert(id, FleetServer::new(now, record));
            return true;
        };
        if record.created_ms < known.record.created_ms {
            return false;
        }
        if record.created_ms > known.record.created_ms || record.address != known.record.address {
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

    /// Removes a server whose record was deleted from the log or cannot be decoded. Returns true if
    /// it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        self.servers.remove(id).is_some()
    }

    /// Iterates over the servers of all services in the order of their names, including ejected and
    /// leaving ones.
    pub fn servers(&self) -> impl Iterator<Item = &FleetServer> {
        self.servers.values()
    }

    /// Iterates over the records of a service's servers that a rule allows and that are not leaving.
    pub fn ready_servers<'a>(
        &'a self,
        service: &'a ServiceName,
        versions: &'a VersionRule,
    ) -> impl Iterator<Item = &'a ServerRecord> {
        let servers = self.servers.values().filter(|server| !server.is_leaving());
        let records = servers.map(|server| &server.record);
        records.filter(move |record| record.service == *service && versions.allows(record))
    }

    /// Returns the version of a server; empty if it is not registered.
    pub fn version_of(&self, id: &str) -> ServerVersion {
        let server = self.servers.get(id);
        server.map_or(ServerVersion::default(), |server| {
            server.record.version.clone()
        })
    }

    /// Records that a data centre accepted a connection, or sent a peer's datagram or a part of an
    /// answer. Returns true if it was unreachable before.
    pub fn mark_centre_reachable(&mut self, now: Duration, centre: &DataCentreName) -> bool {
        let state = self.centres.entry(centre.clone()).or_default();
        state.failed_probes = 0;
        state.heard_at = now;
        std::mem::replace(&mut state.unreachable, false)
    }

    /// Records that a data centre did not answer a probe that began at `began_at`, and marks it as
    /// unreachable after the second one in a row. Has no effect if anything was received from it
    /// since. Returns true if it was reachable before.
    pub fn record_failed_probe(&mut self, began_at: Duration, centre: &DataCentreName) -> bool {
        let state = self.centres.entry(centre.clone()).or_default();
        if state.heard_at > began_at {
            return false;
        }
        state.failed_probes = state.failed_probes.saturating_add(1);
        state.failed_probes >= FAILED_PROBES_LIMIT && self.mark_centre_unreachable(centre)
    }

    /// Marks a data centre as unreachable. Returns true if it was reachable before.
    pub fn mark_centre_unreachable(&mut self, centre: &DataCentreName) -> bool {
        let state = self.centres.entry(centre.clone()).or_default();
        !std::mem::replace(&mut state.unreachable, true)
    }

    /// Returns the time since anything was received from a data centre; `None` if nothing ever was.
    pub fn centre_silence(&self, now: Duration, centre: &DataCentreName) -> Option<Duration> {
        let heard_at = self.centres.get(centre)?.heard_at;
        (heard_at > Duration::ZERO).then(|| now.saturating_sub(heard_at))
    }

    /// Returns true if the last probes of a data centre failed and no datagram has arrived from it
    /// since; false for a data centre that was never probed.
    pub fn is_centre_unreachable(&self, centre: &DataCentreName) -> bool {
        self.centres
            .get(centre)
            .is_some_and(|state| state.unreachable)
    }

    /// Returns the other data centres with registered servers from which nothing was received for
    /// [`CENTRE_PROBE_AFTER`], each with the addresses of two servers, which vary with `round`;
    /// they are the same if there is only one.
    pub fn centres_to_probe(
        &self,
        now: Duration,
        round: usize,
    ) -> Vec<(DataCentreName, SmallVec<[SocketAddr; 2]>)> {
        let mut addresses_by_centre: BTreeMap<&DataCentreName, Vec<SocketAddr>> = BTreeMap::new();
        for server in self.servers.values() {
            let centre = &server.record.data_centre;
            if *centre == self.data_centre {
                continue;
            }
            let heard_at = self.centres.get(centre).map(|state| state.heard_at);
            if heard_at.is_some_and(|at| now.saturating_sub(at) < CENTRE_PROBE_AFTER) {
                continue;
            }
            addresses_by_centre
                .entry(centre)
                .or_default()
                .push(server.record.address);
        }
        let mut to_probe = Vec::new();
        for (centre, addresses) in addresses_by_centre {
            let count = addresses.len();
            let first = addresses[round % count];
            let second = addresses[(round + count / 2) % count];
            to_probe.push((centre.clone(), SmallVec::from_slice(&[first, second])));
        }
        to_probe
    }

    /// Counts a service's servers in all data centres and sums the demand of this instance and of
    /// the peers' reports, as input for [`CapacityPlanner::plan`].
    pub fn capacity_view(&self, now: Duration, service: &ServicePolicy) -> CapacityView {
        let estimate = self.prefill_estimate(&service.name);
        let mut view = CapacityView {
            fixed_ms: estimate.fixed_ms,
            prefill_rate_per_s: estimate.tokens_per_ms * 1_000.0,
            slots: service.engine.map_or(0, |engine| engine.slots),
            ..CapacityView::default()
        };
        let own = self.prefill_rates.get(&service.name);
        view.prefill_tokens_per_s = own.map_or(0.0, |rate| rate.at(now));
        for (_, work) in self.peer_work.values() {
            let of_service = work.get(&service.name);
            view.prefill_tokens_per_s += of_service.map_or(0.0, |work| work.prefill_tokens_per_s);
        }
        for server in self.servers.values() {
            let record = &server.record;
            if record.service != service.name {
                continue;
            }
            let key = (record.data_centre.clone(), record.spot);
            let count = view.counts.entry(key).or_default();
            match server.is_leaving() {
                true => count.leaving += 1,
                false => {
                    count.ready += 1;
                    view.limited += u32::from(server.limit.per_s(now).is_some());
                }
            }
            view.running += server.running();
        }
        view
    }

    /// Chooses the server with the lowest cost for an attempt and adds the attempt to those that
    /// run there, until [`end_attempt`](Self::end_attempt) is called. Fails with
    /// [`Error::NoBackendServer`] if every server of the service is leaving, was tried before, or
    /// already runs a suspect while this call is one too, with [`Error::ServersPaused`] if the others
    /// want no calls from this instance for a while, and with [`Error::ServerLimits`] if their limits
    /// leave this instance no call.
    pub fn place(&mut self, now: Duration, query: PlacementQuery<'_>) -> Result<PlacedAttempt> {
        let estimate = self.estimate(now, &query)?;
        Ok(self.commit(now, &query, &estimate))
    }

    /// Chooses the server that [`place`](Self::place) would choose, without placing the attempt.
    pub fn estimate(
        &mut self,
        now: Duration,
        query: &PlacementQuery<'_>,
    ) -> Result<PlacementEstimate> {
        let prefixes = query.prompt.map(Prompt::prefixes).unwrap_or_default();
        if query.queue_class.is_some() {
            self.update_engines(now, query.service);
        }
        // If no server is known to be healthy, an unhealthy one is better than none.
        let healthy_only = self.has_healthy_server(now, query);
        let affinity = self.prefix_affinity(now, query, &prefixes, healthy_only);
        let best = match (query.prompt, query.queue_class) {
            (Some(prompt), Some(_)) => {
                self.choose_candidate(now, query, prompt, &prefixes, &affinity, healthy_only)
            }
            (Some(_), None) | (None, _) => {
                self.choose_cheapest(now, query, &prefixes, &affinity, healthy_only)
            }
        };
        let Some((cost_ms, server)) = best else {
            self.count_unplaced(now, query);
            return Err(self.no_server_error(now, query));
        };
        Ok(PlacementEstimate {
            affinity,
            prefixes,
            server,
            wait: Duration::from_secs_f64(cost_ms / 1_000.0),
        })
    }

    fn choose_cheapest(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
        prefixes: &PrefixHashes,
        affinity: &PrefixAffinity,
        healthy_only: bool,
    ) -> Option<(f64, ServerName)> {
        let mut best: Option<(f64, ServerName)> = None;
        for server in self.servers.values() {
            if !self.is_eligible(server, now, query, healthy_only) {
                continue;
            }
            let cost = self.cost_ms(now, server, query, prefixes, affinity);
            if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                best = Some((cost, server.record.id.clone()));
            }
        }
        best
    }

    /// Returns true if [`place`](Self::place) would choose a server that is healthy.
    pub fn has_healthy_server(&self, now: Duration, query: &PlacementQuery<'_>) -> bool {
        self.servers
            .values()
            .any(|server| self.is_eligible(server, now, query, true))
    }

    /// Records that a server has begun to answer a call that was sent at `sent_at`; called when the
    /// head of the answer arrives.
    pub fn record_answer(&mut self, now: Duration, sent_at: Duration, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.answered_at = now;
            server.answered_call_sent_at = server.answered_call_sent_at.max(sent_at);
        }
    }

    /// Describes the present process of a server, whose end a crash report would name; `None` if the
    /// server is leaving or not registered.
    pub fn process_of(&self, id: &str) -> Option<ServerProcess> {
        let server = self.servers.get(id).filter(|server| !server.is_leaving())?;
        let service = &server.record.service;
        let is_peer =
            |other: &&FleetServer| other.record.service == *service && !other.is_leaving();
        Some(ServerProcess {
            address: server.record.address,
            crash: CrashReport::crash_id(id, server.record.created_ms),
            servers: self.servers.values().filter(is_peer).count() as u32,
            service: xxh3_64(service.as_bytes()),
        })
    }

    /// Returns true if a server has begun to answer a call of this instance that was sent after
    /// `since`.
    pub fn has_answered_call_sent_after(&self, since: Duration, id: &str) -> bool {
        let server = self.servers.get(id);
        server.is_some_and(|server| server.answered_call_sent_at > since)
    }

    /// Returns true if a server has begun to answer any call of this instance since `since`.
    pub fn has_answered_since(&self, since: Duration, id: &str) -> bool {
        let server = self.servers.get(id);
        server.is_some_and(|server| server.answered_at > since)
    }

    /// Removes an attempt placed by [`place`](Self::place) from those that run on its server, and
    /// updates the server's health by the outcome.
    pub fn end_attempt(&mut self, now: Duration, id: &str, suspect: bool, outcome: AttemptOutcome) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        server.running_here = server.running_here.saturating_sub(1);
        if suspect {
            server.suspects_here = server.suspects_here.saturating_sub(1);
        }
        match outcome {
            AttemptOutcome::Broken => {
                server.failure_streak += 1;
                if server.failure_streak >= BROKEN_STREAK_MAX {
                    server.eject(now, server.failure_streak - BROKEN_STREAK_MAX);
                }
            }
            AttemptOutcome::Unreachable => {
                server.failure_streak += 1;
                server.eject(now, server.failure_streak - 1);
            }
            AttemptOutcome::WrongServer => server.ejected_until = now + EJECTION_MAX,
            AttemptOutcome::Abandoned | AttemptOutcome::Refused => {}
            AttemptOutcome::Completed => server.failure_streak = 0,
        }
    }

    /// Adds the prompt tokens of a call that no server could take, except those of its shared
    /// parts, to the service's demand, so that servers are ordered for it.
    pub(crate) fn count_unplaced(&mut self, now: Duration, query: &PlacementQuery<'_>) {
        let Some(prompt) = query.prompt else {
            return;
        };
        let unshared = prompt.tokens - prompt.tokens_in(prompt.shared_count()).min(prompt.tokens);
        let rate = self.prefill_rates.entry(query.service.clone()).or_default();
        rate.add(now, f64::from(unshared));
    }

    /// Adds an attempt to those that run on the server of `estimate`, until
    /// [`end_attempt`](Self::end_attempt) is called. No other change to the fleet may come between
    /// the estimate and this call.
    pub fn commit(
        &mut self,
        now: Duration,
        query: &PlacementQuery<'_>,
        estimate: &PlacementEstimate,
    ) -> PlacedAttempt {
        let PlacementEstimate {
            affinity,
            prefixes,
            server: id,
            wait,
        } = estimate;
        let tokens_per_ms = self.prefill_estimate(query.service).tokens_per_ms;
        let queue_class = query.queue_class;
        let queue_view = queue_class.map(|class| self.queue_view(now, query.service, class));
        let queue_ticket = self.next_queue_ticket();
        let server = self
            .servers
            .get_mut(id)
            .expect("placed server is registered");
        let backlog = match queue_view {
            Some(view) => Duration::from_secs_f64(view.delay_ms(server) / 1_000.0),
            None => server.backlog(now),
        };
        server.running_here += 1;
        server.limit.take(now);
        if query.suspect {
            server.suspects_here += 1;
        }
        let mut placed = PlacedAttempt {
            address: server.record.address,
            backlog,
            cached_tokens: 0,
            calls_per_slot: server.calls_per_slot(),
            data_centre: server.record.data_centre.clone(),
            is_preferred: affinity.is_preferred(id),
            is_warm_preferred: false,
            prefill_at_mean_speed: Duration::ZERO,
            queue_ticket: None,
            server: id.clone(),
            wait_estimate: *wait,
        };
        let Some(prompt) = query.prompt else {
            return placed;
        };
        let tokens = server.tokens_to_prefill(prompt, prefixes, affinity);
        let cached_here = server.prefixes.cached_blocks(prefixes);
        placed.is_warm_preferred = placed.is_preferred && cached_here >= prompt.shared_count();
        placed.cached_tokens = prompt.tokens.saturating_sub(tokens as u32);
        let rate = self.prefill_rates.entry(query.service.clone()).or_default();
        rate.add(now, tokens);
        if let Some(class) = queue_class {
            server.queue.push(queue_ticket, class, tokens as u32);
            placed.queue_ticket = Some(queue_ticket);
            let at_mean_speed = backlog.as_secs_f64() * server.speed.speed();
            let own = tokens / tokens_per_ms / 1_000.0;
            placed.prefill_at_mean_speed = Duration::from_secs_f64(at_mean_speed + own);
        } else {
            let work = Duration::from_secs_f64(tokens / tokens_per_ms / 1_000.0);
            server.prefill_until = server.prefill_until.max(now) + work;
        }
        server.prefixes.record(now, prefixes);
        placed
    }

    /// Returns two servers for the shared parts of a prompt (those that other prompts may begin
    /// with too): the preferred one, chosen among the eligible servers, and the warm one, chosen
    /// among the healthy servers known for [`WARM_UP_TIME`]. Each is the one with the highest
    /// rendezvous hash of its name and the parts, weighted by its speed for calls in queues.
    /// Instances that see the same servers agree on both without messages.
    pub(crate) fn prefix_affinity(
        &self,
        now: Duration,
        query: &PlacementQuery<'_>,
        prefixes: &PrefixHashes,
        healthy_only: bool,
    ) -> PrefixAffinity {
        let mut affinity = PrefixAffinity::default();
        let shared_count = query.prompt.map_or(0, Prompt::shared_count);
        let Some(shared) = shared_count
            .checked_sub(1)
            .and_then(|last| prefixes.get(last))
        else {
            return affinity;
        };
        let mut preferred_score = 0.0;
        let mut warm_score = 0.0;
        for server in self.servers.values() {
            let record = &server.record;
            if record.service != *query.service {
                continue;
            }
            let hash = xxh3_64_with_seed(record.id.as_bytes(), *shared);
            let score = match query.queue_class {
                Some(_) => server.speed.rendezvous_score(hash),
                None => hash as f64,
            };
            if score >= preferred_score && self.is_eligible(server, now, query, healthy_only) {
                preferred_score = score;
                affinity.preferred = Some(record.id.clone());
            }
            let is_warmed_up = now.saturating_sub(server.seen_at) >= WARM_UP_TIME
                && query.versions.allows_warm(record);
            if score >= warm_score && is_warmed_up && self.is_healthy(server, now) {
                warm_score = score;
                affinity.warm = Some(record.id.clone());
            }
        }
        affinity
    }

    pub(crate) fn cost_ms(
        &self,
        now: Duration,
        server: &FleetServer,
        query: &PlacementQuery<'_>,
        prefixes: &PrefixHashes,
        affinity: &PrefixAffinity,
    ) -> f64 {
        let mut cost = f64::from(server.failure_streak) * FAILURE_COST_MS;
        if server.record.data_centre != self.data_centre {
            cost += CROSS_CENTRE_COST_MS;
        }
        let Some(prompt) = query.prompt else {
            return cost + server.calls_per_slot() * PLAIN_CALL_COST_MS;
        };
        let tokens = server.tokens_to_prefill(prompt, prefixes, affinity);
        cost += match query.queue_class {
            Some(class) => {
                let view = self.queue_view(now, query.service, class);
                view.delay_ms(server) + view.prefill_ms(server, tokens)
            }
            None => {
                let tokens_per_ms = self.prefill_estimate(query.service).tokens_per_ms;
                server.backlog(now).as_secs_f64() * 1_000.0 + tokens / tokens_per_ms
            }
        };
        cost += f64::from(server.running()) * RUNNING_COST_MS;
        if server.running() >= server.record.slots {
            cost += f64::from(server.running() - server.record.slots + 1) * PLAIN_CALL_COST_MS;
        }
        cost
    }

    fn no_server_error(&self, now: Duration, query: &PlacementQuery<'_>) -> Error {
        if let Some(wait) = self.pause_wait(now, query) {
            return Error::ServersPaused {
                subject: Subject::Service(query.service.clone()),
                retry_after_ms: wait.as_millis() as u64 + 1,
            };
        }
        if let Some(wait) = self.limit_wait(now, query) {
            return Error::ServerLimits {
                subject: Subject::Service(query.service.clone()),
                // Rounded up, so that a caller that comes back then is not early.
                retry_after_ms: wait.max(LIMIT_RETRY_AFTER_MIN).as_millis() as u64 + 1,
            };
        }
        Error::NoBackendServer {
            subject: Subject::Service(query.service.clone()),
            retry_after_ms: NO_SERVER_RETRY_AFTER.as_millis() as u64,
        }
    }

    /// Returns true if the call may be sent to a server now: it could run it, and the server takes
    /// calls and its limit leaves this instance one; with `healthy_only`, it must be healthy too.
    pub(crate) fn is_eligible(
        &self,
        server: &FleetServer,
        now: Duration,
        query: &PlacementQuery<'_>,
        healthy_only: bool,
    ) -> bool {
        self.could_run(server, query)
            && server.limit.wait(now) == Some(Duration::ZERO)
            && server.notice.pause_left(now).is_zero()
            && (!healthy_only || self.is_healthy(server, now))
    }

    /// Returns true if a server runs the service of the call in an allowed version, is not leaving,
    /// was not tried before, and, if the call is a suspect, runs no other suspect of this instance.
    pub(crate) fn could_run(&self, server: &FleetServer, query: &PlacementQuery<'_>) -> bool {
        let accepts_work = !server.is_leaving() || is_disabled(Safeguard::Leaving);
        server.record.service == *query.service
            && accepts_work
            && query.versions.allows(&server.record)
            && !query.tried.contains(&server.record.id)
            && !(query.suspect && server.suspects_here > 0)
    }

    /// Returns true if a server is neither ejected nor in a data centre whose last probe failed.
    pub(crate) fn is_healthy(&self, server: &FleetServer, now: Duration) -> bool {
        let is_suspected = |state: &CentreState| state.unreachable || state.failed_probes > 0;
        let mut centres = self.centres.iter();
        now >= server.ejected_until
            && !centres
                .any(|(centre, state)| is_suspected(state) && *centre == server.record.data_centre)
    }
}
