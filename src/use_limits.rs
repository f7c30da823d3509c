//! Limits on what client accounts use over all instances, in units such as tokens.
//!
//! The load pattern this answers: one account sends many times its usual within a second, while
//! calls of other accounts come in clumps far below their limits. Instances tell each other what
//! they admitted over the limit's window and what was asked of them. While an account's use is
//! far below its limit, everything is admitted; near the limit each instance spends a share that
//! follows its part of the demand; at the limit nothing is admitted. The demand of an instance
//! that fell silent counts on for a while, so that the two sides of a cut do not both spend its
//! share.

use super::*;

/// Least share of an instance, so that an account's first call at an instance is not refused.
const SHARE_MIN: f64 = 0.02;

/// Part of a window's allowance below which everything is admitted: what all instances admit
/// before they hear of each other fits into the rest.
const FREE_PART: f64 = 0.6;

/// Time for which the demand of a silent instance counts on; longer than usual partitions.
pub const SILENT_DEMAND_TTL: Duration = Duration::from_secs(15);

/// Longest time for which what a peer admits is carried on from what it told: longer ones are
/// partitions, in which each side has its share.
const EXTRAPOLATED_MAX: Duration = Duration::from_secs(3);

/// Instances that a restarted one takes the deployment for until the log has told it.
const INSTANCES_UNKNOWN: usize = 100;

/// Most that a restarted instance takes for its share, in equal shares: the demand of the others is
/// told only in part yet, and all of them may have restarted.
const UNKNOWN_SHARE_FACTOR: f64 = 1.25;

/// Slots that a window is divided into.
const WINDOW_SLOTS: u64 = 16;

/// Least time told to come back after when the window is used up.
const WINDOW_RETRY: Duration = Duration::from_millis(500);

/// What one instance admits and is asked for, for one account.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AccountDemand {
    /// Units a second that callers asked for.
    pub asked_per_s: f64,
    /// Units admitted over the last window.
    pub admitted: f64,
}

#[derive(Debug)]
struct AccountUse {
    admitted: SlidingSum,
    asked: DecayingRate,
    bucket: Bucket,
}

#[derive(Debug)]
struct PeerDemand {
    by_account: HashMap<AccountName, AccountDemand>,
    told_at: Duration,
}

/// Sum over a sliding window, in slots.
#[derive(Debug, Default)]
struct SlidingSum {
    slots: VecDeque<(u64, f64)>,
}

/// Use of all accounts at this instance.
#[derive(Debug)]
pub struct UseLimits {
    accounts: HashMap<AccountName, AccountUse>,
    /// Instances that the log knows, with this one.
    instances: usize,
    peers: HashMap<InstanceName, PeerDemand>,
    /// A number below one that differs between instances.
    seed_fraction: f64,
    /// End of the time in which an earlier life may have admitted what this one does not know.
    unknown_until: Duration,
    window: Duration,
}

impl UseLimits {
    /// Creates the limits; a limit holds over any `window`, beside its burst. What was admitted
    /// before `unknown_until` less a window is not known. Instances differ in `seed`.
    pub fn new(window: Duration, unknown_until: Duration, seed: u64) -> Self {
        let instances = match unknown_until.is_zero() {
            true => 1,
            false => INSTANCES_UNKNOWN,
        };
        Self {
            accounts: HashMap::new(),
            instances,
            peers: HashMap::new(),
            seed_fraction: xxh3_64(&seed.to_le_bytes()) as f64 / u64::MAX as f64,
            unknown_until,
            window,
        }
    }

    /// Sets the number of instances that the log knows, with this one.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    /// Sets the window over which limits hold.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Charges a call of `units` to its account, or tells when to come back.
    pub fn admit(&mut self, now: Duration, account: &AccountPolicy, units: f64) -> Result {
        let Some(limit) = account.limit else {
            return Ok(());
        };
        let peers = self.peers_demand(now, &account.name);
        let instances = self.instances as f64;
        let knows_window = now >= self.unknown_until;
        let started_at = self.unknown_until.saturating_sub(self.window);
        let slot = self.slot(now);
        let entry = self.accounts.entry(account.name.clone());
        let account_use = entry.or_insert_with(|| {
            let share = limit.burst / instances;
            // Many instances may have restarted at once, and what they admitted before is not known.
            // Each call borrows from later ones: on average the first ones borrow nothing.
            let (first_at, first) = match knows_window {
                true => (now, share),
                false => (started_at, -units * self.seed_fraction),
            };
            AccountUse {
                admitted: SlidingSum::default(),
                asked: DecayingRate::default(),
                bucket: Bucket::new(first_at, first),
            }
        });
        account_use.asked.add(now, units);
        let allowance = limit.rate_per_s * self.window.as_secs_f64() + limit.burst;
        let used = account_use.admitted.at(slot) + peers.admitted + units;
        let share = match peers.asked_per_s > 0.0 {
            true => share_of(account_use.asked.at(now), peers.asked_per_s),
            false => 1.0 / instances,
        };
        let share = match knows_window {
            true => share,
            false => share.min(UNKNOWN_SHARE_FACTOR / instances),
        };
        let rate_per_s = limit.rate_per_s * share;
        let capacity = limit.burst * share;
        account_use.bucket.refill(now, rate_per_s, capacity);
        let is_free = knows_window && used < allowance * FREE_PART;
        let fits = used < allowance && account_use.bucket.level > 0.0;
        if !is_free && !fits && !is_disabled(Safeguard::AccountLimit) {
            let wait = account_use.bucket.wait(0.0, rate_per_s).max(WINDOW_RETRY);
            return Err(Error::AccountLimit {
                account: account.name.clone(),
                limit: "units a second",
                retry_after_ms: wait.as_millis() as u64,
            });
        }
        // What is admitted freely leaves no debt; otherwise large calls borrow from later ones, so
        // that they are refused no more often than small ones.
        let floor = match is_free {
            true => 0.0,
            false => f64::NEG_INFINITY,
        };
        account_use.bucket.level = (account_use.bucket.level - units).max(floor);
        account_use.admitted.add(slot, units);
        Ok(())
    }

    /// Gives back the units of a call that did not run.
    pub fn give_back(&mut self, now: Duration, account: &AccountName, units: f64) {
        let slot = self.slot(now);
        if let Some(account_use) = self.accounts.get_mut(account) {
            account_use.bucket.level += units;
            account_use.admitted.add(slot, -units);
        }
    }

    /// Takes what a peer tells of all accounts.
    pub fn take_peer_demand(
        &mut self,
        now: Duration,
        peer: &InstanceName,
        by_account: HashMap<AccountName, AccountDemand>,
    ) {
        let demand = PeerDemand {
            by_account,
            told_at: now,
        };
        self.peers.insert(peer.clone(), demand);
        self.peers
            .retain(|_, peer| now.saturating_sub(peer.told_at) < SILENT_DEMAND_TTL);
    }

    /// What to tell peers of all accounts.
    pub fn demand(&mut self, now: Duration) -> HashMap<AccountName, AccountDemand> {
        let slot = self.slot(now);
        let mut by_account = HashMap::new();
        for (name, account_use) in &mut self.accounts {
            let demand = AccountDemand {
                admitted: account_use.admitted.at(slot),
                asked_per_s: account_use.asked.at(now),
            };
            by_account.insert(name.clone(), demand);
        }
        by_account
    }

    fn peers_demand(&self, now: Duration, account: &AccountName) -> AccountDemand {
        let mut sum = AccountDemand::default();
        for peer in self.peers.values() {
            if now.saturating_sub(peer.told_at) >= SILENT_DEMAND_TTL {
                continue;
            }
            let Some(demand) = peer.by_account.get(account) else {
                continue;
            };
            // What it may have admitted since it told: in large deployments that is seconds ago.
            let since = now.saturating_sub(peer.told_at).min(EXTRAPOLATED_MAX);
            sum.asked_per_s += demand.asked_per_s;
            sum.admitted += demand.admitted + demand.asked_per_s * since.as_secs_f64();
        }
        sum
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

fn share_of(own: f64, peers: f64) -> f64 {
    (own / (own + peers)).max(SHARE_MIN)
}
