//! Limits on what client accounts use over all instances, in units such as tokens.
//!
//! Each instance spends a share of an account's limit. Shares follow demand: an instance's share
//! is its part of the demand that all instances tell each other. The demand of an instance that
//! fell silent counts on for a while, so that the two sides of a cut do not both spend its share.

use super::*;

/// Time over which demand is averaged: long enough to smooth bursts, short enough to follow
/// callers that move to another instance.
const DEMAND_SPAN: Duration = Duration::from_secs(4);

/// Least share of an instance, so that an account's first call at an instance is not refused.
const SHARE_MIN: f64 = 0.02;

/// Time for which the demand of a silent instance counts on; longer than usual partitions.
pub const SILENT_DEMAND_TTL: Duration = Duration::from_secs(15);

#[derive(Debug)]
struct AccountUse {
    bucket: Bucket,
    /// Units a second that callers asked for here, averaged.
    demand_per_s: f64,
    demand_at: Duration,
}

#[derive(Debug)]
struct PeerDemand {
    by_account: HashMap<AccountName, f64>,
    told_at: Duration,
}

/// Use of all accounts at this instance.
#[derive(Debug, Default)]
pub struct UseLimits {
    accounts: HashMap<AccountName, AccountUse>,
    peers: HashMap<InstanceName, PeerDemand>,
}

impl UseLimits {
    /// Charges a call of `units` to its account, or tells when to come back.
    pub fn admit(&mut self, now: Duration, account: &AccountPolicy, units: f64) -> Result {
        let Some(limit) = account.limit else {
            return Ok(());
        };
        let peers_demand = self.peers_demand(now, &account.name);
        let entry = self.accounts.entry(account.name.clone());
        let account_use = entry.or_insert_with(|| AccountUse {
            bucket: Bucket::new(now, limit.burst * SHARE_MIN),
            demand_at: now,
            demand_per_s: 0.0,
        });
        account_use.add_demand(now, units);
        let share = share_of(account_use.demand_per_s, peers_demand);
        let rate_per_s = limit.rate_per_s * share;
        account_use
            .bucket
            .refill(now, rate_per_s, (limit.burst * share).max(units));
        if account_use.bucket.level < units && !is_off(Safeguard::AccountLimit) {
            let wait = account_use.bucket.wait(units, rate_per_s);
            return Err(Error::AccountLimit {
                account: account.name.clone(),
                limit: "units a second",
                retry_after_ms: wait.as_millis() as u64,
            });
        }
        account_use.bucket.level -= units;
        Ok(())
    }

    /// Gives back the units of a call that did not run.
    pub fn give_back(&mut self, account: &AccountName, units: f64) {
        if let Some(account_use) = self.accounts.get_mut(account) {
            account_use.bucket.level += units;
        }
    }

    /// Takes a peer's demand in units a second by account.
    pub fn take_peer_demand(
        &mut self,
        now: Duration,
        peer: &InstanceName,
        by_account: HashMap<AccountName, f64>,
    ) {
        let demand = PeerDemand {
            by_account,
            told_at: now,
        };
        self.peers.insert(peer.clone(), demand);
        self.peers
            .retain(|_, peer| now.saturating_sub(peer.told_at) < SILENT_DEMAND_TTL);
    }

    /// Own demand in units a second by account.
    pub fn demand(&mut self, now: Duration) -> HashMap<AccountName, f64> {
        let mut by_account = HashMap::new();
        for (name, account_use) in &mut self.accounts {
            account_use.add_demand(now, 0.0);
            by_account.insert(name.clone(), account_use.demand_per_s);
        }
        by_account
    }

    fn peers_demand(&self, now: Duration, account: &AccountName) -> f64 {
        let mut sum = 0.0;
        for peer in self.peers.values() {
            if now.saturating_sub(peer.told_at) >= SILENT_DEMAND_TTL {
                continue;
            }
            sum += peer.by_account.get(account).copied().unwrap_or(0.0);
        }
        sum
    }
}

impl AccountUse {
    /// Decays the average to `now` and adds what a call asks for.
    fn add_demand(&mut self, now: Duration, units: f64) {
        let elapsed = now.saturating_sub(self.demand_at).as_secs_f64();
        self.demand_at = now;
        let span = DEMAND_SPAN.as_secs_f64();
        self.demand_per_s *= (-elapsed / span).exp();
        self.demand_per_s += units / span;
    }
}

fn share_of(own: f64, peers: f64) -> f64 {
    if peers <= 0.0 {
        return 1.0;
    }
    (own / (own + peers)).max(SHARE_MIN)
}
