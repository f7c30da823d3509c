//! Guards against starvation while calls are rejected: finds the kinds of calls that are served much
//! more rarely than the others.
//!
//! The load pattern that this is designed for: in a burst, the least urgent calls, those of an
//! account above its share, or those with the largest prompts would be rejected all the time. An
//! instance gets only a few calls per second, of which an account may have one in some seconds, so
//! that parts of so few calls mean little. Each call of a kind therefore earns it the part of a call
//! that is owed to it, and a kind that has earned a whole one is owed a call.

use super::*;

/// Part of the share of the others that is owed to each kind. It is above the quarter that is
/// promised, because some of the calls that are owed are rejected for their deadline.
const OWED_PART: f64 = 0.35;

/// Time constant with which calls that a kind got beyond what was owed to it are forgotten.
const SURPLUS_TIME: Duration = Duration::from_secs(4);

/// Most calls that a kind can be owed.
const OWED_MAX: f64 = 2.0;

/// Calls per second of the other kinds under which nothing is owed: the rest of few calls that came
/// long ago.
const REST_PER_S_MIN: f64 = 0.1;

/// Calls per second under which a kind is forgotten.
const FORGOTTEN_PER_S: f64 = 1e-4;

/// Number of latest prompts from which the size classes follow.
const SIZES_MAX: usize = 256;

/// Number of prompts after which the size classes are determined anew.
const SIZES_PER_UPDATE: usize = 32;

/// Parts of the prompts that are below the size class of the largest tenth, and below that of the
/// next fifth.
const SIZE_QUANTILES: [f64; 2] = [0.9, 0.7];

/// Kind of calls that must not be starved.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum CallGroup {
    Account(AccountName),
    Route(SmolStr),
    /// 0 for the largest tenth of the prompts, 1 for the next fifth, 2 for the rest.
    Size(u8),
}

#[derive(Debug, Default)]
struct GroupCounts {
    offered: DecayingRate,
    /// Calls that are owed, at the time of the last call; negative after it got more.
    owed: f64,
    owed_at: Duration,
    served: DecayingRate,
}

#[derive(Debug, Default)]
struct ServiceAgeing {
    groups: HashMap<CallGroup, GroupCounts>,
    offered: DecayingRate,
    served: DecayingRate,
    sizes: VecDeque<u32>,
    sizes_since_update: usize,
    /// Fewest prompt tokens of the largest tenth and of the next fifth.
    size_bounds: [u32; 2],
}

/// Call whose kinds are looked at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgeingQuery<'a> {
    /// Account of the call; empty if it has none.
    pub account: &'a AccountName,
    /// Length of the whole prompt.
    pub prompt_tokens: u32,
    /// Name of the route.
    pub route: &'a SmolStr,
    /// Service that the call was addressed to.
    pub service: &'a ServiceName,
}

/// Finds starved kinds of calls, by the decisions of one instance over the last few seconds.
#[derive(Debug, Default)]
pub struct OverloadAgeing {
    services: HashMap<ServiceName, ServiceAgeing>,
}

impl OverloadAgeing {
    /// Returns true if a kind that the call belongs to is owed a call.
    pub fn is_owed(&self, query: &AgeingQuery<'_>) -> bool {
        let Some(service) = self.services.get(query.service) else {
            return false;
        };
        let groups = service.groups_of(query);
        let mut counts = groups.iter().filter_map(|group| service.groups.get(group));
        counts.any(|counts| counts.owed >= 1.0)
    }

    /// Records whether a call was served. One that comes back after a rejection (`returned`) has been
    /// counted before and earns nothing.
    pub fn record(&mut self, now: Duration, query: &AgeingQuery<'_>, returned: bool, served: bool) {
        let service = self.services.entry(query.service.clone()).or_default();
        service.observe_size(query.prompt_tokens);
        let offered = f64::from(u8::from(!returned));
        let served = f64::from(u8::from(served));
        service.offered.add(now, offered);
        service.served.add(now, served);
        let (all_offered, all_served) = (service.offered.at(now), service.served.at(now));
        for group in service.groups_of(query) {
            let counts = service.groups.entry(group).or_default();
            counts.offered.add(now, offered);
            counts.served.add(now, served);
            let rest_offered = all_offered - counts.offered.at(now);
            let rest_served = all_served - counts.served.at(now);
            let share_of_rest = match rest_offered >= REST_PER_S_MIN {
                true => (rest_served / rest_offered).clamp(0.0, 1.0),
                false => 0.0,
            };
            if counts.owed < 0.0 {
                let elapsed = now.saturating_sub(counts.owed_at).as_secs_f64();
                counts.owed *= (-elapsed / SURPLUS_TIME.as_secs_f64()).exp();
            }
            counts.owed_at = now;
            counts.owed += OWED_PART * share_of_rest * offered - served;
            counts.owed = counts.owed.min(OWED_MAX);
        }
    }

    /// Forgets kinds of which no call has come for about half a minute.
    pub fn expire(&mut self, now: Duration) {
        for service in self.services.values_mut() {
            let is_recent = |counts: &GroupCounts| counts.offered.at(now) >= FORGOTTEN_PER_S;
            service.groups.retain(|_, counts| is_recent(counts));
        }
    }
}

impl ServiceAgeing {
    fn groups_of(&self, query: &AgeingQuery<'_>) -> [CallGroup; 3] {
        let [largest, next] = self.size_bounds;
        let size = match query.prompt_tokens {
            tokens if tokens >= largest => 0,
            tokens if tokens >= next => 1,
            _ => 2,
        };
        [
            CallGroup::Account(query.account.clone()),
            CallGroup::Route(query.route.clone()),
            CallGroup::Size(size),
        ]
    }

    fn observe_size(&mut self, tokens: u32) {
        self.sizes.push_back(tokens);
        if self.sizes.len() > SIZES_MAX {
            self.sizes.pop_front();
        }
        self.sizes_since_update += 1;
        if self.sizes_since_update < SIZES_PER_UPDATE {
            return;
        }
        self.sizes_since_update = 0;
        let mut sizes: SmallVec<[u32; SIZES_MAX]> = self.sizes.iter().copied().collect();
        self.size_bounds = SIZE_QUANTILES.map(|part| {
            let index = (sizes.len() as f64 * part) as usize;
            let (_, bound, _) = sizes.select_nth_unstable(index);
            *bound
        });
    }
}
