//! Operators' configuration for all instances: routes by host and path, services (groups of backend
//! servers), and client accounts, whose callers identify themselves by a key.
//!
//! A policy is one version of the operators' configuration in the form in which instances use it.
//! It holds no addresses: backend servers register themselves and are kept by [`fleet`].

use super::*;

use std::collections::BTreeSet;

/// How often a call of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Runs at most once for each attempt of a caller, that is, for each request that the caller
    /// sends.
    AtMostOnce,
    /// May run more than once.
    Idempotent,
    /// An event stream. If the route is resumable it may run again from the last event; otherwise
    /// it runs at most once.
    Stream {
        /// True if another server can continue the stream after an event that the caller has
        /// received.
        resumable: bool,
    },
}

impl CallKind {
    /// Returns true if a call that may have run can be sent to another server.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::AtMostOnce | Self::Stream { resumable: false } => false,
            Self::Idempotent | Self::Stream { resumable: true } => true,
        }
    }
}

/// Rules for the calls to one host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyRoute {
    /// True if calls are accepted without an account's key; a key is then ignored, and no account's
    /// usage limit applies.
    pub anonymous: bool,
    /// Maximum number of backend servers that may receive one attempt of a caller, at least 1;
    /// servers that could not be reached do not count.
    pub attempts_max: u32,
    /// How often a call of the route may run.
    pub call_kind: CallKind,
    /// Maximum time between two events of a stream for the later one to count as on time.
    pub gap_target: Duration,
    /// Host name that callers use, without wildcards.
    pub host: SmolStr,
    /// Unique name, used in logs and to divide the route's traffic between its services.
    pub name: SmolStr,
    /// URL path prefix, with a slash at both ends.
    pub path_prefix: SmolStr,
    /// Priority of calls whose account sets none; 0 is the most urgent.
    pub priority: u32,
    /// Services among which the calls are divided, with their relative traffic weights.
    pub services: SmallVec<[(ServiceName, u32); 2]>,
    /// Maximum time from a call to its answer (for streams, to the first event) for the answer to
    /// count as on time. It is also the minimum time that a call waits at a server that answers
    /// nothing before it is sent to another one.
    pub target_latency: Duration,
    /// Maximum time from the arrival of a call to its end; a caller may set a shorter one.
    pub timeout: Duration,
}

/// Properties of the model engines (servers that run a language model) of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EnginePolicy {
    /// Number of requests that one engine processes at a time, for planning the number of servers.
    pub slots: u32,
}

/// Limits and prices for ordering servers of a service from the cloud provider.
#[derive(Debug, Clone, PartialEq)]
pub struct CapacityPolicy {
    /// Maximum number of servers ordered for one data centre.
    pub servers_max: u32,
    /// Minimum number of reclaimable servers (which their provider may take back) ordered for each
    /// data centre, unless some are leaving there or orders were refused; on-demand servers have no
    /// minimum.
    pub servers_min: u32,
    /// Price of a reclaimable server as a fraction of the regular price; `None` if there are no
    /// reclaimable servers.
    pub spot_price: Option<f64>,
    /// Price of a server per second, by data centre. Servers are ordered only in these data
    /// centres, on-demand ones in the cheapest first.
    pub centre_prices: Vec<(DataCentreName, f64)>,
}

/// Group of backend servers that handle the same calls.
#[derive(Debug, Clone, PartialEq)]
pub struct ServicePolicy {
    /// Limits and prices for orders; `None` if the service's servers are not ordered by this
    /// program.
    pub capacity: Option<CapacityPolicy>,
    /// Engine properties; `None` if the service's servers are not model engines.
    pub engine: Option<EnginePolicy>,
    /// Name to which routes and registered servers refer.
    pub name: ServiceName,
}

/// Usage limit of a client account across all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsageLimit {
    /// Number of units that may be used at once, above the rate.
    pub burst: f64,
    /// True if units are tokens; otherwise they are calls.
    pub in_tokens: bool,
    /// Units charged for a call that is not charged by the number of tokens in its prompt: any call
    /// if units are calls, otherwise a call without a prompt.
    pub plain_call_units: f64,
    /// Number of units that may be used per second, on average.
    pub rate_per_s: f64,
}

/// Client account: keys, usage limit and priority that a group of callers shares.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountPolicy {
    /// Keys that the account's callers may send, in plain text.
    pub keys: SmallVec<[SmolStr; 2]>,
    /// Usage limit; `None` for unlimited usage.
    pub limit: Option<UsageLimit>,
    /// Name under which the account's usage is counted.
    pub name: AccountName,
    /// Priority of the account's calls, which replaces that of the route; `None` to use the
    /// route's.
    pub priority: Option<u32>,
}

/// One version of the operators' configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Policy {
    /// Client accounts in the order in which they were added.
    pub accounts: Vec<AccountPolicy>,
    /// Maximum length of a request body in bytes; 0 for no limit.
    pub body_max_bytes: usize,
    /// Time after which a caller's connection without a call is closed; `None` for
    /// [`CALLER_IDLE_TIMEOUT`].
    pub caller_idle_timeout: Option<Duration>,
    /// Routes by host, longest prefix first.
    routes: HashMap<SmolStr, Vec<Arc<PolicyRoute>>>,
    services: HashMap<ServiceName, Arc<ServicePolicy>>,
    /// Version given in the configuration record; higher is newer.
    pub version: PolicyVersion,
    /// Index into `accounts` of the account that holds a key.
    accounts_by_key: HashMap<SmolStr, usize>,
    /// Priorities that accounts set, and `None` if one sets none.
    account_priorities: BTreeSet<Option<u32>>,
    /// Priorities of the calls of each service.
    service_priorities: HashMap<ServiceName, ServicePriorities>,
}

impl Policy {
    /// Creates a policy without routes, services, accounts or a limit on request bodies.
    pub fn new(version: PolicyVersion) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Adds a route. Of routes with equal host and prefix the one added first is used.
    pub fn add_route(&mut self, route: PolicyRoute) {
        let host_routes = self.routes.entry(route.host.clone()).or_default();
        let position =
            host_routes.partition_point(|known| known.path_prefix.len() >= route.path_prefix.len());
        host_routes.insert(position, Arc::new(route));
        self.update_service_priorities();
    }

    /// Adds a service, or replaces the one with the same name.
    pub fn add_service(&mut self, service: ServicePolicy) {
        self.services
            .insert(service.name.clone(), Arc::new(service));
    }

    /// Adds a client account; a key that an earlier account holds as well belongs to the new one.
    pub fn add_account(&mut self, account: AccountPolicy) {
        for key in &account.keys {
            self.accounts_by_key
                .insert(key.clone(), self.accounts.len());
        }
        if self.account_priorities.insert(account.priority) {
            self.update_service_priorities();
        }
        self.accounts.push(account);
    }

    fn update_service_priorities(&mut self) {
        let mut by_service: HashMap<ServiceName, ServicePriorities> = HashMap::new();
        for route in self.routes.values().flatten() {
            let mut priorities: SmallVec<[u32; 4]> = SmallVec::new();
            match route.anonymous || self.account_priorities.is_empty() {
                true => priorities.push(route.priority),
                false => priorities.extend(
                    self.account_priorities
                        .iter()
                        .map(|priority| priority.unwrap_or(route.priority)),
                ),
            }
            for (service, _) in &route.services {
                let of_service = by_service.entry(service.clone()).or_default();
                for priority in &priorities {
                    of_service.add(*priority, route.target_latency);
                }
            }
        }
        self.service_priorities = by_service;
    }

    /// Returns the priorities of the calls of a service; `None` if no route leads to it.
    pub fn service_priorities(&self, service: &str) -> Option<&ServicePriorities> {
        self.service_priorities.get(service)
    }

    /// Returns true if the calls of at least one service with engines have different priorities.
    pub fn has_priorities(&self) -> bool {
        self.services.values().any(|service| {
            service.engine.is_some()
                && self
                    .service_priorities(&service.name)
                    .is_some_and(ServicePriorities::has_several)
        })
    }

    /// Finds the route of a host with the longest prefix that the URL path starts with.
    pub fn route_for(&self, host: &str, path: &str) -> Option<&Arc<PolicyRoute>> {
        let host_routes = self.routes.get(host)?;
        host_routes
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Returns the longest timeout of the routes with calls to a service; zero if there are none.
    pub fn longest_timeout(&self, service: &ServiceName) -> Duration {
        let routes = self.routes.values().flatten();
        let of_service = routes.filter(|route| route.services.iter().any(|(s, _)| s == service));
        let timeouts = of_service.map(|route| route.timeout);
        timeouts.max().unwrap_or_default()
    }

    /// Finds the account that holds a key; `None` if no account of this version holds it.
    pub fn account_by_key(&self, key: &str) -> Option<&AccountPolicy> {
        let index = self.accounts_by_key.get(key)?;
        self.accounts.get(*index)
    }

    /// Finds the service to which a route or a registered server refers by name.
    pub fn service(&self, name: &str) -> Option<&Arc<ServicePolicy>> {
        self.services.get(name)
    }

    /// Returns all services in an unspecified order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServicePolicy>> {
        self.services.values()
    }
}
