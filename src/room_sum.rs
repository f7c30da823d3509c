//! Sum of what the instances of one data centre have running at the servers and of the demand that
//! they get, as a collector of the data centre makes it from their digests.
//!
//! The load pattern that this is designed for: demand changes many times over within a second in a
//! deployment of hundreds of instances, where the digests of all peers take seconds to arrive. Every
//! instance sends its collectors a digest in each round, so that a sum is at most a round old when it
//! is made. An instance that is killed or frozen is left out of the loads after
//! [`ROOM_SUM_TTL`]; the demand that it reported stays in the sum for [`SILENT_DEMAND_TTL`], since
//! what it admitted still counts against the limits.

use super::*;

/// Age from which a sum, or an instance's loads within a sum, are no longer used. It covers the loss
/// of several datagrams in a row.
pub const ROOM_SUM_TTL: Duration = Duration::from_millis(1_500);

/// Time for which an instance has to be a collector before it sends sums: three rounds, in which the
/// others find out that it is one and send it their digests.
pub const COLLECTOR_SETTLE_TIME: Duration = Duration::from_millis(900);

/// Time between two rounds after which a collector has been suspended, so that its inputs are out of
/// date and it has to settle anew.
const COLLECTOR_PAUSE_MAX: Duration = ROOM_SUM_TTL;

/// Hash of a server's name, in place of the name in sums.
pub type ServerHash = u32;

/// Hashes the name of a server. Two of a thousand servers share a hash in one deployment of nine
/// thousand; each then counts the load of both.
pub fn server_hash(id: &str) -> ServerHash {
    xxh3_64(id.as_bytes()) as ServerHash
}

/// What one instance contributes to the sum of its data centre.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RoomPart {
    /// Units that it admitted and that callers requested, by account.
    pub demands: HashMap<AccountName, AccountDemand>,
    /// Load that its calls put on each server; servers without any are left out.
    pub loads: HashMap<ServerName, ServerLoad>,
    /// What it sends to each service.
    pub work: HashMap<ServiceName, ServiceWork>,
}

/// Sum over the instances of one data centre.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RoomSum {
    /// Time since the sum was made.
    pub age: Duration,
    /// Hash of the name of the instance that made it.
    pub collector: u64,
    /// Data centre whose instances it covers.
    pub data_centre: DataCentreName,
    /// Demand by account, brought forward to the time at which the sum was made.
    pub demands: BTreeMap<AccountName, AccountDemand>,
    /// Number of instances whose loads it includes.
    pub instances: u32,
    /// Load by server; servers without any are left out.
    pub loads: BTreeMap<ServerHash, ServerLoad>,
    /// Mean age of the inputs when the sum was made.
    pub mean_age: Duration,
    /// Age of the oldest input when the sum was made.
    pub oldest_age: Duration,
    /// Demand by service, and the median of the estimates of its engines.
    pub work: BTreeMap<ServiceName, ServiceWork>,
}

impl RoomSum {
    /// Returns the mean age of the inputs now, by which sums are compared and expire.
    pub fn inputs_age(&self) -> Duration {
        self.age + self.mean_age
    }
}

/// A part with the time at which its sender stated it.
#[derive(Debug)]
struct Input {
    at: Duration,
    part: RoomPart,
}

impl Input {
    fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.at)
    }

    fn has_loads(&self, now: Duration) -> bool {
        self.age(now) < ROOM_SUM_TTL
    }

    /// Returns the demand by account with what the instance may have admitted since its report.
    fn demands(&self, now: Duration) -> impl Iterator<Item = (&AccountName, AccountDemand)> {
        let age = self.age(now);
        let demands = self.part.demands.iter();
        demands.map(move |(account, demand)| (account, demand.brought_forward(age)))
    }
}

/// Collects the parts of the instances of one data centre and sums them up.
#[derive(Debug, Default)]
pub struct RoomCollector {
    inputs: HashMap<InstanceName, Input>,
    last_round_at: Duration,
    /// Time since which this instance has been a collector without a pause; `None` if it is none.
    since: Option<Duration>,
}

impl RoomCollector {
    /// Replaces the part of an instance of this data centre by that of its latest digest, which it
    /// stated at `at`.
    pub fn record(&mut self, instance: &InstanceName, at: Duration, part: RoomPart) {
        let input = Input { at, part };
        match self.inputs.get_mut(instance) {
            // Of a collector that was suspended, digests arrive late.
            Some(known) if known.at > at => {}
            Some(known) => *known = input,
            None => {
                self.inputs.insert(instance.clone(), input);
            }
        }
    }

    /// Starts a round, in which this instance is a collector or not; removes inputs that no longer
    /// count.
    pub fn begin_round(&mut self, now: Duration, is_collector: bool) {
        let has_paused = now.saturating_sub(self.last_round_at) >= COLLECTOR_PAUSE_MAX;
        self.last_round_at = now;
        if !is_collector {
            self.since = None;
        } else if self.since.is_none() || has_paused {
            self.since = Some(now);
        }
        self.inputs
            .retain(|_, input| input.age(now) < SILENT_DEMAND_TTL);
    }

    /// Returns the sum over all inputs; `None` unless this instance, whose name has the hash
    /// `collector`, has been a collector for [`COLLECTOR_SETTLE_TIME`].
    pub fn sum(
        &self,
        now: Duration,
        collector: u64,
        data_centre: &DataCentreName,
    ) -> Option<RoomSum> {
        let since = self.since?;
        if now.saturating_sub(since) < COLLECTOR_SETTLE_TIME {
            return None;
        }
        let mut sum = RoomSum {
            collector,
            data_centre: data_centre.clone(),
            ..RoomSum::default()
        };
        let mut ages = Duration::ZERO;
        let mut estimates: HashMap<&ServiceName, Vec<PrefillEstimate>> = HashMap::new();
        for input in self.inputs.values() {
            for (account, demand) in input.demands(now) {
                let total = sum.demands.entry(account.clone()).or_default();
                *total = total.plus(demand);
            }
            if !input.has_loads(now) {
                continue;
            }
            sum.instances += 1;
            ages += input.age(now);
            sum.oldest_age = sum.oldest_age.max(input.age(now));
            for (server, load) in &input.part.loads {
                let total = sum.loads.entry(server_hash(server)).or_default();
                *total = total.plus(*load);
            }
            for (service, work) in &input.part.work {
                let total = sum.work.entry(service.clone()).or_default();
                total.prefill_tokens_per_s += work.prefill_tokens_per_s;
                let of_service = estimates.entry(service).or_default();
                of_service.extend(work.estimate);
            }
        }
        sum.mean_age = ages / sum.instances.max(1);
        for (service, mut estimates) in estimates {
            if let Some(total) = sum.work.get_mut(service) {
                total.estimate = PrefillEstimate::median(&mut estimates);
            }
        }
        Some(sum)
    }

    /// Returns `sum`, which was made at `now`, without the part of one instance, which knows it
    /// better.
    pub fn without(&self, now: Duration, sum: &RoomSum, instance: &InstanceName) -> RoomSum {
        let mut rest = sum.clone();
        let Some(input) = self.inputs.get(instance) else {
            return rest;
        };
        for (account, demand) in input.demands(now) {
            if let Some(total) = rest.demands.get_mut(account) {
                *total = total.minus(demand);
            }
        }
        if !input.has_loads(now) {
            return rest;
        }
        let ages = rest.mean_age * rest.instances;
        rest.instances = rest.instances.saturating_sub(1);
        rest.mean_age = ages.saturating_sub(input.age(now)) / rest.instances.max(1);
        for (server, load) in &input.part.loads {
            if let Some(total) = rest.loads.get_mut(&server_hash(server)) {
                *total = total.minus(*load);
            }
        }
        rest.loads.retain(|_, load| *load != ServerLoad::default());
        for (service, work) in &input.part.work {
            if let Some(total) = rest.work.get_mut(service) {
                let left = total.prefill_tokens_per_s - work.prefill_tokens_per_s;
                total.prefill_tokens_per_s = left.max(0.0);
            }
        }
        rest
    }
}
