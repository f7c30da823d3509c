//! Shared state of an instance whose backend servers register themselves.
//!
//! One thread owns it: the decisions are plain state machines behind cells, and whatever does
//! I/O borrows them only between two awaits.

use super::*;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::watch;

/// What is set for one instance.
#[derive(Debug, Clone, bon::Builder)]
pub struct ServingSettings {
    /// Data centre of the instance.
    pub data_centre: DataCentreName,
    /// Time after its acceptance from which an edit has to be in force.
    pub edit_time: Duration,
    /// True if no instance ran before: nothing can have been admitted that is not known.
    pub first_start: bool,
    /// Name of the instance, unique.
    pub instance: InstanceName,
    /// Time over which limits of accounts hold.
    pub limit_window: Duration,
    /// Longest time since the policy was last proved to be the newest.
    pub policy_age_max: Duration,
    /// Most attempts beyond the first, as a part of the calls of a window.
    pub retry_part: f64,
    /// Window of the bound on retries.
    pub retry_window: Duration,
    /// Time after a usage window's end up to which its report counts.
    pub usage_late: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
}

/// Time after a peer's last read here for which more are expected.
const READERS_TTL: Duration = Duration::from_secs(3);

/// Part of the bound on retries that is spent: callers' requests are spread unevenly over
/// instances and windows.
const RETRY_SPENT_PART: f64 = 0.7;

/// Part of a window's calls that is saved up for retries: savings and what the next window pays
/// are spent in one.
const RETRY_SAVED_PART: f64 = 0.5;

/// Shared state of one instance.
pub struct Serving {
    /// Calls a second that were accepted.
    accepted: RefCell<DecayingRate>,
    /// When a peer last read a topic of the log here.
    asked_at: Cell<Option<Duration>>,
    /// Policy in force.
    pub book: RefCell<PolicyState>,
    /// Retry budget.
    pub budget: RefCell<RetryBudget>,
    /// Number of times that a data centre was cut off or heard again; wakes those who wait there.
    pub cuts: watch::Sender<u64>,
    /// Reads and writes HTTP heads.
    pub dialect: Box<dyn Dialect>,
    /// True once the instance is stopping.
    pub draining: Cell<bool>,
    /// Number of changes that feeds took; wakes peers' reads.
    pub feed_changes: watch::Sender<u64>,
    /// What is known of the log's topics, for peers that read them here.
    pub feeds: RefCell<HashMap<&'static str, TopicFeed>>,
    /// Backend servers.
    pub fleet: RefCell<Fleet>,
    /// Usage window in which the instance started.
    pub first_window: UsageWindow,
    /// Calls in progress.
    pub in_flight: Cell<u32>,
    /// Start of this life in milliseconds since 1970; tells lives of one instance apart.
    pub life: u64,
    /// Limits of client accounts.
    pub limits: RefCell<UsageLimits>,
    /// Connections to backend servers.
    pub links: Rc<ConnectionPool>,
    /// Instruments.
    pub metrics: Metrics,
    /// Other instances.
    pub peers: RefCell<Peers>,
    /// Longest time since the policy was last proved to be the newest.
    pub policy_age_max: Cell<Duration>,
    /// Settings at the start.
    pub settings: ServingSettings,
    /// Division between the services of a route.
    pub shares: RefCell<WeightedSplitter>,
    /// Calls that began to run.
    pub usage: RefCell<UsageCounter>,
    /// True time of day.
    pub wall_clock: RefCell<WallClock>,
}

impl Serving {
    /// Creates the state of an instance that has no policy and knows no server.
    pub fn new(settings: ServingSettings, dialect: Box<dyn Dialect>, metrics: Metrics) -> Self {
        let seed = xxh3_64(settings.instance.as_bytes());
        // A clock that is wrong at the start is corrected by those of the peers.
        let unix = Duration::from_millis(unix_ms());
        let unknown_until = match settings.first_start {
            true => Duration::ZERO,
            false => boot_time() + settings.limit_window,
        };
        Self {
            accepted: RefCell::default(),
            asked_at: Cell::default(),
            book: RefCell::default(),
            budget: RefCell::default(),
            cuts: watch::Sender::new(0),
            dialect,
            draining: Cell::new(false),
            feed_changes: watch::Sender::new(0),
            feeds: RefCell::default(),
            fleet: RefCell::new(Fleet::new(settings.data_centre.clone())),
            first_window: window_of(unix, settings.usage_window),
            in_flight: Cell::new(0),
            life: unix.as_millis() as u64,
            limits: RefCell::new(UsageLimits::new(settings.limit_window, unknown_until, seed)),
            links: Rc::default(),
            metrics,
            peers: RefCell::default(),
            policy_age_max: Cell::new(settings.policy_age_max),
            settings,
            shares: RefCell::new(WeightedSplitter::new(seed)),
            usage: RefCell::new(UsageCounter::new(boot_time())),
            wall_clock: RefCell::new(WallClock::new(boot_time(), unix)),
        }
    }

    /// Counts an accepted call towards the retry budget.
    pub fn count_accepted(&self, account: &AccountName, service: &ServiceName) {
        let now = boot_time();
        let mut accepted = self.accepted.borrow_mut();
        accepted.add(now, 1.0);
        let a_window = accepted.at(now) * self.settings.retry_window.as_secs_f64();
        let retry_part = self.settings.retry_part * RETRY_SPENT_PART;
        let terms = RetryBudgetSettings::for_window(retry_part, a_window * RETRY_SAVED_PART);
        let mut budget = self.budget.borrow_mut();
        budget.configure(terms);
        budget.deposit(account, service);
    }

    /// Takes a change of a topic for peers that read it here.
    pub fn feed_change(&self, topic: &'static str, record: KeyedRecord) {
        self.feeds
            .borrow_mut()
            .entry(topic)
            .or_default()
            .apply(record);
        self.feed_changes.send_modify(|count| *count += 1);
    }

    /// Takes the proof that a topic ended at `end` at a time.
    pub fn feed_proof(&self, topic: &'static str, at: Duration, end: LogOffset) {
        let mut feeds = self.feeds.borrow_mut();
        feeds.entry(topic).or_default().confirm_end(at, end);
    }

    /// Records that reads of a topic fail.
    pub fn feed_loss(&self, topic: &'static str) {
        let mut feeds = self.feeds.borrow_mut();
        feeds.entry(topic).or_default().mark_unreadable();
    }

    /// Records that a peer reads a topic of the log here.
    pub fn note_reader(&self) {
        self.asked_at.set(Some(boot_time()));
    }

    /// True if peers read topics of the log here.
    pub fn has_readers(&self) -> bool {
        let asked_at = self.asked_at.get();
        asked_at.is_some_and(|at| boot_time().saturating_sub(at) < READERS_TTL)
    }

    /// True if this instance reads the log itself rather than at a peer.
    pub fn reads_log(&self) -> bool {
        let settings = &self.settings;
        let peers = self.peers.borrow();
        let readers = peers.readers(boot_time(), &settings.instance, &settings.data_centre);
        readers.is_empty()
    }

    /// True if callers should be sent here: a fresh policy is in force and the instance stays.
    pub fn is_ready(&self) -> bool {
        let fresh = self
            .book
            .borrow()
            .fresh(boot_time(), self.policy_age_max.get());
        !self.draining.get() && fresh.is_ok()
    }

    /// Takes what can change while the instance runs; the rest needs a restart.
    pub fn reload(&self, settings: ServingSettings) {
        self.policy_age_max.set(settings.policy_age_max);
        let mut limits = self.limits.borrow_mut();
        limits.set_window(settings.limit_window);
    }

    /// Estimate of the time since 1970.
    pub fn unix_now(&self) -> Duration {
        self.wall_clock.borrow().unix(boot_time())
    }

    /// Window of time that a call belongs to which begins to run now.
    pub fn usage_window_now(&self) -> UsageWindow {
        window_of(self.unix_now(), self.settings.usage_window)
    }
}

fn window_of(unix: Duration, length: Duration) -> UsageWindow {
    (unix.as_millis() / length.as_millis().max(1)) as UsageWindow
}
