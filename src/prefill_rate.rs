//! Estimates the prefill rate of a service's engines (model servers), in prompt tokens per
//! millisecond, from the time to the first event of their answers. Prefill is the processing of a
//! prompt before the first token is generated.
//!
//! The time to the first event is a fixed time, such as that of a step of the engine and of the
//! network, and the tokens divided by the rate. At fast engines the fixed time is the larger part: a
//! rate that includes it is several times too low, and more engines are ordered than needed. The two
//! are told apart by prompts of different sizes.
//!
//! Only calls that were sent to an idle engine which has their shared parts cached are samples:
//! calls that waited would make an overloaded service look slow, and so seem to need ever more
//! engines. The errors of the remaining samples (an unknown wait or a cold cache) make them too
//! late, never too early, so the line through them is a low quantile.

use super::*;

/// Rate before there are enough samples; it has the order of magnitude of current accelerators.
const DEFAULT_TOKENS_PER_MS: f64 = 30.0;

/// Fewest uncached prompt tokens of a sample; the number of fewer is mostly an error of the estimate
/// of what is cached.
const SAMPLE_TOKENS_MIN: u32 = 100;

/// Fewest uncached prompt tokens of a long sample: with fewer, the first event is dominated by the
/// fixed time, so that these alone do not show the rate.
const LONG_SAMPLE_TOKENS_MIN: u32 = 1_500;

/// Number of latest samples from which the rate is estimated.
const SAMPLES_MAX: usize = 256;

/// Minimum number of long samples for an estimate; the default rate is used while there are fewer.
const LONG_SAMPLES_MIN: usize = 16;

/// Number of samples after which the rate is estimated anew.
const SAMPLES_PER_ESTIMATE: usize = 16;

/// Quantile of the samples that lies below the estimated line; a low one, because errors make
/// samples too late.
const QUANTILE: f64 = 0.25;

/// Smallest ratio of the tokens of long samples to those of short ones, as the ninth to the first
/// decile, from which a fixed time is estimated. With a smaller one it cannot be told from the rate,
/// and is taken as zero.
const TOKENS_RATIO_MIN: f64 = 2.0;

/// Ratio of two rates that are tried one after the other.
const RATE_STEP: f64 = 1.08;

/// Longest time that a call may have been expected to wait at its engine to be a sample: a few
/// engine steps.
const SAMPLE_WAIT_MAX: Duration = Duration::from_millis(20);

/// Range of plausible rates; the estimate is clamped to it.
const TOKENS_PER_MS_RANGE: std::ops::RangeInclusive<f64> = 2.0..=500.0;

/// Latest samples of one service's engines and the prefill rate estimated from them.
#[derive(Debug, Default)]
pub struct PrefillRate {
    estimate: Option<PrefillEstimate>,
    /// Prompt tokens and time to the first event in milliseconds.
    samples: VecDeque<(f64, f64)>,
    samples_since_estimate: usize,
}

/// Time that an engine takes until the first event of an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillEstimate {
    /// Time in milliseconds that does not depend on the prompt.
    pub fixed_ms: f64,
    /// Prompt tokens that are read in a millisecond.
    pub tokens_per_ms: f64,
}

impl Default for PrefillEstimate {
    /// Returns what is assumed before there are enough samples.
    fn default() -> Self {
        Self {
            fixed_ms: 0.0,
            tokens_per_ms: DEFAULT_TOKENS_PER_MS,
        }
    }
}

impl PrefillEstimate {
    /// Returns the median of the rates, with its fixed time; `None` if there are no estimates.
    pub fn median(estimates: &mut [Self]) -> Option<Self> {
        let middle = estimates.len().checked_sub(1)? / 2;
        let by_rate = |a: &Self, b: &Self| a.tokens_per_ms.total_cmp(&b.tokens_per_ms);
        let (_, median, _) = estimates.select_nth_unstable_by(middle, by_rate);
        Some(*median)
    }
}

impl PrefillRate {
    /// Adds a sample: the answer to a prompt with `uncached_tokens` tokens to prefill began after
    /// `elapsed`, at an engine where the call was expected to wait for `wait`. Prompts with fewer
    /// than 100 of these tokens and expected waits of more than 20 ms are ignored.
    pub fn observe(&mut self, uncached_tokens: u32, wait: Duration, elapsed: Duration) {
        if uncached_tokens < SAMPLE_TOKENS_MIN || wait > SAMPLE_WAIT_MAX {
            return;
        }
        let elapsed_ms = (elapsed.as_secs_f64() * 1_000.0).max(1.0);
        self.samples
            .push_back((f64::from(uncached_tokens), elapsed_ms));
        if self.samples.len() > SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples_since_estimate += 1;
        if self.estimate.is_some() && self.samples_since_estimate < SAMPLES_PER_ESTIMATE {
            return;
        }
        let is_long = |(tokens, _): &&(f64, f64)| *tokens >= f64::from(LONG_SAMPLE_TOKENS_MIN);
        if self.samples.iter().filter(is_long).count() < LONG_SAMPLES_MIN {
            return;
        }
        self.samples_since_estimate = 0;
        self.estimate = Some(self.fit());
    }

    /// Returns the estimate; `None` before there are 16 long samples.
    pub fn estimate(&self) -> Option<PrefillEstimate> {
        self.estimate
    }

    /// Finds the line below which [`QUANTILE`] of the samples lie and that fits them best.
    fn fit(&self) -> PrefillEstimate {
        let has_fixed_time = self.has_different_sizes();
        let mut best: Option<(f64, PrefillEstimate)> = None;
        let mut tokens_per_ms = *TOKENS_PER_MS_RANGE.start();
        while tokens_per_ms <= *TOKENS_PER_MS_RANGE.end() {
            let samples = self.samples.iter();
            let mut rests: SmallVec<[f64; SAMPLES_MAX]> = samples
                .map(|(tokens, elapsed_ms)| elapsed_ms - tokens / tokens_per_ms)
                .collect();
            let fixed_ms = match has_fixed_time {
                true => quantile(&mut rests, QUANTILE).max(0.0),
                false => 0.0,
            };
            let misfit = rests.iter().map(|rest| match *rest >= fixed_ms {
                true => QUANTILE * (rest - fixed_ms),
                false => (1.0 - QUANTILE) * (fixed_ms - rest),
            });
            let misfit: f64 = misfit.sum();
            if best.is_none_or(|(lowest, _)| misfit < lowest) {
                let estimate = PrefillEstimate {
                    fixed_ms,
                    tokens_per_ms,
                };
                best = Some((misfit, estimate));
            }
            tokens_per_ms *= RATE_STEP;
        }
        best.map_or_else(PrefillEstimate::default, |(_, estimate)| estimate)
    }

    fn has_different_sizes(&self) -> bool {
        let samples = self.samples.iter();
        let mut tokens: SmallVec<[f64; SAMPLES_MAX]> = samples.map(|(tokens, _)| *tokens).collect();
        quantile(&mut tokens, 0.9) >= quantile(&mut tokens, 0.1) * TOKENS_RATIO_MIN
    }
}

/// Returns the value below which the given part of `values` lies, which must not be empty.
fn quantile(values: &mut [f64], part: f64) -> f64 {
    let index = ((values.len() as f64 * part) as usize).min(values.len() - 1);
    let (_, value, _) = values.select_nth_unstable_by(index, f64::total_cmp);
    *value
}
