//! What operators decide for all instances: routes by host and path, services, client accounts.
//!
//! A policy is one version of the operators' configuration in its checked form. It holds no
//! addresses: backend servers register themselves and are kept by [`fleet`](crate::fleet).

use super::*;

/// What may be repeated of a route's calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Runs at most once for each caller's attempt.
    AtMostOnce,
    /// May run more than once.
    Idempotent,
    /// An event stream. It may run again from the last event if the route is resumable; otherwise
    /// it runs at most once.
    Stream {
        /// True if another server can go on after an event.
        resumable: bool,
    },
}

impl CallKind {
    /// True if a call that may have run can be sent to another server.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::AtMostOnce | Self::Stream { resumable: false } => false,
            Self::Idempotent | Self::Stream { resumable: true } => true,
        }
    }
}

/// A route's columns.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyRoute {
    /// True if callers need no key.
    pub anonymous: bool,
    /// Backend servers that one caller's attempt may be sent to.
    pub attempts_max: u32,
    /// What may be repeated.
    pub call_kind: CallKind,
    /// Longest pause between events that is still on time.
    pub gap_target: Duration,
    /// Host that callers name.
    pub host: SmolStr,
    /// Unique name.
    pub name: SmolStr,
    /// Beginning of the path, with a slash at both ends.
    pub path_prefix: SmolStr,
    /// Rank of its calls; 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights.
    pub services: SmallVec<[(ServiceName, u32); 2]>,
    /// Time to the answer (streams: to the first event) that earns full credit.
    pub target_latency: Duration,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
}

/// What is known of the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EnginePolicy {
    /// Requests that one engine runs at once.
    pub slots: u32,
}

/// Bounds and prices for ordering servers of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct CapacityPolicy {
    /// Most servers in one data centre.
    pub servers_max: u32,
    /// Fewest servers in one data centre.
    pub servers_min: u32,
    /// Price of a reclaimable server as a fraction of another one's; `None` if there are none.
    pub spot_price: Option<f64>,
    /// Price of a server's second by data centre.
    pub centre_prices: Vec<(DataCentreName, f64)>,
}

/// A service's columns.
#[derive(Debug, Clone, PartialEq)]
pub struct ServicePolicy {
    /// Bounds for orders; `None` if its servers are not ordered by us.
    pub capacity: Option<CapacityPolicy>,
    /// Engine figures, if its servers are model engines.
    pub engine: Option<EnginePolicy>,
    /// Unique name.
    pub name: ServiceName,
}

/// A client account's bound on use over all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UseLimit {
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
    /// True if units are tokens; otherwise they are calls.
    pub in_tokens: bool,
    /// Units of a call that does not tell its tokens.
    pub plain_call_units: f64,
    /// Units a second.
    pub rate_per_s: f64,
}

/// A client account's columns.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountPolicy {
    /// Keys that its callers show.
    pub keys: SmallVec<[SmolStr; 2]>,
    /// Bound on use; `None` if there is none.
    pub limit: Option<UseLimit>,
    /// Unique name.
    pub name: AccountName,
    /// Rank of its calls before the route's; `None` if the route's holds.
    pub priority: Option<u8>,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Policy {
    /// Client accounts.
    pub accounts: Vec<AccountPolicy>,
    /// Longest request body.
    pub body_max_bytes: usize,
    /// Routes by host, longest prefix first.
    routes: HashMap<SmolStr, Vec<Arc<PolicyRoute>>>,
    /// Services by name.
    services: HashMap<ServiceName, Arc<ServicePolicy>>,
    /// Version; higher is newer.
    pub version: PolicyVersion,
    /// Accounts by key.
    accounts_by_key: HashMap<SmolStr, usize>,
}

impl Policy {
    /// Creates a policy without rows.
    pub fn new(version: PolicyVersion) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: PolicyRoute) {
        let of_host = self.routes.entry(route.host.clone()).or_default();
        let place =
            of_host.partition_point(|known| known.path_prefix.len() >= route.path_prefix.len());
        of_host.insert(place, Arc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: ServicePolicy) {
        self.services
            .insert(service.name.clone(), Arc::new(service));
    }

    /// Adds a client account.
    pub fn add_account(&mut self, account: AccountPolicy) {
        for key in &account.keys {
            self.accounts_by_key
                .insert(key.clone(), self.accounts.len());
        }
        self.accounts.push(account);
    }

    /// Finds the route of a host whose prefix is the longest that begins the path.
    pub fn route_for(&self, host: &str, path: &str) -> Option<&Arc<PolicyRoute>> {
        let of_host = self.routes.get(host)?;
        of_host
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Finds the account that holds a key.
    pub fn account_by_key(&self, key: &str) -> Option<&AccountPolicy> {
        let index = self.accounts_by_key.get(key)?;
        self.accounts.get(*index)
    }

    /// Finds a service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServicePolicy>> {
        self.services.get(name)
    }

    /// All services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServicePolicy>> {
        self.services.values()
    }
}
