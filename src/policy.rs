//! Operators' configuration for all instances: routes by host and path, services, client accounts.
//!
//! A policy is one version of the operators' configuration after validation. It holds no addresses:
//! backend servers register themselves and are kept by [`fleet`].

use super::*;

/// How often a call of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Runs at most once for each attempt of a caller.
    AtMostOnce,
    /// May run more than once.
    Idempotent,
    /// An event stream. If the route is resumable it may run again from the last event; otherwise
    /// it runs at most once.
    Stream {
        /// True if another server can continue after an event.
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

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyRoute {
    /// True if calls are accepted without a key.
    pub anonymous: bool,
    /// Maximum number of backend servers that one attempt of a caller is sent to.
    pub attempts_max: u32,
    /// How often a call may run.
    pub call_kind: CallKind,
    /// Longest gap between two events that still counts as on time.
    pub gap_target: Duration,
    /// Host name that callers use.
    pub host: SmolStr,
    /// Unique name.
    pub name: SmolStr,
    /// Path prefix, with a slash at both ends.
    pub path_prefix: SmolStr,
    /// Priority of the route's calls; 0 is the most urgent.
    pub priority: u8,
    /// Services with their traffic weights.
    pub services: SmallVec<[(ServiceName, u32); 2]>,
    /// Time to the answer (for streams, to the first event) within which a call earns full credit.
    pub target_latency: Duration,
    /// Maximum time that a caller is kept waiting.
    pub timeout: Duration,
}

/// Properties of the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EnginePolicy {
    /// Maximum number of concurrent requests on one engine.
    pub slots: u32,
}

/// Limits and prices for ordering servers of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct CapacityPolicy {
    /// Maximum number of servers in one data centre.
    pub servers_max: u32,
    /// Minimum number of servers in one data centre.
    pub servers_min: u32,
    /// Price of a reclaimable server as a fraction of the regular price; `None` if there are no
    /// reclaimable servers.
    pub spot_price: Option<f64>,
    /// Price of a server per second, by data centre.
    pub centre_prices: Vec<(DataCentreName, f64)>,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServicePolicy {
    /// Limits for orders; `None` if the service's servers are not ordered by this program.
    pub capacity: Option<CapacityPolicy>,
    /// Engine properties, if the service's servers are model engines.
    pub engine: Option<EnginePolicy>,
    /// Unique name.
    pub name: ServiceName,
}

/// Usage limit of a client account across all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsageLimit {
    /// Units that may be used in a burst above the rate.
    pub burst: f64,
    /// True if units are tokens; otherwise they are calls.
    pub in_tokens: bool,
    /// Units charged for a call that does not report its tokens.
    pub plain_call_units: f64,
    /// Units per second.
    pub rate_per_s: f64,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountPolicy {
    /// Keys that the account's callers send.
    pub keys: SmallVec<[SmolStr; 2]>,
    /// Usage limit, if any.
    pub limit: Option<UsageLimit>,
    /// Unique name.
    pub name: AccountName,
    /// Priority of the account's calls, which replaces that of the route; `None` to use the
    /// route's.
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
    /// Creates an empty policy.
    pub fn new(version: PolicyVersion) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: PolicyRoute) {
        let host_routes = self.routes.entry(route.host.clone()).or_default();
        let position =
            host_routes.partition_point(|known| known.path_prefix.len() >= route.path_prefix.len());
        host_routes.insert(position, Arc::new(route));
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

    /// Finds the route of a host with the longest prefix of the path.
    pub fn route_for(&self, host: &str, path: &str) -> Option<&Arc<PolicyRoute>> {
        let host_routes = self.routes.get(host)?;
        host_routes
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

    /// All services, in unspecified order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServicePolicy>> {
        self.services.values()
    }
}
