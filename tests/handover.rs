//! Accepted model calls through reclaims, stops and crashes of engines and entries, and the
//! boundary between accounts.

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

/// A prompt with the longest answer, so that a stream outlasts the interval at which notices are
/// polled several times over.
fn prompt() -> String {
    let prompts = (0..).map(|number| format!("a long quote for ballroom {number}"));
    let is_long = |prompt: &String| {
        let words = expected_text(prompt, TOKENS);
        words.split_whitespace().count() as u32 == TOKENS
    };
    prompts.into_iter().find(is_long).unwrap_or_default()
}

fn slow_bench() -> BenchBuilder {
    BenchBuilder::default().token_interval(Duration::from_millis(30))
}

type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>;

/// Starts a stream and reads its first bytes; returns them and the open response.
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

async fn read_on(mut bytes: Vec<u8>, mut response: BodyStream) -> Vec<u8> {
    while let Some(Ok(chunk)) = response.next().await {
        bytes.extend_from_slice(&chunk);
    }
    bytes
}

/// Keeps whole events only, as a caller would.
fn whole_events(bytes: &[u8]) -> &[u8] {
    let end = bytes
        .windows(2)
        .rposition(|pair| pair == b"\n\n")
        .map_or(0, |at| at + 2);
    &bytes[..end]
}

#[test]
fn reclaimed_engine_leaves_the_answer_whole() {
    let bench = slow_bench().start();
    let url = bench.url(0, "/v1/chat/completions");
    let body = block_on(async {
        let (first, response) = open_stream(&url, &[bearer("quayside")]).await;
        for engine in &bench.engines[..1] {
            engine.engine.reclaim(Duration::from_millis(600));
        }
        read_on(first, response).await
    });
    let (text, _, is_done) = read_stream(&body);
    assert!(is_done);
    assert_eq!(text, expected_text(&prompt(), TOKENS));
}

#[test]
fn crashed_engine_leaves_the_answer_whole() {
    let bench = slow_bench().start();
    let url = bench.url(0, "/v1/chat/completions");
    // Earlier requests pay for the retry.
    for _ in 0..12 {
        block_on(send(
            "GET",
            &bench.url(0, "/lookups/1"),
            &[bearer("quayside")],
            "",
        ));
    }
    let body = block_on(async {
        let (first, response) = open_stream(&url, &[bearer("quayside")]).await;
        let busy = bench
            .engines
            .iter()
            .find(|engine| engine.engine.running() > 0);
        busy.unwrap().running.kill();
        read_on(first, response).await
    });
    let (text, _, is_done) = read_stream(&body);
    assert!(is_done);
    assert_eq!(text, expected_text(&prompt(), TOKENS));
}

#[yare::parameterized(
    one_data_centre = { 1, true },
    two_data_centres = { 2, true },
    without_a_key = { 1, false },
)]
fn reclaimed_entry_hands_its_stream_over(data_centres: usize, with_key: bool) {
    let bench = slow_bench().entries(2).data_centres(data_centres).start();
    wait_until("membership", || {
        bench.entries.iter().all(|entry| entry.live_count() == 2)
    });
    let mut headers = vec![bearer("quayside")];
    if with_key {
        headers.push(("idempotency-key", "quote-7".to_owned()));
    }
    let url = bench.url(0, "/v1/chat/completions");
    let received = block_on(async {
        let (first, response) = open_stream(&url, &headers).await;
        bench
            .platform
            .announce_reclaim("entry-0", Duration::from_millis(600));
        read_on(first, response).await
    });
    let received = whole_events(&received);
    let (text, last_id, is_done) = read_stream(received);
    assert!(!is_done, "the notice is shorter than the answer");
    headers.push(("last-event-id", last_id));
    let rest = block_on(send(
        "POST",
        &bench.url(1, "/v1/chat/completions"),
        &headers,
        chat_body(&prompt(), true, TOKENS),
    ));
    let (rest, _, is_done) = read_stream(&rest.body);
    assert!(is_done);
    assert_eq!(text + &rest, expected_text(&prompt(), TOKENS));
    assert_eq!(
        bench.entries[1].taken_over(),
        1,
        "the call itself moved, it was not begun anew"
    );
}

#[test]
fn killed_entry_is_made_good_by_another() {
    let mut bench = slow_bench().entries(2).start();
    let headers = vec![
        bearer("quayside"),
        ("idempotency-key", "quote-8".to_owned()),
    ];
    let url = bench.url(0, "/v1/chat/completions");
    let mut first_entry = bench.entries.remove(0);
    let received = block_on(async {
        let (first, response) = open_stream(&url, &headers).await;
        first_entry.kill();
        read_on(first, response).await
    });
    let (text, last_id, _) = read_stream(whole_events(&received));
    let mut headers = headers;
    headers.push(("last-event-id", last_id));
    let rest = block_on(send(
        "POST",
        &bench.url(0, "/v1/chat/completions"),
        &headers,
        chat_body(&prompt(), true, TOKENS),
    ));
    let (rest, _, is_done) = read_stream(&rest.body);
    assert!(is_done);
    assert_eq!(text + &rest, expected_text(&prompt(), TOKENS));
}

#[test]
fn planned_stop_cuts_off_nothing() {
    let mut bench = slow_bench().start();
    let url = bench.url(0, "/v1/chat/completions");
    let body = block_on(async {
        let (first, response) = open_stream(&url, &[bearer("quayside")]).await;
        bench.entries[0].begin_stop();
        read_on(first, response).await
    });
    let (text, _, is_done) = read_stream(&body);
    assert!(is_done);
    assert_eq!(text, expected_text(&prompt(), TOKENS));
}

#[test]
fn same_key_joins_the_running_call() {
    let bench = slow_bench().start();
    let url = bench.url(0, "/v1/chat/completions");
    let headers = [
        bearer("quayside"),
        ("idempotency-key", "quote-9".to_owned()),
    ];
    let (first, second) = block_on(async {
        let (first, response) = open_stream(&url, &headers).await;
        let second = send("POST", &url, &headers, chat_body(&prompt(), true, TOKENS)).await;
        (read_on(first, response).await, second)
    });
    for body in [first.as_slice(), &second.body] {
        let (text, _, is_done) = read_stream(body);
        assert!(is_done);
        assert_eq!(text, expected_text(&prompt(), TOKENS));
    }
    let requests: u64 = bench
        .engines
        .iter()
        .map(|engine| engine.engine.requests())
        .sum();
    assert_eq!(requests, 1);
}

#[test]
fn event_id_of_another_account_opens_nothing() {
    // Its own answer begins with another word; if both began alike, the id would fit by chance and
    // the account would get the rest of its own answer.
    let first_word = |prompt: &str| expected_text(prompt, 1);
    let prompts = (0..).map(|number| format!("my own prompt {number}"));
    let own = prompts
        .into_iter()
        .find(|own| first_word(own) != first_word(&prompt()));
    let own = own.unwrap();
    let bench = slow_bench().start();
    let url = bench.url(0, "/v1/chat/completions");
    let reply = block_on(async {
        let (first, response) = open_stream(&url, &[bearer("quayside")]).await;
        let (_, last_id, _) = read_stream(whole_events(&first));
        let stolen = [bearer("harbour"), ("last-event-id", last_id)];
        let reply = send("POST", &url, &stolen, chat_body(&own, true, TOKENS)).await;
        read_on(first, response).await;
        reply
    });
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    assert!(text.contains("resume_mismatch"), "{text}");
}

#[test]
fn vanished_caller_frees_the_engine() {
    let bench = slow_bench().engines(1).start();
    let url = bench.url(0, "/v1/chat/completions");
    block_on(async {
        let opened = open_stream(&url, &[bearer("quayside")]).await;
        assert_eq!(bench.engines[0].engine.running(), 1);
        drop(opened);
    });
    wait_until("cancelled generation", || {
        bench.engines[0].engine.running() == 0
    });
}

#[test]
fn crashing_content_is_quarantined_before_it_kills_three_engines() {
    let bench = BenchBuilder::default().engines(4).entries(2).start();
    wait_until("membership", || {
        bench.entries.iter().all(|entry| entry.live_count() == 2)
    });
    for _ in 0..30 {
        block_on(send(
            "GET",
            &bench.url(0, "/lookups/1"),
            &[bearer("quayside")],
            "",
        ));
        block_on(send(
            "GET",
            &bench.url(1, "/lookups/1"),
            &[bearer("quayside")],
            "",
        ));
    }
    let killer = chat_body(ebonyspread_standins::engine::CRASH_TEXT, false, 20);
    let mut last_code = String::new();
    for attempt in 0..6 {
        let url = bench.url(attempt % 2, "/v1/chat/completions");
        let reply = block_on(send("POST", &url, &[bearer("quayside")], killer.clone()));
        last_code = reply.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
    }
    assert_eq!(last_code, "content_quarantined");
    let killed = bench.engines.iter().filter(|engine| !is_up(engine)).count();
    assert!(killed <= 2, "{killed} engines killed");
    let url = bench.url(0, "/v1/chat/completions");
    let other = block_on(send(
        "POST",
        &url,
        &[bearer("quayside")],
        chat_body("harmless", false, 9),
    ));
    assert_eq!(other.outcome(), "whole");
}

fn is_up(engine: &TestEngine) -> bool {
    std::net::TcpStream::connect(engine.running.address).is_ok()
}
