//! Estimates of the prefill rate from the time to the first event.

use std::time::Duration;

use ebonyspread::prefill_rate::PrefillRate;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const TRUE_TOKENS_PER_MS: f64 = 12.0;

const NO_WAIT: Duration = Duration::ZERO;

fn tokens_per_ms(rate: &PrefillRate) -> f64 {
    rate.estimate().unwrap_or_default().tokens_per_ms
}

fn prefill_time(tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / TRUE_TOKENS_PER_MS / 1_000.0)
}

#[test]
fn rate_is_estimated_although_most_answers_waited() {
    let mut random = StdRng::seed_from_u64(7);
    let mut rate = PrefillRate::default();
    for _ in 0..200 {
        let tokens = random.random_range(2_000..9_000);
        let waited = Duration::from_millis(random.random_range(0..200));
        rate.observe(tokens, NO_WAIT, prefill_time(tokens) + waited);
    }
    let estimate = tokens_per_ms(&rate);
    assert!((9.0..13.0).contains(&estimate), "{estimate}");
}

// A reclaim leaves too few engines, and calls queue for seconds. If this lowered the estimated
// rate, the planner would order more engines than needed, at their cost.
#[test]
fn overload_does_not_make_engines_look_slow() {
    let mut rate = PrefillRate::default();
    for _ in 0..100 {
        rate.observe(3_000, NO_WAIT, prefill_time(3_000));
    }
    let before = tokens_per_ms(&rate);
    for number in 0..1_000 {
        let wait = Duration::from_millis(100 + number * 4);
        rate.observe(3_000, wait, prefill_time(3_000) + wait);
    }
    assert!((tokens_per_ms(&rate) - before).abs() < f64::EPSILON);
}

#[test]
fn prompts_with_unknown_cached_tokens_do_not_raise_the_rate() {
    let mut rate = PrefillRate::default();
    for number in 0..200 {
        let cached = number % 6 == 0;
        let elapsed = match cached {
            true => Duration::from_millis(40),
            false => Duration::from_millis(500),
        };
        rate.observe(6_000, NO_WAIT, elapsed);
    }
    assert!(tokens_per_ms(&rate) < 20.0);
}

#[test]
fn short_prompts_do_not_change_the_rate() {
    let mut rate = PrefillRate::default();
    let before = tokens_per_ms(&rate);
    for _ in 0..100 {
        rate.observe(300, NO_WAIT, Duration::from_millis(900));
    }
    assert!((tokens_per_ms(&rate) - before).abs() < f64::EPSILON);
}

// Fast engines: with 50 ms before any token is read, prompts of 1,800 to 6,600 tokens look like 27
// to 66 tokens a millisecond at engines that read 140, and several times too many are ordered.
#[yare::parameterized(
    fast = { 140.0, 50 },
    middle = { 39.0, 40 },
    slow = { 12.0, 40 },
    without_a_fixed_time = { 39.0, 0 },
)]
fn fixed_time_before_the_first_event_does_not_make_engines_look_slow(
    true_tokens_per_ms: f64,
    fixed_ms: u64,
) {
    let mut random = StdRng::seed_from_u64(3);
    let mut rate = PrefillRate::default();
    for number in 0..300 {
        let tokens = match number % 3 {
            0 => random.random_range(300..1_200),
            1 => random.random_range(1_400..2_600),
            _ => random.random_range(4_000..9_000),
        };
        let waited = match number % 4 {
            0 => random.random_range(0..60),
            _ => random.random_range(0..8),
        };
        let prefill = Duration::from_secs_f64(f64::from(tokens) / true_tokens_per_ms / 1_000.0);
        rate.observe(
            tokens,
            NO_WAIT,
            prefill + Duration::from_millis(fixed_ms + waited),
        );
    }
    let estimate = tokens_per_ms(&rate);
    let ratio = estimate / true_tokens_per_ms;
    assert!((0.8..1.25).contains(&ratio), "{estimate}");
    let fixed = rate.estimate().unwrap().fixed_ms;
    assert!((fixed - fixed_ms as f64).abs() < 15.0, "{fixed}");
}
