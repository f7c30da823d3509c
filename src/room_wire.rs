//! Wire types of the sums of data centres, which collectors send in their digests. All sums of a
//! digest share one list of servers, accounts and services; their values are columns aligned to it,
//! and servers are named by hashes. The sums of three data centres over 250 servers thus take a few
//! kilobytes of the 60 that a datagram may have.

use super::*;

/// Prompt tokens in one unit of a sum.
const QUEUED_TOKENS_UNIT: u32 = 64;

/// Hundredths of answers in one unit of a sum.
const ANSWER_PARTS_UNIT: u32 = 10;

/// Milliseconds of answer times in one unit of a sum.
const TIME_UNIT_MS: u32 = 16;

/// Sums as a digest contains them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RoomReport {
    /// True if the sender uses the sums of all data centres, so that digests for it may leave out
    /// what they contain.
    pub has_sums: bool,
    /// True if the digest leaves out loads, demands and work.
    pub leaves_out: bool,
    /// Sums of data centres; empty unless the sender is a collector.
    pub sums: Vec<Arc<RoomSum>>,
}

impl From<&RoomReport> for wire::RoomReport {
    fn from(report: &RoomReport) -> Self {
        let sums = || report.sums.iter();
        let servers = sorted(sums().flat_map(|sum| sum.loads.keys().copied()));
        let accounts = sorted(sums().flat_map(|sum| sum.demands.keys()));
        let services = sorted(sums().flat_map(|sum| sum.work.keys()));
        let sums = sums().map(|sum| encode_sum(sum, &servers, &accounts, &services));
        Self {
            accounts: accounts.iter().map(ToString::to_string).collect(),
            has_sums: report.has_sums,
            leaves_out: report.leaves_out,
            services: services.iter().map(ToString::to_string).collect(),
            sums: sums.collect(),
            servers,
        }
    }
}

impl From<wire::RoomReport> for RoomReport {
    fn from(wire: wire::RoomReport) -> Self {
        let accounts: Vec<AccountName> = wire.accounts.into_iter().map(Into::into).collect();
        let services: Vec<ServiceName> = wire.services.into_iter().map(Into::into).collect();
        let sums = wire.sums.into_iter();
        Self {
            has_sums: wire.has_sums,
            leaves_out: wire.leaves_out,
            sums: sums
                .map(|sum| Arc::new(decode_sum(sum, &wire.servers, &accounts, &services)))
                .collect(),
        }
    }
}

/// Units of the values of a server's load, in the order of [`ServerLoad::values`]. Queued tokens and
/// times are rounded, so that most values take a single byte.
fn load_units() -> [u32; ServerLoad::VALUES] {
    let mut units = [1; ServerLoad::VALUES];
    units[2..2 + QUEUE_CLASSES].fill(QUEUED_TOKENS_UNIT);
    units[2 + QUEUE_CLASSES..].copy_from_slice(&[ANSWER_PARTS_UNIT, TIME_UNIT_MS, TIME_UNIT_MS]);
    units
}

fn encode_sum(
    sum: &RoomSum,
    servers: &[ServerHash],
    accounts: &[&AccountName],
    services: &[&ServiceName],
) -> wire::RoomSum {
    let mut columns = [(); ServerLoad::VALUES].map(|()| Vec::with_capacity(servers.len()));
    let mut loads = sum.loads.iter().peekable();
    for server in servers {
        // Both are in order.
        let load = loads.next_if(|(of, _)| *of == server);
        let load = load.map_or_else(ServerLoad::default, |(_, load)| *load);
        let values = load.values().into_iter().zip(load_units());
        for (column, (value, unit)) in columns.iter_mut().zip(values) {
            column.push(value.saturating_add(unit / 2) / unit);
        }
    }
    for column in &mut columns {
        let used = column.iter().rposition(|value| *value > 0);
        column.truncate(used.map_or(0, |last| last + 1));
    }
    let demands = accounts.iter().map(|account| sum.demands.get(*account));
    let demands = demands.map(|demand| demand.copied().unwrap_or_default());
    let work = services.iter().map(|service| sum.work.get(*service));
    let work = work.map(|work| work.copied().unwrap_or_default());
    let estimates = work.clone().map(|work| work.estimate);
    wire::RoomSum {
        admitted: demands.clone().map(|d| d.admitted as f32).collect(),
        age_ms: sum.age.as_millis() as u32,
        asked_per_s: demands.map(|d| d.asked_per_s as f32).collect(),
        collector: sum.collector,
        data_centre: sum.data_centre.to_string(),
        engine_fixed_ms: estimates
            .clone()
            .map(|estimate| estimate.map_or(0.0, |estimate| estimate.fixed_ms as f32))
            .collect(),
        engine_tokens_per_ms: estimates
            .map(|estimate| estimate.map_or(0.0, |estimate| estimate.tokens_per_ms as f32))
            .collect(),
        instances: sum.instances,
        loads: columns
            .map(|values| wire::RoomColumn { values })
            .into_iter()
            .collect(),
        mean_age_ms: sum.mean_age.as_millis() as u32,
        oldest_age_ms: sum.oldest_age.as_millis() as u32,
        prefill_tokens_per_s: work.map(|work| work.prefill_tokens_per_s as f32).collect(),
    }
}

/// Decodes a sum; values that a column lacks are 0.
fn decode_sum(
    wire: wire::RoomSum,
    servers: &[ServerHash],
    accounts: &[AccountName],
    services: &[ServiceName],
) -> RoomSum {
    let millis = |ms: u32| Duration::from_millis(u64::from(ms));
    let mut loads = BTreeMap::new();
    let units = load_units();
    for (index, server) in servers.iter().enumerate() {
        let load = ServerLoad::from_values(std::array::from_fn(|column_index| {
            let column = wire.loads.get(column_index);
            let value = column.and_then(|column| column.values.get(index));
            value
                .copied()
                .unwrap_or_default()
                .saturating_mul(units[column_index])
        }));
        if load != ServerLoad::default() {
            loads.insert(*server, load);
        }
    }
    let value = |column: &[f32], index| f64::from(column.get(index).copied().unwrap_or_default());
    let demands = accounts.iter().enumerate().map(|(index, account)| {
        let demand = AccountDemand {
            admitted: value(&wire.admitted, index),
            asked_per_s: value(&wire.asked_per_s, index),
        };
        (account.clone(), demand)
    });
    let work = services.iter().enumerate().map(|(index, service)| {
        let estimate = PrefillEstimate {
            fixed_ms: value(&wire.engine_fixed_ms, index),
            tokens_per_ms: value(&wire.engine_tokens_per_ms, index),
        };
        let work = ServiceWork {
            estimate: (estimate.tokens_per_ms > 0.0).then_some(estimate),
            prefill_tokens_per_s: value(&wire.prefill_tokens_per_s, index),
        };
        (service.clone(), work)
    });
    RoomSum {
        age: millis(wire.age_ms),
        collector: wire.collector,
        demands: demands.collect(),
        instances: wire.instances,
        loads,
        mean_age: millis(wire.mean_age_ms),
        oldest_age: millis(wire.oldest_age_ms),
        work: work.collect(),
        data_centre: wire.data_centre.into(),
    }
}

/// Returns the values in order, each once.
fn sorted<T: Ord>(values: impl Iterator<Item = T>) -> Vec<T> {
    let mut values: Vec<T> = values.collect();
    values.sort_unstable();
    values.dedup();
    values
}
