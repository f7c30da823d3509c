//! Budget of retries: a retry is sent only against requests accepted before it, so that the
//! attempts sent stay within 1.1 times the requests accepted, whatever fails.

use super::*;

/// Accepted requests that pay for one retry.
pub const REQUESTS_PER_RETRY: i64 = 10;

/// Retries that can be saved up.
const SAVED_MAX: i64 = 20 * REQUESTS_PER_RETRY;

/// One retry is lent to an account or server that has saved none; the instance's own budget
/// lends nothing, and so the bound holds.
const LOAN: i64 = -REQUESTS_PER_RETRY;

/// Savings of this instance, of each account and of each backend server.
#[derive(Debug, Default)]
pub struct RetryBudget {
    accounts: HashMap<AccountName, i64>,
    instance: i64,
    servers: HashMap<ServerName, i64>,
}

impl RetryBudget {
    /// Counts an accepted request whose first attempt goes to `server`.
    pub fn deposit(&mut self, account: &AccountName, server: &ServerName) {
        self.instance = (self.instance + 1).min(SAVED_MAX);
        let saved = self.accounts.entry(account.clone()).or_default();
        *saved = (*saved + 1).min(SAVED_MAX);
        let saved = self.servers.entry(server.clone()).or_default();
        *saved = (*saved + 1).min(SAVED_MAX);
    }

    /// Takes one retry of an account after a failure at `server`; false if none is left.
    pub fn withdraw(&mut self, account: &AccountName, server: &ServerName) -> bool {
        let of_account = self.accounts.entry(account.clone()).or_default();
        let of_server = self.servers.entry(server.clone()).or_default();
        if is_off(Safeguard::RetryBudget) {
            return true;
        }
        if self.instance < REQUESTS_PER_RETRY
            || *of_account - REQUESTS_PER_RETRY < LOAN
            || *of_server - REQUESTS_PER_RETRY < LOAN
        {
            return false;
        }
        self.instance -= REQUESTS_PER_RETRY;
        *of_account -= REQUESTS_PER_RETRY;
        *of_server -= REQUESTS_PER_RETRY;
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
