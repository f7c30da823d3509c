//! How long a call waits for its answer to begin before another server gets it.
//!
//! Load pattern: a reclaim leaves too few servers, and calls wait for seconds in their queues. A
//! call that is taken away there loses its place, and what was read of its prompt is read again
//! elsewhere; a call that is given up for want of a retry fails though it would have been answered.
//! Fault pattern: a server falls silent, for all calls or for some, while others would answer.

use super::*;

/// Time for the answer to begin, in target latencies.
const TARGETS: f64 = 1.0;

/// Least time; shorter would take a busy server for a silent one.
const LEAST: Duration = Duration::from_millis(400);

/// Time in expected waits: what is known of a server's queue is seconds old.
const EXPECTED_WAITS: f64 = 3.0;

/// Time at a server that answers other calls, in first patiences: such a server is busy rather
/// than silent, though it may have lost this call.
const BUSY_FACTOR: f64 = 3.0;

/// What to do with a call whose answer has not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PatienceEnd {
    /// Send it to another server; the retry is paid.
    Move,
    /// Wait until so long after it was sent.
    WaitUntil(Duration),
    /// Wait as long as the caller does.
    WaitToEnd,
}

/// Patience with one attempt.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    first: Duration,
}

impl Patience {
    /// Patience with a call of a target latency at a server where it is expected to wait.
    pub fn new(target: Duration, expected_wait: Duration) -> Self {
        let first = target.mul_f64(TARGETS).max(LEAST);
        Self {
            first: first.max(expected_wait.mul_f64(EXPECTED_WAITS)),
        }
    }

    /// Time after which [`end`](Self::end) decides.
    pub fn first(self) -> Duration {
        self.first
    }

    /// Decides after a call has waited. `server_answers` tells whether the server answered any call
    /// meanwhile; `pay` takes a retry from the budget, if there is one.
    pub fn end(
        self,
        waited: Duration,
        server_answers: bool,
        pay: impl FnOnce() -> bool,
    ) -> PatienceEnd {
        let busy = self.first.mul_f64(BUSY_FACTOR);
        if server_answers && waited < busy {
            return PatienceEnd::WaitUntil(busy);
        }
        match pay() {
            true => PatienceEnd::Move,
            false => PatienceEnd::WaitToEnd,
        }
    }
}
