//! Counts of the answers of a service's old and new servers while a rollout runs, by route, of one
//! instance and of its peers.
//!
//! The load pattern that this is designed for: many instances, each with few answers of the new
//! side, whose reports come late, twice, out of order or not at all. Counts of a process only grow
//! within an order, so that a lost report costs nothing and the larger counts are the newer ones.
//! Counts of a process that ended are kept.

use super::*;

/// Ratio of the time to the first byte over the expected time that makes an answer slow, if it is
/// also [`SLOW_EXCESS`] longer.
const SLOW_RATIO: f64 = 2.5;

/// Time over the expected time that makes an answer slow, if it is also [`SLOW_RATIO`] times it.
const SLOW_EXCESS: Duration = Duration::from_millis(100);

/// Shortest expected time that delays are compared with. Delays of shorter ones, or of calls without
/// an expected time, are mostly those of the network and of this process.
const EXPECTED_MIN: Duration = Duration::from_millis(10);

/// Number of classes of delays. Class 0 is below a quarter of the expected time; each further one
/// begins at the square root of 2 times the one before, and the last one has no end.
pub const DELAY_CLASSES: usize = 14;

/// Number of groups of servers by which failures are counted. The canary servers are about as many.
pub const SERVER_GROUPS: usize = 16;

/// Shortest time between two marks.
const MARK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of marks; older ones are thinned out.
const MARKS_MAX: usize = 24;

/// Answers of one side on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SideCounts {
    /// All answers, including failures.
    pub answers: u32,
    /// Answers that were not failures, by the class of their delay: the time to the first byte over
    /// the expected one.
    pub delays: [u32; DELAY_CLASSES],
    /// Failures: server errors, and answers that were broken, stalled or untrusted.
    pub failures: u32,
    /// Failures by server, in groups by the hash of the server's name.
    pub failures_by_server: [u32; SERVER_GROUPS],
    /// Answers that were not failures and were slow.
    pub slow: u32,
}

/// Answers of both sides on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// Answers of servers of the target version.
    pub new: SideCounts,
    /// Answers of all other servers.
    pub old: SideCounts,
}

/// Counts by name of the route.
pub type CountsByRoute = BTreeMap<SmolStr, RouteCounts>;

/// An answer, or the end of a call without one, for the counts.
#[derive(Debug, Clone, Copy)]
pub enum AnswerSample {
    /// The server answered without a fault.
    Answered {
        /// Time to the first byte that placement expected, for a server of usual speed: a speed
        /// factor learned from the server's answers must not be part of it, since it would hide a
        /// slow version. Zero if there is no expectation.
        expected: Duration,
        /// Time from sending the call to the first byte of the answer.
        first_byte: Duration,
    },
    /// Server error, or broken, stalled or untrusted answer. Calls that the caller ended, that the
    /// server refused because it leaves, or that were never sent are no samples.
    Failed,
}

/// Counts of one process of an instance for one order, as instances report them to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TallyReport {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Start time of its process in milliseconds since 1970.
    pub life: u64,
    /// Offset of the order that the counts belong to.
    pub order: LogOffset,
    /// Counts since the order.
    pub routes: CountsByRoute,
}

/// Counts of all instances for one order, as far as this one knows them.
#[derive(Debug)]
pub struct RolloutTally {
    is_draining: bool,
    /// Sums at earlier times, oldest first.
    marks: VecDeque<(Duration, CountsByRoute)>,
    order: LogOffset,
    own: CountsByRoute,
    peers: HashMap<(InstanceName, u64), CountsByRoute>,
    sums: CountsByRoute,
}

impl RolloutTally {
    /// Creates the tally of the order at an offset, without answers.
    pub fn new(order: LogOffset) -> Self {
        Self {
            is_draining: false,
            marks: VecDeque::new(),
            order,
            own: CountsByRoute::new(),
            peers: HashMap::new(),
            sums: CountsByRoute::new(),
        }
    }

    /// Offset of the order that the counts belong to.
    pub fn order(&self) -> LogOffset {
        self.order
    }

    /// Counts an answer to a call of this instance.
    pub fn record(&mut self, route: &str, side: RolloutSide, server: &str, sample: AnswerSample) {
        for counts in [&mut self.own, &mut self.sums] {
            let counts = counts.entry(route.into()).or_default();
            match side {
                RolloutSide::Old => counts.old.record(server, sample),
                RolloutSide::New => counts.new.record(server, sample),
            }
        }
    }

    /// Applies a report of another instance. Returns false if it belongs to another order.
    pub fn merge(&mut self, report: TallyReport) -> bool {
        if report.order != self.order {
            return false;
        }
        let known = self
            .peers
            .entry((report.instance, report.life))
            .or_default();
        for (route, counts) in report.routes {
            let known = known.entry(route.clone()).or_default();
            let sum = self.sums.entry(route).or_default();
            known.old.raise_to(&counts.old, &mut sum.old);
            known.new.raise_to(&counts.new, &mut sum.new);
        }
        true
    }

    /// Remembers the sums of this time, so that the answers since then can be judged on their own.
    /// To be called before each judgement; calls in quick succession change nothing.
    pub fn mark(&mut self, now: Duration) {
        let last = self.marks.back();
        if last.is_some_and(|(at, _)| now.saturating_sub(*at) < MARK_INTERVAL) {
            return;
        }
        self.marks.push_back((now, self.sums.clone()));
        if self.marks.len() > MARKS_MAX {
            // Keeps the newer half and every second one of the older.
            let half = MARKS_MAX / 2;
            let mut index = 0;
            self.marks.retain(|_| {
                index += 1;
                index > half || index % 2 == 1
            });
        }
    }

    /// Returns the counts of this instance, for its report.
    pub fn own_counts(&self) -> &CountsByRoute {
        &self.own
    }

    /// Returns the counts of all instances since the order, by route.
    pub fn sums(&self) -> &CountsByRoute {
        &self.sums
    }

    /// Returns the answers of a route since each mark, newest mark first, and last those since the
    /// order; while the old servers drain, only those since that began.
    pub fn since_marks(&self, route: &str) -> impl Iterator<Item = RouteCounts> {
        let sums = self.sums.get(route).copied().unwrap_or_default();
        let marks = self.marks.iter().rev().map(move |(_, mark)| {
            let before = mark.get(route).copied().unwrap_or_default();
            RouteCounts {
                new: sums.new.since(&before.new),
                old: sums.old.since(&before.old),
            }
        });
        marks.chain((!self.is_draining).then_some(sums))
    }

    /// Records that all new calls go to the new version from now on, so that the sides can no longer
    /// be compared over the same time. Does nothing if that is known.
    pub fn begin_draining(&mut self, now: Duration) {
        if self.is_draining {
            return;
        }
        self.is_draining = true;
        self.marks.clear();
        self.marks.push_back((now, self.sums.clone()));
    }

    /// Returns true if [`begin_draining`](Self::begin_draining) was called.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }
}

impl RouteCounts {
    /// Adds the counts of another route or instance.
    pub fn add(&mut self, other: &Self) {
        self.new.add(&other.new);
        self.old.add(&other.old);
    }
}

impl SideCounts {
    /// Counts one answer of a server.
    pub fn record(&mut self, server: &str, sample: AnswerSample) {
        self.answers += 1;
        match sample {
            AnswerSample::Answered {
                expected,
                first_byte,
            } => {
                let excess = first_byte.saturating_sub(expected);
                let is_slow = excess > SLOW_EXCESS && first_byte > expected.mul_f64(SLOW_RATIO);
                self.slow += u32::from(is_slow);
                self.delays[delay_class(expected, first_byte)] += 1;
            }
            AnswerSample::Failed => {
                self.failures += 1;
                let group = xxh3_64(server.as_bytes()) as usize % SERVER_GROUPS;
                self.failures_by_server[group] += 1;
            }
        }
    }

    /// Adds the counts of another route or instance.
    pub fn add(&mut self, other: &Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.failures = self.failures.saturating_add(other.failures);
        self.slow = self.slow.saturating_add(other.slow);
        let delays = self.delays.iter_mut().zip(other.delays);
        let failures = self.failures_by_server.iter_mut();
        for (own, other) in delays.chain(failures.zip(other.failures_by_server)) {
            *own = own.saturating_add(other);
        }
    }

    /// Returns the answers since `before`, earlier counts of the same side.
    pub fn since(&self, before: &Self) -> Self {
        let mut counts = *self;
        counts.answers = counts.answers.saturating_sub(before.answers);
        counts.failures = counts.failures.saturating_sub(before.failures);
        counts.slow = counts.slow.saturating_sub(before.slow);
        let delays = counts.delays.iter_mut().zip(before.delays);
        let failures = counts.failures_by_server.iter_mut();
        for (own, before) in delays.chain(failures.zip(before.failures_by_server)) {
            *own = own.saturating_sub(before);
        }
        counts
    }

    /// Raises counts of one process to newer ones of the same process, and `sum` by the difference.
    fn raise_to(&mut self, newer: &Self, sum: &mut Self) {
        if newer.answers <= self.answers {
            return;
        }
        sum.add(&newer.since(self));
        *self = *newer;
    }
}

/// Class of a delay, below [`DELAY_CLASSES`].
fn delay_class(expected: Duration, first_byte: Duration) -> usize {
    let ratio = first_byte.as_secs_f64() / expected.max(EXPECTED_MIN).as_secs_f64();
    let class = (2.0 * (ratio * 4.0).log2()).floor() + 1.0;
    class.clamp(0.0, (DELAY_CLASSES - 1) as f64) as usize
}
