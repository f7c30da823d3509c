//! What the time to the first event tells of an engine's speed.

use std::time::Duration;

use ebonyspread::prefill_rate::PrefillRate;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const TRUE_TOKENS_PER_MS: f64 = 12.0;

const NO_WAIT: Duration = Duration::ZERO;

fn reading_time(tokens: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / TRUE_TOKENS_PER_MS / 1_000.0)
}

#[test]
fn rate_is_learned_from_answers_of_which_most_waited() {
    let mut random = StdRng::seed_from_u64(7);
    let mut rate = PrefillRate::default();
    for _ in 0..200 {
        let tokens = random.random_range(2_000..9_000);
        let waited = Duration::from_millis(random.random_range(0..200));
        rate.observe(tokens, NO_WAIT, reading_time(tokens) + waited);
    }
    let learned = rate.tokens_per_ms();
    assert!((9.0..13.0).contains(&learned), "{learned}");
}

// A reclaim leaves too few engines: calls wait for seconds, and the more engines the holder
// believes to need, the dearer the day.
#[test]
fn overload_does_not_make_engines_look_slow() {
    let mut rate = PrefillRate::default();
    for _ in 0..100 {
        rate.observe(3_000, NO_WAIT, reading_time(3_000));
    }
    let before = rate.tokens_per_ms();
    for number in 0..1_000 {
        let wait = Duration::from_millis(100 + number * 4);
        rate.observe(3_000, wait, reading_time(3_000) + wait);
    }
    assert!((rate.tokens_per_ms() - before).abs() < f64::EPSILON);
}

#[test]
fn prompts_that_were_cached_unknown_to_us_do_not_mislead() {
    let mut rate = PrefillRate::default();
    for number in 0..200 {
        let cached = number % 6 == 0;
        let elapsed = match cached {
            true => Duration::from_millis(40),
            false => Duration::from_millis(500),
        };
        rate.observe(6_000, NO_WAIT, elapsed);
    }
    assert!(rate.tokens_per_ms() < 20.0);
}

#[test]
fn short_prompts_tell_nothing() {
    let mut rate = PrefillRate::default();
    let before = rate.tokens_per_ms();
    for _ in 0..100 {
        rate.observe(300, NO_WAIT, Duration::from_millis(900));
    }
    assert!((rate.tokens_per_ms() - before).abs() < f64::EPSILON);
}
