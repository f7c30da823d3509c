//! Exponentially weighted average of a rate over the last few seconds.

use super::*;

/// Time constant of the average: long enough to smooth bursts, short enough to follow callers that
/// move to another instance.
const TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Average of amounts per second, such as calls or tokens, in which older amounts count
/// exponentially less.
#[derive(Debug, Default)]
pub struct DecayingRate {
    at: Duration,
    per_s: f64,
}

impl DecayingRate {
    /// Adds an amount, such as a number of tokens, that occurred at `now`. Its contribution to the
    /// average halves about every 3 s.
    pub fn add(&mut self, now: Duration, amount: f64) {
        self.per_s = self.at(now) + amount / TIME_CONSTANT.as_secs_f64();
        self.at = now;
    }

    /// Returns the average per second at `now`; 0 before the first amount.
    pub fn at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.per_s * (-elapsed / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
