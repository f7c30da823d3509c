//! One holder at a time, under numbers that only grow, whatever the log and the holders suffer.

use std::time::Duration;

use ebonyspread::LogOffset;
use ebonyspread::lease::LEASE;
use ebonyspread::lease::Lease;
use ebonyspread::lease::LeaseHolder;
use ebonyspread::lease::LeaseStep;
use ebonyspread::topic_log::AppendEnd;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const STEP: Duration = Duration::from_millis(20);

/// The topic: holders of its records. Appends whose answer was lost may still come to stand.
#[derive(Default)]
struct Topic {
    records: Vec<usize>,
    underway: Vec<(Duration, LogOffset, usize)>,
}

impl Topic {
    fn append(&mut self, at: LogOffset, holder: usize) -> AppendEnd {
        let end = self.records.len() as LogOffset;
        if at != end {
            return AppendEnd::Moved(end);
        }
        self.records.push(holder);
        AppendEnd::Appended(end)
    }
}

struct Instance {
    lease: Lease,
    paused_until: Duration,
}

struct World {
    acted: Vec<(Duration, usize, LogOffset)>,
    instances: Vec<Instance>,
    now: Duration,
    random: StdRng,
    topic: Topic,
}

impl World {
    fn new(seed: u64) -> Self {
        let instance = |_| Instance {
            lease: Lease::default(),
            paused_until: Duration::ZERO,
        };
        Self {
            acted: Vec::new(),
            instances: (0..3).map(instance).collect(),
            now: Duration::from_secs(1),
            random: StdRng::seed_from_u64(seed),
            topic: Topic::default(),
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.topic.underway)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now);
        self.topic.underway = later;
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
        match self.random.random_range(0..2_000) {
            0 => self.instances[index].paused_until = self.now + Duration::from_secs(9),
            1 => self.instances[index].lease = Lease::default(),
            _ => {}
        }
        let now = self.now;
        let step = self.instances[index].lease.next(now);
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
                lease.take_newest(now, end, holder);
            }
            LeaseStep::Read { from, .. } => {
                let lease = &mut self.instances[index].lease;
                for offset in from..self.topic.records.len() as LogOffset {
                    let is_own = self.topic.records[offset as usize] == index;
                    lease.take_record(now, offset, is_own);
                }
            }
        }
        if let Some(fence) = self.instances[index].lease.fence(now) {
            self.acted.push((now, index, fence));
        }
    }

    fn append(&mut self, index: usize, at: LogOffset) {
        let lost = self.random.random_range(0..4) == 0;
        if lost {
            let delay = Duration::from_millis(self.random.random_range(0..6_000));
            self.topic.underway.push((self.now + delay, at, index));
            self.instances[index].lease.lose_append();
            return;
        }
        let end = self.topic.append(at, index);
        let lease = &mut self.instances[index].lease;
        lease.take_append(self.now, end, true);
    }
}

#[test]
fn one_holder_acts_at_a_time_under_growing_numbers() {
    for seed in 0..60 {
        let mut world = World::new(seed);
        for _ in 0..6_000 {
            world.step();
        }
        let mut last: Option<(Duration, usize, LogOffset)> = None;
        for (at, holder, fence) in &world.acted {
            if let Some((_, last_holder, last_fence)) = last {
                assert!(*fence >= last_fence, "seed {seed}: number fell at {at:?}");
                let same = *holder == last_holder;
                assert!(same || *fence > last_fence, "seed {seed}: number shared");
            }
            last = Some((*at, *holder, *fence));
        }
        assert!(world.acted.len() > 500, "seed {seed}: nobody held it");
    }
}

#[test]
fn follower_takes_over_after_the_holder_fell_silent() {
    let mut lease = Lease::default();
    let start = Duration::from_secs(1);
    lease.take_newest(start, 7, LeaseHolder::Other);
    assert!(matches!(lease.next(start + LEASE), LeaseStep::Read { .. }));
    let later = start + LEASE + Duration::from_secs(1);
    assert_eq!(lease.next(later), LeaseStep::Append { at: 7 });
}

#[test]
fn holder_stops_before_its_lease_ends() {
    let mut lease = Lease::default();
    let start = Duration::from_secs(1);
    lease.take_newest(start, 0, LeaseHolder::Nobody);
    lease.take_append(start, AppendEnd::Appended(0), true);
    assert_eq!(lease.fence(start), Some(0));
    assert_eq!(lease.fence(start + LEASE - Duration::from_secs(1)), None);
}
