//! Budget of retries: a retry is sent only against requests accepted before it, so that the
//! attempts sent stay within 1.1 times the requests accepted, whatever fails. Deployments may set
//! other terms.

use super::*;

/// Accepted requests that pay for one retry.
pub const REQUESTS_PER_RETRY: i64 = 10;

/// Retries that can be saved up.
const SAVED_MAX: i64 = 20 * REQUESTS_PER_RETRY;

/// One retry is lent to an account or server that has saved none; the instance's own budget
/// lends nothing, and so the bound holds.
const LOAN: i64 = -REQUESTS_PER_RETRY;

/// Terms of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryTerms {
    /// Accepted requests that pay for one retry.
    pub requests_per_retry: i64,
    /// Most accepted requests that are saved up. Where many instances share a bound over a window,
    /// their savings of earlier windows would break it when all fail at once.
    pub saved_max_requests: i64,
}

/// Retries that an instance can save up however few requests it gets.
const SAVED_LEAST: i64 = 2;

impl RetryTerms {
    /// Terms for retries that are a part of the requests of a window, of which so many are saved.
    pub fn over_window(retry_part: f64, saved_requests: f64) -> Self {
        let requests_per_retry = (1.0 / retry_part.clamp(0.01, 1.0)).ceil() as i64;
        Self {
            requests_per_retry,
            saved_max_requests: (saved_requests as i64).max(SAVED_LEAST * requests_per_retry),
        }
    }
}

impl Default for RetryTerms {
    fn default() -> Self {
        Self {
            requests_per_retry: REQUESTS_PER_RETRY,
            saved_max_requests: SAVED_MAX,
        }
    }
}

/// Savings of this instance, of each account and of each backend server.
#[derive(Debug, Default)]
pub struct RetryBudget {
    accounts: HashMap<AccountName, i64>,
    instance: i64,
    servers: HashMap<ServerName, i64>,
    terms: RetryTerms,
}

impl RetryBudget {
    /// Sets the terms; savings beyond them are lost.
    pub fn set_terms(&mut self, terms: RetryTerms) {
        self.terms = terms;
        self.instance = self.instance.min(terms.saved_max_requests);
    }

    /// Counts an accepted request whose first attempt goes to `server`.
    pub fn deposit(&mut self, account: &AccountName, server: &ServerName) {
        self.instance = (self.instance + 1).min(self.terms.saved_max_requests);
        let saved = self.accounts.entry(account.clone()).or_default();
        *saved = (*saved + 1).min(SAVED_MAX);
        let saved = self.servers.entry(server.clone()).or_default();
        *saved = (*saved + 1).min(SAVED_MAX);
    }

    /// Takes one retry of an account after a failure at `server`; false if none is left.
    pub fn withdraw(&mut self, account: &AccountName, server: &ServerName) -> bool {
        let of_account = self.accounts.entry(account.clone()).or_default();
        let of_server = self.servers.entry(server.clone()).or_default();
        if is_disabled(Safeguard::RetryBudget) {
            return true;
        }
        let price = self.terms.requests_per_retry;
        if self.instance < price || *of_account - price < LOAN || *of_server - price < LOAN {
            return false;
        }
        self.instance -= price;
        *of_account -= price;
        *of_server -= price;
        true
    }

    /// Forgets accounts and servers that left the table.
    pub fn retain(&mut self, table: &Table) {
        let has_account =
            |name: &AccountName| table.client_accounts.iter().any(|row| row.name == *name);
        let has_server = |name: &ServerName| table.servers.iter().any(|row| row.name == *name);
        self.accounts.retain(|name, _| has_account(name));
        self.servers.retain(|name, _| has_server(name));
    }
}
