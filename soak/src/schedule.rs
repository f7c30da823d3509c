//! Event queue ordered by virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Event queue with a virtual clock and a seeded random number generator.
pub struct Schedule<E> {
    events: HashMap<u64, E>,
    next_id: u64,
    /// Virtual time since the start of the schedule.
    pub now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    /// Random number generator, the only source of randomness of a schedule.
    pub rng: StdRng,
}

impl<E> Schedule<E> {
    /// Creates an empty queue with a random number generator for the seed.
    pub fn new(seed: u64) -> Self {
        Self {
            events: HashMap::new(),
            next_id: 0,
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Adds an event after a delay.
    pub fn after(&mut self, delay: Duration, event: E) {
        self.next_id += 1;
        self.queue.push(Reverse((self.now + delay, self.next_id)));
        self.events.insert(self.next_id, event);
    }

    /// Returns the number of events added so far.
    pub fn count(&self) -> u64 {
        self.next_id
    }

    /// Removes the next event and advances the clock to its time.
    pub fn pop(&mut self) -> Option<E> {
        let Reverse((at, id)) = self.queue.pop()?;
        self.now = at;
        self.events.remove(&id)
    }

    /// Returns true with the given probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    /// Returns a random duration of at least `from` and less than `to` milliseconds.
    pub fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    /// Returns a random message latency: mostly short, sometimes long enough for later messages to
    /// arrive first.
    pub fn latency(&mut self) -> Duration {
        match self.rng.random_range(0..100) {
            0 => self.millis(1_000, 20_000),
            1..=4 => self.millis(50, 1_000),
            _ => self.millis(1, 12),
        }
    }

    /// Returns a random number below `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        self.rng.random_range(0..bound)
    }
}
