//! Limits over several instances that tell each other what they admit.

use std::collections::VecDeque;
use std::time::Duration;

use ebonyspread::policy::AccountPolicy;
use ebonyspread::policy::UsageLimit;
use ebonyspread::use_limits::UseLimits;

/// The promise: a window's allowance may be passed by a tenth, beside a fixed slack.
const OVERAGE: f64 = 1.1;
const SLACK_UNITS: f64 = 72_000.0;

const WINDOW: Duration = Duration::from_secs(8);
const STEP: Duration = Duration::from_millis(10);
const TELL_EVERY: u64 = 30;
const TOLD_A_ROUND: usize = 24;
const CALL_UNITS: f64 = 3_000.0;
/// Time of an instance's start in which it does not know the others.
const START_TIME: Duration = Duration::from_millis(400);
const LARGE_CALL_UNITS: f64 = 12_000.0;
const RATE_PER_S: f64 = 160_000.0;

struct World {
    admitted: VecDeque<(Duration, f64)>,
    call_units: f64,
    instances: Vec<UseLimits>,
    now: Duration,
    owed: Vec<f64>,
    refused: u32,
    steps: u64,
    worst: f64,
}

impl World {
    fn new(count: usize) -> Self {
        let mut world = Self {
            admitted: VecDeque::new(),
            call_units: CALL_UNITS,
            instances: Vec::new(),
            now: Duration::from_secs(100),
            owed: vec![0.0; count],
            refused: 0,
            steps: 0,
            worst: 0.0,
        };
        for _ in 0..count {
            world.instances.push(started(count, Duration::ZERO));
        }
        world
    }

    /// Sets the size of calls; callers of different instances do not call at the same moment.
    fn set_call_units(&mut self, call_units: f64) {
        self.call_units = call_units;
        let count = self.owed.len();
        for (index, owed) in self.owed.iter_mut().enumerate() {
            *owed = call_units * index as f64 / count as f64;
        }
    }

    /// Kills all instances; they start again and know nothing.
    fn restart_all(&mut self) {
        for (seed, instance) in self.instances.iter_mut().enumerate() {
            *instance = UseLimits::new(WINDOW, self.now + WINDOW, seed as u64);
        }
    }

    /// Runs a while at a demand in units a second for each instance.
    fn run(&mut self, length: Duration, demand_per_s: &[f64], connected: bool) {
        let end = self.now + length;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            for (index, demand) in demand_per_s.iter().enumerate() {
                self.owed[index] += demand * STEP.as_secs_f64();
                while self.owed[index] >= self.call_units {
                    self.owed[index] -= self.call_units;
                    self.call(index);
                }
            }
            if connected && self.steps.is_multiple_of(TELL_EVERY) {
                self.tell_all();
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
        self.worst = self.worst.max(sum);
    }

    /// All instances have read in the log who the others are.
    fn know_all(&mut self) {
        let count = self.instances.len();
        for instance in &mut self.instances {
            instance.set_instances(count);
        }
    }

    /// Each instance tells the others, in large worlds some of them a round.
    fn tell_all(&mut self) {
        let count = self.instances.len();
        let round = (self.steps / TELL_EVERY) as usize;
        for from in 0..count {
            let demand = self.instances[from].demand(self.now);
            for place in 0..count.min(TOLD_A_ROUND + 1) {
                let to = (round * TOLD_A_ROUND + place) % count;
                if to == from {
                    continue;
                }
                let name = format!("entry-{from}").into();
                self.instances[to].take_peer_demand(self.now, &name, demand.clone());
            }
        }
    }

    fn assert_kept(&self) {
        let allowed = (RATE_PER_S * WINDOW.as_secs_f64() + RATE_PER_S) * OVERAGE + SLACK_UNITS;
        assert!(self.worst <= allowed, "{} of {allowed}", self.worst);
    }
}

fn started(count: usize, unknown_until: Duration) -> UseLimits {
    let mut limits = UseLimits::new(WINDOW, unknown_until, 0);
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
    let mut world = World::new(6);
    world.run(Duration::from_secs(40), &spread(RATE_PER_S / 1.8), true);
    assert_eq!(world.refused, 0);
}

#[yare::parameterized(
    just_over = { 1.3 },
    four_times = { 4.0 },
    seven_times = { 7.5 },
)]
fn sudden_demand_stays_within_the_limit(times: f64) {
    let mut world = World::new(6);
    world.run(Duration::from_secs(20), &spread(RATE_PER_S / 1.8), true);
    world.run(
        Duration::from_secs(16),
        &spread(RATE_PER_S / 1.8 * times),
        true,
    );
    world.assert_kept();
}

#[test]
fn usual_demand_of_large_calls_at_many_instances_is_not_refused() {
    let mut world = World::new(72);
    world.set_call_units(LARGE_CALL_UNITS);
    let usual = RATE_PER_S / 1.8;
    world.run(Duration::from_secs(40), &[usual / 72.0; 72], true);
    assert_eq!(world.refused, 0);
}

// Seventy instances hear of each other every second; an account sends many times its usual.
#[yare::parameterized(
    four_times = { 4.0 },
    seven_times = { 7.5 },
)]
fn sudden_demand_at_many_instances_stays_within_the_limit(times: f64) {
    let usual = RATE_PER_S / 1.8;
    let mut world = World::new(72);
    world.set_call_units(LARGE_CALL_UNITS);
    world.run(Duration::from_secs(20), &[usual / 72.0; 72], true);
    world.run(Duration::from_secs(16), &[usual * times / 72.0; 72], true);
    world.assert_kept();
}

#[test]
fn limit_holds_over_a_restart_of_all_instances() {
    let mut world = World::new(6);
    world.run(Duration::from_secs(20), &spread(RATE_PER_S / 1.8), true);
    world.run(Duration::from_secs(12), &spread(RATE_PER_S * 4.0), true);
    world.restart_all();
    world.run(START_TIME, &spread(RATE_PER_S * 4.0), false);
    world.know_all();
    world.run(Duration::from_secs(12), &spread(RATE_PER_S * 4.0), true);
    world.assert_kept();
}

#[test]
fn limit_holds_over_a_restart_of_many_instances() {
    let demand = [RATE_PER_S * 4.0 / 72.0; 72];
    let mut world = World::new(72);
    world.set_call_units(LARGE_CALL_UNITS);
    world.run(
        Duration::from_secs(20),
        &[RATE_PER_S / 1.8 / 72.0; 72],
        true,
    );
    world.run(Duration::from_secs(12), &demand, true);
    world.restart_all();
    world.run(START_TIME, &demand, false);
    world.know_all();
    world.run(Duration::from_secs(12), &demand, true);
    world.assert_kept();
}

// A planned restart: the other instances go on, and callers ask for their usual.
#[test]
fn usual_demand_after_a_restart_is_mostly_served() {
    let demand = [RATE_PER_S / 1.8 / 72.0; 72];
    let mut world = World::new(72);
    world.set_call_units(LARGE_CALL_UNITS);
    world.run(Duration::from_secs(20), &demand, true);
    world.restart_all();
    world.know_all();
    world.run(Duration::from_secs(10), &demand, true);
    let asked = RATE_PER_S / 1.8 * 10.0 / LARGE_CALL_UNITS;
    let refused = f64::from(world.refused);
    assert!(refused < asked * 0.5, "{refused} of {asked} refused");
}

#[test]
fn limit_holds_while_instances_cannot_tell_each_other() {
    let mut world = World::new(6);
    world.run(Duration::from_secs(20), &spread(RATE_PER_S * 2.0), true);
    world.run(Duration::from_secs(8), &spread(RATE_PER_S * 2.0), false);
    world.assert_kept();
}

#[test]
fn demand_at_the_limit_is_mostly_served() {
    let mut world = World::new(6);
    world.run(Duration::from_secs(20), &spread(RATE_PER_S), true);
    let before = world.refused;
    world.run(Duration::from_secs(20), &spread(RATE_PER_S), true);
    let asked = RATE_PER_S * 20.0 / CALL_UNITS;
    let refused = f64::from(world.refused - before);
    assert!(refused < asked * 0.1, "{refused} of {asked} refused");
}
