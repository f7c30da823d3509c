//! At most one instance holds the lease at a time, under fencing tokens that only grow. The
//! simulation loses and delays appends, suspends instances and restarts them.

use std::time::Duration;

use ebonyspread::LogOffset;
use ebonyspread::lease::LEASE_DURATION;
use ebonyspread::lease::Lease;
use ebonyspread::lease::LeaseHolder;
use ebonyspread::lease::LeaseStep;
use ebonyspread::log_era::LogEra;
use ebonyspread::log_era::era_of;
use ebonyspread::log_era::number_of;
use ebonyspread::log_era::offset_in;
use ebonyspread::topic_log::AppendOutcome;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const STEP: Duration = Duration::from_millis(20);

/// Simulated topic: the holder of each record and the era in which it was appended, and the appends
/// whose answer was lost but that may still take effect.
#[derive(Default)]
struct Topic {
    records: Vec<(usize, LogEra)>,
    delayed: Vec<(Duration, LogOffset, usize)>,
    era: LogEra,
}

impl Topic {
    fn end(&self) -> LogOffset {
        offset_in(self.era, self.records.len() as u64)
    }

    /// Appends a record if the topic ends at the number of `at`, whatever the era of `at` is.
    /// Returns `None` if that is another one, so that the outcome counts as unknown.
    fn append(&mut self, at: LogOffset, holder: usize) -> Option<AppendOutcome> {
        let end = self.end();
        if number_of(at) != number_of(end) {
            return Some(AppendOutcome::EndMismatch(end));
        }
        self.records.push((holder, era_of(at)));
        (era_of(at) == self.era).then_some(AppendOutcome::Appended(end))
    }

    /// Comes back without the last `count` records.
    fn restore(&mut self, count: usize) {
        let kept = self.records.len().saturating_sub(count);
        self.records.truncate(kept);
        self.era += 1;
    }

    /// Holder of the lease by the newest record; one of an earlier era tells nothing.
    fn holder(&self, index: usize) -> LeaseHolder {
        match self.records.last() {
            None if self.era == 0 => LeaseHolder::Nobody,
            Some((holder, era)) if *era == self.era && *holder == index => LeaseHolder::Own,
            None | Some(_) => LeaseHolder::Other,
        }
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
    /// Chance of a restore at each step, one in this many; 0 for none.
    restore_interval: u32,
    topic: Topic,
}

impl Simulation {
    fn new(seed: u64, restore_interval: u32) -> Self {
        let instance = |_| Instance {
            lease: Lease::default(),
            paused_until: Duration::ZERO,
        };
        Self {
            actions: Vec::new(),
            instances: (0..3).map(instance).collect(),
            now: Duration::from_secs(1),
            rng: StdRng::seed_from_u64(seed),
            restore_interval,
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
        if self.restore_interval > 0 && self.rng.random_range(0..self.restore_interval) == 0 {
            let count = self.rng.random_range(0..8);
            self.topic.restore(count);
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
                let holder = self.topic.holder(index);
                let end = self.topic.end();
                let lease = &mut self.instances[index].lease;
                lease.observe_newest(now, end, holder);
            }
            LeaseStep::Read { from, .. } => {
                let lease = &mut self.instances[index].lease;
                let end = self.topic.end();
                if era_of(from) != self.topic.era || from > end {
                    lease.mark_append_unknown();
                    return;
                }
                for offset in from..end {
                    let (holder, _) = self.topic.records[number_of(offset) as usize];
                    lease.observe_record(now, offset, holder == index);
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
        match outcome {
            Some(outcome) => lease.observe_append(self.now, outcome, true),
            None => lease.mark_append_unknown(),
        }
    }
}

#[yare::parameterized(
    log_is_kept = { 0 },
    log_is_restored_each_minute = { 3_000 },
    log_is_restored_each_ten_seconds = { 500 },
)]
fn one_holder_acts_at_a_time_under_growing_tokens(restore_interval: u32) {
    for seed in 0..60 {
        let mut simulation = Simulation::new(seed, restore_interval);
        for _ in 0..6_000 {
            simulation.step();
        }
        let mut last: Option<(Duration, usize, LogOffset)> = None;
        let mut before_last: Option<(Duration, usize)> = None;
        for (at, holder, fencing_token) in &simulation.actions {
            if let Some((last_at, last_holder, last_token)) = last {
                assert!(
                    *fencing_token >= last_token,
                    "seed {seed}: fencing token decreased at {at:?}"
                );
                let same = *holder == last_holder;
                if !same {
                    let returned = before_last.is_some_and(|(until, before)| {
                        before == *holder && *at < until + Duration::from_secs(3)
                    });
                    assert!(
                        !returned,
                        "seed {seed}: holder returned within 3 s at {at:?}"
                    );
                    before_last = Some((last_at, last_holder));
                }
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
