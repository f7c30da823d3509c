//! Model and plain calls through one entry instance, and the errors that callers receive.

mod support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ebonyspread::dispatch::Dispatcher;
use ebonyspread::dispatch::PlainCall;
use ebonyspread::router::Failure;
use ebonyspread::table::BackendServer;
use ebonyspread::wire;
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

/// Starts a cluster in which models and lookups are served by `servers` servers started with
/// `start`. Returns their numbers of calls too.
fn start_cluster_with(
    servers: usize,
    start: impl Fn() -> (SocketAddr, Arc<AtomicU32>),
) -> (TestCluster, Vec<Arc<AtomicU32>>) {
    let mut cluster = TestClusterBuilder::default().engines(0).start();
    let row = cluster.table.backend_server[0].clone();
    cluster.table.backend_server[0].serves = vec!["/orders".to_owned()];
    let mut counts = Vec::new();
    for index in 0..servers {
        let (address, count) = start();
        counts.push(count);
        cluster.table.backend_server.push(wire::BackendServerRow {
            name: format!("server-{index}"),
            address: address.to_string(),
            serves: vec![format!("{MODEL}@v1"), "/lookups".to_owned()],
            ..row.clone()
        });
    }
    let version = publish_table(&cluster.platform_url, &cluster.table);
    cluster.wait_for_version(version);
    (cluster, counts)
}

/// Fills the retry budget, which grows with each accepted request.
fn fill_retry_budget(cluster: &TestCluster, requests: usize) {
    for _ in 0..requests {
        let url = cluster.url(0, "/orders/1");
        block_on(send("GET", &url, &chat_headers("quayside"), ""));
    }
}

#[yare::parameterized(
    model_call_without_a_retry = { "/v1/chat/completions", 2, 0 },
    model_call_without_another_server = { "/v1/chat/completions", 1, 12 },
    model_call_that_is_quarantined = { "/v1/chat/completions", 2, 24 },
    plain_call_without_a_retry = { "/lookups/1", 2, 0 },
    plain_call_without_another_server = { "/lookups/1", 1, 12 },
)]
fn call_that_a_crashed_server_may_have_run_is_not_reported_as_not_run(
    path: &str,
    servers: usize,
    earlier_requests: usize,
) {
    let (cluster, counts) = start_cluster_with(servers, start_crashing_server);
    let headers = chat_headers("quayside");
    fill_retry_budget(&cluster, earlier_requests);
    let body = chat_body("quote", false, 20);
    let reply = block_on(send("POST", &cluster.url(0, path), &headers, body));
    let calls: u32 = counts
        .iter()
        .map(|count| count.load(Ordering::SeqCst))
        .sum();
    assert_eq!(
        calls as usize,
        if earlier_requests > 0 { servers } else { 1 }
    );
    let code = reply.json()["error"]["code"].clone();
    assert_eq!((reply.status, reply.outcome()), (502, "unknown"), "{code}");
}

#[test]
fn call_rejected_after_a_crash_is_not_reported_as_not_run() {
    let calls = Arc::new(AtomicU32::new(0));
    let start = || {
        let calls = calls.clone();
        start_raw_server(move |_| match calls.fetch_add(1, Ordering::SeqCst) {
            0 => "",
            _ => "HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n",
        })
    };
    let (cluster, _) = start_cluster_with(2, start);
    fill_retry_budget(&cluster, 12);
    let url = cluster.url(0, "/v1/chat/completions");
    let body = chat_body("quote", false, 20);
    let reply = block_on(send("POST", &url, &chat_headers("quayside"), body));
    assert_eq!(calls.load(Ordering::SeqCst), 2);
    assert_eq!((reply.status, reply.outcome()), (502, "unknown"));
}

/// Call with a body, whose response has to begin within 300 ms.
fn short_call() -> PlainCall<'static> {
    PlainCall {
        body: "{}".into(),
        fencing: None,
        headers: &[],
        method: awc::http::Method::POST,
        path_and_query: "/",
        timeout: Duration::from_millis(300),
    }
}

fn server_at(address: SocketAddr) -> BackendServer {
    BackendServer {
        address: address.to_string().into(),
        checks_fencing: false,
        data_centre: data_centre(0).into(),
        lookup_path: "".into(),
        name: "server".into(),
        path: "new".into(),
        price_cents_per_hour: 0,
        reclaimable: false,
        serves: Default::default(),
        slots: 1,
    }
}

#[test]
fn timeout_of_a_head_is_not_taken_for_a_crash_of_the_server() {
    let (address, _) = start_raw_server(|_| {
        std::thread::sleep(Duration::from_secs(1));
        ""
    });
    let server = server_at(address);
    let sent = block_on(async {
        let dispatcher = Dispatcher::new();
        dispatcher.send_plain(&server, short_call(), false).await
    });
    let failed = sent.err().expect("the server does not answer in time");
    assert_ne!(failed.failure, Failure::Broken, "{}", failed.reason);
}

// The settings of this interface have no limit for idle connections; the server library's are 5 s.
#[yare::parameterized(
    after_a_call = { true },
    nothing_came = { false },
)]
fn idle_connection_is_not_kept_open(has_called: bool) {
    let cluster = TestClusterBuilder::default().start();
    let mut stream = TcpStream::connect(cluster.entries[0].caller_address()).unwrap();
    let limit = Some(Duration::from_secs(10));
    stream.set_read_timeout(limit).unwrap();
    if has_called {
        let (name, value) = bearer("quayside");
        let request = format!("GET /lookups/7 HTTP/1.1\r\nHost: e\r\n{name}: {value}\r\n\r\n");
        stream.write_all(request.as_bytes()).unwrap();
    }
    let mut received = Vec::new();
    assert!(stream.read_to_end(&mut received).is_ok());
    let text = String::from_utf8_lossy(&received);
    assert_eq!(text.contains("x-served-by"), has_called, "{text}");
}
