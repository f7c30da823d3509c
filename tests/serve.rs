//! Model and plain calls through one entry instance, and the errors that callers receive.

mod support;

use support::*;

fn chat_headers(account: &str) -> [(&'static str, String); 1] {
    [bearer(account)]
}

#[test]
fn streams_a_complete_response() {
    let cluster = TestClusterBuilder::default().start();
    let url = cluster.url(0, "/v1/chat/completions");
    let body = chat_body("restock plan", true, 20);
    let reply = block_on(send("POST", &url, &chat_headers("quayside"), body));
    let (text, last_id, is_done) = read_stream(&reply.body);
    assert_eq!(reply.status, 200);
    assert!(is_done);
    assert_eq!(text, expected_text("restock plan", 20));
    assert!(last_id.starts_with(reply.header("x-request-id")));
}

#[test]
fn collects_a_complete_response() {
    let cluster = TestClusterBuilder::default().start();
    let url = cluster.url(0, "/v1/chat/completions");
    let body = chat_body("quote", false, 20);
    let reply = block_on(send("POST", &url, &chat_headers("quayside"), body));
    let answer = reply.json();
    assert_eq!(reply.outcome(), "whole");
    assert_eq!(
        answer["choices"][0]["message"]["content"],
        expected_text("quote", 20)
    );
    assert_eq!(answer["usage"]["completion_tokens"], 20);
}

#[test]
fn passes_plain_calls_through() {
    let cluster = TestClusterBuilder::default().start();
    let url = cluster.url(0, "/lookups/7?full=yes");
    let reply = block_on(send("GET", &url, &chat_headers("harbour"), ""));
    assert_eq!(reply.status, 200);
    assert_eq!(reply.json()["account"], "harbour");
    assert_eq!(reply.json()["path"], "/lookups/7?full=yes");
    assert_eq!(reply.header("x-served-by"), "orders");
}

#[yare::parameterized(
    unknown_key = { "POST", "/v1/chat/completions", "nobody", "{}", 401, "invalid_api_key" },
    bad_json = { "POST", "/v1/chat/completions", "quayside", "{", 400, "invalid_request" },
    unknown_model = { "POST", "/v1/chat/completions", "quayside", "{\"model\":\"x\"}", 404, "model_not_found" },
    no_messages = { "POST", "/v1/chat/completions", "quayside", "{\"model\":\"restock-8b\"}", 400, "invalid_request" },
    unknown_route = { "GET", "/nowhere", "quayside", "", 404, "route_not_found" },
)]
fn refuses_with_a_clear_error(
    method: &str,
    path: &str,
    account: &str,
    body: &'static str,
    status: u16,
    code: &str,
) {
    let cluster = TestClusterBuilder::default().engines(1).start();
    let reply = block_on(send(
        method,
        &cluster.url(0, path),
        &chat_headers(account),
        body,
    ));
    assert_eq!(reply.status, status);
    assert_eq!(reply.json()["error"]["code"], code);
    assert_eq!(reply.outcome(), "not-run");
    assert_eq!(reply.header("x-request-id").len(), 32);
}

#[test]
fn refuses_a_body_over_the_limit() {
    let cluster = TestClusterBuilder::default().engines(1).start();
    let body = "x".repeat(5 << 20);
    let url = cluster.url(0, "/v1/chat/completions");
    let reply = block_on(send("POST", &url, &chat_headers("quayside"), body));
    assert_eq!(reply.status, 413);
}

#[test]
fn refuses_over_the_account_limit_with_a_retry_time() {
    let cluster = TestClusterBuilder::default().requests_per_s(2).start();
    let url = cluster.url(0, "/lookups/1");
    let mut refused = None;
    for _ in 0..8 {
        let reply = block_on(send("GET", &url, &chat_headers("quayside"), ""));
        if reply.status == 429 {
            refused = Some(reply);
        }
    }
    let refused = refused.expect("8 requests at once exceed a limit of 2 per second");
    assert_eq!(refused.json()["error"]["code"], "rate_limit_exceeded");
    assert!(!refused.header("retry-after").is_empty());
    let other = block_on(send("GET", &url, &chat_headers("harbour"), ""));
    assert_eq!(
        other.status, 200,
        "the limit of one account does not affect another"
    );
}

#[test]
fn lists_models() {
    let cluster = TestClusterBuilder::default().engines(1).start();
    let reply = block_on(send(
        "GET",
        &cluster.url(0, "/v1/models"),
        &chat_headers("quayside"),
        "",
    ));
    assert_eq!(reply.json()["data"][0]["id"], MODEL);
}
