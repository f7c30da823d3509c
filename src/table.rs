//! The operators' table after validation: the list of backend servers, of the models and routes
//! that they serve, and of client accounts, by which instances accept requests and choose a server
//! for each. [`check`] builds it from wire rows.

use super::*;

/// Priority class of an account's requests. It is checked and kept with the account; the choice of
/// a server (placement) does not read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Lowest class, for requests that can wait.
    Background,
    /// Class of accounts whose row in the table names none.
    Ordinary,
    /// Highest class, for interactive requests.
    Urgent,
}

/// Model, route or service that a request is addressed to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Subject {
    /// A model, by the name that callers use, without a version.
    Model(SmolStr),
    /// A plain service (HTTP calls other than model calls), by the URL path prefix of its route.
    Route(SmolStr),
    /// A service whose servers register themselves.
    Service(SmolStr),
}

impl std::fmt::Display for Subject {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Model(name) => write!(f, "model {name}"),
            Self::Route(prefix) => write!(f, "route {prefix}"),
            Self::Service(name) => write!(f, "service {name}"),
        }
    }
}

/// Backend server as described by its row in the table.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendServer {
    /// IP address and port.
    pub address: SmolStr,
    /// True if the server rejects calls with an outdated fencing token, which is the log offset of
    /// the call's claim on its idempotency key.
    pub checks_fencing: bool,
    /// Data centre that the server runs in; the choice of a server prefers those in the instance's
    /// own data centre.
    pub data_centre: DataCentreName,
    /// URL path for looking up the answer to an earlier call, in which `{key}` and `{account}` are
    /// replaced; empty if the server has no lookup.
    pub lookup_path: SmolStr,
    /// Name, unique among the table's servers.
    pub name: ServerName,
    /// Path that the server belongs to: the group of servers and rows of one deployment, such as
    /// the old or the new one.
    pub path: PathName,
    /// Price of the machine that the server runs on; of servers that are otherwise equal, the
    /// cheapest is chosen.
    pub price_cents_per_hour: u32,
    /// True if the provider of the server's machine may take the machine back. The choice of a
    /// server does not depend on it.
    pub reclaimable: bool,
    /// What the server serves: "model@version" or route prefixes.
    pub serves: SmallVec<[SmolStr; 4]>,
    /// Number of requests that the server processes at a time, at least 1. Some more may be sent to
    /// the server and wait there.
    pub slots: u32,
}

/// One of the alternatives that serve a [`Subject`] (a model or route): a model version or a route
/// row of the table, on one path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Variant {
    /// Path (deployment) whose servers serve the variant.
    pub path: PathName,
    /// Entry that a server on the path must list in `serves`: "model@version" or the route's
    /// prefix.
    pub served_as: SmolStr,
    /// Traffic weight relative to the subject's other variants; 0 for no traffic.
    pub weight: u32,
}

/// Properties of a plain service's route (a URL path prefix), the same for all rows of the table
/// with that prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// True if calls with any method may run more than once; otherwise only GET and HEAD may.
    pub repeatable: bool,
    /// Maximum duration of a call; 30 seconds if the row gives none.
    pub timeout: Duration,
}

/// Client account as described by its row in the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientAccount {
    /// SHA-256 hash of the key that the account's callers send; unique among the accounts.
    pub key_sha256: [u8; 32],
    /// Name, unique among the table's accounts.
    pub name: AccountName,
    /// Traffic weights by path (deployment) that replace those of the variants for this account;
    /// empty to use the variants' weights.
    pub path_weights: SmallVec<[(PathName, u32); 2]>,
    /// Priority class of the account's requests; ordinary if the row names none.
    pub priority: Priority,
    /// Maximum number of requests per second across all instances, at least 1.
    pub requests_per_s: u32,
    /// Maximum number of concurrent streams across all instances, at least 1.
    pub streams_max: u32,
    /// Maximum number of tokens per second across all instances, at least 1.
    pub tokens_per_s: u32,
}

/// Version of the table that has passed all checks; the default is the empty table of an instance
/// that has not received any.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    /// Client accounts in the order of their rows; names and key hashes are unique.
    pub client_accounts: Vec<ClientAccount>,
    /// Routes by URL path prefix, which starts but does not end with a slash.
    pub routes: BTreeMap<SmolStr, Route>,
    /// Backend servers in the order of their rows.
    pub servers: Vec<BackendServer>,
    /// Variants of each model or route; at least one of them has a weight above 0.
    pub variants: BTreeMap<Subject, SmallVec<[Variant; 4]>>,
}

impl Table {
    /// Finds the account whose key hash is `key_sha256`. It compares all accounts, each in constant
    /// time, so that the duration tells nothing about the stored hashes.
    pub fn account_by_key(&self, key_sha256: &[u8; 32]) -> Option<&ClientAccount> {
        let mut found = None;
        for account in &self.client_accounts {
            if bool::from(account.key_sha256.ct_eq(key_sha256)) {
                found = Some(account);
            }
        }
        found
    }

    /// Finds the route with the longest prefix that the URL path starts with and that ends at a
    /// segment boundary of the path.
    pub fn route_for(&self, path: &str) -> Option<(&SmolStr, &Route)> {
        let mut best: Option<(&SmolStr, &Route)> = None;
        for (prefix, route) in &self.routes {
            let Some(rest) = path.strip_prefix(prefix.as_str()) else {
                continue;
            };
            if !rest.is_empty() && !rest.starts_with('/') {
                continue;
            }
            if best.is_none_or(|(longest, _)| prefix.len() > longest.len()) {
                best = Some((prefix, route));
            }
        }
        best
    }

    /// Returns the account's traffic weight for the variant's path, or the variant's own weight if
    /// the account has none for that path.
    pub fn weight_for(&self, account: &ClientAccount, variant: &Variant) -> u32 {
        for (path, weight) in &account.path_weights {
            if *path == variant.path {
                return *weight;
            }
        }
        variant.weight
    }
}
