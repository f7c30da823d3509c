//! Limits on what client accounts use over all instances, in units: tokens or calls, as set for
//! each account in the policy, the operators' configuration of routes, services and accounts.
//!
//! The load pattern that this is designed for: one account sends many times its usual demand within
//! a second, while calls of other accounts arrive in bursts far below their limits. Instances
//! report to each other what they admitted over the limit's window and the demand they received.
//! While an account's usage is far below its limit, everything is admitted; near the limit each
//! instance spends a share in proportion to its part of the demand; at the limit nothing is
//! admitted. The demand of an instance that no longer sends reports is still included for a while,
//! so that the two sides of a network partition do not both spend its share. In large deployments
//! the sums of data centres take the place of the reports of their instances. The allowance of a
//! window is the account's rate multiplied by the window, plus its burst.

use super::*;

/// Smallest share of an account's limit that an instance may spend while peers report demand for
/// the account, as a fraction of the limit, so that the account's first call there is not refused.
const SHARE_MIN: f64 = 0.02;

/// Fraction of a window's allowance (the units that an account may use within it); all calls are
/// admitted while the usage is below it. The rest of the allowance covers what all instances admit
/// before they receive each other's reports.
const UNRESTRICTED_FRACTION: f64 = 0.6;

/// Time after its last report for which an instance's demand is still included in the total demand;
/// longer than the usual network partition.
pub const SILENT_DEMAND_TTL: Duration = Duration::from_secs(15);

/// Longest time over which a peer's admitted units are extrapolated from its last report: a peer
/// that is silent for longer is taken to be behind a network partition, where each side spends only
/// its share.
const EXTRAPOLATION_MAX: Duration = Duration::from_secs(3);

/// Number of instances that a restarted instance assumes until it knows how many instances are
/// registered in the log.
const ASSUMED_INSTANCES: usize = 100;

/// Largest share of a limit that a restarted instance spends, in multiples of an equal share, while
/// it knows neither what was admitted before nor the demand of enough others. Since all instances may
/// have restarted, shares computed from too little demand could together exceed the limit.
const RESTART_SHARE_FACTOR: f64 = 1.25;

/// Number of peers from whose demand a restarted instance estimates that of all, if there are more.
const RESTART_PEERS_MIN: usize = 24;

/// Part of the share by demand that a restarted instance spends, because it estimates the demand of
/// the peers that it has not heard of from that of the others.
const RESTART_SHARE_PART: f64 = 0.8;

/// Number of slots that a window is divided into; usage is forgotten one slot at a time as the
/// window moves on.
const WINDOW_SLOTS: u64 = 16;

/// Shortest retry delay sent to callers when the window's allowance or this instance's bucket is
/// used up.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);

/// Demand and admitted units of one account at one instance, as instances report them to each
/// other.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AccountDemand {
    /// Units per second that callers requested over the last few seconds, including refused calls.
    pub asked_per_s: f64,
    /// Units admitted over the last window of the limit, less those refunded.
    pub admitted: f64,
}

impl AccountDemand {
    /// Returns the demand `age` after it was stated: what may have been admitted since is
    /// extrapolated from what was requested.
    pub(crate) fn brought_forward(self, age: Duration) -> Self {
        let age = age.min(EXTRAPOLATION_MAX);
        Self {
            admitted: self.admitted + self.asked_per_s * age.as_secs_f64(),
            asked_per_s: self.asked_per_s,
        }
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            admitted: self.admitted + other.admitted,
            asked_per_s: self.asked_per_s + other.asked_per_s,
        }
    }

    /// Returns the difference, at least 0 in each field.
    pub(crate) fn minus(self, other: Self) -> Self {
        Self {
            admitted: (self.admitted - other.admitted).max(0.0),
            asked_per_s: (self.asked_per_s - other.asked_per_s).max(0.0),
        }
    }

    /// Returns the larger value of each field.
    fn max(self, other: Self) -> Self {
        Self {
            admitted: self.admitted.max(other.admitted),
            asked_per_s: self.asked_per_s.max(other.asked_per_s),
        }
    }
}

#[derive(Debug)]
struct AccountUsage {
    admitted: SlidingSum,
    asked: DecayingRate,
    bucket: TokenBucket,
}

#[derive(Debug)]
struct PeerDemand {
    by_account: HashMap<AccountName, AccountDemand>,
    data_centre: DataCentreName,
    received_at: Duration,
}

/// Demand of the instances of a data centre, as a collector has summed it up.
#[derive(Debug)]
struct CentreDemand {
    by_account: BTreeMap<AccountName, AccountDemand>,
    instances: usize,
    made_at: Duration,
}

impl CentreDemand {
    fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.made_at) < ROOM_SUM_TTL
    }

    fn is_valid(&self, now: Duration) -> bool {
        now.saturating_sub(self.made_at) < SILENT_DEMAND_TTL
    }
}

/// Units admitted within a sliding window: the number of each slot (a fixed fraction of the window)
/// and the sum of its units, oldest slot first.
#[derive(Debug, Default)]
struct SlidingSum {
    slots: VecDeque<(u64, f64)>,
}

/// Decides whether a call is admitted under its account's limit, from the units that this instance
/// admitted, the demand it received and what the peers (the other instances) reported of theirs.
#[derive(Debug)]
pub struct UsageLimits {
    accounts: HashMap<AccountName, AccountUsage>,
    /// Sums of the demand of data centres, which count instead of the reports of their instances.
    centres: BTreeMap<DataCentreName, CentreDemand>,
    /// Number of instances registered in the log, including this one; at least 1.
    instances: usize,
    peers: HashMap<InstanceName, PeerDemand>,
    /// Number in 0..=1 derived from the seed, and so different on each instance; determines the
    /// start level of an account's bucket after a restart.
    seed_fraction: f64,
    /// Time until which the window may contain units that this instance admitted before a restart
    /// and does not know of.
    usage_unknown_until: Duration,
    window: Duration,
}

impl UsageLimits {
    /// Creates the limits; an account may use its rate multiplied by `window`, plus its burst,
    /// within any period of that length. Units admitted before `usage_unknown_until` minus one
    /// window, which is the start of this process, are not known; zero means that no instance ran
    /// before. `seed` has to differ between instances.
    pub fn new(window: Duration, usage_unknown_until: Duration, seed: u64) -> Self {
        let instances = match usage_unknown_until.is_zero() {
            true => 1,
            false => ASSUMED_INSTANCES,
        };
        Self {
            accounts: HashMap::new(),
            centres: BTreeMap::new(),
            instances,
            peers: HashMap::new(),
            seed_fraction: xxh3_64(&seed.to_le_bytes()) as f64 / u64::MAX as f64,
            usage_unknown_until,
            window,
        }
    }

    /// Sets the number of instances registered in the log, including this one; while no peer
    /// reports demand for an account, an instance spends the account's limit divided by this
    /// number.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    /// Sets the length of the window over which limits hold; it determines the allowance and the
    /// length of the slots. Called when the settings change.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Charges a call of `units` to its account, or returns [`Error::AccountLimit`] with a retry
    /// delay. For accounts without a limit, the call is admitted and its units are not recorded.
    pub fn admit(&mut self, now: Duration, account: &AccountPolicy, units: f64) -> Result {
        let Some(limit) = account.limit else {
            return Ok(());
        };
        let peers = self.peer_demand(now, &account.name);
        let instances = self.instances as f64;
        let knows_usage = now >= self.usage_unknown_until;
        let unheard_factor = self.unheard_factor(now);
        let started_at = self.usage_unknown_until.saturating_sub(self.window);
        let slot = self.slot(now);
        let entry = self.accounts.entry(account.name.clone());
        let usage = entry.or_insert_with(|| {
            let share = limit.burst / instances;
            // Many instances may have restarted at once, and what they admitted before is not
            // known. A call may overdraw the bucket at the expense of later ones; the random
            // negative start level offsets this, so that on average the first calls borrow nothing.
            let (filled_at, level) = match knows_usage {
                true => (now, share),
                false => (started_at, -units * self.seed_fraction),
            };
            AccountUsage {
                admitted: SlidingSum::default(),
                asked: DecayingRate::default(),
                bucket: TokenBucket::new(filled_at, level),
            }
        });
        usage.asked.add(now, units);
        let allowance = limit.rate_per_s * self.window.as_secs_f64() + limit.burst;
        let used = usage.admitted.at(slot) + peers.admitted + units;
        let share = match peers.asked_per_s > 0.0 {
            true => demand_share(usage.asked.at(now), peers.asked_per_s),
            false => 1.0 / instances,
        };
        let share = match (knows_usage, unheard_factor) {
            (true, _) => share,
            (false, None) => share.min(RESTART_SHARE_FACTOR / instances),
            // Callers are spread unevenly, so that an equal share refuses most of some instances.
            (false, Some(factor)) => {
                let own = usage.asked.at(now);
                own / (own + peers.asked_per_s * factor) * RESTART_SHARE_PART
            }
        };
        let rate_per_s = limit.rate_per_s * share;
        let capacity = limit.burst * share;
        usage.bucket.refill(now, rate_per_s, capacity);
        let is_unrestricted = knows_usage && used < allowance * UNRESTRICTED_FRACTION;
        let fits = used < allowance && usage.bucket.level > 0.0;
        if !is_unrestricted && !fits && !is_disabled(Safeguard::AccountLimit) {
            let wait = usage.bucket.wait(0.0, rate_per_s).max(RETRY_AFTER_MIN);
            return Err(Error::AccountLimit {
                account: account.name.clone(),
                limit: "units per second",
                retry_after_ms: wait.as_millis() as u64,
            });
        }
        // A call that is admitted because usage is low leaves the bucket's level at zero or above.
        // Any other call may take it below zero, so that large calls are refused no more often than
        // small ones.
        let floor = match is_unrestricted {
            true => 0.0,
            false => f64::NEG_INFINITY,
        };
        usage.bucket.level = (usage.bucket.level - units).max(floor);
        usage.admitted.add(slot, units);
        Ok(())
    }

    /// Refunds the units of a call that failed without having run on a server.
    pub fn refund(&mut self, now: Duration, account: &AccountName, units: f64) {
        let slot = self.slot(now);
        if let Some(usage) = self.accounts.get_mut(account) {
            usage.bucket.level += units;
            usage.admitted.add(slot, -units);
        }
    }

    /// Replaces a peer's demand for all accounts by that of its latest report, received at `now`,
    /// and drops peers silent for [`SILENT_DEMAND_TTL`]. The report is ignored while the sum of the
    /// peer's data centre is in use.
    pub fn update_peer_demand(
        &mut self,
        now: Duration,
        peer: &InstanceName,
        data_centre: &DataCentreName,
        by_account: HashMap<AccountName, AccountDemand>,
    ) {
        let sum = self.centres.get(data_centre);
        if sum.is_some_and(|sum| sum.is_fresh(now)) {
            return;
        }
        let demand = PeerDemand {
            by_account,
            data_centre: data_centre.clone(),
            received_at: now,
        };
        self.peers.insert(peer.clone(), demand);
        self.peers
            .retain(|_, peer| now.saturating_sub(peer.received_at) < SILENT_DEMAND_TTL);
    }

    /// Replaces the demand of all instances of a data centre, except this one, by a sum of
    /// `instances` instances that was made at `made_at`. It is used alone until it is
    /// [`ROOM_SUM_TTL`] old. Then, for [`SILENT_DEMAND_TTL`], the larger of it and the peers' own
    /// reports counts: the first reports come only from a few of them, and behind a network partition
    /// there are none.
    pub fn update_centre_demand(
        &mut self,
        made_at: Duration,
        data_centre: &DataCentreName,
        instances: usize,
        by_account: BTreeMap<AccountName, AccountDemand>,
    ) {
        let demand = CentreDemand {
            by_account,
            instances,
            made_at,
        };
        self.centres.insert(data_centre.clone(), demand);
        self.peers
            .retain(|_, peer| peer.data_centre != *data_centre);
    }

    /// Returns the demand at this instance for all limited accounts that have sent it a call; it is
    /// reported to the peers.
    pub fn demand(&mut self, now: Duration) -> HashMap<AccountName, AccountDemand> {
        let slot = self.slot(now);
        let mut by_account = HashMap::new();
        for (name, usage) in &mut self.accounts {
            let demand = AccountDemand {
                admitted: usage.admitted.at(slot),
                asked_per_s: usage.asked.at(now),
            };
            by_account.insert(name.clone(), demand);
        }
        by_account
    }

    /// Returns the units per second that callers request from this instance and from the peers that
    /// have reported within `age_max`, by account with a limit.
    pub fn asked_per_s(&self, now: Duration, age_max: Duration) -> HashMap<AccountName, f64> {
        let mut asked: HashMap<AccountName, f64> = HashMap::new();
        for (name, usage) in &self.accounts {
            asked.insert(name.clone(), usage.asked.at(now));
        }
        for peer in self.peers.values() {
            if now.saturating_sub(peer.received_at) > age_max {
                continue;
            }
            for (name, demand) in &peer.by_account {
                *asked.entry(name.clone()).or_default() += demand.asked_per_s;
            }
        }
        asked
    }

    /// Returns the factor from the demand of the peers that were heard of to that of all; `None` if
    /// too few were heard of.
    fn unheard_factor(&self, now: Duration) -> Option<f64> {
        let mut heard = self.reports(now, None).count();
        for (centre, sum) in &self.centres {
            let collected = match sum.is_valid(now) {
                true => sum.instances,
                false => 0,
            };
            heard += collected.max(self.reports(now, Some(centre)).count());
        }
        let all = self.instances - 1;
        (heard > 0 && heard >= all.min(RESTART_PEERS_MIN))
            .then(|| (all as f64 / heard as f64).max(1.0))
    }

    /// Returns the demand of all other instances for an account. Reports are seconds old in large
    /// deployments, so what may have been admitted since is extrapolated from the demand.
    fn peer_demand(&self, now: Duration, account: &AccountName) -> AccountDemand {
        let demand_since = |demand: Option<&AccountDemand>, at: Duration| {
            let age = now.saturating_sub(at);
            demand.map_or_else(AccountDemand::default, |demand| demand.brought_forward(age))
        };
        let reported = |centre: Option<&DataCentreName>| {
            let mut sum = AccountDemand::default();
            for peer in self.reports(now, centre) {
                sum = sum.plus(demand_since(peer.by_account.get(account), peer.received_at));
            }
            sum
        };
        let mut sum = reported(None);
        for (centre, collected) in &self.centres {
            let demand = collected.by_account.get(account);
            let demand = demand.filter(|_| collected.is_valid(now));
            let demand = demand_since(demand, collected.made_at);
            sum = sum.plus(demand.max(reported(Some(centre))));
        }
        sum
    }

    /// Returns the reports that count of the peers in a data centre, or of those in data centres
    /// without a sum.
    fn reports(
        &self,
        now: Duration,
        centre: Option<&DataCentreName>,
    ) -> impl Iterator<Item = &PeerDemand> {
        self.peers.values().filter(move |peer| {
            let is_of_centre = match centre {
                Some(centre) => peer.data_centre == *centre,
                None => !self.centres.contains_key(&peer.data_centre),
            };
            is_of_centre && now.saturating_sub(peer.received_at) < SILENT_DEMAND_TTL
        })
    }

    fn slot(&self, now: Duration) -> u64 {
        let slot = self.window.as_millis() as u64 / WINDOW_SLOTS;
        now.as_millis() as u64 / slot.max(1)
    }
}

impl SlidingSum {
    fn add(&mut self, slot: u64, amount: f64) {
        match self.slots.back_mut() {
            Some((last, sum)) if *last == slot => *sum += amount,
            Some(_) | None => self.slots.push_back((slot, amount)),
        }
    }

    fn at(&mut self, slot: u64) -> f64 {
        while let Some((first, _)) = self.slots.front()
            && first + WINDOW_SLOTS < slot
        {
            self.slots.pop_front();
        }
        self.slots.iter().map(|(_, sum)| sum).sum()
    }
}

fn demand_share(own: f64, peers: f64) -> f64 {
    (own / (own + peers)).max(SHARE_MIN)
}
