//! How many servers of a service to keep, of which price, in which data centre.
//!
//! Reclaimable servers cost a fraction of the others and leave by the data centre with seconds of
//! notice. So they are spread over all data centres with enough to spare that the loss of one
//! centre's share can be borne until replacements have started. The load pattern this answers: a
//! reclaim of a whole centre at the height of a wave, while no reclaimable server is to be had.

use super::*;

/// Part of the time for which an engine may be busy reading prompts at the demand of now: bursts
/// come faster than a server starts, and first tokens wait behind the prompts of others.
const PREFILL_USE_TARGET: f64 = 0.5;

/// Part of its slots that an engine may have in use at the demand of now.
const SLOT_USE_TARGET: f64 = 0.4;

/// Part of the largest data centre's reclaimable servers that others stand ready to replace: their
/// notice is most of a server's start, and others cost several times as much.
const BRIDGED_PART: f64 = 0.5;

/// Part of them while reclaimable ones are refused: a reclaim comes seldom alone then, and what it
/// takes cannot be had again.
const BRIDGED_PART_DRY: f64 = 1.0;

/// Time after a refused order for reclaimable servers for which more are expected to be refused.
const DRY_TIME: Duration = Duration::from_secs(6);

/// Servers are given up only after the demand has allowed it for this long.
const SHRINK_AFTER: Duration = Duration::from_secs(12);

/// Time after which an order that did not come true is made again.
const REPEAT_AFTER: Duration = Duration::from_secs(6);

/// A surplus is given up only after it has lasted for this long, so that orders do not swing.
const GIVE_UP_AFTER: Duration = Duration::from_secs(2);

/// Time after a refused order before the next for the same kind.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);

/// An order: so many servers of a kind are wanted in a data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CapacityOrder {
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Number of servers wanted.
    pub desired: u32,
    /// Service.
    pub service: ServiceName,
    /// True for reclaimable servers.
    pub spot: bool,
}

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEnd {
    /// None are to be had there now.
    NoneAvailable,
    /// Accepted.
    Taken,
}

/// Servers of one kind in one data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KindCount {
    /// Servers that have announced that they leave.
    pub leaving: u32,
    /// Servers that take work.
    pub ready: u32,
}

/// What a plan is made from.
#[derive(Debug, Clone, Default)]
pub struct CapacityView {
    /// Servers by data centre and kind (true: reclaimable).
    pub counts: BTreeMap<(DataCentreName, bool), KindCount>,
    /// Prompt tokens a second that have to be read.
    pub prefill_tokens_per_s: f64,
    /// Prompt tokens a second that one server reads.
    pub prefill_rate_per_s: f64,
    /// Calls running.
    pub running: u32,
    /// Calls that one server runs at once.
    pub slots: u32,
}

#[derive(Debug, Default)]
struct KindState {
    ordered: Option<(Duration, u32)>,
    refused_at: Option<Duration>,
    /// Since when fewer servers are wanted than were ordered.
    surplus_since: Option<Duration>,
}

/// Orders for one service.
#[derive(Debug, Default)]
pub struct Capacity {
    /// When the first plan was made.
    began_at: Option<Duration>,
    kinds: BTreeMap<(DataCentreName, bool), KindState>,
    /// Needs of the last while, oldest first.
    needs: VecDeque<(Duration, u32)>,
    /// True once any server was known.
    seen: bool,
}

impl Capacity {
    /// Orders to make now.
    pub fn plan(
        &mut self,
        now: Duration,
        service: &ServiceName,
        policy: &CapacityPolicy,
        view: &CapacityView,
    ) -> SmallVec<[CapacityOrder; 4]> {
        let mut targets = BTreeMap::new();
        // Until the first servers are known, nothing says that none stand.
        self.seen |= !view.counts.is_empty();
        if !self.seen {
            return SmallVec::new();
        }
        let need = self.steady_need(now, policy, view);
        self.add_spot_targets(now, policy, view, need, &mut targets);
        add_other_targets(policy, view, need, self.bridged_part(now), &mut targets);
        let mut orders = SmallVec::new();
        for (key, target) in targets {
            if !self.wants_order(now, &key, target, view) {
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

    /// Takes what came of an order.
    pub fn take_end(&mut self, now: Duration, order: &CapacityOrder, end: OrderEnd) {
        let key = (order.data_centre.clone(), order.spot);
        let kind = self.kinds.entry(key).or_default();
        match end {
            OrderEnd::NoneAvailable => kind.refused_at = Some(now),
            OrderEnd::Taken => {
                kind.refused_at = None;
                kind.ordered = Some((now, order.desired));
                kind.surplus_since = None;
            }
        }
    }

    /// Most servers that the demand needed over the last while. Until this holder has watched the
    /// demand for as long, what stands is taken for what is needed and its spare.
    fn steady_need(&mut self, now: Duration, policy: &CapacityPolicy, view: &CapacityView) -> u32 {
        let began_at = *self.began_at.get_or_insert(now);
        let has_watched = now.saturating_sub(began_at) > SHRINK_AFTER;
        let need = match has_watched && view.prefill_tokens_per_s > 0.0 {
            true => need_of(view),
            false => need_of(view).max(standing_need(policy, view)),
        };
        self.needs.push_back((now, need));
        while let Some((at, _)) = self.needs.front()
            && now.saturating_sub(*at) > SHRINK_AFTER
        {
            self.needs.pop_front();
        }
        self.needs.iter().map(|(_, need)| *need).max().unwrap_or(1)
    }

    /// Reclaimable servers for each data centre: enough that the others bear the loss of one.
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
            if leaving == 0 && !self.was_refused(now, &key) {
                open.push(centre.clone());
            }
        }
        let bearing = open.len().saturating_sub(1).max(1) as u32;
        let each = need
            .div_ceil(bearing)
            .clamp(policy.servers_min, policy.servers_max);
        for centre in open {
            targets.insert((centre, true), each);
        }
    }

    /// Part of the largest data centre's reclaimable servers to have others for.
    fn bridged_part(&self, now: Duration) -> f64 {
        let is_dry = self.kinds.values().any(|kind| {
            let refused_at = kind.refused_at;
            refused_at.is_some_and(|at| now.saturating_sub(at) < DRY_TIME)
        });
        match is_dry {
            true => BRIDGED_PART_DRY,
            false => BRIDGED_PART,
        }
    }

    fn was_refused(&self, now: Duration, key: &(DataCentreName, bool)) -> bool {
        let refused_at = self.kinds.get(key).and_then(|kind| kind.refused_at);
        refused_at.is_some_and(|at| now.saturating_sub(at) < REFUSED_PAUSE)
    }

    /// True if a target differs from what is there or on its way.
    fn wants_order(
        &mut self,
        now: Duration,
        key: &(DataCentreName, bool),
        target: u32,
        view: &CapacityView,
    ) -> bool {
        if self.was_refused(now, key) {
            return false;
        }
        let ready = view.counts.get(key).map_or(0, |count| count.ready);
        let kind = self.kinds.entry(key.clone()).or_default();
        let expected = kind.ordered.map_or(ready, |(_, desired)| desired);
        if target < expected {
            let since = *kind.surplus_since.get_or_insert(now);
            return now.saturating_sub(since) >= GIVE_UP_AFTER;
        }
        kind.surplus_since = None;
        if target > expected {
            return true;
        }
        // What was ordered did not come, or was taken away.
        let overdue = kind
            .ordered
            .is_none_or(|(at, _)| now.saturating_sub(at) >= REPEAT_AFTER);
        ready < target && overdue
    }
}

fn ready_sum(view: &CapacityView, spot: bool) -> u32 {
    let of_kind = view.counts.iter().filter(|((_, kind), _)| *kind == spot);
    of_kind.map(|(_, count)| count.ready).sum()
}

/// What a fleet that stands was meant for: all of it but the spare for one data centre.
fn standing_need(policy: &CapacityPolicy, view: &CapacityView) -> u32 {
    let centres = (policy.centre_prices.len() as u32).max(1);
    let others = (ready_sum(view, false) * (centres - 1).max(1)).div_ceil(centres);
    let spot = view.counts.iter().filter(|((_, kind), _)| *kind);
    let spot_most = spot.map(|(_, count)| count.ready).max().unwrap_or(0);
    others.max(ready_sum(view, true) - spot_most)
}

fn need_of(view: &CapacityView) -> u32 {
    let by_prefill =
        view.prefill_tokens_per_s / (view.prefill_rate_per_s.max(1.0) * PREFILL_USE_TARGET);
    let by_slots = f64::from(view.running) / (f64::from(view.slots.max(1)) * SLOT_USE_TARGET);
    (by_prefill.max(by_slots).ceil() as u32).max(1)
}

/// Servers that are not reclaimable: what is missing until the need is met even without a part of
/// the largest data centre's reclaimable ones. What stands is kept before anything new is started,
/// in the cheapest data centres first.
fn add_other_targets(
    policy: &CapacityPolicy,
    view: &CapacityView,
    need: u32,
    bridged_part: f64,
    targets: &mut BTreeMap<(DataCentreName, bool), u32>,
) {
    let mut centres: Vec<&(DataCentreName, f64)> = policy.centre_prices.iter().collect();
    centres.sort_by(|a, b| a.1.total_cmp(&b.1));
    let ready = |centre: &DataCentreName, spot: bool| {
        let count = view.counts.get(&(centre.clone(), spot));
        count.map_or(0, |count| count.ready)
    };
    let spot_sum: u32 = centres.iter().map(|(centre, _)| ready(centre, true)).sum();
    let spot_most = centres.iter().map(|(centre, _)| ready(centre, true)).max();
    let at_risk = f64::from(spot_most.unwrap_or(0)) * bridged_part;
    let mut missing = need.saturating_sub(spot_sum - at_risk.ceil() as u32);
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
