//! The operators' table in its checked form. [`check`](crate::check) builds it from wire rows.

use super::*;

/// Urgency class of an account's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Served after the others, with ageing so that it is not starved.
    Background,
    /// The default.
    Ordinary,
    /// A person is waiting.
    Urgent,
}

/// What a backend server can be asked for: a model or a route.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Subject {
    /// A model by the name that callers use.
    Model(SmolStr),
    /// A plain service by its route's prefix.
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

/// A backend server's row.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendServer {
    /// Host and port.
    pub address: SmolStr,
    /// True if it refuses orders that carry an old fencing number.
    pub checks_fencing: bool,
    /// Data centre it runs in.
    pub data_centre: DataCentreName,
    /// Path template for asking about a key; empty if it has none.
    pub lookup_path: SmolStr,
    /// Unique name.
    pub name: ServerName,
    /// Path (old or new set-up) it belongs to.
    pub path: PathName,
    /// Price of its instance.
    pub price_cents_per_hour: u32,
    /// True if the instance can be reclaimed.
    pub reclaimable: bool,
    /// "model@version" or route prefixes it serves.
    pub serves: SmallVec<[SmolStr; 4]>,
    /// Requests it runs at once.
    pub slots: u32,
}

/// One choice of a subject: a model version or a route on one path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Variant {
    /// Path of its servers.
    pub path: PathName,
    /// What its servers list in `serves`.
    pub served_as: SmolStr,
    /// Share of traffic relative to the subject's other variants.
    pub weight: u32,
}

/// Columns of a plain service's route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// True if its calls are idempotent.
    pub repeatable: bool,
    /// Time a call may take.
    pub timeout: Duration,
}

/// A client account's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientAccount {
    /// SHA-256 of the account's key.
    pub key_sha256: [u8; 32],
    /// Unique name.
    pub name: AccountName,
    /// Overrides of the variants' weights, by path.
    pub path_weights: SmallVec<[(PathName, u32); 2]>,
    /// Urgency class.
    pub priority: Priority,
    /// Bound over all instances.
    pub requests_per_s: u32,
    /// Bound on concurrent streams over all instances.
    pub streams_max: u32,
    /// Bound over all instances.
    pub tokens_per_s: u32,
}

/// A whole table, checked.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Table {
    /// Rows by account.
    pub client_accounts: Vec<ClientAccount>,
    /// Columns by route prefix.
    pub routes: BTreeMap<SmolStr, Route>,
    /// Rows by server.
    pub servers: Vec<BackendServer>,
    /// Choices by subject.
    pub variants: BTreeMap<Subject, SmallVec<[Variant; 4]>>,
}

impl Table {
    /// Finds the account whose key hashes to `key_sha256`; compares every row in constant time.
    pub fn account_by_key(&self, key_sha256: &[u8; 32]) -> Option<&ClientAccount> {
        let mut found = None;
        for account in &self.client_accounts {
            if bool::from(account.key_sha256.ct_eq(key_sha256)) {
                found = Some(account);
            }
        }
        found
    }

    /// Finds the longest route prefix that matches a path at a segment's end.
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

    /// Weight of a variant for an account, with the account's override by path.
    pub fn weight_for(&self, account: &ClientAccount, variant: &Variant) -> u32 {
        for (path, weight) in &account.path_weights {
            if *path == variant.path {
                return *weight;
            }
        }
        variant.weight
    }
}
