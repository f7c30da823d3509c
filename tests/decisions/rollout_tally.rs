//! Counts of answers, against answers that are counted twice or lost when reports arrive late, out
//! of order or of another order.

use std::time::Duration;

use ebonyspread::rollout_share::RolloutSide;
use ebonyspread::rollout_tally::AnswerSample;
use ebonyspread::rollout_tally::RolloutTally;
use ebonyspread::rollout_tally::RouteCounts;
use ebonyspread::rollout_tally::TallyReport;

const MILLI: Duration = Duration::from_millis(1);

/// A tally of one instance with a number of answers of the new side, half of them failures.
fn counted(answers: u32) -> RolloutTally {
    let mut tally = RolloutTally::new(7);
    for answer in 0..answers {
        let sample = match answer % 2 {
            0 => AnswerSample::Failed,
            _ => AnswerSample::Answered {
                expected: MILLI * 50,
                first_byte: MILLI * 60,
            },
        };
        tally.record("long", RolloutSide::New, "server-1", sample);
    }
    tally
}

fn report(life: u64, order: u64, answers: u32) -> TallyReport {
    TallyReport {
        instance: "front-2".into(),
        life,
        order,
        routes: counted(answers).own_counts().clone(),
    }
}

fn sums(tally: &RolloutTally) -> RouteCounts {
    tally.sums().get("long").copied().unwrap_or_default()
}

#[test]
fn reports_that_are_late_repeated_or_of_another_order_change_nothing() {
    let mut tally = counted(4);
    assert!(tally.merge(report(1, 7, 10)));
    assert_eq!(sums(&tally).new.answers, 14);
    tally.merge(report(1, 7, 10));
    tally.merge(report(1, 7, 6));
    assert!(!tally.merge(report(1, 8, 50)));
    assert_eq!(sums(&tally).new.answers, 14);
    assert_eq!(sums(&tally).new.failures, 7);
    // The counts of the process that ended stay.
    tally.merge(report(2, 7, 2));
    assert_eq!(sums(&tally).new.answers, 16);
    assert_eq!(tally.own_counts()["long"].new.answers, 4);
}

#[test]
fn answers_since_a_mark_leave_out_the_earlier_ones() {
    let mut tally = counted(4);
    for round in 0..200_u32 {
        tally.mark(MILLI * 250 * round);
        tally.mark(MILLI * (250 * round + 1));
        tally.merge(report(1, 7, 10 * (round + 1)));
    }
    let windows: Vec<u32> = tally.since_marks("long").map(|c| c.new.answers).collect();
    assert!(windows.len() <= 25, "{}", windows.len());
    assert_eq!(windows[0], 10);
    assert!(windows.is_sorted());
    assert_eq!(windows.last(), Some(&2_004));
    tally.begin_draining(MILLI * 60_000);
    tally.merge(report(1, 7, 2_030));
    tally.begin_draining(MILLI * 60_100);
    let windows: Vec<u32> = tally.since_marks("long").map(|c| c.new.answers).collect();
    assert_eq!(windows, [30]);
}

#[yare::parameterized(
    as_expected = { 200, 220, 0 },
    three_times = { 200, 610, 1 },
    three_times_of_a_short_time = { 20, 60, 0 },
    cold_caches = { 200, 400, 0 },
    without_expectation = { 0, 150, 1 },
)]
fn answers_that_are_only_relatively_or_briefly_late_are_not_slow(
    expected_ms: u32,
    first_byte_ms: u32,
    slow: u32,
) {
    let mut tally = RolloutTally::new(7);
    let sample = AnswerSample::Answered {
        expected: MILLI * expected_ms,
        first_byte: MILLI * first_byte_ms,
    };
    tally.record("long", RolloutSide::Old, "server-1", sample);
    assert_eq!(sums(&tally).old.slow, slow);
    assert_eq!(sums(&tally).old.delays.iter().sum::<u32>(), 1);
}
