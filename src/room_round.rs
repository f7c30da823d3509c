//! What an instance puts into the digests of one round, in a deployment with sums of data centres.
//!
//! The load pattern that this is designed for: hundreds of instances and servers. Sums are sent only
//! within a data centre and between collectors, and digests that go round among all instances leave
//! out what the sums contain, so that the traffic between instances stays about the same.

use super::*;

/// Largest size in bytes of a datagram with several sums. A larger one is split; UDP allows 65,507.
pub const DATAGRAM_BYTES_MAX: usize = 60_000;

/// Sums and the choice of what to leave out for one round.
#[derive(Debug, Default)]
pub struct RoomRound {
    /// Sums of the other data centres, if this instance is a collector.
    forwarded: Vec<Arc<RoomSum>>,
    /// True if this instance uses the sums of all data centres.
    has_all_sums: bool,
    now: Duration,
    /// Sum of this data centre with this instance's own part, if it is a collector.
    own_sum: Option<Arc<RoomSum>>,
}

impl RoomRound {
    /// Creates a round without sums.
    pub fn new(now: Duration) -> Self {
        Self {
            now,
            ..Self::default()
        }
    }

    /// Returns the time of the round.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Sets what a collector sends: the sum of its data centre, and those of the others.
    pub fn set_sums(&mut self, own_sum: RoomSum, forwarded: Vec<Arc<RoomSum>>) {
        self.own_sum = Some(Arc::new(own_sum));
        self.forwarded = forwarded;
    }

    /// Finds out whether the view has the sums of all data centres in `centres`. If it lacks one, the
    /// digests that go round are whole: the instances that the sum would cover may lack others.
    pub fn set_centres(&mut self, view: &RoomView, centres: &[DataCentreName]) {
        self.has_all_sums = centres.iter().all(|centre| view.covers(self.now, centre));
    }

    /// Returns true if this instance sends sums.
    pub fn has_sums(&self) -> bool {
        self.own_sum.is_some()
    }

    /// States in a digest whether this instance has the sums of all data centres.
    pub fn set_report(&self, digest: &mut PeerDigest) {
        digest.room = self.has_all_sums.then(|| RoomReport {
            has_sums: true,
            ..RoomReport::default()
        });
    }

    /// Leaves out of a digest what the sums contain, if this instance has them all; the receiver has
    /// to have them too.
    pub fn leave_out(&self, digest: &mut PeerDigest) {
        if let Some(report) = &mut digest.room {
            report.leaves_out = true;
            digest.demands = HashMap::new();
            digest.loads = HashMap::new();
            digest.work = HashMap::new();
        }
    }

    /// Adds the sum of this data centre to a digest for a collector of another one, or for the holder
    /// of the duties.
    pub fn add_own_sum(&self, digest: &mut PeerDigest) {
        if let Some(sum) = &self.own_sum {
            let report = digest.room.get_or_insert_default();
            report.sums = vec![sum.clone()];
        }
    }

    /// Adds the sums of all data centres to a digest for another instance of this one, without that
    /// instance's own part.
    pub fn add_sums(
        &self,
        collector: &RoomCollector,
        instance: &InstanceName,
        digest: &mut PeerDigest,
    ) {
        let own_sum = self.own_sum.iter();
        let own_sum = own_sum.map(|sum| Arc::new(collector.without(self.now, sum, instance)));
        let report = digest.room.get_or_insert_default();
        report.sums = own_sum.chain(self.forwarded.iter().cloned()).collect();
    }
}

/// Encodes a digest as one datagram, or with one of its sums in each if it is too large for one.
pub fn encode_datagrams(digest: &PeerDigest) -> Vec<Vec<u8>> {
    let whole = digest.encode();
    let sums = digest.room.as_ref().map_or(0, |room| room.sums.len());
    if whole.len() <= DATAGRAM_BYTES_MAX || sums < 2 {
        return vec![whole];
    }
    let mut datagrams = Vec::with_capacity(sums);
    for index in 0..sums {
        let mut digest = digest.clone();
        if let Some(room) = &mut digest.room {
            room.sums = vec![room.sums.swap_remove(index)];
        }
        datagrams.push(digest.encode());
    }
    datagrams
}
