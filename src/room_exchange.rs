//! Sums of data centres at one instance: what it collects, holds and sends of them.
//!
//! The fault patterns are those of [`RoomView`], [`RoomCollector`] and [`ArrivalDelays`], which this
//! combines. In deployments where digests reach all instances within a few rounds, it does nothing.

use super::*;

/// Inputs of the sum that this instance makes, the sums that it uses, and the delays of the digests
/// that bring both.
#[derive(Debug, Default)]
pub struct RoomExchange {
    collector: RoomCollector,
    delays: ArrivalDelays,
    /// True if sums are used in deployments that are large enough.
    is_enabled: bool,
    view: RoomView,
}

/// Datagrams of one round: a digest, with the peers that get it.
pub type OutgoingDigest = (PeerDigest, Vec<DigestTarget>);

impl RoomExchange {
    /// Creates the state of an instance that has received no sums; without `is_enabled` it uses none.
    pub fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            ..Self::default()
        }
    }

    fn uses_sums(&self, peers: &Peers) -> bool {
        self.is_enabled && peers.uses_sums()
    }

    /// Returns the sums that this instance uses.
    pub fn view(&self) -> &RoomView {
        &self.view
    }

    /// Applies what a peer's digest says of loads and demand, and removes it from the digest: the
    /// sums of data centres, and the sender's own part unless a sum includes it. `own_centre` is the
    /// data centre of this instance.
    pub fn apply_digest(
        &mut self,
        now: Duration,
        own_centre: &DataCentreName,
        peers: &mut Peers,
        fleet: &mut Fleet,
        limits: &mut UsageLimits,
        digest: &mut PeerDigest,
    ) {
        let (peer, centre) = (&digest.instance, &digest.data_centre);
        let arrived_at = match self.uses_sums(peers) {
            true => (self.delays).arrived_at(now, peer, digest.life, digest.sent),
            false => now,
        };
        let report = digest.room.take().unwrap_or_default();
        peers.record_sums(peer, report.has_sums);
        if !report.sums.is_empty() {
            for sum in report.sums {
                self.view.record(now, arrived_at, sum);
            }
            self.view.apply(now, fleet, limits, peers);
        }
        if report.leaves_out {
            return;
        }
        let part = RoomPart {
            demands: std::mem::take(&mut digest.demands),
            loads: std::mem::take(&mut digest.loads),
            work: std::mem::take(&mut digest.work),
        };
        if !self.view.covers(now, centre) {
            // Loads that waited in the socket of this instance while it was frozen have ended.
            if now.saturating_sub(arrived_at) < ROOM_SUM_TTL {
                fleet.update_peer_loads(now, peer, &part.loads);
                fleet.update_peer_work(now, peer, part.work.clone());
            }
            limits.update_peer_demand(arrived_at, peer, centre, part.demands.clone());
        }
        if centre == own_centre && self.uses_sums(peers) {
            self.collector.record(peer, arrived_at, part);
        }
    }

    /// Starts a round at which this instance's digest is `digest`: makes the sum of its data centre
    /// if it collects it, applies the sums, and drops those that have become too old.
    pub fn begin_round(
        &mut self,
        now: Duration,
        peers: &Peers,
        fleet: &mut Fleet,
        limits: &mut UsageLimits,
        digest: &PeerDigest,
    ) -> RoomRound {
        let (instance, centre) = (&digest.instance, &digest.data_centre);
        let is_large = self.uses_sums(peers);
        let is_collector = is_large && peers.is_collector(now, instance, centre);
        self.delays.expire(now);
        self.collector.begin_round(now, is_collector);
        let mut round = RoomRound::new(now);
        if is_collector {
            let part = RoomPart {
                demands: digest.demands.clone(),
                loads: digest.loads.clone(),
                work: digest.work.clone(),
            };
            self.collector.record(instance, now, part);
            let sum = self.collector.sum(now, name_hash(instance), centre);
            if let Some(sum) = sum {
                let others = self.collector.without(now, &sum, instance);
                self.view.record(now, now, Arc::new(others));
                round.set_sums(sum, self.view.sums_to_forward(now, centre));
            }
        }
        self.view.apply(now, fleet, limits, peers);
        if is_large {
            let mut centres = peers.live_centres(now);
            centres.push(centre.clone());
            round.set_centres(&self.view, &centres);
        }
        round
    }

    /// Returns the digests of a round. `digest` goes round among all instances, of which `targets`
    /// are those of this round; `for_collectors` contains the usage too and goes to `collectors`.
    pub fn outgoing(
        &self,
        round: &RoomRound,
        peers: &Peers,
        mut digest: PeerDigest,
        mut for_collectors: PeerDigest,
        mut targets: Vec<DigestTarget>,
        mut collectors: Vec<DigestTarget>,
    ) -> Vec<OutgoingDigest> {
        round.set_report(&mut digest);
        round.set_report(&mut for_collectors);
        let mut reduced = digest.clone();
        round.leave_out(&mut reduced);
        let with_sums = peers.addresses_with_sums();
        let has_sums = |target: &DigestTarget| with_sums.contains(&target.0);
        let mut outgoing = Vec::new();
        if round.has_sums() {
            let instances = peers.centre_targets(round.now(), &digest.data_centre);
            for (instance, target) in instances {
                let is_target = |other: &DigestTarget| *other == target;
                let mut to_instance = match collectors.iter().any(is_target) {
                    true => for_collectors.clone(),
                    false if has_sums(&target) => reduced.clone(),
                    false => digest.clone(),
                };
                round.add_sums(&self.collector, &instance, &mut to_instance);
                targets.retain(|other| !is_target(other));
                collectors.retain(|other| !is_target(other));
                outgoing.push((to_instance, vec![target]));
            }
        }
        targets.retain(|target| !collectors.contains(target));
        let (to_reduced, to_whole) = targets.into_iter().partition(has_sums);
        round.add_own_sum(&mut for_collectors);
        outgoing.push((reduced, to_reduced));
        outgoing.push((digest, to_whole));
        outgoing.push((for_collectors, collectors));
        outgoing
    }
}
