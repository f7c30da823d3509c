//! Sums of data centres that an instance has received, and their use in place of its peers' own
//! digests: for the loads of servers and the demand of services in [`Fleet`], and for the demand of
//! accounts in [`UsageLimits`].
//!
//! The fault patterns that this is designed for: collectors that are killed, frozen or cut off, and
//! lost datagrams. Two collectors of each data centre send the sums in every round, and of their sums
//! the one with the newer inputs is used, so that the loss of one collector costs nothing. A sum whose
//! inputs are [`ROOM_SUM_TTL`] old on average is dropped; then the digests of the data centre's
//! instances are used as in deployments without sums. Sums state the age of their inputs, so that
//! those of a collector that resumes after it was frozen are not taken for new ones.

use super::*;

/// A sum that is used has to include at least this part of the instances of the other collector's
/// sum. A collector that is cut off from a part of its data centre has newer but fewer inputs.
const INSTANCES_MIN_FRACTION: f64 = 0.75;

/// A sum, and the time that its [`RoomSum::age`] refers to.
#[derive(Debug)]
struct HeldSum {
    received_at: Duration,
    sum: Arc<RoomSum>,
}

impl HeldSum {
    fn made_at(&self) -> Duration {
        self.received_at.saturating_sub(self.sum.age)
    }

    /// Mean time at which the inputs were stated.
    fn inputs_at(&self) -> Duration {
        self.received_at.saturating_sub(self.sum.inputs_age())
    }

    fn is_valid(&self, now: Duration) -> bool {
        now.saturating_sub(self.inputs_at()) < ROOM_SUM_TTL
    }
}

/// Newest sums of the collectors of each data centre.
#[derive(Debug, Default)]
pub struct RoomView {
    /// Sums by data centre, and by the hash of the collector's name.
    sums: BTreeMap<DataCentreName, BTreeMap<u64, HeldSum>>,
    /// Data centres whose sums were applied last, with the collector and the time of the inputs.
    applied: BTreeMap<DataCentreName, (u64, Duration)>,
}

impl RoomView {
    /// Stores a sum whose age refers to `received_at`, unless its inputs are too old or a newer one
    /// of the same collector is known.
    pub fn record(&mut self, now: Duration, received_at: Duration, sum: Arc<RoomSum>) {
        let held = HeldSum { received_at, sum };
        if !held.is_valid(now) {
            return;
        }
        let by_collector = self.sums.entry(held.sum.data_centre.clone()).or_default();
        let known = by_collector.get(&held.sum.collector);
        if known.is_none_or(|known| known.made_at() <= held.made_at()) {
            by_collector.insert(held.sum.collector, held);
        }
    }

    /// Applies the sum to be used of each data centre, if it has changed, in place of the reports of
    /// its instances, which `peers` lists; removes those that have become too old.
    pub fn apply(
        &mut self,
        now: Duration,
        fleet: &mut Fleet,
        limits: &mut UsageLimits,
        peers: &Peers,
    ) {
        for by_collector in self.sums.values_mut() {
            by_collector.retain(|_, held| held.is_valid(now));
        }
        self.sums.retain(|_, by_collector| !by_collector.is_empty());
        let is_dropped = |centre: &DataCentreName| !self.sums.contains_key(centre);
        for centre in self.applied.keys().filter(|centre| is_dropped(centre)) {
            warn!("sum data_centre={centre} state=dropped; the digests of its instances are used");
            fleet.remove_centre_sum(now, centre);
        }
        self.applied
            .retain(|centre, _| self.sums.contains_key(centre));
        for (centre, by_collector) in &self.sums {
            let Some(held) = newest(by_collector) else {
                continue;
            };
            let version = (held.sum.collector, held.inputs_at());
            let known = self.applied.insert(centre.clone(), version);
            if known == Some(version) {
                continue;
            }
            if known.is_none() {
                let (instances, age_ms) = (held.sum.instances, held.sum.inputs_age().as_millis());
                info!("sum data_centre={centre} state=used instances={instances} age_ms={age_ms}");
                for peer in peers.names_in(centre) {
                    fleet.remove_peer(now, peer);
                }
            }
            fleet.update_centre_sum(held.inputs_at(), &held.sum);
            let instances = held.sum.instances as usize;
            let demands = held.sum.demands.clone();
            limits.update_centre_demand(held.made_at(), centre, instances, demands);
        }
    }

    /// Returns true if the sum of a data centre is in use, so that its instances' own digests are
    /// not.
    pub fn covers(&self, now: Duration, data_centre: &DataCentreName) -> bool {
        let applied = self.applied.get(data_centre);
        applied.is_some_and(|(_, inputs_at)| now.saturating_sub(*inputs_at) < ROOM_SUM_TTL)
    }

    /// Returns the mean age of the inputs of a data centre's sum in use; `None` if none is.
    pub fn age(&self, now: Duration, data_centre: &DataCentreName) -> Option<Duration> {
        let (_, inputs_at) = self.applied.get(data_centre)?;
        let age = now.saturating_sub(*inputs_at);
        (age < ROOM_SUM_TTL).then_some(age)
    }

    /// Returns the sums in use of all data centres but `own`, with their present age, for a
    /// collector to forward within its data centre.
    pub fn sums_to_forward(&self, now: Duration, own: &DataCentreName) -> Vec<Arc<RoomSum>> {
        let others = self.sums.iter().filter(|(centre, _)| *centre != own);
        let newest = others.filter_map(|(_, by_collector)| newest(by_collector));
        let valid = newest.filter(|held| held.is_valid(now));
        let forwarded = valid.map(|held| {
            Arc::new(RoomSum {
                age: now.saturating_sub(held.made_at()),
                ..RoomSum::clone(&held.sum)
            })
        });
        forwarded.collect()
    }
}

/// Returns the sum with the newest inputs among those that include enough instances.
fn newest(by_collector: &BTreeMap<u64, HeldSum>) -> Option<&HeldSum> {
    let most = by_collector.values().map(|held| held.sum.instances).max()?;
    let instances_min = f64::from(most) * INSTANCES_MIN_FRACTION;
    let complete = by_collector
        .values()
        .filter(|held| f64::from(held.sum.instances) >= instances_min);
    complete.max_by_key(|held| held.inputs_at())
}
