//! Learns how many prompt tokens the engines of a service read in a millisecond, from the time to
//! the first event of their answers.
//!
//! Only calls that were sent to an idle engine which holds their shared parts are samples: calls
//! that waited would make a service at its worst load look slow, and so seem to need ever more
//! engines. What is wrong with the remaining samples (a wait or a cold cache that nobody knew)
//! makes them too low, never too high, so the rate is a high quantile.

use super::*;

/// Rate until enough answers have shown it; the order of magnitude of current accelerators.
const START_TOKENS_PER_MS: f64 = 30.0;

/// Prompts shorter than this show the time of a step rather than of reading.
const SAMPLE_TOKENS_MIN: u32 = 1_500;

/// Samples kept.
const SAMPLES_MAX: usize = 256;

/// Samples before the rate is believed.
const SAMPLES_MIN: usize = 16;

/// Part of the samples that show a lower rate than the one believed.
const QUANTILE: f64 = 0.75;

/// Longest expected wait of a sample: a few steps of an engine.
const SAMPLE_WAIT_MAX: Duration = Duration::from_millis(20);

/// Rates beyond these are not those of engines.
const TOKENS_PER_MS: std::ops::RangeInclusive<f64> = 2.0..=500.0;

/// Rate of one service's engines.
#[derive(Debug, Default)]
pub struct PrefillRate {
    believed: Option<f64>,
    samples: VecDeque<f64>,
}

impl PrefillRate {
    /// Takes the time to the first event of a prompt with so many tokens not cached, sent to an
    /// engine where it was expected to wait for `wait`.
    pub fn observe(&mut self, uncached_tokens: u32, wait: Duration, elapsed: Duration) {
        if uncached_tokens < SAMPLE_TOKENS_MIN || wait > SAMPLE_WAIT_MAX {
            return;
        }
        let elapsed_ms = (elapsed.as_secs_f64() * 1_000.0).max(1.0);
        self.samples
            .push_back(f64::from(uncached_tokens) / elapsed_ms);
        if self.samples.len() > SAMPLES_MAX {
            self.samples.pop_front();
        }
        if self.samples.len() < SAMPLES_MIN {
            return;
        }
        let mut sorted: SmallVec<[f64; SAMPLES_MAX]> = self.samples.iter().copied().collect();
        sorted.sort_unstable_by(f64::total_cmp);
        let rate = sorted[(sorted.len() as f64 * QUANTILE) as usize];
        self.believed = Some(rate.clamp(*TOKENS_PER_MS.start(), *TOKENS_PER_MS.end()));
    }

    /// Prompt tokens read in a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.believed.unwrap_or(START_TOKENS_PER_MS)
    }
}
