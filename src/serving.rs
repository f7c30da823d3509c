//! Shared state of an instance whose backend servers register themselves.
//!
//! The policy is the operators' configuration of routes, services and client accounts. A topic is a
//! named sequence of records in the shared log; instances (peers of each other) can also read the
//! copies of topics that other instances keep.
//!
//! The state is owned by one thread. Decisions are made by state machines that perform no I/O. They
//! are kept in `RefCell`s, and code that performs I/O borrows them only between two awaits.

use super::*;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::rc::Weak;

use tokio::sync::watch;

/// Settings of one instance; [`ServingState::reload`] can change some of them at runtime.
#[derive(Debug, Clone, bon::Builder)]
pub struct ServingSettings {
    /// True to use sums of data centres in large deployments. A collector needs more than an eighth of
    /// a processor for them at 295 instances and 250 servers, so they are off by default.
    #[builder(default)]
    pub centre_sums: bool,
    /// Data centre in which the instance runs. Only peers in the same one read the log on its
    /// behalf.
    pub data_centre: DataCentreName,
    /// Maximum time from the acceptance of an operator's edit until this instance applies it.
    pub edit_time: Duration,
    /// True if no instance ran before, so that no calls can have been admitted that this one does
    /// not know of.
    pub first_start: bool,
    /// Unique name of the instance, under which it registers its address in the log.
    pub instance: InstanceName,
    /// Length of the time window over which the usage limits of accounts hold.
    pub limit_window: Duration,
    /// Maximum time since the policy was last proven to be the newest; once it is exceeded, calls
    /// are refused.
    pub policy_age_max: Duration,
    /// Maximum number of retries in a window, as a fraction of the calls of that window.
    pub retry_part: f64,
    /// Length of the time window to which `retry_part` applies.
    pub retry_window: Duration,
    /// Limits on rollouts of servers' versions; `None` if there are no rollouts, so that versions have
    /// no effect.
    pub rollout: Option<RolloutSettings>,
    /// Time after the end of a usage window during which a report of its calls is still accepted.
    pub usage_late: Duration,
    /// Length of a usage window, a period whose calls are reported together.
    pub usage_window: Duration,
}

/// Maximum time for which an instance waits after its start for a peer to tell which policy it has.
/// Peers send digests several times a second.
const PEER_VERSIONS_DELAY: Duration = Duration::from_millis(1_000);

/// Time after its start at which an instance has read the list of its peers and heard of some. Until
/// then each would take itself for one of the few that compete for the duties.
const PEERS_LISTED_AFTER: Duration = Duration::from_millis(1_000);

/// Time since a peer last read a topic of the log from this instance; until it has passed, more
/// reads are expected.
const PEER_READ_TTL: Duration = Duration::from_secs(3);

/// Fraction of the permitted retries (`retry_part`) that is used. The rest is a margin, since
/// callers' requests are spread unevenly over instances and windows.
const RETRY_SPENT_FRACTION: f64 = 0.7;

/// Maximum savings of the retry budget, as a fraction of a window's calls. It is below 1 because
/// the saved retries and those that the next window's calls add may be spent within one window.
const RETRY_SAVED_FRACTION: f64 = 0.5;

/// Memory in bytes for the kept starts of response bodies, of all calls together.
const BODY_BUDGET_BYTES: usize = 24 << 20;

/// Memory in bytes for unfinished events of streams, of all calls together. Growing buffers take up
/// to twice as much.
const EVENT_BUDGET_BYTES: usize = 8 << 20;

/// State shared by the tasks of one instance, which all run on one thread.
pub struct ServingState {
    /// Recent rate of accepted calls per second, to which the retry budget is adjusted.
    accepted_rate: RefCell<DecayingRate>,
    /// Memory for the kept starts of response bodies; a body for which none is left is forwarded as
    /// it arrives.
    pub body_budget: Rc<ByteBudget>,
    /// Idle connections to backend servers, shared by all calls.
    pub connections: Rc<ConnectionPool>,
    /// Servers whose connections broke and that may have ended.
    pub broken_servers: RefCell<BrokenServers>,
    /// Open connections of callers, by a number in the order of their acceptance.
    pub(crate) callers: RefCell<BTreeMap<u64, Weak<ConnectionTrace>>>,
    /// Counts how often a data centre became unreachable or reachable again; wakes the tasks that
    /// wait for such a change.
    pub cut_off_changes: watch::Sender<u64>,
    /// Parses and builds the HTTP heads of calls and responses; only it knows the names of headers
    /// with a special meaning.
    pub dialect: Box<dyn Dialect>,
    /// True while the instance is stopping; it then reports that it is not ready.
    pub draining: Cell<bool>,
    /// Memory for unfinished events of streams; a stream for which none is left is broken off.
    pub event_budget: Rc<ByteBudget>,
    /// Number of changes applied to `feeds`; wakes reads of peers that wait for one.
    pub feed_changes: watch::Sender<u64>,
    /// Copies of topics of the log, by topic name, for peers that read them from this instance.
    pub feeds: RefCell<HashMap<&'static str, TopicFeed>>,
    /// Usage window in which the instance started. If the instance knows of no earlier report, this
    /// window is the first that it reports.
    pub first_usage_window: UsageWindow,
    /// The registered backend servers, from which the fleet chooses the server of each attempt.
    pub fleet: RefCell<Fleet>,
    /// True while this instance holds the duties.
    pub holds_duties: Cell<bool>,
    /// Number of calls in progress; a stop waits until it is 0, at most for the grace period (the
    /// time between the stop signal and the kill).
    pub in_flight: Cell<u32>,
    /// Start time of this process in milliseconds since 1970; distinguishes it from earlier
    /// processes of the instance.
    pub life: u64,
    /// Usage limits of client accounts, against which each call is charged when it is admitted.
    pub limits: RefCell<UsageLimits>,
    /// Metrics that the status listener serves.
    pub metrics: Metrics,
    /// Decides whether a call is sent while its service lacks capacity.
    pub overload: RefCell<OverloadControl>,
    /// Time since boot at which a peer last read a topic of the log from this instance; `None` if
    /// none has.
    peer_read_at: Cell<Option<Duration>>,
    /// True once a peer has told which policy it has.
    peer_told: Cell<bool>,
    /// Other instances, from the addresses that they registered in the log.
    pub peers: RefCell<Peers>,
    /// Parts of prompts that crash servers, whose requests are refused.
    pub part_quarantine: RefCell<PartQuarantine>,
    /// Newest policy that the instance has received, and when it was last proven to be the newest.
    pub policy: RefCell<PolicyState>,
    /// Maximum time since the policy was last proven to be the newest; a reload can change it.
    pub policy_age_max: Cell<Duration>,
    /// True while the instance is stopping and refuses calls that arrive: the load balancer sends it
    /// none any more, and what it still took might be cut off at the end of the stop.
    pub refuses_calls: Cell<bool>,
    /// Retries that may still be made; accepted calls add to them.
    pub retry_budget: RefCell<RetryBudget>,
    /// Rollouts of servers' versions; `None` if the settings allow none.
    pub rollouts: Option<RefCell<RolloutState>>,
    /// Settings at startup; a reload does not change them.
    pub settings: ServingSettings,
    /// Sums of data centres, which are used in place of their instances' digests.
    pub room: RefCell<RoomExchange>,
    /// Distributes calls over the services of a route by their weights.
    pub splitter: RefCell<WeightedSplitter>,
    /// True once a stop no longer waits for calls: those that end from now on are cut by it.
    pub stopped: Cell<bool>,
    /// Time at which the process started, by the clock of [`boot_time`].
    started_at: Duration,
    /// Counts of calls that began to run, by usage window and account.
    pub usage: RefCell<UsageCounter>,
    /// Estimate of the time since 1970, corrected by the clocks of the peers.
    pub wall_clock: RefCell<WallClock>,
}

impl ServingState {
    /// Creates the state of an instance that has no policy and knows no servers.
    pub fn new(settings: ServingSettings, dialect: Box<dyn Dialect>, metrics: Metrics) -> Self {
        let seed = xxh3_64(settings.instance.as_bytes());
        // A clock that is wrong at startup is corrected by the clocks of the peers.
        let unix = Duration::from_millis(unix_ms());
        let usage = UsageCounter::new(boot_time(), settings.data_centre.clone());
        let life = unix.as_millis() as u64;
        let rollouts = settings.rollout.map(|rollout| {
            RefCell::new(RolloutState::new(rollout, settings.instance.clone(), life))
        });
        let unknown_until = match settings.first_start {
            true => Duration::ZERO,
            false => boot_time() + settings.limit_window,
        };
        Self {
            accepted_rate: RefCell::default(),
            broken_servers: RefCell::default(),
            callers: RefCell::default(),
            body_budget: ByteBudget::new(BODY_BUDGET_BYTES),
            connections: Rc::default(),
            cut_off_changes: watch::Sender::new(0),
            dialect,
            draining: Cell::new(false),
            event_budget: ByteBudget::new(EVENT_BUDGET_BYTES),
            feed_changes: watch::Sender::new(0),
            feeds: RefCell::default(),
            first_usage_window: window_of(unix, settings.usage_window),
            fleet: RefCell::new(Fleet::new(settings.data_centre.clone())),
            holds_duties: Cell::new(false),
            in_flight: Cell::new(0),
            life,
            limits: RefCell::new(UsageLimits::new(settings.limit_window, unknown_until, seed)),
            metrics,
            overload: RefCell::default(),
            peer_read_at: Cell::default(),
            peer_told: Cell::default(),
            peers: RefCell::default(),
            part_quarantine: RefCell::default(),
            policy: RefCell::default(),
            policy_age_max: Cell::new(settings.policy_age_max),
            refuses_calls: Cell::new(false),
            retry_budget: RefCell::default(),
            room: RefCell::new(RoomExchange::new(settings.centre_sums)),
            rollouts,
            settings,
            splitter: RefCell::new(WeightedSplitter::new(seed)),
            started_at: boot_time(),
            stopped: Cell::new(false),
            usage: RefCell::new(usage),
            wall_clock: RefCell::new(WallClock::new(boot_time(), unix)),
        }
    }

    /// Adds an accepted call to the retry budget, whose size is adjusted to the rate of accepted
    /// calls.
    pub fn count_accepted(&self, account: &AccountName, service: &ServiceName) {
        let now = boot_time();
        let mut accepted_rate = self.accepted_rate.borrow_mut();
        accepted_rate.add(now, 1.0);
        let calls_per_window = accepted_rate.at(now) * self.settings.retry_window.as_secs_f64();
        let retry_part = self.settings.retry_part * RETRY_SPENT_FRACTION;
        let budget_settings =
            RetryBudgetSettings::for_window(retry_part, calls_per_window * RETRY_SAVED_FRACTION);
        let mut retry_budget = self.retry_budget.borrow_mut();
        retry_budget.configure(budget_settings);
        retry_budget.deposit(account, service);
    }

    /// Applies a change to the copy of a topic that peers read, and wakes reads that wait for one.
    pub fn update_feed(&self, topic: &'static str, record: KeyedRecord) {
        self.feeds
            .borrow_mut()
            .entry(topic)
            .or_default()
            .apply(record);
        self.feed_changes.send_modify(|count| *count += 1);
    }

    /// Records that the end of a topic in the log was at offset `end` at time `at`, so that peers
    /// know how old the copy of the topic is.
    pub fn confirm_feed_end(&self, topic: &'static str, at: Duration, end: LogOffset) {
        let mut feeds = self.feeds.borrow_mut();
        feeds.entry(topic).or_default().confirm_end(at, end);
    }

    /// Records that a server has ended while it ran a request.
    pub fn record_crash(&self, request_id: &str, server: &ServerName, report: CrashReport) {
        let now = boot_time();
        warn!(
            "crash request={request_id} server={server} report={:016x} parts={}",
            report.id,
            format_parts(&report.parts),
        );
        self.metrics.crash_report();
        let changes = self.part_quarantine.borrow_mut().record_crash(now, report);
        log_refusals(&changes, "crash");
    }

    /// Records that a server sent the first event of an answer to a request. `shared` are its parts
    /// that other requests may have.
    pub fn record_first_event(&self, shared: &[PartHash]) {
        let mut quarantine = self.part_quarantine.borrow_mut();
        log_refusals(
            &quarantine.record_first_event(boot_time(), shared),
            "answer",
        );
    }

    /// Records that a server answered a request in full. `shared` are its parts that other requests
    /// may have, `whole` is the hash of the request.
    pub fn record_answer(&self, shared: &[PartHash], whole: PartHash) {
        let mut quarantine = self.part_quarantine.borrow_mut();
        log_refusals(
            &quarantine.record_answer(boot_time(), shared, whole),
            "answer",
        );
    }

    /// Applies the crash reports of a peer's digest.
    pub fn merge_crash_reports(&self, now: Duration, reports: Vec<CrashReport>) {
        let mut quarantine = self.part_quarantine.borrow_mut();
        log_refusals(&quarantine.merge(now, reports), "peer");
    }

    /// Returns the crash reports for the digests of a round.
    pub fn crash_reports_to_send(&self, now: Duration, round: u64) -> Vec<CrashReport> {
        let mut quarantine = self.part_quarantine.borrow_mut();
        let (reports, changes) = quarantine.reports_to_send(now, round);
        log_refusals(&changes, "expiry");
        reports
    }

    /// Accepts requests with a part again, at an operator's request. Returns false if the part is
    /// not refused.
    pub fn release_part(&self, part: PartHash) -> bool {
        let mut quarantine = self.part_quarantine.borrow_mut();
        let changes = quarantine.release(boot_time(), part);
        log_refusals(&changes, "operator");
        !changes.is_empty()
    }

    /// Applies a peer's reports on the limits of servers.
    pub fn merge_limits(&self, now: Duration, peer: &InstanceName, reports: Vec<LimitReport>) {
        let mut fleet = self.fleet.borrow_mut();
        for change in fleet.merge_limits(now, reports) {
            log_limit(&change.server, change.per_s, peer);
        }
    }

    /// Records that a peer has told which policy it has, and that it was proven to be the newest.
    pub fn record_peer_told(&self) {
        self.peer_told.set(true);
    }

    /// Returns the policy in force, if it may be used. The error is as of [`PolicyState::fresh`]; an
    /// instance that has just started also waits for its peers to tell which policy they have, since
    /// the log may have been restored from an older copy.
    pub fn fresh_policy(&self, now: Duration) -> Result<Arc<Policy>> {
        let waited = now.saturating_sub(self.started_at) >= PEER_VERSIONS_DELAY;
        let mut policy = self.policy.borrow_mut();
        if self.peer_told.get() || waited {
            policy.settle();
        }
        policy.fresh(now, self.policy_age_max.get())
    }

    /// Applies a peer's news of servers that are leaving.
    pub fn merge_leaving(&self, peer: &InstanceName, leaving: Vec<LeavingServer>) {
        let mut fleet = self.fleet.borrow_mut();
        for server in fleet.merge_leaving(leaving) {
            info!("server id={server} by={peer} leaving=true");
        }
    }

    /// Records that reads of a topic fail. Peers get no records of it until a read succeeds again.
    pub fn mark_feed_lost(&self, topic: &'static str) {
        let mut feeds = self.feeds.borrow_mut();
        feeds.entry(topic).or_default().mark_unreadable();
    }

    /// Records that a peer has just read a topic of the log from this instance, for
    /// [`has_peer_readers`](Self::has_peer_readers).
    pub fn record_peer_read(&self) {
        self.peer_read_at.set(Some(boot_time()));
    }

    /// Returns true if a peer read a topic of the log from this instance recently, so that more
    /// reads are expected.
    pub fn has_peer_readers(&self) -> bool {
        let peer_read_at = self.peer_read_at.get();
        peer_read_at.is_some_and(|at| boot_time().saturating_sub(at) < PEER_READ_TTL)
    }

    /// Returns true if this instance reads the log itself rather than from a peer.
    pub fn reads_log(&self) -> bool {
        let settings = &self.settings;
        let peers = self.peers.borrow();
        let readers = peers.readers(boot_time(), &settings.instance, &settings.data_centre);
        readers.is_empty()
    }

    /// Returns true if this instance collects the usage of its data centre for the holder of the
    /// duties. None does while all instances send each other their counts in each round.
    pub fn collects_usage(&self, now: Duration) -> bool {
        let settings = &self.settings;
        let peers = self.peers.borrow();
        !peers.sends_to_all() && peers.is_collector(now, &settings.instance, &settings.data_centre)
    }

    /// Returns true if this instance competes for the duties: it reads the log, and gets the usage of
    /// all instances in time.
    pub fn competes_for_duties(&self) -> bool {
        if boot_time().saturating_sub(self.started_at) < PEERS_LISTED_AFTER {
            return false;
        }
        let gets_usage = self.peers.borrow().sends_to_all() || self.collects_usage(boot_time());
        gets_usage && self.reads_log()
    }

    /// Closes the connections of callers that have been idle for longer than the policy in force
    /// allows. `now` is the time since boot. Has to be called regularly: a connection counts as idle
    /// from the first call that finds it so.
    pub fn close_idle_callers(&self, now: Duration) {
        let timeout = self
            .policy
            .borrow()
            .in_force()
            .map_or(CALLER_IDLE_TIMEOUT, |policy| {
                policy.caller_idle_timeout.unwrap_or(CALLER_IDLE_TIMEOUT)
            });
        let callers = self.callers.borrow();
        let mut expired = 0;
        for connection in callers.values() {
            let Some(connection) = connection.upgrade() else {
                continue;
            };
            expired += u64::from(connection.expire(now, timeout));
        }
        self.metrics
            .caller_connections(callers.len() as u64, expired);
        if expired > 0 {
            info!(
                "idle connections={} closed={expired} timeout_ms={}",
                callers.len(),
                timeout.as_millis()
            );
        }
    }

    /// Returns true if orders for servers of a service have to wait for the end of a rollout.
    pub fn defers_capacity(&self, now: Duration, service: &ServiceName) -> bool {
        let fleet = self.fleet.borrow();
        let rollouts = self.rollouts.as_ref();
        rollouts.is_some_and(|state| state.borrow().defers_capacity(now, &fleet, service))
    }

    /// Returns true if the instance may receive calls: its policy was proven to be the newest
    /// recently enough, and it is not stopping.
    pub fn is_ready(&self) -> bool {
        let rollouts = self.rollouts.as_ref();
        let knows_rollouts = rollouts.is_none_or(|rollouts| rollouts.borrow().is_read());
        !self.draining.get() && knows_rollouts && self.fresh_policy(boot_time()).is_ok()
    }

    /// Applies the settings that can change at runtime, which are the maximum age of the policy and
    /// the window of the account limits; all others need a restart.
    pub fn reload(&self, settings: ServingSettings) {
        self.policy_age_max.set(settings.policy_age_max);
        let mut limits = self.limits.borrow_mut();
        limits.set_window(settings.limit_window);
    }

    /// Returns the estimated time since 1970, corrected by the clocks of the peers.
    pub fn unix_now(&self) -> Duration {
        self.wall_clock.borrow().unix(boot_time())
    }

    /// Returns the last usage window that ended at least `delay` ago.
    pub fn usage_window_before(&self, delay: Duration) -> UsageWindow {
        let at = self.unix_now().saturating_sub(delay);
        window_of(at, self.settings.usage_window).saturating_sub(1)
    }

    /// Returns the usage window of a call that begins to run now.
    pub fn usage_window_now(&self) -> UsageWindow {
        window_of(self.unix_now(), self.settings.usage_window)
    }
}

fn window_of(unix: Duration, length: Duration) -> UsageWindow {
    (unix.as_millis() / length.as_millis().max(1)) as UsageWindow
}

/// Logs what is refused from now on, or accepted again.
pub(crate) fn log_refusals(changes: &[RefusalChange], by: &str) {
    for change in changes {
        let (state, refusal) = match change {
            RefusalChange::Begun(refusal) => ("begun", refusal),
            RefusalChange::Ended(refusal) => ("ended", refusal),
        };
        warn!(
            "quarantine parts={} state={state} by={by} crashes={}",
            format_parts(&refusal.parts),
            refusal.crashes,
        );
    }
}

/// Logs that the limit of a server has changed, by the answer to a request or by a peer.
pub(crate) fn log_limit(server: &ServerName, per_s: Option<f64>, by: &str) {
    let per_s = per_s.map_or("none".to_owned(), |per_s| per_s.to_string());
    info!("limit server={server} by={by} per_s={per_s}");
}
