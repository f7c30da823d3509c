//! What the time to the first event tells of an engine's speed.

use std::time::Duration;

use ebonyspread::prefill_rate::PrefillRate;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const TRUE_TOKENS_PER_MS: f64 = 12.0;

#[test]
fn rate_is_learned_from_answers_of_which_most_waited() {
    let mut random = StdRng::seed_from_u64(7);
    let mut rate = PrefillRate::default();
    for _ in 0..200 {
        let tokens = random.random_range(2_000..9_000);
        let reading_ms = f64::from(tokens) / TRUE_TOKENS_PER_MS;
        let waited_ms = f64::from(random.random_range(0..200));
        let elapsed = Duration::from_secs_f64((reading_ms + waited_ms) / 1_000.0);
        rate.observe(tokens, elapsed);
    }
    let learned = rate.tokens_per_ms();
    assert!((9.0..13.0).contains(&learned), "{learned}");
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
        rate.observe(6_000, elapsed);
    }
    assert!(rate.tokens_per_ms() < 20.0);
}

#[test]
fn short_prompts_tell_nothing() {
    let mut rate = PrefillRate::default();
    let before = rate.tokens_per_ms();
    for _ in 0..100 {
        rate.observe(300, Duration::from_millis(900));
    }
    assert!((rate.tokens_per_ms() - before).abs() < f64::EPSILON);
}
