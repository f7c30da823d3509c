//! Prefill speed of a server relative to the mean of its service, estimated from the answers that
//! all instances get: the expected over the measured time to their first event.
//!
//! The load pattern that this is designed for: engines (model servers) of 0.6 to 1.6 times the mean
//! speed, of which some become 2.5 times slower for seconds. If all counted as equal, the slow ones
//! would get as many calls as the others, and these would wait behind each other. Answers of the
//! last seconds outweigh older ones, so that a change shows within seconds, and a server whose
//! answers are few or long past counts as one of mean speed, so that it is tried again with few
//! calls at first.

use super::*;

/// Time in which the weight of an answer halves. If the answers of a slow server end, half of its
/// deviation from the prior is forgotten after 3 to 8 s, for weights of 1 to 20 answers.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight, in answers, of the assumption that a server has the mean speed.
const PRIOR_ANSWERS: f64 = 4.0;

/// Lowest and highest speed; a server beyond them has a fault or is refusing calls.
const SPEED_RANGE: std::ops::RangeInclusive<f64> = 0.1..=3.0;

/// Ratio of two neighbouring weights for rendezvous hashing. Instances whose estimates differ by less
/// mostly choose the same server.
const WEIGHT_RATIO: f64 = 1.25;

/// Ratio between a speed and the present weight beyond which the weight changes: 0.8 steps of
/// [`WEIGHT_RATIO`]. With half a step, which rounds to the nearest weight, noise would move shared
/// parts back and forth between servers.
const WEIGHT_HYSTERESIS: f64 = 1.195;

/// Largest ratio of the measured to the expected time that is counted of an answer. It covers an
/// engine of 0.6 times the mean speed that has become 2.5 times slower; longer times are waits for
/// calls that this instance did not know of.
const SLOWEST_RATIO: f32 = 5.0;

/// Weight of all answers below which they count as none.
const ANSWERS_MIN: f64 = 0.01;

/// Weight of the answers to this instance below which it does not report them, which a single one
/// falls below in 2.6 s. A digest would name nearly all servers otherwise.
const REPORTED_ANSWERS_MIN: f32 = 0.4;

/// Sums over the answers of a server, in which older ones count exponentially less, as instances
/// report them to each other.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SpeedSums {
    /// Number of answers.
    pub answers: f32,
    /// Times to their first events that were expected at the mean speed, in milliseconds.
    pub expected_ms: f32,
    /// Times that were measured, in milliseconds.
    pub measured_ms: f32,
}

/// Number of values of [`SpeedSums::values`].
pub(crate) const SPEED_VALUES: usize = 3;

/// Answers are summed over instances in hundredths, since their weights are fractions.
const ANSWER_PARTS: f32 = 100.0;

impl SpeedSums {
    /// Returns the sums as numbers that can be summed over instances and sent in columns.
    pub(crate) fn values(self) -> [u32; SPEED_VALUES] {
        [
            (self.answers * ANSWER_PARTS).round() as u32,
            self.expected_ms.round() as u32,
            self.measured_ms.round() as u32,
        ]
    }

    /// Returns the sums with these [`values`](Self::values).
    pub(crate) fn from_values(values: [u32; SPEED_VALUES]) -> Self {
        let [answer_parts, expected_ms, measured_ms] = values;
        Self {
            answers: answer_parts as f32 / ANSWER_PARTS,
            expected_ms: expected_ms as f32,
            measured_ms: measured_ms as f32,
        }
    }

    fn aged(self, age: Duration) -> Self {
        if self.answers == 0.0 {
            return self;
        }
        let factor = (-age.as_secs_f32() / HALF_LIFE.as_secs_f32()).exp2();
        Self {
            answers: self.answers * factor,
            expected_ms: self.expected_ms * factor,
            measured_ms: self.measured_ms * factor,
        }
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            answers: self.answers + other.answers,
            expected_ms: self.expected_ms + other.expected_ms,
            measured_ms: self.measured_ms + other.measured_ms,
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            answers: (self.answers - other.answers).max(0.0),
            expected_ms: (self.expected_ms - other.expected_ms).max(0.0),
            measured_ms: (self.measured_ms - other.measured_ms).max(0.0),
        }
    }

    /// Returns the expected divided by the measured times; 1 if there are no answers.
    pub(crate) fn ratio(self) -> f64 {
        match f64::from(self.answers) < ANSWERS_MIN {
            true => 1.0,
            false => f64::from(self.expected_ms / self.measured_ms.max(f32::EPSILON)),
        }
    }

    /// Returns the speed if the service's mean ratio of expected to measured times is `mean`.
    fn speed(self, mean: f64) -> f64 {
        let answers = f64::from(self.answers);
        if answers < ANSWERS_MIN {
            return 1.0;
        }
        let expected = f64::from(self.expected_ms);
        let measured = f64::from(self.measured_ms) * mean;
        let prior_ms = PRIOR_ANSWERS * expected / answers;
        let speed = (expected + prior_ms) / (measured + prior_ms).max(f64::MIN_POSITIVE);
        speed.clamp(*SPEED_RANGE.start(), *SPEED_RANGE.end())
    }
}

/// Sums as of a time, so that they age only when they are used.
#[derive(Debug, Clone, Copy, Default)]
struct TimedSums {
    at: Duration,
    sums: SpeedSums,
}

impl TimedSums {
    fn at(self, now: Duration) -> SpeedSums {
        self.sums.aged(now.saturating_sub(self.at))
    }

    fn set(&mut self, now: Duration, sums: SpeedSums) {
        *self = Self { at: now, sums };
    }
}

/// Speed of one process of a server.
#[derive(Debug)]
pub struct ServerSpeed {
    own: TimedSums,
    of_peers: TimedSums,
    speed: f64,
    /// Weight for rendezvous hashing, a power of [`WEIGHT_RATIO`].
    weight: f64,
}

impl Default for ServerSpeed {
    /// Returns the speed of a new process, of which no answer is known.
    fn default() -> Self {
        Self {
            own: TimedSums::default(),
            of_peers: TimedSums::default(),
            speed: 1.0,
            weight: 1.0,
        }
    }
}

impl ServerSpeed {
    /// Adds an answer to this instance whose first event was expected after `expected` at the mean
    /// speed, and arrived after `measured`, without the time that does not depend on the prompt.
    pub fn observe(&mut self, now: Duration, expected: Duration, measured: Duration) {
        let expected_ms = (expected.as_secs_f32() * 1_000.0).max(f32::EPSILON);
        let slowest_ms = expected_ms * SLOWEST_RATIO;
        let fastest_ms = expected_ms / *SPEED_RANGE.end() as f32;
        let measured_ms = (measured.as_secs_f32() * 1_000.0).clamp(fastest_ms, slowest_ms);
        let answer = SpeedSums {
            answers: 1.0,
            expected_ms,
            measured_ms,
        };
        let sums = self.own.at(now).plus(answer);
        self.own.set(now, sums);
    }

    /// Returns the sums over the answers to this instance, which it reports to its peers.
    pub fn own_sums(&self, now: Duration) -> SpeedSums {
        let sums = self.own.at(now);
        match sums.answers < REPORTED_ANSWERS_MIN {
            true => SpeedSums::default(),
            false => sums,
        }
    }

    /// Returns the sums over the answers to all instances.
    pub fn sums(&self, now: Duration) -> SpeedSums {
        self.own.at(now).plus(self.of_peers.at(now))
    }

    /// Adds the report of a peer that arrives at `now`.
    pub fn add_report(&mut self, now: Duration, sums: SpeedSums) {
        let known = self.of_peers.at(now);
        self.of_peers.set(now, known.plus(sums));
    }

    /// Removes a report that arrived at `at`.
    pub fn remove_report(&mut self, now: Duration, at: Duration, sums: SpeedSums) {
        let known = self.of_peers.at(now);
        let report = sums.aged(now.saturating_sub(at));
        self.of_peers.set(now, known.minus(report));
    }

    /// Estimates the speed anew from [`sums`](Self::sums) and the mean ratio of the service.
    pub fn update(&mut self, sums: SpeedSums, mean: f64) {
        self.speed = sums.speed(mean);
        let ratio = self.speed / self.weight;
        if !(1.0 / WEIGHT_HYSTERESIS..=WEIGHT_HYSTERESIS).contains(&ratio) {
            self.weight = WEIGHT_RATIO.powf(self.speed.log(WEIGHT_RATIO).round());
        }
    }

    /// Returns the speed as of the last estimate; 1 is the mean of the service.
    pub fn speed(&self) -> f64 {
        self.speed
    }

    /// Returns the score of the server in weighted rendezvous hashing. The server with the highest
    /// score is chosen; the chance of that is proportional to the weight.
    pub(crate) fn rendezvous_score(&self, hash: u64) -> f64 {
        let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        self.weight / (-uniform.ln()).max(f64::MIN_POSITIVE)
    }
}
