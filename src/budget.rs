//! Retry budget: each accepted request adds one to a balance, and each retry takes
//! [`REQUESTS_PER_RETRY`] from it, so that the attempts sent stay within 1.1 times the requests
//! accepted, whatever fails. Deployments may configure another ratio. A retry has to be covered by
//! three balances: those of the instance, of the client account and of the server that failed.

use super::*;

/// Default number of accepted requests that one retry costs, which keeps attempts within 1.1 times
/// the requests.
pub const REQUESTS_PER_RETRY: i64 = 10;

/// Largest balance of an account or server, in accepted requests, and default of the largest
/// balance of the instance.
const BALANCE_MAX: i64 = 20 * REQUESTS_PER_RETRY;

/// Smallest balance of an account or server, in accepted requests: at the default ratio, each may
/// go below zero by the cost of one retry. The instance's own balance never goes below zero, so its
/// attempts as a whole stay within the ratio.
const OVERDRAFT_LIMIT: i64 = -REQUESTS_PER_RETRY;

/// Cost of a retry and largest balance of the instance. The largest balances of accounts and
/// servers are constants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudgetSettings {
    /// Accepted requests that one retry costs: 10 allows retries for a tenth of the requests.
    pub requests_per_retry: i64,
    /// Largest balance of the instance, in accepted requests. Where the retries of many instances
    /// together are limited per time window, a larger balance saved in earlier windows would exceed
    /// that limit when all of them retry at once.
    pub saved_max_requests: i64,
}

/// Smallest value, in retries, of the largest balance of an instance, however few requests it gets.
const SAVED_RETRIES_MIN: i64 = 2;

impl RetryBudgetSettings {
    /// Settings that limit retries to `retry_fraction` of the accepted requests, with
    /// `saved_requests` as the largest balance of the instance. The fraction is clamped to
    /// 0.01..=1, and the largest balance is at least the cost of two retries.
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

/// Balances of this instance, of each client account and of each backend server, in accepted
/// requests. `ServingState` passes the name of a service in place of a server, so its calls are
/// counted by service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    accounts: HashMap<AccountName, i64>,
    instance: i64,
    servers: HashMap<ServerName, i64>,
    settings: RetryBudgetSettings,
}

impl RetryBudget {
    /// Replaces the settings; the instance's balance is lowered to the new maximum if it is above
    /// it; the other balances stay.
    pub fn configure(&mut self, settings: RetryBudgetSettings) {
        self.settings = settings;
        self.instance = self.instance.min(settings.saved_max_requests);
    }

    /// Adds an accepted request to the balances of the instance, of its account and of `server`, to
    /// which its first attempt goes.
    pub fn deposit(&mut self, account: &AccountName, server: &ServerName) {
        self.instance = (self.instance + 1).min(self.settings.saved_max_requests);
        let balance = self.accounts.entry(account.clone()).or_default();
        *balance = (*balance + 1).min(BALANCE_MAX);
        let balance = self.servers.entry(server.clone()).or_default();
        *balance = (*balance + 1).min(BALANCE_MAX);
    }

    /// Takes the cost of one retry from the balances after a failure at `server`. Fails as
    /// [`check`](Self::check) does, and takes nothing then. Succeeds, and takes nothing, if the
    /// safeguard is disabled.
    pub fn withdraw(
        &mut self,
        account: &AccountName,
        server: &ServerName,
    ) -> Result<(), RetryDenied> {
        self.check(account, server)?;
        if is_disabled(Safeguard::RetryBudget) {
            return Ok(());
        }
        let cost = self.settings.requests_per_retry;
        self.instance -= cost;
        *self.accounts.entry(account.clone()).or_default() -= cost;
        *self.servers.entry(server.clone()).or_default() -= cost;
        Ok(())
    }

    /// Checks whether the balances cover one retry after a failure at `server`. Fails with the
    /// first one that does not: the instance's balance may not fall below zero, and those of the
    /// account and server may not fall below `OVERDRAFT_LIMIT`. Succeeds if the safeguard is
    /// disabled.
    pub fn check(&self, account: &AccountName, server: &ServerName) -> Result<(), RetryDenied> {
        if is_disabled(Safeguard::RetryBudget) {
            return Ok(());
        }
        let cost = self.settings.requests_per_retry;
        let balance = self.instance;
        if balance < cost {
            return Err(RetryDenied::Instance { balance, cost });
        }
        let balance = self.accounts.get(account).copied().unwrap_or_default();
        if balance - cost < OVERDRAFT_LIMIT {
            return Err(RetryDenied::Account { balance, cost });
        }
        let balance = self.servers.get(server).copied().unwrap_or_default();
        if balance - cost < OVERDRAFT_LIMIT {
            return Err(RetryDenied::Service { balance, cost });
        }
        Ok(())
    }

    /// Removes the balances of accounts and servers that are no longer in the table, the operators'
    /// list of backend servers, model versions, routes and client accounts.
    pub fn retain(&mut self, table: &Table) {
        let has_account =
            |name: &AccountName| table.client_accounts.iter().any(|row| row.name == *name);
        let has_server = |name: &ServerName| table.servers.iter().any(|row| row.name == *name);
        self.accounts.retain(|name, _| has_account(name));
        self.servers.retain(|name, _| has_server(name));
    }
}
