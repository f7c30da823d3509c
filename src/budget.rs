//! Retry budget: a retry is sent only against requests accepted before it, so that the attempts
//! sent stay within 1.1 times the requests accepted, whatever fails. Deployments may configure
//! another ratio.

use super::*;

/// Default number of accepted requests that one retry costs, which keeps attempts within 1.1 times
/// the requests.
pub const REQUESTS_PER_RETRY: i64 = 10;

/// Largest balance of an account or server, in accepted requests, and the default for the
/// instance.
const BALANCE_MAX: i64 = 20 * REQUESTS_PER_RETRY;

/// Smallest balance of an account or server: at the default ratio, each may overdraw by one retry.
/// The instance's own balance may not be overdrawn, which keeps the overall bound.
const OVERDRAFT_LIMIT: i64 = -REQUESTS_PER_RETRY;

/// Price of a retry and bound of the instance's balance. The bounds of accounts and servers are
/// fixed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Accepted requests that one retry costs: 10 allows retries for a tenth of the requests.
    pub requests_per_retry: i64,
    /// Largest balance of the instance, in accepted requests. Where many instances share a bound
    /// over a window, larger savings of earlier windows would break it when all of them fail at
    /// once.
    pub saved_max_requests: i64,
}

/// Retries that an instance can save up however few requests it gets.
const SAVED_RETRIES_MIN: i64 = 2;

impl RetryBudgetSettings {
    /// Settings that limit retries to a fraction of the requests of a window, of which up to
    /// `saved_requests` are saved up. The fraction is clamped to 0.01..=1, and at least two retries
    /// can be saved up.
    pub fn for_window(retry_fraction: f64, saved_requests: f64) -> Self {
        let requests_per_retry = (1.0 / retry_fraction.clamp(0.01, 1.0)).ceil() as i64;
        Self {
            requests_per_retry,
            saved_max_requests: (saved_requests as i64).max(SAVED_RETRIES_MIN * requests_per_retry),
        }
    }
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            requests_per_retry: REQUESTS_PER_RETRY,
            saved_max_requests: BALANCE_MAX,
        }
    }
}

/// Balances of this instance, of each account and of each backend server, in accepted requests.
/// `ServingState` passes the name of a service in place of a server, so its calls are counted by
/// service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    accounts: HashMap<AccountName, i64>,
    instance: i64,
    servers: HashMap<ServerName, i64>,
    settings: RetryBudgetSettings,
}

impl RetryBudget {
    /// Replaces the settings; the instance's balance is cut to the new maximum, the other balances
    /// stay.
    pub fn configure(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
        self.instance = self.instance.min(settings.saved_max_requests);
    }

    /// Counts an accepted request whose first attempt goes to `server`.
    pub fn deposit(&mut self, account: &AccountName, server: &ServerName) {
        self.instance = (self.instance + 1).min(self.settings.saved_max_requests);
        let balance = self.accounts.entry(account.clone()).or_default();
        *balance = (*balance + 1).min(BALANCE_MAX);
        let balance = self.servers.entry(server.clone()).or_default();
        *balance = (*balance + 1).min(BALANCE_MAX);
    }

    /// Takes one retry of an account after a failure at `server`; returns false if none is left.
    pub fn withdraw(&mut self, account: &AccountName, server: &ServerName) -> bool {
        let of_account = self.accounts.entry(account.clone()).or_default();
        let of_server = self.servers.entry(server.clone()).or_default();
        if is_disabled(Safeguard::RetryBudget) {
            return true;
        }
        let cost = self.settings.requests_per_retry;
        if self.instance < cost
            || *of_account - cost < OVERDRAFT_LIMIT
            || *of_server - cost < OVERDRAFT_LIMIT
        {
            return false;
        }
        self.instance -= cost;
        *of_account -= cost;
        *of_server -= cost;
        true
    }

    /// Removes accounts and servers that are no longer in the table.
    pub fn retain(&mut self, table: &Table) {
        let has_account =
            |name: &AccountName| table.client_accounts.iter().any(|row| row.name == *name);
        let has_server = |name: &ServerName| table.servers.iter().any(|row| row.name == *name);
        self.accounts.retain(|name, _| has_account(name));
        self.servers.retain(|name, _| has_server(name));
    }
}
