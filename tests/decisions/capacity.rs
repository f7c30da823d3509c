//! Orders of servers, replayed over reclaims of whole data centres.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyspread::DataCentreName;
use ebonyspread::capacity::Capacity;
use ebonyspread::capacity::CapacityOrder;
use ebonyspread::capacity::CapacityView;
use ebonyspread::capacity::KindCount;
use ebonyspread::capacity::OrderEnd;
use ebonyspread::policy::CapacityPolicy;

const STEP: Duration = Duration::from_millis(250);
const BOOT: Duration = Duration::from_secs(4);
const RATE_PER_S: f64 = 30_000.0;

/// Servers that come four seconds after an order and leave as ordered.
struct World {
    capacity: Capacity,
    dry: bool,
    /// Reclaimed servers with the end of their notice.
    leaving: Vec<(Duration, DataCentreName, u32)>,
    now: Duration,
    orders: Vec<(Duration, CapacityOrder)>,
    ready: BTreeMap<(DataCentreName, bool), u32>,
    starting: Vec<(Duration, DataCentreName, bool)>,
}

impl World {
    fn new(standing: u32) -> Self {
        let mut ready = BTreeMap::new();
        for centre in centres() {
            ready.insert((centre, false), standing);
        }
        Self {
            capacity: Capacity::default(),
            dry: false,
            leaving: Vec::new(),
            now: Duration::from_secs(1),
            orders: Vec::new(),
            ready,
            starting: Vec::new(),
        }
    }

    fn run(&mut self, length: Duration, prefill_tokens_per_s: f64) -> u32 {
        let end = self.now + length;
        let mut fewest = u32::MAX;
        while self.now < end {
            self.now += STEP;
            self.start_due();
            let view = self.view(prefill_tokens_per_s);
            let orders = self
                .capacity
                .plan(self.now, &"models".into(), &policy(), &view);
            for order in orders {
                self.take(order);
            }
            fewest = fewest.min(self.ready.values().sum());
        }
        fewest
    }

    fn start_due(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.starting)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.starting = later;
        for (_, centre, spot) in due {
            *self.ready.entry((centre, spot)).or_default() += 1;
        }
    }

    fn take(&mut self, order: CapacityOrder) {
        let key = (order.data_centre.clone(), order.spot);
        let ready = self.ready.get(&key).copied().unwrap_or(0);
        let of_kind = |(_, centre, spot): &&(Duration, DataCentreName, bool)| {
            *centre == order.data_centre && *spot == order.spot
        };
        let coming = self.starting.iter().filter(of_kind).count() as u32;
        let end = match self.dry && order.spot && order.desired > ready {
            true => OrderEnd::NoneAvailable,
            false => OrderEnd::Taken,
        };
        if end == OrderEnd::Taken {
            for _ in (ready + coming)..order.desired {
                let start = (self.now + BOOT, order.data_centre.clone(), order.spot);
                self.starting.push(start);
            }
            if order.desired < ready {
                self.ready.insert(key, order.desired);
            }
        }
        self.capacity.take_end(self.now, &order, end);
        self.orders.push((self.now, order));
    }

    /// Takes away all reclaimable servers of a data centre; none are to be had for a while.
    fn reclaim(&mut self, centre: &str) {
        self.ready.insert((centre.into(), true), 0);
        self.dry = true;
    }

    /// Announces the same two seconds before.
    fn reclaim_with_notice(&mut self, centre: &str) {
        let count = self.ready.insert((centre.into(), true), 0).unwrap_or(0);
        let gone_at = self.now + Duration::from_secs(2);
        self.leaving.push((gone_at, centre.into(), count));
        self.dry = true;
    }

    fn view(&self, prefill_tokens_per_s: f64) -> CapacityView {
        let mut view = CapacityView {
            prefill_rate_per_s: RATE_PER_S,
            prefill_tokens_per_s,
            running: 0,
            slots: 96,
            ..CapacityView::default()
        };
        for (key, ready) in &self.ready {
            let count = KindCount {
                leaving: 0,
                ready: *ready,
            };
            view.counts.insert(key.clone(), count);
        }
        for (gone_at, centre, count) in &self.leaving {
            if *gone_at > self.now {
                let key = (centre.clone(), true);
                view.counts.entry(key).or_default().leaving += count;
            }
        }
        view
    }

    fn of_kind(&self, spot: bool) -> u32 {
        let of_kind = self.ready.iter().filter(|((_, kind), _)| *kind == spot);
        of_kind.map(|(_, ready)| *ready).sum()
    }
}

fn centres() -> [DataCentreName; 3] {
    ["dc-0".into(), "dc-1".into(), "dc-2".into()]
}

fn policy() -> CapacityPolicy {
    let prices = [0.85, 1.2, 1.0];
    CapacityPolicy {
        servers_max: 12,
        servers_min: 1,
        spot_price: Some(0.22),
        centre_prices: centres().into_iter().zip(prices).collect(),
    }
}

#[test]
fn standing_servers_are_replaced_before_they_are_given_up() {
    let mut world = World::new(6);
    let fewest = world.run(Duration::from_secs(30), 100_000.0);
    assert_eq!(world.of_kind(false), 0);
    assert!(f64::from(fewest) * RATE_PER_S * 0.7 > 100_000.0, "{fewest}");
}

#[test]
fn loss_of_a_data_centre_leaves_what_the_demand_needs() {
    let mut world = World::new(6);
    world.run(Duration::from_secs(30), 100_000.0);
    let before = world.of_kind(true);
    world.reclaim("dc-0");
    let left = world.of_kind(true);
    assert!(
        f64::from(left) * RATE_PER_S * 0.5 > 100_000.0,
        "{left} of {before}"
    );
}

#[test]
fn second_reclaim_while_none_are_to_be_had_is_bridged() {
    let mut world = World::new(6);
    world.run(Duration::from_secs(30), 100_000.0);
    world.reclaim("dc-0");
    world.run(Duration::from_secs(6), 100_000.0);
    world.reclaim("dc-1");
    let fewest = world.run(Duration::from_secs(6), 100_000.0);
    assert!(f64::from(fewest) * RATE_PER_S * 0.7 > 100_000.0, "{fewest}");
    world.dry = false;
    world.run(Duration::from_secs(20), 100_000.0);
    assert_eq!(
        world.of_kind(false),
        0,
        "given up once reclaimable ones are back"
    );
}

#[test]
fn quiet_start_keeps_what_stands() {
    let mut world = World::new(6);
    let fewest = world.run(Duration::from_secs(12), 0.0);
    assert!(fewest >= 12, "{fewest}");
}

#[test]
fn steady_demand_needs_no_orders() {
    let mut world = World::new(6);
    world.run(Duration::from_secs(40), 100_000.0);
    let before = world.orders.len();
    world.run(Duration::from_secs(20), 100_000.0);
    assert_eq!(world.orders.len(), before);
}

#[test]
fn servers_are_ordered_again_after_all_were_lost() {
    let mut world = World::new(6);
    world.run(Duration::from_secs(30), 100_000.0);
    world.ready.clear();
    world.dry = true;
    world.run(Duration::from_secs(10), 100_000.0);
    let ready: u32 = world.ready.values().sum();
    assert!(f64::from(ready) * RATE_PER_S * 0.7 > 100_000.0, "{ready}");
}

#[test]
fn holder_that_restarted_gives_nothing_up_before_it_has_watched_the_demand() {
    let mut world = World::new(6);
    world.run(Duration::from_secs(30), 100_000.0);
    let before: u32 = world.ready.values().sum();
    world.capacity = Capacity::default();
    for part in 0..8 {
        // What instances tell of the demand builds up over seconds after a restart.
        let fewest = world.run(Duration::from_secs(1), 100_000.0 * f64::from(part) / 8.0);
        assert!(fewest >= before, "{fewest} of {before} after {part} s");
    }
}

// A reclaim while no reclaimable server is to be had is followed by those of the other centres.
#[test]
fn three_reclaims_in_a_row_leave_what_the_demand_needs() {
    let mut world = World::new(6);
    world.run(Duration::from_secs(30), 100_000.0);
    let mut fewest = u32::MAX;
    for centre in ["dc-0", "dc-1", "dc-2"] {
        world.reclaim_with_notice(centre);
        fewest = fewest.min(world.run(Duration::from_secs(5), 100_000.0));
    }
    assert!(f64::from(fewest) * RATE_PER_S * 0.5 > 100_000.0, "{fewest}");
}
