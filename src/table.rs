//! The operators' table after validation. [`check`] builds it from wire rows.

use super::*;

/// Priority class of an account's requests. It is checked and kept with the account; placement does
/// not read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Requests that can wait.
    Background,
    /// Default class.
    Ordinary,
    /// Interactive requests.
    Urgent,
}

/// Model, route or service that a request is addressed to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Subject {
    /// A model, by the name that callers use.
    Model(SmolStr),
    /// A plain service, by the prefix of its route.
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

/// A row that describes a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendServer {
    /// Host and port.
    pub address: SmolStr,
    /// True if the server rejects calls with an outdated fencing token.
    pub checks_fencing: bool,
    /// Data centre that it runs in.
    pub data_centre: DataCentreName,
    /// Path template for looking up a key; empty if the server has no lookup.
    pub lookup_path: SmolStr,
    /// Unique name.
    pub name: ServerName,
    /// Path that the server belongs to, such as the old or the new deployment.
    pub path: PathName,
    /// Price of the machine that the server runs on.
    pub price_cents_per_hour: u32,
    /// True if the machine can be reclaimed.
    pub reclaimable: bool,
    /// What the server serves: "model@version" or route prefixes.
    pub serves: SmallVec<[SmolStr; 4]>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// One of the alternatives that serve a subject: a model version or a route on one path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Variant {
    /// Path of its servers.
    pub path: PathName,
    /// Entry in `serves` by which servers of this variant are found.
    pub served_as: SmolStr,
    /// Traffic weight relative to the subject's other variants.
    pub weight: u32,
}

/// Properties of a plain service's route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// True if its calls are idempotent.
    pub repeatable: bool,
    /// Maximum duration of a call.
    pub timeout: Duration,
}

/// A row that describes a client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientAccount {
    /// SHA-256 hash of the account's key.
    pub key_sha256: [u8; 32],
    /// Unique name.
    pub name: AccountName,
    /// Per-path weights that replace those of the variants.
    pub path_weights: SmallVec<[(PathName, u32); 2]>,
    /// Priority class.
    pub priority: Priority,
    /// Limit on requests across all instances.
    pub requests_per_s: u32,
    /// Limit on concurrent streams across all instances.
    pub streams_max: u32,
    /// Limit on tokens across all instances.
    pub tokens_per_s: u32,
}

/// A validated table.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    /// Client accounts.
    pub client_accounts: Vec<ClientAccount>,
    /// Routes by prefix.
    pub routes: BTreeMap<SmolStr, Route>,
    /// Backend servers.
    pub servers: Vec<BackendServer>,
    /// Variants by subject.
    pub variants: BTreeMap<Subject, SmallVec<[Variant; 4]>>,
}

impl Table {
    /// Finds the account whose key hash is `key_sha256`. All accounts are compared in constant
    /// time.
    pub fn account_by_key(&self, key_sha256: &[u8; 32]) -> Option<&ClientAccount> {
        let mut found = None;
        for account in &self.client_accounts {
            if bool::from(account.key_sha256.ct_eq(key_sha256)) {
                found = Some(account);
            }
        }
        found
    }

    /// Finds the route with the longest prefix of the path that ends at a segment boundary.
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

    /// Weight of a variant for an account, including the account's per-path weights.
    pub fn weight_for(&self, account: &ClientAccount, variant: &Variant) -> u32 {
        for (path, weight) in &account.path_weights {
            if *path == variant.path {
                return *weight;
            }
        }
        variant.weight
    }
}
