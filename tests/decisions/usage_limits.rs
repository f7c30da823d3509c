//! Usage limits over several instances that report to each other what they admit.

use std::collections::VecDeque;
use std::time::Duration;

use ebonyspread::policy::AccountPolicy;
use ebonyspread::policy::UsageLimit;
use ebonyspread::usage_limits::UsageLimits;

/// Guaranteed bound: a window's allowance may be exceeded by a tenth plus a fixed slack.
const OVERRUN_FACTOR: f64 = 1.1;
const SLACK_UNITS: f64 = 72_000.0;

const WINDOW: Duration = Duration::from_secs(8);
const STEP: Duration = Duration::from_millis(10);
const REPORT_INTERVAL_STEPS: u64 = 30;
const RECEIVERS_PER_ROUND: usize = 24;
const CALL_UNITS: f64 = 3_000.0;
/// Time after its start in which an instance does not know the others.
const START_TIME: Duration = Duration::from_millis(400);
const LARGE_CALL_UNITS: f64 = 12_000.0;
const RATE_PER_S: f64 = 160_000.0;

struct Simulation {
    admitted: VecDeque<(Duration, f64)>,
    call_units: f64,
    instances: Vec<UsageLimits>,
    now: Duration,
    pending_units: Vec<f64>,
    refused: u32,
    steps: u64,
    window_max: f64,
}

impl Simulation {
    fn new(count: usize) -> Self {
        let mut simulation = Self {
            admitted: VecDeque::new(),
            call_units: CALL_UNITS,
            instances: Vec::new(),
            now: Duration::from_secs(100),
            pending_units: vec![0.0; count],
            refused: 0,
            steps: 0,
            window_max: 0.0,
        };
        for _ in 0..count {
            simulation.instances.push(started(count, Duration::ZERO));
        }
        simulation
    }

    /// Sets the units of each call and staggers the calls of different instances.
    fn set_call_units(&mut self, call_units: f64) {
        self.call_units = call_units;
        let count = self.pending_units.len();
        for (index, pending_units) in self.pending_units.iter_mut().enumerate() {
            *pending_units = call_units * index as f64 / count as f64;
        }
    }

    /// Restarts all instances without their state.
    fn restart_all(&mut self) {
        for (seed, instance) in self.instances.iter_mut().enumerate() {
            *instance = UsageLimits::new(WINDOW, self.now + WINDOW, seed as u64);
        }
    }

    /// Runs for `length` at a demand in units per second for each instance.
    fn run(&mut self, length: Duration, demand_per_s: &[f64], connected: bool) {
        let end = self.now + length;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            for (index, demand) in demand_per_s.iter().enumerate() {
                self.pending_units[index] += demand * STEP.as_secs_f64();
                while self.pending_units[index] >= self.call_units {
                    self.pending_units[index] -= self.call_units;
                    self.call(index);
                }
            }
            if connected && self.steps.is_multiple_of(REPORT_INTERVAL_STEPS) {
                self.report_all();
            }
        }
    }

    fn call(&mut self, index: usize) {
        let admitted = self.instances[index].admit(self.now, &account(), self.call_units);
        if admitted.is_err() {
            self.refused += 1;
            return;
        }
        self.admitted.push_back((self.now, self.call_units));
        while self.admitted[0].0 + WINDOW < self.now {
            self.admitted.pop_front();
        }
        let sum: f64 = self.admitted.iter().map(|(_, units)| units).sum();
        self.window_max = self.window_max.max(sum);
    }

    /// Sets the number of instances at all of them, as once they have read it from the log.
    fn set_instance_counts(&mut self) {
        let count = self.instances.len();
        for instance in &mut self.instances {
            instance.set_instances(count);
        }
    }

    /// Each instance reports its demand to the others; with many instances, to a rotating subset.
    fn report_all(&mut self) {
        let count = self.instances.len();
        let round = (self.steps / REPORT_INTERVAL_STEPS) as usize;
        for from in 0..count {
            let demand = self.instances[from].demand(self.now);
            for offset in 0..count.min(RECEIVERS_PER_ROUND + 1) {
                let to = (round * RECEIVERS_PER_ROUND + offset) % count;
                if to == from {
                    continue;
                }
                let name = format!("entry-{from}").into();
                // Sums of data centres are off on the platform.
                self.instances[to].update_peer_demand(
                    self.now,
                    &name,
                    &"dc-0".into(),
                    demand.clone(),
                );
            }
        }
    }

    fn assert_within_limit(&self) {
        let allowed =
            (RATE_PER_S * WINDOW.as_secs_f64() + RATE_PER_S) * OVERRUN_FACTOR + SLACK_UNITS;
        assert!(
            self.window_max <= allowed,
            "{} of {allowed}",
            self.window_max
        );
    }
}

fn started(count: usize, usage_unknown_until: Duration) -> UsageLimits {
    let mut limits = UsageLimits::new(WINDOW, usage_unknown_until, 0);
    limits.set_instances(count);
    limits
}

fn account() -> AccountPolicy {
    AccountPolicy {
        keys: ["key".into()].into_iter().collect(),
        limit: Some(UsageLimit {
            burst: RATE_PER_S,
            in_tokens: true,
            plain_call_units: 200.0,
            rate_per_s: RATE_PER_S,
        }),
        name: "quayside".into(),
        priority: None,
    }
}

fn spread(total_per_s: f64) -> Vec<f64> {
    let parts = [0.11, 0.07, 0.12, 0.15, 0.16, 0.39];
    parts.iter().map(|part| part * total_per_s).collect()
}

#[test]
fn usual_demand_is_never_refused() {
    let mut simulation = Simulation::new(6);
    simulation.run(Duration::from_secs(40), &spread(RATE_PER_S / 1.8), true);
    assert_eq!(simulation.refused, 0);
}

#[yare::parameterized(
    just_over = { 1.3 },
    four_times = { 4.0 },
    seven_times = { 7.5 },
)]
fn sudden_demand_stays_within_the_limit(times: f64) {
    let mut simulation = Simulation::new(6);
    simulation.run(Duration::from_secs(20), &spread(RATE_PER_S / 1.8), true);
    simulation.run(
        Duration::from_secs(16),
        &spread(RATE_PER_S / 1.8 * times),
        true,
    );
    simulation.assert_within_limit();
}

#[test]
fn usual_demand_of_large_calls_at_many_instances_is_not_refused() {
    let mut simulation = Simulation::new(72);
    simulation.set_call_units(LARGE_CALL_UNITS);
    let usual = RATE_PER_S / 1.8;
    simulation.run(Duration::from_secs(40), &[usual / 72.0; 72], true);
    assert_eq!(simulation.refused, 0);
}

// Each of 72 instances receives every other one's report about once a second; an account sends many
// times its usual demand.
#[yare::parameterized(
    four_times = { 4.0 },
    seven_times = { 7.5 },
)]
fn sudden_demand_at_many_instances_stays_within_the_limit(times: f64) {
    let usual = RATE_PER_S / 1.8;
    let mut simulation = Simulation::new(72);
    simulation.set_call_units(LARGE_CALL_UNITS);
    simulation.run(Duration::from_secs(20), &[usual / 72.0; 72], true);
    simulation.run(Duration::from_secs(16), &[usual * times / 72.0; 72], true);
    simulation.assert_within_limit();
}

// A fixed smallest share of each instance sums to several times the limit where there are hundreds.
#[yare::parameterized(
    four_times = { 4.0 },
    seven_times = { 7.5 },
)]
fn sudden_demand_at_hundreds_of_instances_stays_within_the_limit(times: f64) {
    let mut simulation = Simulation::new(295);
    simulation.run(
        Duration::from_secs(12),
        &uneven(295, RATE_PER_S / 1.8),
        true,
    );
    let demand = uneven(295, RATE_PER_S / 1.8 * times);
    simulation.run(Duration::from_secs(12), &demand, true);
    simulation.assert_within_limit();
}

#[test]
fn limit_holds_over_a_restart_of_all_instances() {
    let mut simulation = Simulation::new(6);
    simulation.run(Duration::from_secs(20), &spread(RATE_PER_S / 1.8), true);
    simulation.run(Duration::from_secs(12), &spread(RATE_PER_S * 4.0), true);
    simulation.restart_all();
    simulation.run(START_TIME, &spread(RATE_PER_S * 4.0), false);
    simulation.set_instance_counts();
    simulation.run(Duration::from_secs(12), &spread(RATE_PER_S * 4.0), true);
    simulation.assert_within_limit();
}

#[test]
fn limit_holds_over_a_restart_of_many_instances() {
    let demand = [RATE_PER_S * 4.0 / 72.0; 72];
    let mut simulation = Simulation::new(72);
    simulation.set_call_units(LARGE_CALL_UNITS);
    simulation.run(
        Duration::from_secs(20),
        &[RATE_PER_S / 1.8 / 72.0; 72],
        true,
    );
    simulation.run(Duration::from_secs(12), &demand, true);
    simulation.restart_all();
    simulation.run(START_TIME, &demand, false);
    simulation.set_instance_counts();
    simulation.run(Duration::from_secs(12), &demand, true);
    simulation.assert_within_limit();
}

// All instances restart at the usual demand and know at once how many there are.
#[test]
fn usual_demand_after_a_restart_is_mostly_served() {
    let demand = [RATE_PER_S / 1.8 / 72.0; 72];
    let mut simulation = Simulation::new(72);
    simulation.set_call_units(LARGE_CALL_UNITS);
    simulation.run(Duration::from_secs(20), &demand, true);
    simulation.restart_all();
    simulation.set_instance_counts();
    simulation.run(Duration::from_secs(10), &demand, true);
    let asked = RATE_PER_S / 1.8 * 10.0 / LARGE_CALL_UNITS;
    let refused = f64::from(simulation.refused);
    assert!(refused < asked * 0.5, "{refused} of {asked} refused");
}

/// Demand of many instances of which a few get most of the calls, as a hash of the callers spreads
/// them.
fn uneven(count: usize, total_per_s: f64) -> Vec<f64> {
    let weight = |index: usize| f64::from((index * 7_919 % 97) as u32).powi(3);
    let sum: f64 = (0..count).map(weight).sum();
    (0..count)
        .map(|index| weight(index) / sum * total_per_s)
        .collect()
}

// After all instances have restarted, an equal share of the limit refused most of what the busier
// ones got, for the whole window.
#[yare::parameterized(
    standard = { 6, 0.05 },
    grown = { 85, 0.1 },
    large = { 295, 0.2 },
)]
fn usual_uneven_demand_after_a_restart_is_served(count: usize, refused_max: f64) {
    let demand = uneven(count, RATE_PER_S / 1.8);
    let mut simulation = Simulation::new(count);
    simulation.run(Duration::from_secs(12), &demand, true);
    simulation.restart_all();
    simulation.set_instance_counts();
    simulation.run(Duration::from_secs(10), &demand, true);
    let asked = RATE_PER_S / 1.8 * 10.0 / CALL_UNITS;
    let refused = f64::from(simulation.refused);
    assert!(
        refused < asked * refused_max,
        "{refused} of {asked} refused"
    );
    simulation.assert_within_limit();
}

#[yare::parameterized(
    standard = { 6 },
    grown = { 85 },
    large = { 295 },
)]
fn limit_holds_over_a_restart_at_uneven_demand_above_it(count: usize) {
    let mut simulation = Simulation::new(count);
    let usual = uneven(count, RATE_PER_S / 1.8);
    simulation.run(Duration::from_secs(12), &usual, true);
    let demand = uneven(count, RATE_PER_S * 4.0);
    simulation.run(Duration::from_secs(9), &demand, true);
    simulation.restart_all();
    simulation.run(START_TIME, &demand, false);
    simulation.set_instance_counts();
    simulation.run(Duration::from_secs(12), &demand, true);
    simulation.assert_within_limit();
}

#[test]
fn limit_holds_while_instances_cannot_report_to_each_other() {
    let mut simulation = Simulation::new(6);
    simulation.run(Duration::from_secs(20), &spread(RATE_PER_S * 2.0), true);
    simulation.run(Duration::from_secs(8), &spread(RATE_PER_S * 2.0), false);
    simulation.assert_within_limit();
}

#[test]
fn demand_at_the_limit_is_mostly_served() {
    let mut simulation = Simulation::new(6);
    simulation.run(Duration::from_secs(20), &spread(RATE_PER_S), true);
    let before = simulation.refused;
    simulation.run(Duration::from_secs(20), &spread(RATE_PER_S), true);
    let asked = RATE_PER_S * 20.0 / CALL_UNITS;
    let refused = f64::from(simulation.refused - before);
    assert!(refused < asked * 0.1, "{refused} of {asked} refused");
}
