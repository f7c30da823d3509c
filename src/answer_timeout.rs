//! How long an attempt waits for its answer to begin before the call is sent to another server.
//!
//! Two situations have to be told apart. In the first, the platform withdraws servers, too few are
//! left, and calls queue for seconds. A call that is moved loses its place in the queue, and the
//! part of its prompt that was already processed is processed again elsewhere; a call that is
//! failed because the retry budget is empty would have been answered had it waited. In the second,
//! a server stops answering, for all calls or for some, while others would answer.

use super::*;

/// Initial timeout in multiples of the target latency of the call's route. The initial timeout is
/// the longest of this product, [`TIMEOUT_MIN`] and the expected wait multiplied by
/// [`EXPECTED_WAIT_FACTOR`].
const TARGET_LATENCY_FACTOR: f64 = 1.0;

/// Shortest timeout; with a shorter one a busy server would be taken for an unresponsive one.
const TIMEOUT_MIN: Duration = Duration::from_millis(400);

/// Initial timeout in multiples of the expected wait; above 1 because the instance's knowledge of a
/// server's queue is seconds old.
const EXPECTED_WAIT_FACTOR: f64 = 3.0;

/// Timeout at a server that answers other calls, in multiples of the initial timeout: such a
/// server is busy rather than unresponsive, though it may have lost this call.
const BUSY_FACTOR: f64 = 3.0;

/// What to do with a call whose answer has not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimeoutAction {
    /// Send it to another server; the retry has been taken from the budget.
    Retry,
    /// Wait until this long after it was sent, then decide again.
    WaitUntil(Duration),
    /// Wait until the call's deadline, because the retry budget is used up.
    WaitForDeadline,
}

/// Decides how long one attempt waits for its answer to begin; used only for calls that may be sent
/// again.
#[derive(Debug, Clone, Copy)]
pub struct AnswerTimeout {
    initial: Duration,
}

impl AnswerTimeout {
    /// Creates the timeout for a call whose route has this target latency, at a server where
    /// placement expects it to wait for `expected_wait`.
    pub fn new(target: Duration, expected_wait: Duration) -> Self {
        let initial = target.mul_f64(TARGET_LATENCY_FACTOR).max(TIMEOUT_MIN);
        Self {
            initial: initial.max(expected_wait.mul_f64(EXPECTED_WAIT_FACTOR)),
        }
    }

    /// Time after the attempt was sent at which [`decide`](Self::decide) is called first; at least
    /// 400 ms.
    pub fn initial(self) -> Duration {
        self.initial
    }

    /// Decides what to do with a call that has waited for `waited`. `server_answers` tells whether
    /// the server answered any call in that time; `take_retry` takes a retry from the budget and
    /// returns false if none is left.
    pub fn decide(
        self,
        waited: Duration,
        server_answers: bool,
        take_retry: impl FnOnce() -> bool,
    ) -> TimeoutAction {
        let busy = self.initial.mul_f64(BUSY_FACTOR);
        if server_answers && waited < busy {
            return TimeoutAction::WaitUntil(busy);
        }
        match take_retry() {
            true => TimeoutAction::Retry,
            false => TimeoutAction::WaitForDeadline,
        }
    }
}
