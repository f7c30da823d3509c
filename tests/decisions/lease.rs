//! At most one instance holds the lease at a time, under fencing tokens that only grow. The
//! simulation loses and delays appends, suspends instances and restarts them.

use std::time::Duration;

use ebonyspread::LogOffset;
use ebonyspread::lease::LEASE_DURATION;
use ebonyspread::lease::Lease;
use ebonyspread::lease::LeaseHolder;
use ebonyspread::lease::LeaseStep;
use ebonyspread::topic_log::AppendOutcome;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const STEP: Duration = Duration::from_millis(20);

/// Simulated topic: the holder of each record, and the appends whose answer was lost but that may
/// still take effect.
#[derive(Default)]
struct Topic {
    records: Vec<usize>,
    delayed: Vec<(Duration, LogOffset, usize)>,
}

impl Topic {
    fn append(&mut self, at: LogOffset, holder: usize) -> AppendOutcome {
        let end = self.records.len() as LogOffset;
        if at != end {
            return AppendOutcome::EndMismatch(end);
        }
        self.records.push(holder);
        AppendOutcome::Appended(end)
    }
}

struct Instance {
    lease: Lease,
    paused_until: Duration,
}

struct Simulation {
    actions: Vec<(Duration, usize, LogOffset)>,
    instances: Vec<Instance>,
    now: Duration,
    rng: StdRng,
    topic: Topic,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let instance = |_| Instance {
            lease: Lease::default(),
            paused_until: Duration::ZERO,
        };
        Self {
            actions: Vec::new(),
            instances: (0..3).map(instance).collect(),
            now: Duration::from_secs(1),
            rng: StdRng::seed_from_u64(seed),
            topic: Topic::default(),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.topic.delayed)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now);
        self.topic.delayed = later;
        for (_, at, holder) in due {
            self.topic.append(at, holder);
        }
        for index in 0..self.instances.len() {
            self.step_instance(index);
        }
    }

    fn step_instance(&mut self, index: usize) {
        if self.instances[index].paused_until > self.now {
            return;
        }
        match self.rng.random_range(0..2_000) {
            0 => self.instances[index].paused_until = self.now + Duration::from_secs(9),
            1 => self.instances[index].lease = Lease::default(),
            _ => {}
        }
        let now = self.now;
        let step = self.instances[index].lease.next_step(now);
        match step {
            LeaseStep::Append { at } => self.append(index, at),
            LeaseStep::Newest => {
                let holder = match self.topic.records.last() {
                    None => LeaseHolder::Nobody,
                    Some(holder) if *holder == index => LeaseHolder::Own,
                    Some(_) => LeaseHolder::Other,
                };
                let end = self.topic.records.len() as LogOffset;
                let lease = &mut self.instances[index].lease;
                lease.observe_newest(now, end, holder);
            }
            LeaseStep::Read { from, .. } => {
                let lease = &mut self.instances[index].lease;
                for offset in from..self.topic.records.len() as LogOffset {
                    let is_own = self.topic.records[offset as usize] == index;
                    lease.observe_record(now, offset, is_own);
                }
            }
        }
        if let Some(fencing_token) = self.instances[index].lease.fencing_token(now) {
            self.actions.push((now, index, fencing_token));
        }
    }

    fn append(&mut self, index: usize, at: LogOffset) {
        let lost = self.rng.random_range(0..4) == 0;
        if lost {
            let delay = Duration::from_millis(self.rng.random_range(0..6_000));
            self.topic.delayed.push((self.now + delay, at, index));
            self.instances[index].lease.mark_append_unknown();
            return;
        }
        let outcome = self.topic.append(at, index);
        let lease = &mut self.instances[index].lease;
        lease.observe_append(self.now, outcome, true);
    }
}

#[test]
fn one_holder_acts_at_a_time_under_growing_tokens() {
    for seed in 0..60 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..6_000 {
            simulation.step();
        }
        let mut last: Option<(Duration, usize, LogOffset)> = None;
        for (at, holder, fencing_token) in &simulation.actions {
            if let Some((_, last_holder, last_token)) = last {
                assert!(
                    *fencing_token >= last_token,
                    "seed {seed}: fencing token decreased at {at:?}"
                );
                let same = *holder == last_holder;
                assert!(
                    same || *fencing_token > last_token,
                    "seed {seed}: fencing token used by two holders"
                );
            }
            last = Some((*at, *holder, *fencing_token));
        }
        assert!(
            simulation.actions.len() > 500,
            "seed {seed}: the lease was hardly ever held"
        );
    }
}

#[test]
fn follower_takes_over_after_the_holder_stops_renewing() {
    let mut lease = Lease::default();
    let start = Duration::from_secs(1);
    lease.observe_newest(start, 7, LeaseHolder::Other);
    assert!(matches!(
        lease.next_step(start + LEASE_DURATION),
        LeaseStep::Read { .. }
    ));
    let later = start + LEASE_DURATION + Duration::from_secs(1);
    assert_eq!(lease.next_step(later), LeaseStep::Append { at: 7 });
}

#[test]
fn holder_stops_before_its_lease_ends() {
    let mut lease = Lease::default();
    let start = Duration::from_secs(1);
    lease.observe_newest(start, 0, LeaseHolder::Nobody);
    lease.observe_append(start, AppendOutcome::Appended(0), true);
    assert_eq!(lease.fencing_token(start), Some(0));
    assert_eq!(
        lease.fencing_token(start + LEASE_DURATION - Duration::from_secs(1)),
        None
    );
}
