//! A rate that is averaged over the last few seconds.

use super::*;

/// Time over which it is averaged: long enough to smooth bursts, short enough to follow callers
/// that move to another instance.
const SPAN: Duration = Duration::from_secs(4);

/// Sum that decays exponentially, as a rate a second.
#[derive(Debug, Default)]
pub struct DecayingRate {
    at: Duration,
    per_s: f64,
}

impl DecayingRate {
    /// Adds an amount.
    pub fn add(&mut self, now: Duration, amount: f64) {
        self.per_s = self.at(now) + amount / SPAN.as_secs_f64();
        self.at = now;
    }

    /// Rate at a time.
    pub fn at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.per_s * (-elapsed / SPAN.as_secs_f64()).exp()
    }
}
