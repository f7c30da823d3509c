//! Limits of client accounts: requests and tokens a second, and concurrent streams.
//!
//! Each instance spends its share of the account's limit from token buckets; the shares of all
//! instances sum to at most one, so that no message per request is needed.

use super::*;

/// Time whose worth of requests or tokens a bucket holds; a burst is at most this much.
pub const BURST: Duration = Duration::from_secs(1);

/// Least burst of requests, so that a small share still lets single requests through.
const BURST_MIN_REQUESTS: f64 = 1.0;

/// A token bucket.
#[derive(Debug)]
pub struct Bucket {
    filled_at: Duration,
    /// Units that may be used now; below zero after a use that was charged later.
    pub level: f64,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new(now: Duration, capacity: f64) -> Self {
        Self {
            filled_at: now,
            level: capacity,
        }
    }

    /// Adds what the time since the last refill brings.
    pub fn refill(&mut self, now: Duration, rate_per_s: f64, capacity: f64) {
        let elapsed = now.saturating_sub(self.filled_at);
        self.filled_at = now;
        self.level = (self.level + elapsed.as_secs_f64() * rate_per_s).min(capacity);
    }

    /// Time until the level reaches `need`.
    pub fn wait(&self, need: f64, rate_per_s: f64) -> Duration {
        let missing = (need - self.level).max(0.0);
        Duration::from_secs_f64((missing / rate_per_s).clamp(0.001, 60.0))
    }
}

#[derive(Debug)]
struct AccountUse {
    requests: Bucket,
    streams: u32,
    tokens: Bucket,
}

/// Use of all accounts at this instance.
#[derive(Debug, Default)]
pub struct Limits {
    uses: HashMap<AccountName, AccountUse>,
}

impl Limits {
    /// Admits one request of an account or tells which limit it met.
    ///
    /// `fraction` is this instance's share of the account's limits. Tokens are charged when the
    /// request finishes; a request is admitted while the token bucket is above zero.
    pub fn admit(&mut self, now: Duration, account: &ClientAccount, fraction: f64) -> Result {
        let requests_rate = f64::from(account.requests_per_s) * fraction;
        let tokens_rate = f64::from(account.tokens_per_s) * fraction;
        let account_use = self.refilled(now, account, fraction);
        let streams_max = (f64::from(account.streams_max) * fraction).ceil() as u32;
        if account_use.streams >= streams_max {
            return Err(limit_error(account, "concurrent streams", BURST));
        }
        if account_use.tokens.level <= 0.0 {
            let wait = account_use.tokens.wait(1.0, tokens_rate);
            return Err(limit_error(account, "tokens a second", wait));
        }
        if account_use.requests.level < 1.0 && !is_disabled(Safeguard::AccountLimit) {
            let wait = account_use.requests.wait(1.0, requests_rate);
            return Err(limit_error(account, "requests a second", wait));
        }
        account_use.requests.level -= 1.0;
        account_use.streams += 1;
        Ok(())
    }

    /// Counts the stream of a request that another instance admitted.
    pub fn readmit(&mut self, now: Duration, account: &ClientAccount, fraction: f64) {
        self.refilled(now, account, fraction).streams += 1;
    }

    fn refilled(
        &mut self,
        now: Duration,
        account: &ClientAccount,
        fraction: f64,
    ) -> &mut AccountUse {
        let requests_rate = f64::from(account.requests_per_s) * fraction;
        let requests_burst = (requests_rate * BURST.as_secs_f64()).max(BURST_MIN_REQUESTS);
        let tokens_rate = f64::from(account.tokens_per_s) * fraction;
        let tokens_burst = tokens_rate * BURST.as_secs_f64();
        let entry = self.uses.entry(account.name.clone());
        let account_use = entry.or_insert_with(|| AccountUse {
            requests: Bucket::new(now, requests_burst),
            streams: 0,
            tokens: Bucket::new(now, tokens_burst),
        });
        account_use
            .requests
            .refill(now, requests_rate, requests_burst);
        account_use.tokens.refill(now, tokens_rate, tokens_burst);
        account_use
    }

    /// Ends one admitted request and charges its tokens.
    pub fn finish(&mut self, account: &AccountName, tokens: u32) {
        let Some(account_use) = self.uses.get_mut(account) else {
            return;
        };
        account_use.streams = account_use.streams.saturating_sub(1);
        account_use.tokens.level -= f64::from(tokens);
    }

    /// Forgets accounts that left the table and run nothing.
    pub fn retain(&mut self, table: &Table) {
        self.uses.retain(|name, account_use| {
            account_use.streams > 0 || table.client_accounts.iter().any(|row| row.name == *name)
        });
    }
}

fn limit_error(account: &ClientAccount, limit: &'static str, wait: Duration) -> Error {
    Error::AccountLimit {
        account: account.name.clone(),
        limit,
        retry_after_ms: wait.as_millis() as u64,
    }
}
