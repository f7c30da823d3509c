//! Accepted model calls survive reclaims, stops and crashes of engines and entry instances, and
//! client accounts are isolated from each other.

#![allow(clippy::unwrap_used)]

mod support;

use std::pin::Pin;
use std::time::Duration;

use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use support::*;

const TOKENS: u32 = 90;

/// A prompt whose completion has the maximum length, so that its stream lasts several times longer
/// than the interval at which notices are polled.
fn prompt() -> String {
    let prompts = (0..).map(|number| format!("a long quote for ballroom {number}"));
    let is_long = |prompt: &String| {
        let words = expected_text(prompt, TOKENS);
        words.split_whitespace().count() as u32 == TOKENS
    };
    prompts.into_iter().find(is_long).unwrap_or_default()
}

fn slow_cluster() -> TestClusterBuilder {
    TestClusterBuilder::default().token_interval(Duration::from_millis(30))
}

type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>;

/// Starts a stream and reads its first chunk. Returns the chunk and the rest of the body.
async fn open_stream(url: &str, headers: &[(&str, String)]) -> (Vec<u8>, BodyStream) {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(20))
        .finish();
    let mut request = client.post(url);
    for (name, value) in headers {
        request = request.insert_header((*name, value.as_str()));
    }
    let mut response = request
        .send_body(chat_body(&prompt(), true, TOKENS))
        .await
        .unwrap();
    let first = response.next().await.unwrap().unwrap();
    (first.to_vec(), Box::pin(response))
}

async fn read_rest(mut bytes: Vec<u8>, mut response: BodyStream) -> Vec<u8> {
    while let Some(Ok(chunk)) = response.next().await {
        bytes.extend_from_slice(&chunk);
    }
    bytes
}

/// Drops an incomplete event at the end, as a caller does.
fn whole_events(bytes: &[u8]) -> &[u8] {
    let end = bytes
        .windows(2)
        .rposition(|pair| pair == b"\n\n")
        .map_or(0, |at| at + 2);
    &bytes[..end]
}

#[test]
fn reclaimed_engine_leaves_the_answer_whole() {
    let cluster = slow_cluster().start();
    let url = cluster.url(0, "/v1/chat/completions");
    let body = block_on(async {
        let (first, response) = open_stream(&url, &[bearer("quayside")]).await;
        for engine in &cluster.engines[..1] {
            engine.engine.reclaim(Duration::from_millis(600));
        }
        read_rest(first, response).await
    });
    let (text, _, is_done) = read_stream(&body);
    assert!(is_done);
    assert_eq!(text, expected_text(&prompt(), TOKENS));
}

#[test]
fn crashed_engine_leaves_the_answer_whole() {
    let cluster = slow_cluster().start();
    let url = cluster.url(0, "/v1/chat/completions");
    // Accepted requests fill the retry budget.
    for _ in 0..12 {
        block_on(send(
            "GET",
            &cluster.url(0, "/lookups/1"),
            &[bearer("quayside")],
            "",
        ));
    }
    let body = block_on(async {
        let (first, response) = open_stream(&url, &[bearer("quayside")]).await;
        let busy = cluster
            .engines
            .iter()
            .find(|engine| engine.engine.running() > 0);
        busy.unwrap().server.kill();
        read_rest(first, response).await
    });
    let (text, _, is_done) = read_stream(&body);
    assert!(is_done);
    assert_eq!(text, expected_text(&prompt(), TOKENS));
}

#[yare::parameterized(
    without_a_retry = { 2, 0, 1 },
    without_another_engine = { 1, 12, 1 },
    with_both = { 2, 12, 2 },
)]
fn stream_of_a_silent_engine_is_dropped_only_for_another_one(
    engines: usize,
    earlier_requests: usize,
    engines_used: usize,
) {
    let cluster = slow_cluster().engines(engines).start();
    let url = cluster.url(0, "/v1/chat/completions");
    for _ in 0..earlier_requests {
        let lookup = cluster.url(0, "/lookups/1");
        block_on(send("GET", &lookup, &[bearer("quayside")], ""));
    }
    let body = block_on(async {
        let (first, response) = open_stream(&url, &[bearer("quayside")]).await;
        let busy = cluster
            .engines
            .iter()
            .find(|engine| engine.engine.running() > 0);
        let faults_url = format!("http://{}/admin/faults", busy.unwrap().server.address);
        let json = ("content-type", "application/json".to_owned());
        // The next token takes 12 s, longer than the 10 s after which an engine counts as silent.
        for slow_percent in [40_000, 100] {
            let faults = format!("{{\"slow_percent\":{slow_percent}}}");
            let reply = send("POST", &faults_url, std::slice::from_ref(&json), faults).await;
            assert_eq!(reply.status, 200);
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        read_rest(first, response).await
    });
    let (text, _, is_done) = read_stream(&body);
    assert!(is_done, "{}", String::from_utf8_lossy(&body));
    assert_eq!(text, expected_text(&prompt(), TOKENS));
    let used = cluster
        .engines
        .iter()
        .filter(|engine| engine.engine.requests() > 0);
    assert_eq!(used.count(), engines_used);
}

#[yare::parameterized(
    one_data_centre = { 1, true },
    two_data_centres = { 2, true },
    without_a_key = { 1, false },
)]
fn reclaimed_entry_hands_its_stream_over(data_centres: usize, with_key: bool) {
    let cluster = slow_cluster().entries(2).data_centres(data_centres).start();
    wait_until("membership", || {
        cluster.entries.iter().all(|entry| entry.live_count() == 2)
    });
    let mut headers = vec![bearer("quayside")];
    if with_key {
        headers.push(("idempotency-key", "quote-7".to_owned()));
    }
    let url = cluster.url(0, "/v1/chat/completions");
    let received = block_on(async {
        let (first, response) = open_stream(&url, &headers).await;
        cluster
            .platform
            .announce_reclaim("entry-0", Duration::from_millis(600));
        read_rest(first, response).await
    });
    let received = whole_events(&received);
    let (text, last_id, is_done) = read_stream(received);
    assert!(!is_done, "the notice period ends before the stream does");
    headers.push(("last-event-id", last_id));
    let rest = block_on(send(
        "POST",
        &cluster.url(1, "/v1/chat/completions"),
        &headers,
        chat_body(&prompt(), true, TOKENS),
    ));
    let (rest, _, is_done) = read_stream(&rest.body);
    assert!(is_done);
    assert_eq!(text + &rest, expected_text(&prompt(), TOKENS));
    assert_eq!(
        cluster.entries[1].taken_over(),
        1,
        "the running call is handed over, not restarted"
    );
}

#[test]
fn stream_that_no_instance_takes_over_is_not_cut_before_the_deadline() {
    let cluster = slow_cluster().start();
    let url = cluster.url(0, "/v1/chat/completions");
    let body = block_on(async {
        let (first, response) = open_stream(&url, &[bearer("quayside")]).await;
        // Calls are handed over 2.5 s before the deadline, in the middle of the stream.
        cluster
            .platform
            .announce_reclaim("entry-0", Duration::from_millis(4_000));
        read_rest(first, response).await
    });
    let (text, _, is_done) = read_stream(whole_events(&body));
    assert!(is_done, "cut after {} bytes", text.len());
    assert_eq!(text, expected_text(&prompt(), TOKENS));
}

#[test]
fn stream_resumes_at_another_entry_after_kill() {
    let mut cluster = slow_cluster().entries(2).start();
    let headers = vec![
        bearer("quayside"),
        ("idempotency-key", "quote-8".to_owned()),
    ];
    let url = cluster.url(0, "/v1/chat/completions");
    let mut first_entry = cluster.entries.remove(0);
    let received = block_on(async {
        let (first, response) = open_stream(&url, &headers).await;
        first_entry.kill();
        read_rest(first, response).await
    });
    let (text, last_id, _) = read_stream(whole_events(&received));
    let mut headers = headers;
    headers.push(("last-event-id", last_id));
    let rest = block_on(send(
        "POST",
        &cluster.url(0, "/v1/chat/completions"),
        &headers,
        chat_body(&prompt(), true, TOKENS),
    ));
    let (rest, _, is_done) = read_stream(&rest.body);
    assert!(is_done);
    assert_eq!(text + &rest, expected_text(&prompt(), TOKENS));
}

#[test]
fn planned_stop_cuts_off_nothing() {
    let mut cluster = slow_cluster().start();
    let url = cluster.url(0, "/v1/chat/completions");
    let body = block_on(async {
        let (first, response) = open_stream(&url, &[bearer("quayside")]).await;
        cluster.entries[0].begin_stop();
        read_rest(first, response).await
    });
    let (text, _, is_done) = read_stream(&body);
    assert!(is_done);
    assert_eq!(text, expected_text(&prompt(), TOKENS));
}

#[test]
fn same_key_joins_the_running_call() {
    let cluster = slow_cluster().start();
    let url = cluster.url(0, "/v1/chat/completions");
    let headers = [
        bearer("quayside"),
        ("idempotency-key", "quote-9".to_owned()),
    ];
    let (first, second) = block_on(async {
        let (first, response) = open_stream(&url, &headers).await;
        let second = send("POST", &url, &headers, chat_body(&prompt(), true, TOKENS)).await;
        (read_rest(first, response).await, second)
    });
    for body in [first.as_slice(), &second.body] {
        let (text, _, is_done) = read_stream(body);
        assert!(is_done);
        assert_eq!(text, expected_text(&prompt(), TOKENS));
    }
    let requests: u64 = cluster
        .engines
        .iter()
        .map(|engine| engine.engine.requests())
        .sum();
    assert_eq!(requests, 1);
}

#[test]
fn event_id_of_another_account_is_rejected() {
    // The prompts' completions have to begin with different words. Otherwise the text hash in the
    // id would match by chance and the account would receive the rest of its own completion.
    let first_word = |prompt: &str| expected_text(prompt, 1);
    let prompts = (0..).map(|number| format!("my own prompt {number}"));
    let own = prompts
        .into_iter()
        .find(|own| first_word(own) != first_word(&prompt()));
    let own = own.unwrap();
    let cluster = slow_cluster().start();
    let url = cluster.url(0, "/v1/chat/completions");
    let reply = block_on(async {
        let (first, response) = open_stream(&url, &[bearer("quayside")]).await;
        let (_, last_id, _) = read_stream(whole_events(&first));
        let stolen = [bearer("harbour"), ("last-event-id", last_id)];
        let reply = send("POST", &url, &stolen, chat_body(&own, true, TOKENS)).await;
        read_rest(first, response).await;
        reply
    });
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    assert!(text.contains("resume_mismatch"), "{text}");
}

#[test]
fn caller_disconnect_cancels_generation() {
    let cluster = slow_cluster().engines(1).start();
    let url = cluster.url(0, "/v1/chat/completions");
    block_on(async {
        let opened = open_stream(&url, &[bearer("quayside")]).await;
        assert_eq!(cluster.engines[0].engine.running(), 1);
        drop(opened);
    });
    wait_until("cancelled generation", || {
        cluster.engines[0].engine.running() == 0
    });
}

#[test]
fn crashing_content_is_quarantined_before_it_kills_three_engines() {
    let cluster = TestClusterBuilder::default().engines(4).entries(2).start();
    wait_until("membership", || {
        cluster.entries.iter().all(|entry| entry.live_count() == 2)
    });
    for _ in 0..30 {
        block_on(send(
            "GET",
            &cluster.url(0, "/lookups/1"),
            &[bearer("quayside")],
            "",
        ));
        block_on(send(
            "GET",
            &cluster.url(1, "/lookups/1"),
            &[bearer("quayside")],
            "",
        ));
    }
    let crashing = chat_body(ebonyspread_standins::engine::CRASH_TEXT, false, 20);
    let mut last_code = String::new();
    for attempt in 0..6 {
        let url = cluster.url(attempt % 2, "/v1/chat/completions");
        let reply = block_on(send("POST", &url, &[bearer("quayside")], crashing.clone()));
        last_code = reply.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
    }
    assert_eq!(last_code, "content_quarantined");
    let killed = cluster
        .engines
        .iter()
        .filter(|engine| !is_up(engine))
        .count();
    assert!(killed <= 2, "{killed} engines killed");
    let url = cluster.url(0, "/v1/chat/completions");
    let other = block_on(send(
        "POST",
        &url,
        &[bearer("quayside")],
        chat_body("harmless", false, 9),
    ));
    assert_eq!(other.outcome(), "whole");
}

/// Body of a model call whose messages are a document and a question.
fn chat_about(document: &str, question: &str) -> String {
    serde_json::json!({
        "model": MODEL,
        "messages": [
            { "role": "system", "content": "answer briefly" },
            { "role": "user", "content": document },
            { "role": "user", "content": question },
        ],
        "stream": false,
        "max_tokens": 9,
    })
    .to_string()
}

// No two of the requests are alike; they share the document that crashes each engine.
#[test]
fn requests_with_a_message_that_crashes_each_engine_are_refused() {
    let cluster = TestClusterBuilder::default().engines(6).entries(1).start();
    let url = cluster.url(0, "/v1/chat/completions");
    let ask = |body: String| block_on(send("POST", &url, &[bearer("quayside")], body));
    for number in 0..30 {
        let sound = ask(chat_about("a price list", &format!("question {number}")));
        assert_eq!(sound.outcome(), "whole");
    }
    let mut last_code = String::new();
    for number in 0..8 {
        let crashing = chat_about(
            ebonyspread_standins::engine::CRASH_TEXT,
            &format!("question {number}"),
        );
        let reply = ask(crashing);
        last_code = reply.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
    }
    assert_eq!(last_code, "content_quarantined");
    let killed = cluster.engines.iter().filter(|e| !is_up(e)).count();
    assert!(killed <= 5, "{killed} engines killed");
    let sound = ask(chat_about("a price list", "one more question"));
    assert_eq!(sound.outcome(), "whole");
}

fn is_up(engine: &TestEngine) -> bool {
    std::net::TcpStream::connect(engine.server.address).is_ok()
}
