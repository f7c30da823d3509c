//! No instance sends new calls to a leaving backend server.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;
use std::time::Instant;

use support::*;

/// Time after a reclaim notice within which all instances must stop sending new calls.
const NO_NEW_WORK_AFTER: Duration = Duration::from_secs(3);

#[test]
fn leaving_engine_gets_no_new_work_at_any_instance() {
    let cluster = TestClusterBuilder::default()
        .entries(3)
        .data_centres(3)
        .start();
    wait_until("membership", || {
        cluster.entries.iter().all(|entry| entry.live_count() == 3)
    });
    let engine = &cluster.engines[0].engine;
    engine.reclaim(Duration::from_secs(60));
    let noticed_at = Instant::now();
    std::thread::sleep(NO_NEW_WORK_AFTER);
    let taken_before = engine.requests();
    let refused_before = engine.refused();
    for call in 0..30 {
        let url = cluster.url(call % 3, "/v1/chat/completions");
        let body = chat_body(&format!("question {call}"), false, 4);
        let reply = block_on(send("POST", &url, &[bearer("quayside")], body));
        assert_eq!(reply.outcome(), "whole");
    }
    assert!(
        noticed_at.elapsed() < Duration::from_secs(60),
        "the engine is still up"
    );
    assert_eq!(engine.requests(), taken_before);
    assert_eq!(
        engine.refused(),
        refused_before,
        "no call is sent and refused"
    );
}
