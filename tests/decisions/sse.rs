//! Event streams that never complete an event with data.

use ebonyspread::byte_budget::ByteBudget;
use ebonyspread::byte_budget::ByteReservation;
use ebonyspread::error::Error;
use ebonyspread::sse::EVENT_MAX_BYTES;
use ebonyspread::sse::SseParser;

/// Pushes `piece` until the parser rejects it or four times the limit was pushed; takes all events
/// in between. Returns the number of bytes pushed and the rejection.
fn push_without_end(parser: &mut SseParser, piece: &[u8]) -> (usize, Option<Error>) {
    let mut pushed = 0;
    while pushed < 4 * EVENT_MAX_BYTES {
        if let Err(error) = parser.push(piece) {
            return (pushed, Some(error));
        }
        pushed += piece.len();
        while parser.next_event().is_some() {}
    }
    (pushed, None)
}

#[yare::parameterized(
    comments = { b": still here\n\n" },
    event_without_data = { b"event: ping\nid: 7\n\n" },
    unfinished_event = { b"data: and so on" },
    unfinished_line = { b"x" },
)]
fn stream_without_a_whole_event_is_rejected_at_the_limit(piece: &[u8]) {
    let mut parser = SseParser::default();
    let (pushed, error) = push_without_end(&mut parser, &piece.repeat(64));
    assert!(pushed <= EVENT_MAX_BYTES, "{pushed}");
    let error = error.unwrap();
    assert!(matches!(error, Error::EventTooLarge { .. }), "{error:?}");
    // The log cuts a reason at 64 characters.
    assert!(error.to_string().len() <= 64, "{error}");
    assert_eq!(parser.data_events(), 0);
}

#[test]
fn long_stream_of_events_is_not_rejected() {
    let mut parser = SseParser::default();
    let event = format!(": note\n\nid: 1\ndata: {}\n\n", "x".repeat(1 << 10));
    let (pushed, error) = push_without_end(&mut parser, event.as_bytes());
    assert!(error.is_none(), "{error:?}");
    assert_eq!(parser.data_events(), (pushed / event.len()) as u64);
}

#[test]
fn cleared_parser_accepts_the_stream_of_another_server() {
    let mut parser = SseParser::default();
    push_without_end(&mut parser, b"data: cut");
    parser.clear();
    parser.push(b"id: 2\ndata: whole\n\n").unwrap();
    let event = parser.next_event().unwrap();
    assert_eq!(event.as_ref(), b"id: 2\ndata: whole\n\n");
    assert!(!parser.has_partial());
}

#[test]
fn unfinished_events_of_many_streams_stay_within_the_budget() {
    const BUDGET_BYTES: usize = 1 << 20;
    let budget = ByteBudget::new(BUDGET_BYTES);
    let mut parsers = Vec::new();
    let mut rejected = 0;
    for _ in 0..200 {
        let mut parser = SseParser::with_reservation(ByteReservation::new(budget.clone()));
        for _ in 0..10 {
            match parser.push(&[b'x'; 10_000]) {
                Ok(()) => {}
                Err(Error::EventBudgetSpent { .. }) => {
                    rejected += 1;
                    parser.clear();
                    break;
                }
                Err(error) => panic!("{error}"),
            }
        }
        parsers.push(parser);
    }
    assert_eq!(budget.free_bytes() / 100_000, 0);
    assert!(rejected > 180, "{rejected}");
    // A stream of small events needs no budget.
    let mut parser = SseParser::with_reservation(ByteReservation::new(budget.clone()));
    parser.push(&[b'x'; 10_000]).unwrap();
    drop(parsers);
    assert_eq!(budget.free_bytes(), BUDGET_BYTES);
}

#[yare::parameterized(
    line_feeds = { "data: a\n\n" },
    carriage_returns = { "data: a\r\n\r\n" },
)]
fn event_is_found_wherever_the_stream_is_divided(event: &str) {
    for middle in 1..event.len() {
        let mut parser = SseParser::default();
        parser.push(&event.as_bytes()[..middle]).unwrap();
        assert!(parser.next_event().is_none());
        parser.push(&event.as_bytes()[middle..]).unwrap();
        assert_eq!(parser.next_event().unwrap().as_ref(), event.as_bytes());
        assert!(!parser.has_partial());
    }
}
