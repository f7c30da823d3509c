//! Limits of client accounts per entry instance (a process that accepts callers' requests):
//! requests and tokens per second, and concurrent streams.
//!
//! Each instance spends its share of the account's limit from token buckets, so that no
//! coordination per request is needed. [`PeerActor`] sets the share to one divided by the number of
//! live instances in reachable data centres, so the shares sum to one while all instances count the
//! same ones. The accounts and their limits are rows of the table that the operators maintain.

use super::*;

/// Time in which the limit's rate fills an empty bucket. It determines the capacity of a bucket and
/// so the largest burst, which is the usage that the rate allows in this time. Also the retry delay
/// sent to callers when all streams are in use.
pub const BURST: Duration = Duration::from_secs(1);

/// Smallest capacity of the request bucket, in requests, so that a small share still admits single
/// requests.
const BURST_MIN_REQUESTS: f64 = 1.0;

/// Token bucket: it fills at a rate up to a capacity, and usage takes units from it. The bucket
/// does not store rate and capacity, which may change; the caller passes them to the methods that
/// need them.
#[derive(Debug)]
pub struct TokenBucket {
    filled_at: Duration,
    /// Units (tokens or requests) available at the last refill less those charged since; negative
    /// if more was charged than was available.
    pub level: f64,
}

impl TokenBucket {
    /// Creates a bucket that holds `capacity` units at `now`; [`usage_limits`] passes a negative
    /// start level after a restart, while it does not know what was admitted before.
    pub fn new(now: Duration, capacity: f64) -> Self {
        Self {
            filled_at: now,
            level: capacity,
        }
    }

    /// Adds the units that `rate_per_s` yields for the time since the last refill. The level is at
    /// most `capacity` afterwards, even if it was above it before.
    pub fn refill(&mut self, now: Duration, rate_per_s: f64, capacity: f64) {
        let elapsed = now.saturating_sub(self.filled_at);
        self.filled_at = now;
        self.level = (self.level + elapsed.as_secs_f64() * rate_per_s).min(capacity);
    }

    /// Returns the time until the level reaches `need`, but at least 1 ms and at most 60 s; used as
    /// the retry delay sent to callers.
    pub fn wait(&self, need: f64, rate_per_s: f64) -> Duration {
        let missing = (need - self.level).max(0.0);
        Duration::from_secs_f64((missing / rate_per_s).clamp(0.001, 60.0))
    }
}

#[derive(Debug)]
struct AccountUsage {
    requests: TokenBucket,
    streams: u32,
    tokens: TokenBucket,
}

/// Token buckets and numbers of open streams of all accounts at one instance. An account's buckets
/// are created full at its first request.
#[derive(Debug, Default)]
pub struct AccountLimits {
    accounts: HashMap<AccountName, AccountUsage>,
}

impl AccountLimits {
    /// Admits one request of an account and adds it to the account's open streams, or returns
    /// [`Error::AccountLimit`] with the limit that it exceeds.
    ///
    /// `fraction` is this instance's share of the account's limits. Tokens are charged when the
    /// request finishes; a request is admitted while the level of the token bucket is above zero.
    pub fn admit(&mut self, now: Duration, account: &ClientAccount, fraction: f64) -> Result {
        let requests_rate = f64::from(account.requests_per_s) * fraction;
        let tokens_rate = f64::from(account.tokens_per_s) * fraction;
        let usage = self.refilled(now, account, fraction);
        let streams_max = (f64::from(account.streams_max) * fraction).ceil() as u32;
        if usage.streams >= streams_max {
            return Err(limit_error(account, "concurrent streams", BURST));
        }
        if usage.tokens.level <= 0.0 {
            let wait = usage.tokens.wait(1.0, tokens_rate);
            return Err(limit_error(account, "tokens per second", wait));
        }
        if usage.requests.level < 1.0 && !is_disabled(Safeguard::AccountLimit) {
            let wait = usage.requests.wait(1.0, requests_rate);
            return Err(limit_error(account, "requests per second", wait));
        }
        usage.requests.level -= 1.0;
        usage.streams += 1;
        Ok(())
    }

    /// Adds a request that another instance admitted and handed over to the account's open streams;
    /// it is not refused even if the account has reached its limits.
    pub fn admit_handed_over(&mut self, now: Duration, account: &ClientAccount, fraction: f64) {
        self.refilled(now, account, fraction).streams += 1;
    }

    fn refilled(
        &mut self,
        now: Duration,
        account: &ClientAccount,
        fraction: f64,
    ) -> &mut AccountUsage {
        let requests_rate = f64::from(account.requests_per_s) * fraction;
        let requests_burst = (requests_rate * BURST.as_secs_f64()).max(BURST_MIN_REQUESTS);
        let tokens_rate = f64::from(account.tokens_per_s) * fraction;
        let tokens_burst = tokens_rate * BURST.as_secs_f64();
        let entry = self.accounts.entry(account.name.clone());
        let usage = entry.or_insert_with(|| AccountUsage {
            requests: TokenBucket::new(now, requests_burst),
            streams: 0,
            tokens: TokenBucket::new(now, tokens_burst),
        });
        usage.requests.refill(now, requests_rate, requests_burst);
        usage.tokens.refill(now, tokens_rate, tokens_burst);
        usage
    }

    /// Ends an admitted request: removes it from the account's open streams and charges its tokens,
    /// which may take the bucket's level below zero.
    pub fn finish(&mut self, account: &AccountName, tokens: u32) {
        let Some(usage) = self.accounts.get_mut(account) else {
            return;
        };
        usage.streams = usage.streams.saturating_sub(1);
        usage.tokens.level -= f64::from(tokens);
    }

    /// Removes accounts that are no longer in the table and have no open streams.
    pub fn retain(&mut self, table: &Table) {
        self.accounts.retain(|name, usage| {
            usage.streams > 0 || table.client_accounts.iter().any(|row| row.name == *name)
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
