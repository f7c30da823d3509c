//! Shared state of an instance whose backend servers register themselves.
//!
//! One thread owns it: the decisions are plain state machines behind cells, and whatever does
//! I/O borrows them only between two awaits.

use super::*;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

/// What is set for one instance.
#[derive(Debug, Clone, bon::Builder)]
pub struct ServingSettings {
    /// Data centre of the instance.
    pub data_centre: DataCentreName,
    /// Name of the instance, unique.
    pub instance: InstanceName,
    /// Longest time since the policy was last proved to be the newest.
    pub policy_age_max: Duration,
    /// Length of a usage window.
    pub usage_window: Duration,
}

/// Shared state of one instance.
pub struct Serving {
    /// Policy in force.
    pub book: RefCell<PolicyBook>,
    /// Retry budget.
    pub budget: RefCell<RetryBudget>,
    /// Reads and writes HTTP heads.
    pub dialect: Box<dyn Dialect>,
    /// True once the instance is stopping.
    pub draining: Cell<bool>,
    /// Backend servers.
    pub fleet: RefCell<Fleet>,
    /// Calls in progress.
    pub in_flight: Cell<u32>,
    /// Limits of client accounts.
    pub limits: RefCell<UseLimits>,
    /// Connections to backend servers.
    pub links: Rc<ServerLinks>,
    /// Instruments.
    pub metrics: Metrics,
    /// Settings.
    pub settings: ServingSettings,
    /// Division between the services of a route.
    pub shares: RefCell<ShareBook>,
    /// Calls that began to run.
    pub usage: RefCell<UsageBook>,
}

impl Serving {
    /// Creates the state of an instance that has no policy and knows no server.
    pub fn new(settings: ServingSettings, dialect: Box<dyn Dialect>, metrics: Metrics) -> Self {
        let seed = xxh3_64(settings.instance.as_bytes());
        Self {
            book: RefCell::default(),
            budget: RefCell::default(),
            dialect,
            draining: Cell::new(false),
            fleet: RefCell::new(Fleet::new(settings.data_centre.clone())),
            in_flight: Cell::new(0),
            limits: RefCell::default(),
            links: Rc::default(),
            metrics,
            settings,
            shares: RefCell::new(ShareBook::new(seed)),
            usage: RefCell::default(),
        }
    }

    /// True if callers should be sent here: a fresh policy is in force and the instance stays.
    pub fn is_ready(&self) -> bool {
        let fresh = self
            .book
            .borrow()
            .fresh(boot_time(), self.settings.policy_age_max);
        !self.draining.get() && fresh.is_ok()
    }

    /// Window of time that a call belongs to which begins to run now.
    pub fn usage_window_now(&self) -> UsageWindow {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let now = since.unwrap_or_default();
        (now.as_millis() / self.settings.usage_window.as_millis().max(1)) as UsageWindow
    }
}
