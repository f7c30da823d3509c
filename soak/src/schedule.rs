//! Events in the order of virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Queue of events with the virtual clock and the schedule's random numbers.
pub struct Schedule<E> {
    events: HashMap<u64, E>,
    next_id: u64,
    /// Virtual time since the start.
    pub now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    /// Random numbers of the schedule.
    pub rng: StdRng,
}

impl<E> Schedule<E> {
    /// Creates an empty queue.
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

    /// Number of events so far.
    pub fn count(&self) -> u64 {
        self.next_id
    }

    /// Takes the next event and sets the clock to its time.
    pub fn pop(&mut self) -> Option<E> {
        let Reverse((at, id)) = self.queue.pop()?;
        self.now = at;
        self.events.remove(&id)
    }

    /// True with a probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    /// A duration between two bounds, in milliseconds.
    pub fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    /// Latency of a message: mostly short, now and then long enough to be overtaken.
    pub fn latency(&mut self) -> Duration {
        match self.rng.random_range(0..100) {
            0 => self.millis(1_000, 20_000),
            1..=4 => self.millis(50, 1_000),
            _ => self.millis(1, 12),
        }
    }

    /// A number below a bound.
    pub fn below(&mut self, bound: usize) -> usize {
        self.rng.random_range(0..bound)
    }
}
