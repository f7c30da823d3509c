//! Fair shares of a service's capacity by client account, while the demand exceeds it.
//!
//! The load pattern that this is designed for: one account or three send 3.7 to 6.5 times their
//! usual calls for some seconds, and would take the capacity that the others need for their usual
//! calls. Shares are weighted max-min fair: an account whose demand is below its share is served in
//! full, and what it leaves is divided among the others in proportion to their weights. The weight
//! of an account is the rate of its usage limit, which is the size that the operators gave it.
//!
//! The demand of an account is that of all instances. Instances report it in units of the account's
//! limit, which are converted to prompt tokens by the calls that this instance has seen. The capacity
//! is the smaller one of what the service's servers should prefill and the part of the demand that
//! this instance could serve lately, since slow servers and long answers reduce it.

use super::*;

/// Prompt tokens per second at this instance under which an account is forgotten.
const FORGOTTEN_TOKENS_PER_S: f64 = 0.1;

/// An account counts as above its share only if its demand by weight is also this many times the
/// lower quartile of all accounts. While all of them exceed their shares alike, none takes capacity
/// from the others, and a lower limit would only reject calls that could be answered on time.
const USUAL_EXCESS: f64 = 1.5;

/// Demand of an account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightedDemand {
    /// Prompt tokens per second that have to be prefilled.
    pub tokens_per_s: f64,
    /// Relative size of the account's share.
    pub weight: f64,
}

impl WeightedDemand {
    fn level(&self) -> f64 {
        self.tokens_per_s / self.weight
    }
}

/// Returns the fair level: the tokens per second and weight up to which demands are met if they
/// exceed `capacity` tokens per second together; `None` if they do not.
pub fn fair_level(demands: &[WeightedDemand], capacity: f64) -> Option<f64> {
    let total: f64 = demands.iter().map(|demand| demand.tokens_per_s).sum();
    if total <= capacity {
        return None;
    }
    let mut ascending: Vec<&WeightedDemand> = demands.iter().collect();
    ascending.sort_unstable_by(|a, b| a.level().total_cmp(&b.level()));
    let mut capacity_left = capacity;
    let mut weight_left: f64 = demands.iter().map(|demand| demand.weight).sum();
    for demand in ascending {
        let level = capacity_left / weight_left;
        if demand.level() >= level {
            return Some(level);
        }
        capacity_left -= demand.tokens_per_s;
        weight_left -= demand.weight;
    }
    None
}

/// What the calls of an account at this instance are worth.
#[derive(Debug, Default)]
struct AccountWork {
    tokens: DecayingRate,
    units: DecayingRate,
}

impl AccountWork {
    fn is_recent(&self, now: Duration) -> bool {
        self.tokens.at(now) >= FORGOTTEN_TOKENS_PER_S
    }
}

#[derive(Debug, Default)]
struct ServiceShares {
    above: HashMap<AccountName, bool>,
    offered_tokens: DecayingRate,
    served_tokens: DecayingRate,
    work: HashMap<AccountName, AccountWork>,
}

/// Demand of all accounts for a service, as one instance knows it.
#[derive(Debug, Clone, Copy)]
pub struct ServiceDemand<'a> {
    /// Accounts of the policy.
    pub accounts: &'a [AccountPolicy],
    /// Units per second that callers request from all instances, by account with a limit.
    pub asked_per_s: &'a HashMap<AccountName, f64>,
    /// Prompt tokens per second that the service's servers prefill.
    pub capacity_tokens_per_s: f64,
    /// Part of the demand for the service that this instance receives.
    pub own_part: f64,
    /// Number of instances, by which the demand of accounts without a limit is estimated.
    pub instances: usize,
}

/// Decides which accounts are above their share of each service.
#[derive(Debug, Default)]
pub struct OverloadShares {
    services: HashMap<ServiceName, ServiceShares>,
}

impl OverloadShares {
    /// Records a call that was served or rejected, with the prompt tokens that have to be prefilled
    /// for it and the units that its account was charged.
    pub fn record(
        &mut self,
        now: Duration,
        service: &ServiceName,
        account: &AccountName,
        tokens: f64,
        units: f64,
        served: bool,
    ) {
        let shares = self.services.entry(service.clone()).or_default();
        shares.offered_tokens.add(now, tokens);
        if served {
            shares.served_tokens.add(now, tokens);
        }
        let work = shares.work.entry(account.clone()).or_default();
        work.tokens.add(now, tokens);
        work.units.add(now, units);
    }

    /// Determines anew which accounts are above their share of a service.
    pub fn update(&mut self, now: Duration, service: &ServiceName, demand: &ServiceDemand<'_>) {
        let Some(shares) = self.services.get_mut(service) else {
            return;
        };
        shares.work.retain(|_, work| work.is_recent(now));
        let offered = shares.offered_tokens.at(now);
        let units: f64 = shares.work.values().map(|work| work.units.at(now)).sum();
        let tokens_per_unit = offered / units;
        let mut names: Vec<&AccountName> = Vec::new();
        let mut demands: Vec<WeightedDemand> = Vec::new();
        for account in demand.accounts {
            let own = shares.work.get(&account.name);
            let own_tokens = own.map_or(0.0, |work| work.tokens.at(now));
            let own_units = own.map_or(0.0, |work| work.units.at(now));
            let tokens_per_unit = match own_units > 0.0 {
                true => own_tokens / own_units,
                false => tokens_per_unit,
            };
            let weighted = match (&account.limit, demand.asked_per_s.get(&account.name)) {
                (Some(limit), Some(asked_per_s)) => WeightedDemand {
                    tokens_per_s: asked_per_s * tokens_per_unit,
                    weight: limit.rate_per_s * tokens_per_unit,
                },
                (Some(_), None) => continue,
                (None, _) => WeightedDemand {
                    tokens_per_s: own_tokens * demand.instances as f64,
                    weight: 0.0,
                },
            };
            if weighted.tokens_per_s > 0.0 {
                names.push(&account.name);
                demands.push(weighted);
            }
        }
        set_missing_weights(&mut demands);
        let total: f64 = demands.iter().map(|demand| demand.tokens_per_s).sum();
        let served_part = match offered > 0.0 {
            true => shares.served_tokens.at(now) / offered,
            false => 1.0,
        };
        // Without rejections the part is 1, up to rounding.
        let served_tokens_per_s = match served_part < 0.999 {
            true => total * served_part,
            false => f64::INFINITY,
        };
        let capacity = demand.capacity_tokens_per_s.min(served_tokens_per_s);
        shares.above.clear();
        let Some(level) = fair_level(&demands, capacity) else {
            return;
        };
        let level = level.max(usual_level(&demands) * USUAL_EXCESS);
        for (name, demand) in names.into_iter().zip(demands) {
            let is_above = demand.tokens_per_s > level * demand.weight;
            shares.above.insert(name.clone(), is_above);
        }
    }

    /// Returns true if the demand of an account is above its share of a service that lacks capacity.
    pub fn is_above(&self, service: &ServiceName, account: &AccountName) -> bool {
        let shares = self.services.get(service);
        shares.is_some_and(|shares| shares.above.get(account) == Some(&true))
    }
}

/// Returns the lower quartile of the demands by weight.
fn usual_level(demands: &[WeightedDemand]) -> f64 {
    let mut levels: Vec<f64> = demands.iter().map(WeightedDemand::level).collect();
    let index = levels.len() / 4;
    if levels.is_empty() {
        return 0.0;
    }
    let (_, quartile, _) = levels.select_nth_unstable_by(index, f64::total_cmp);
    *quartile
}

/// Gives accounts without a limit the mean weight of the others.
fn set_missing_weights(demands: &mut [WeightedDemand]) {
    let known = demands.iter().filter(|demand| demand.weight > 0.0);
    let (count, sum) = known.fold((0, 0.0), |(count, sum), demand| {
        (count + 1, sum + demand.weight)
    });
    let mean = match count {
        0 => 1.0,
        count => sum / f64::from(count),
    };
    for demand in demands {
        if demand.weight <= 0.0 {
            demand.weight = mean;
        }
    }
}
