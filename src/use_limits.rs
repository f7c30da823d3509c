//! Limits on what client accounts use over all instances, in units such as tokens.
//!
//! Each instance spends a share of an account's limit. Shares follow demand: an instance's share
//! is its part of the demand that all instances tell each other. The demand of an instance that
//! fell silent counts on for a while, so that the two sides of a cut do not both spend its share.

use super::*;

/// Least share of an instance, so that an account's first call at an instance is not refused.
const SHARE_MIN: f64 = 0.02;

/// Most times its share that an instance may use while all demand is within the limit: calls come
/// in clumps, and nobody is hurt by them then.
const UNUSED_FACTOR_MAX: f64 = 3.0;

/// Time for which the demand of a silent instance counts on; longer than usual partitions.
pub const SILENT_DEMAND_TTL: Duration = Duration::from_secs(15);

#[derive(Debug)]
struct AccountUse {
    bucket: Bucket,
    /// Units a second that callers asked for here.
    demand: DecayingRate,
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
    tolerance_units: f64,
}

impl UseLimits {
    /// Creates the limits; `tolerance_units` is what all instances together may exceed a limit
    /// by, since shares follow demand with a lag.
    pub fn new(tolerance_units: f64) -> Self {
        Self {
            tolerance_units,
            ..Self::default()
        }
    }

    /// Charges a call of `units` to its account, or tells when to come back.
    pub fn admit(&mut self, now: Duration, account: &AccountPolicy, units: f64) -> Result {
        let Some(limit) = account.limit else {
            return Ok(());
        };
        let peers_demand = self.peers_demand(now, &account.name);
        let instances = (self.peers.len() + 1) as f64;
        let tolerance = self.tolerance_units / instances;
        let entry = self.accounts.entry(account.name.clone());
        let account_use = entry.or_insert_with(|| AccountUse {
            bucket: Bucket::new(now, limit.burst / instances + tolerance),
            demand: DecayingRate::default(),
        });
        account_use.demand.add(now, units);
        let own_demand = account_use.demand.at(now);
        let share = share_of(own_demand, peers_demand);
        let unused = limit.rate_per_s / (own_demand + peers_demand).max(1.0);
        let rate_per_s = limit.rate_per_s * share * unused.clamp(1.0, UNUSED_FACTOR_MAX);
        let capacity = (limit.burst * share + tolerance).max(units);
        account_use.bucket.refill(now, rate_per_s, capacity);
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
            by_account.insert(name.clone(), account_use.demand.at(now));
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

fn share_of(own: f64, peers: f64) -> f64 {
    if peers <= 0.0 {
        return 1.0;
    }
    (own / (own + peers)).max(SHARE_MIN)
}
