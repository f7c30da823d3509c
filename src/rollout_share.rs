//! Share of a service's calls that one instance sends to a new version while it is observed, and
//! the few servers of that version that get them.
//!
//! The load pattern that this is designed for: many instances, each with a few calls per second on
//! each route and cut off from the others at times. Nothing is counted across instances. Each gives
//! the new version a fixed share of its own calls, by route, so that the share holds for any group
//! of instances and at any rate. The first call of an instance to the new version comes at a point
//! that a hash spreads over the instances: with 76 instances and a share of 0.08, an instance
//! otherwise sends its first one after 13 calls of a route, which takes half of a short rollout,
//! and all instances send it at the same time.

use super::*;

/// Part of the share allowed by the settings that is used. The rest covers calls that are placed
/// again and calls that end before they reach their service.
const USED_FRACTION: f64 = 0.8;

/// Version of the servers to which a call goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RolloutSide {
    /// Any other version than the target of the rollout.
    Old,
    /// Target of the rollout.
    New,
}

/// Chooses the side of calls at one instance, for one order.
#[derive(Debug)]
pub struct RolloutShare {
    /// Calls that may go to the new side, by route; a call costs 1.
    credits: HashMap<SmolStr, f64>,
    seed: u64,
    share: f64,
}

impl RolloutShare {
    /// Creates the share of one instance from `exposureShare` of the settings. `seed` is
    /// [`share_seed`].
    pub fn new(exposure_share: f64, seed: u64) -> Self {
        Self {
            credits: HashMap::new(),
            seed,
            share: used_share(exposure_share),
        }
    }

    /// Chooses the side for a new call of a route. Calls that are placed again while the version is
    /// observed go to the old side without asking.
    pub fn pick(&mut self, route: &str) -> RolloutSide {
        let credit = self.credit(route);
        if *credit < 1.0 {
            return RolloutSide::Old;
        }
        *credit -= 1.0;
        RolloutSide::New
    }

    /// Returns the credit of a call that was to go to the new side and did not, because no server
    /// there could take it.
    pub fn give_back(&mut self, route: &str) {
        if let Some(credit) = self.credits.get_mut(route) {
            *credit = (*credit + 1.0).min(1.0);
        }
    }

    /// Adds the share of one call to the credit of its route.
    fn credit(&mut self, route: &str) -> &mut f64 {
        if !self.credits.contains_key(route) {
            let start = start_credit(route, self.seed);
            self.credits.insert(route.into(), start);
        }
        let credit = self.credits.entry(route.into()).or_default();
        // The part above 1 is kept, so that the calls add up to the share.
        *credit = (*credit + self.share).min(1.0 + self.share);
        credit
    }
}

/// Seed of the share of one process of an instance for one order. A restarted process gets another
/// one, so that restarts do not add up to more than the share.
pub fn share_seed(instance: &InstanceName, life: u64, order: LogOffset) -> u64 {
    let seed = xxh3_64_with_seed(&order.to_le_bytes(), life);
    xxh3_64_with_seed(instance.as_bytes(), seed)
}

/// Part of all calls that goes to the new side.
pub fn used_share(exposure_share: f64) -> f64 {
    (exposure_share * USED_FRACTION).clamp(0.0, 1.0)
}

/// Chooses the servers of the new version that get its calls while it is observed: as large a part
/// of `old_count`, the number of old servers, as the part of the calls that they get, so that each
/// bears the load that it would bear later. All instances choose the same ones of the servers that
/// they know; a server that leaves changes nothing about the others.
pub fn canary_servers(
    exposure_share: f64,
    order: LogOffset,
    old_count: usize,
    new_servers: &[ServerName],
) -> Vec<ServerName> {
    let count = (used_share(exposure_share) * old_count as f64)
        .ceil()
        .max(1.0) as usize;
    let mut ranked: Vec<(u64, &ServerName)> = new_servers
        .iter()
        .map(|server| (xxh3_64_with_seed(server.as_bytes(), order), server))
        .collect();
    ranked.sort_unstable();
    let chosen = ranked.into_iter().take(count);
    chosen.map(|(_, server)| server.clone()).collect()
}

/// Credit of a route before its first call, evenly spread over 0 to 1. The number of calls to the
/// new side then is the share of all calls on average, whatever their number at the instance.
fn start_credit(route: &str, seed: u64) -> f64 {
    let hash = xxh3_64_with_seed(route.as_bytes(), seed);
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
