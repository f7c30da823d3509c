//! Plans how many backend servers of a service to keep in each data centre, and how many of them
//! are reclaimable or on-demand ones. Settings and prices come from the policy, the operators'
//! configuration of routes, services and accounts.
//!
//! Reclaimable (spot) servers cost a fraction of on-demand servers, but the platform can withdraw
//! all of them in a data centre with seconds of notice. So they are spread over all data centres
//! with enough spare servers that the others bear the loss of one data centre's share until
//! replacements have started. The load pattern that this is designed for: the platform reclaims a
//! whole data centre at peak demand, while no reclaimable server is available.

use super::*;

/// Target fraction of time that an engine (a model server) spends on prefill, the processing of
/// prompts, at the current demand: bursts come faster than a server starts, and first tokens wait
/// behind the prompts of other calls.
const PREFILL_UTILIZATION_TARGET: f64 = 0.5;

/// Target fraction of an engine's slots, the calls that it can run concurrently, that are in use at
/// the current demand.
const SLOT_UTILIZATION_TARGET: f64 = 0.4;

/// Part of a server's capacity that is missing while it has named a limit on its calls.
const LIMITED_LOSS: f64 = 0.5;

/// Fraction of the largest number of reclaimable servers in one data centre for which on-demand
/// servers are held in reserve: a reclaim is announced early enough to cover most of a server's
/// start time, and on-demand servers cost several times as much.
const RESERVE_FRACTION: f64 = 0.5;

/// Reserve fraction while orders for reclaimable servers are refused: then a reclaim is usually
/// followed by others, and the servers it takes cannot be replaced by reclaimable ones.
const RESERVE_FRACTION_SHORTAGE: f64 = 1.0;

/// Time after a refused order for which a shortage of reclaimable servers is assumed.
const SHORTAGE_TTL: Duration = Duration::from_secs(6);

/// Time for which the highest number of servers needed is kept: servers are released only after the
/// demand has needed fewer for this long.
const SCALE_DOWN_WINDOW: Duration = Duration::from_secs(12);

/// Time over which the need for on-demand servers is averaged. A burst is usually over before a server
/// has started, and an on-demand server costs several times as much as a reclaimable one, which is
/// ordered for each peak.
const SUSTAINED_WINDOW: Duration = Duration::from_secs(12);

/// Largest need for which on-demand servers are ordered, in multiples of the average need.
const SUSTAINED_MARGIN: f64 = 1.2;

/// Fraction of time spent on prefill from which calls wait for it. Their number then says how long
/// they wait rather than how many slots the demand needs.
const CONGESTED_UTILIZATION: f64 = 0.7;

/// Time that the calls which waited for prefill take to end, once the servers can keep up again.
const CONGESTION_TTL: Duration = Duration::from_secs(4);

/// Time after which an order whose servers have not appeared is sent again.
const ORDER_TIMEOUT: Duration = Duration::from_secs(6);

/// A surplus is released only after it has lasted for this long, so that orders do not oscillate.
const SURPLUS_DELAY: Duration = Duration::from_secs(2);

/// Time after a refused order before the next one for the same pool, the servers of one kind
/// (reclaimable or on-demand) in one data centre.
const REFUSED_BACKOFF: Duration = Duration::from_secs(2);

/// An order that sets the number of servers of one kind in a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapacityOrder {
    /// Data centre in which the servers are to run.
    pub data_centre: DataCentreName,
    /// Total number of servers to have, including those that already run; 0 releases all of them.
    pub desired: u32,
    /// Service, as named in the policy, whose calls the servers handle.
    pub service: ServiceName,
    /// True for reclaimable servers, false for on-demand ones.
    pub spot: bool,
}

/// The platform's answer to an order; an order that fails otherwise, as when there is no answer,
/// has no outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// No server of this kind is available there now.
    NoneAvailable,
    /// The order was accepted.
    Taken,
}

/// Number of registered servers of one kind (reclaimable or on-demand) in one data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolCount {
    /// Servers that have announced that they are leaving.
    pub leaving: u32,
    /// Servers that have not announced that they are leaving, including those that are ejected for
    /// failures.
    pub ready: u32,
}

/// Servers and demand of one service, as seen by the instance that plans.
#[derive(Debug, Clone, Default)]
pub struct CapacityView {
    /// Servers by data centre and kind (true for reclaimable).
    pub counts: BTreeMap<(DataCentreName, bool), PoolCount>,
    /// Estimated time in milliseconds to the first event of an answer that does not depend on the
    /// prompt.
    pub fixed_ms: f64,
    /// Number of ready servers with a limit in force on the calls that they take.
    pub limited: u32,
    /// Prompt tokens per second that all instances send to the service and that are not cached
    /// there, including those of calls that no server could take.
    pub prefill_tokens_per_s: f64,
    /// Prompt tokens per second that one server can prefill; a value below 1 is taken as 1.
    pub prefill_rate_per_s: f64,
    /// Number of calls, of all instances, that run on the service's servers.
    pub running: u32,
    /// Maximum number of calls that one server runs concurrently. It is 0 for a service without
    /// engines and is then taken as 1.
    pub slots: u32,
}

impl CapacityView {
    /// Formats the servers for the log: for each data centre and kind those that are ready and, after
    /// a minus sign, those that are leaving.
    pub fn counts_text(&self) -> String {
        let mut text = String::new();
        for ((centre, spot), count) in &self.counts {
            let separator = if text.is_empty() { "" } else { "," };
            let kind = if *spot { "spot" } else { "on-demand" };
            let _ = write!(text, "{separator}{centre}:{kind}:{}", count.ready);
            if count.leaving > 0 {
                let _ = write!(text, "-{}", count.leaving);
            }
        }
        text
    }
}

#[derive(Debug, Default)]
struct PoolState {
    /// Time of the last accepted order and the number of servers that it set.
    ordered: Option<(Duration, u32)>,
    refused_at: Option<Duration>,
    /// Time since which fewer servers are wanted than were ordered.
    surplus_since: Option<Duration>,
}

/// Servers that the demand needs, with what decided their number; for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CapacityNeed {
    /// Servers whose share of prefill would be at its target.
    pub by_prefill: f64,
    /// Servers whose slots in use would be at their target.
    pub by_slots: f64,
    /// Servers that were needed for what is ready, while the demand is not known; 0 if it is.
    pub from_ready: u32,
    /// Most servers needed within the time for which they are kept.
    pub peak: u32,
    /// Most servers for which on-demand ones are ordered.
    pub sustained: u32,
    /// Fraction of the largest data centre's reclaimable servers that on-demand servers replace.
    pub reserve_fraction: f64,
}

/// Plans the servers of one service from successive views of its demand and the orders accepted so
/// far.
#[derive(Debug, Default)]
pub struct CapacityPlanner {
    /// Time at which calls last waited for prefill.
    congested_at: Option<Duration>,
    /// Time of the first plan made after servers were seen.
    first_plan_at: Option<Duration>,
    /// Need of the last plan.
    need: CapacityNeed,
    pools: BTreeMap<(DataCentreName, bool), PoolState>,
    /// Number of servers that was needed at each plan within [`SCALE_DOWN_WINDOW`], with the time
    /// of the plan, oldest first.
    recent_needs: VecDeque<(Duration, u32)>,
    /// Servers needed for the slots in use when calls last did not wait for prefill.
    uncongested_by_slots: f64,
    /// True once [`plan`](Self::plan) was called with a view that lists a server; until then it
    /// returns no orders.
    saw_servers: bool,
}

impl CapacityPlanner {
    /// Returns orders for the pools whose target number differs from the number of servers that are
    /// ready or ordered; none until a view has listed a server. The caller passes the platform's
    /// answer to each order to [`record_outcome`](Self::record_outcome).
    pub fn plan(
        &mut self,
        now: Duration,
        service: &ServiceName,
        policy: &CapacityPolicy,
        view: &CapacityView,
    ) -> SmallVec<[CapacityOrder; 4]> {
        let mut targets = BTreeMap::new();
        // Before any server has been seen, an empty view does not mean that none are running.
        self.saw_servers |= !view.counts.is_empty();
        if !self.saw_servers {
            return SmallVec::new();
        }
        let need = self.peak_need(now, policy, view);
        self.need.peak = need;
        self.need.sustained = self.sustained_need(now).min(need);
        self.need.reserve_fraction = self.reserve_fraction(now);
        self.add_spot_targets(now, policy, view, need, &mut targets);
        add_on_demand_targets(policy, view, self.need, &mut targets);
        let mut orders = SmallVec::new();
        for (key, target) in targets {
            if !self.needs_order(now, &key, target, view) {
                continue;
            }
            let (data_centre, spot) = key;
            orders.push(CapacityOrder {
                data_centre,
                desired: target,
                service: service.clone(),
                spot,
            });
        }
        orders
    }

    /// Returns the need from which the last orders followed.
    pub fn need(&self) -> CapacityNeed {
        self.need
    }

    /// Records the answer to an order: a refusal delays the next order for its pool, and after an
    /// acceptance the next plan expects the ordered number. The caller does not call this if the
    /// order failed without an outcome, so that the next plan may repeat it.
    pub fn record_outcome(&mut self, now: Duration, order: &CapacityOrder, outcome: OrderOutcome) {
        let key = (order.data_centre.clone(), order.spot);
        let pool = self.pools.entry(key).or_default();
        match outcome {
            OrderOutcome::NoneAvailable => pool.refused_at = Some(now),
            OrderOutcome::Taken => {
                pool.refused_at = None;
                pool.ordered = Some((now, order.desired));
                pool.surplus_since = None;
            }
        }
    }

    /// Returns the most servers that the demand needed within [`SCALE_DOWN_WINDOW`]. Until this
    /// planner has observed the demand for that long, and while no prefill demand is observed, the
    /// need is at least the one that the ready servers were ordered for.
    fn peak_need(&mut self, now: Duration, policy: &CapacityPolicy, view: &CapacityView) -> u32 {
        let first_plan_at = *self.first_plan_at.get_or_insert(now);
        let has_full_window = now.saturating_sub(first_plan_at) > SCALE_DOWN_WINDOW;
        self.need.by_prefill = need_by_prefill(view);
        if prefill_utilization(view) >= CONGESTED_UTILIZATION {
            self.congested_at = Some(now);
        }
        let is_congested = self
            .congested_at
            .is_some_and(|at| now.saturating_sub(at) < CONGESTION_TTL);
        if !is_congested {
            self.uncongested_by_slots = need_by_slots(view);
        }
        self.need.by_slots = self.uncongested_by_slots;
        self.need.from_ready = match has_full_window && view.prefill_tokens_per_s > 0.0 {
            true => 0,
            false => need_from_ready(policy, view),
        };
        let need = need_from_demand(view, &self.need).max(self.need.from_ready);
        self.recent_needs.push_back((now, need));
        while let Some((at, _)) = self.recent_needs.front()
            && now.saturating_sub(*at) > SCALE_DOWN_WINDOW
        {
            self.recent_needs.pop_front();
        }
        self.recent_needs
            .iter()
            .map(|(_, need)| *need)
            .max()
            .unwrap_or(1)
    }

    /// Returns the average need within [`SUSTAINED_WINDOW`] with a margin.
    fn sustained_need(&self, now: Duration) -> u32 {
        let mut sum = 0.0;
        let mut count = 0.0;
        for (at, need) in &self.recent_needs {
            if now.saturating_sub(*at) > SUSTAINED_WINDOW {
                continue;
            }
            sum += f64::from(*need);
            count += 1.0;
        }
        (sum / f64::max(count, 1.0) * SUSTAINED_MARGIN).ceil() as u32
    }

    /// Adds the target numbers of reclaimable servers: enough in each data centre that the others
    /// can handle all calls if one is lost. A data centre with leaving servers or a recent refusal
    /// gets no target.
    fn add_spot_targets(
        &self,
        now: Duration,
        policy: &CapacityPolicy,
        view: &CapacityView,
        need: u32,
        targets: &mut BTreeMap<(DataCentreName, bool), u32>,
    ) {
        if policy.spot_price.is_none() {
            return;
        }
        let mut open: SmallVec<[DataCentreName; 4]> = SmallVec::new();
        for (centre, _) in &policy.centre_prices {
            let key = (centre.clone(), true);
            let leaving = view.counts.get(&key).map_or(0, |count| count.leaving);
            if leaving == 0 && !self.is_backing_off(now, &key) {
                open.push(centre.clone());
            }
        }
        let surviving = open.len().saturating_sub(1).max(1) as u32;
        let each = need
            .div_ceil(surviving)
            .clamp(policy.servers_min, policy.servers_max);
        for centre in open {
            targets.insert((centre, true), each);
        }
    }

    /// Returns the fraction of the largest data centre's reclaimable servers for which on-demand
    /// servers are held in reserve; it is higher during a shortage.
    fn reserve_fraction(&self, now: Duration) -> f64 {
        let is_shortage = self.pools.values().any(|pool| {
            let refused_at = pool.refused_at;
            refused_at.is_some_and(|at| now.saturating_sub(at) < SHORTAGE_TTL)
        });
        match is_shortage {
            true => RESERVE_FRACTION_SHORTAGE,
            false => RESERVE_FRACTION,
        }
    }

    fn is_backing_off(&self, now: Duration, key: &(DataCentreName, bool)) -> bool {
        let refused_at = self.pools.get(key).and_then(|pool| pool.refused_at);
        refused_at.is_some_and(|at| now.saturating_sub(at) < REFUSED_BACKOFF)
    }

    /// Returns true if a target differs from the servers that are ready or ordered, and no delay
    /// for the pool is running: the backoff after a refusal, or the delay of a surplus.
    fn needs_order(
        &mut self,
        now: Duration,
        key: &(DataCentreName, bool),
        target: u32,
        view: &CapacityView,
    ) -> bool {
        if self.is_backing_off(now, key) {
            return false;
        }
        let ready = view.counts.get(key).map_or(0, |count| count.ready);
        let pool = self.pools.entry(key.clone()).or_default();
        let expected = pool.ordered.map_or(ready, |(_, desired)| desired);
        if target < expected {
            let since = *pool.surplus_since.get_or_insert(now);
            return now.saturating_sub(since) >= SURPLUS_DELAY;
        }
        pool.surplus_since = None;
        if target > expected {
            return true;
        }
        // Fewer servers are ready than were ordered: they have not appeared, or the platform
        // withdrew them.
        let overdue = pool
            .ordered
            .is_none_or(|(at, _)| now.saturating_sub(at) >= ORDER_TIMEOUT);
        ready < target && overdue
    }
}

fn ready_sum(view: &CapacityView, spot: bool) -> u32 {
    let of_kind = view.counts.iter().filter(|((_, kind), _)| *kind == spot);
    of_kind.map(|(_, count)| count.ready).sum()
}

/// Estimates the need, in servers, that the ready servers were ordered for: their number without
/// the spare servers for the loss of one data centre.
fn need_from_ready(policy: &CapacityPolicy, view: &CapacityView) -> u32 {
    let centres = (policy.centre_prices.len() as u32).max(1);
    let on_demand = (ready_sum(view, false) * (centres - 1).max(1)).div_ceil(centres);
    let spot = view.counts.iter().filter(|((_, kind), _)| *kind);
    let spot_max = spot.map(|(_, count)| count.ready).max().unwrap_or(0);
    on_demand.max(ready_sum(view, true) - spot_max)
}

fn need_by_prefill(view: &CapacityView) -> f64 {
    view.prefill_tokens_per_s / (view.prefill_rate_per_s.max(1.0) * PREFILL_UTILIZATION_TARGET)
}

fn need_by_slots(view: &CapacityView) -> f64 {
    f64::from(view.running) / (f64::from(view.slots.max(1)) * SLOT_UTILIZATION_TARGET)
}

/// Returns the fraction of time that the ready servers spend on prefill at the current demand; above
/// 1 if they cannot keep up with it.
fn prefill_utilization(view: &CapacityView) -> f64 {
    let ready = f64::from(ready_sum(view, true) + ready_sum(view, false));
    view.prefill_tokens_per_s / (view.prefill_rate_per_s.max(1.0) * ready.max(1.0))
}

fn need_from_demand(view: &CapacityView, need: &CapacityNeed) -> u32 {
    let lost = f64::from(view.limited) * LIMITED_LOSS;
    let needed = need.by_prefill.max(need.by_slots) + lost;
    (needed.ceil() as u32).max(1)
}

/// Adds targets for on-demand servers: as many as are missing of the sustained need if the reserve
/// fraction of the reclaimable servers in the data centre with the most of them is lost. Ready servers are kept
/// before new ones are started, in the cheapest data centres first.
fn add_on_demand_targets(
    policy: &CapacityPolicy,
    view: &CapacityView,
    need: CapacityNeed,
    targets: &mut BTreeMap<(DataCentreName, bool), u32>,
) {
    let mut centres: Vec<&(DataCentreName, f64)> = policy.centre_prices.iter().collect();
    centres.sort_by(|a, b| a.1.total_cmp(&b.1));
    let ready = |centre: &DataCentreName, spot: bool| {
        let count = view.counts.get(&(centre.clone(), spot));
        count.map_or(0, |count| count.ready)
    };
    let spot_sum: u32 = centres.iter().map(|(centre, _)| ready(centre, true)).sum();
    let spot_max = centres.iter().map(|(centre, _)| ready(centre, true)).max();
    let at_risk = f64::from(spot_max.unwrap_or(0)) * need.reserve_fraction;
    let mut missing = need
        .sustained
        .saturating_sub(spot_sum - at_risk.ceil() as u32);
    for (centre, _) in &centres {
        let kept = ready(centre, false).min(missing);
        missing -= kept;
        targets.insert((centre.clone(), false), kept);
    }
    for (centre, _) in &centres {
        let room = policy.servers_max.saturating_sub(ready(centre, true));
        let target = targets.entry((centre.clone(), false)).or_default();
        let more = missing.min(room.saturating_sub(*target));
        *target += more;
        missing -= more;
    }
}
