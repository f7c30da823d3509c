//! Estimates the prefill rate of a service's engines (model servers), in prompt tokens per
//! millisecond, from the time to the first event of their answers. Prefill is the processing of a
//! prompt before the first token is generated.
//!
//! Only calls that were sent to an idle engine which has their shared parts cached are samples:
//! calls that waited would make an overloaded service look slow, and so seem to need ever more
//! engines. The errors of the remaining samples (an unknown wait or a cold cache) make them too
//! low, never too high, so the estimate is a high quantile.

use super::*;

/// Rate before there are enough samples; it has the order of magnitude of current accelerators.
const DEFAULT_TOKENS_PER_MS: f64 = 30.0;

/// Fewest uncached prompt tokens of a sample: with fewer, the first event is dominated by the time
/// of an engine step rather than by prefill.
const SAMPLE_TOKENS_MIN: u32 = 1_500;

/// Number of latest samples from which the rate is estimated.
const SAMPLES_MAX: usize = 256;

/// Minimum number of samples for an estimate; the default rate is used while there are fewer.
const SAMPLES_MIN: usize = 16;

/// Quantile of the samples that is taken as the estimate; a high one, because errors make samples
/// too low.
const QUANTILE: f64 = 0.75;

/// Longest time that a call may have been expected to wait at its engine to be a sample: a few
/// engine steps.
const SAMPLE_WAIT_MAX: Duration = Duration::from_millis(20);

/// Range of plausible rates; the estimate is clamped to it.
const TOKENS_PER_MS_RANGE: std::ops::RangeInclusive<f64> = 2.0..=500.0;

/// Latest samples of one service's engines and the prefill rate estimated from them.
#[derive(Debug, Default)]
pub struct PrefillRate {
    estimate: Option<f64>,
    samples: VecDeque<f64>,
}

impl PrefillRate {
    /// Adds a sample: the answer to a prompt with `uncached_tokens` tokens to prefill began after
    /// `elapsed`, at an engine where the call was expected to wait for `wait`. Prompts with fewer
    /// than 1,500 of these tokens and expected waits of more than 20 ms are ignored.
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
        self.estimate = Some(rate.clamp(*TOKENS_PER_MS_RANGE.start(), *TOKENS_PER_MS_RANGE.end()));
    }

    /// Returns the estimate in prompt tokens per millisecond; 30 before there are 16 samples.
    pub fn tokens_per_ms(&self) -> f64 {
        self.estimate.unwrap_or(DEFAULT_TOKENS_PER_MS)
    }
}
