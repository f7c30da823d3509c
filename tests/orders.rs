//! At-most-once calls through one or several entry instances: a call runs at most once, and the
//! reported outcome is correct.

#![allow(clippy::unwrap_used)]

mod support;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;

use ebonyspread::wire;
use ebonyspread_standins::platform::PlatformFaults;
use ebonyspread_standins::service::ServiceFaults;
use support::*;

fn new_key() -> String {
    uuid::Uuid::now_v7().to_string()
}

fn order(
    cluster: &TestCluster,
    entry: usize,
    account: &str,
    key: &str,
    body: &'static str,
) -> Reply {
    let headers = [bearer(account), ("idempotency-key", key.to_owned())];
    block_on(send("POST", &cluster.url(entry, "/orders"), &headers, body))
}

fn runs_of(cluster: &TestCluster, key: &str) -> u32 {
    cluster
        .service
        .runs()
        .iter()
        .filter(|runs| runs.key == key)
        .map(|runs| runs.count)
        .sum()
}

#[test]
fn first_order_on_an_empty_stream_is_whole() {
    let cluster = TestClusterBuilder::default().engines(0).start();
    let reply = order(&cluster, 0, "quayside", &new_key(), "{}");
    assert_eq!((reply.status, reply.outcome()), (201, "whole"));
}

#[test]
fn same_key_gives_the_recorded_answer_at_every_entry() {
    let cluster = TestClusterBuilder::default().engines(0).entries(3).start();
    let key = new_key();
    let first = order(&cluster, 0, "quayside", &key, "{}");
    for entry in [1, 2, 0] {
        let again = order(&cluster, entry, "quayside", &key, "{}");
        assert_eq!(again.body, first.body);
        assert_eq!(again.header("idempotent-replayed"), "true");
    }
    assert_eq!(runs_of(&cluster, &key), 1);
}

#[test]
fn same_key_at_once_runs_once() {
    let cluster = TestClusterBuilder::default()
        .engines(0)
        .entries(3)
        .data_centres(3)
        .start();
    cluster.service.set_faults(ServiceFaults {
        delay_ms: 200,
        ..ServiceFaults::default()
    });
    let key = new_key();
    let replies: Vec<Reply> = std::thread::scope(|scope| {
        let mut threads = Vec::new();
        for entry in 0..3 {
            let (cluster, key) = (&cluster, &key);
            threads.push(scope.spawn(move || order(cluster, entry, "quayside", key, "{}")));
        }
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    let whole = replies
        .iter()
        .filter(|reply| reply.outcome() == "whole")
        .count();
    assert!(whole >= 1);
    for reply in &replies {
        assert!(
            ["whole", "unknown"].contains(&reply.outcome()),
            "{}",
            reply.outcome()
        );
    }
    assert_eq!(runs_of(&cluster, &key), 1);
}

#[test]
fn same_key_with_another_body_is_refused() {
    let cluster = TestClusterBuilder::default().engines(0).start();
    let key = new_key();
    order(&cluster, 0, "quayside", &key, "{\"cartons\":1}");
    let other = order(&cluster, 0, "quayside", &key, "{\"cartons\":2}");
    assert_eq!(
        (other.status, other.json()["error"]["code"].as_str()),
        (422, Some("key_reused"))
    );
    assert_eq!(runs_of(&cluster, &key), 1);
}

#[test]
fn same_key_of_another_account_is_independent() {
    let cluster = TestClusterBuilder::default().engines(0).start();
    let key = new_key();
    let mine = order(&cluster, 0, "quayside", &key, "{}").json();
    let theirs = order(&cluster, 0, "harbour", &key, "{}").json();
    assert_eq!(mine["account"], "quayside");
    assert_eq!(theirs["account"], "harbour");
    assert_ne!(mine["number"], theirs["number"]);
}

#[test]
fn key_outside_the_window_is_not_reported_as_not_run() {
    let cluster = TestClusterBuilder::default().engines(0).start();
    let old = uuid::Uuid::new_v7(uuid::Timestamp::from_unix(
        uuid::NoContext,
        1_600_000_000,
        0,
    ));
    let reply = order(&cluster, 0, "quayside", &old.to_string(), "{}");
    assert_eq!((reply.status, reply.outcome()), (409, "unknown"));
    assert_eq!(runs_of(&cluster, &old.to_string()), 0);
}

#[test]
fn key_without_a_time_is_refused() {
    let cluster = TestClusterBuilder::default().engines(0).start();
    let reply = order(&cluster, 0, "quayside", "order-7", "{}");
    assert_eq!((reply.status, reply.outcome()), (400, "unknown"));
    assert!(cluster.service.runs().is_empty());
}

#[test]
fn lost_answer_of_an_append_changes_nothing() {
    let cluster = TestClusterBuilder::default().engines(0).start();
    let key = new_key();
    cluster.platform.set_faults(PlatformFaults {
        lose_answers: 1,
        ..PlatformFaults::default()
    });
    let reply = order(&cluster, 0, "quayside", &key, "{}");
    assert_eq!(reply.outcome(), "whole");
    assert_eq!(runs_of(&cluster, &key), 1);
}

#[test]
fn lost_answer_of_a_run_is_settled_by_looking_it_up() {
    let cluster = TestClusterBuilder::default().engines(0).start();
    let key = new_key();
    cluster.service.set_faults(ServiceFaults {
        lose_answers: 1,
        ..ServiceFaults::default()
    });
    let reply = order(&cluster, 0, "quayside", &key, "{}");
    assert_eq!(reply.outcome(), "whole");
    assert_eq!(reply.json()["key"], key);
    assert_eq!(runs_of(&cluster, &key), 1);
}

#[test]
fn call_whose_server_closes_the_connection_is_not_sent_to_another() {
    let mut cluster = TestClusterBuilder::default().engines(0).start();
    let (first, first_count) = start_crashing_server();
    let (second, second_count) = start_crashing_server();
    let row = cluster.table.backend_server[0].clone();
    cluster.table.backend_server.clear();
    for (name, address) in [("first", first), ("second", second)] {
        cluster.table.backend_server.push(wire::BackendServerRow {
            name: name.to_owned(),
            address: address.to_string(),
            lookup_path: String::new(),
            ..row.clone()
        });
    }
    let version = publish_table(&cluster.platform_url, &cluster.table);
    cluster.wait_for_version(version);
    let reply = order(&cluster, 0, "quayside", &new_key(), "{}");
    assert_eq!(reply.outcome(), "unknown");
    let sent = first_count.load(Ordering::SeqCst) + second_count.load(Ordering::SeqCst);
    assert_eq!(sent, 1);
}

/// Starts a server that crashes on calls with `deadly` in their path after it has sent `answer`: it
/// closes the connection. Returns its address and the number of these calls.
fn start_server_with_deadly_path(answer: &'static str) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicU32::new(0));
    let counted = count.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 4 << 10];
            let read = stream.read(&mut request).unwrap_or(0);
            let request = String::from_utf8_lossy(&request[..read]).into_owned();
            let answer = match request.contains("/deadly") {
                true => {
                    counted.fetch_add(1, Ordering::SeqCst);
                    answer
                }
                false => "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
            };
            // The caller may have closed the connection already.
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    (address, count)
}

#[yare::parameterized(
    idempotent_call_before_its_answer = { "GET", "" },
    idempotent_call_in_the_head = { "GET", "HTTP/1.1 200 OK\r\nContent-" },
    idempotent_call_in_the_body = { "GET", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody" },
    order_before_its_answer = { "POST", "" },
    order_in_the_head = { "POST", "HTTP/1.1 200 OK\r\nContent-" },
    order_in_the_body = { "POST", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody" },
)]
fn plain_call_that_crashes_each_server_stops_reaching_servers(method: &str, answer: &'static str) {
    let mut cluster = TestClusterBuilder::default().engines(0).start();
    let row = cluster.table.backend_server[0].clone();
    cluster.table.backend_server.clear();
    let mut counts = Vec::new();
    for number in 0..8 {
        let (address, count) = start_server_with_deadly_path(answer);
        counts.push(count);
        cluster.table.backend_server.push(wire::BackendServerRow {
            name: format!("server-{number}"),
            address: address.to_string(),
            lookup_path: String::new(),
            ..row.clone()
        });
    }
    let version = publish_table(&cluster.platform_url, &cluster.table);
    cluster.wait_for_version(version);
    let call = |path: &str| {
        block_on(try_send(
            method,
            &cluster.url(0, path),
            &[bearer("quayside")],
            "{}",
        ))
    };
    for number in 0..8 {
        // A body that is cut off is an error of the client.
        let _ = call("/orders/deadly");
        let sound = call(&format!("/orders/{number}")).unwrap();
        assert_eq!(sound.status, 200, "{number}");
    }
    let reached: u32 = counts
        .iter()
        .map(|count| count.load(Ordering::SeqCst))
        .sum();
    assert!(reached <= 5, "{reached}");
    let refused = call("/orders/deadly").unwrap();
    assert_eq!(refused.status, 422);
    assert_eq!(refused.outcome(), "not-run");
}

#[test]
fn refused_call_whose_key_ran_before_is_not_reported_as_not_run() {
    let mut cluster = TestClusterBuilder::default().engines(0).start();
    cluster.table.backend_server[0].lookup_path.clear();
    let version = publish_table(&cluster.platform_url, &cluster.table);
    cluster.wait_for_version(version);
    cluster.service.set_faults(ServiceFaults {
        lose_answers: 1,
        ..ServiceFaults::default()
    });
    let key = new_key();
    assert_eq!(
        order(&cluster, 0, "quayside", &key, "{}").outcome(),
        "unknown"
    );
    cluster.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    assert_eq!(
        order(&cluster, 0, "quayside", &key, "{}").outcome(),
        "unknown"
    );
    cluster.table.client_account[0].requests_per_s = 1;
    cluster.platform.set_faults(PlatformFaults::default());
    let version = publish_table(&cluster.platform_url, &cluster.table);
    cluster.wait_for_version(version);
    for _ in 0..4 {
        let reply = order(&cluster, 0, "quayside", &key, "{}");
        assert_eq!(reply.outcome(), "unknown", "{}", reply.status);
    }
    assert_eq!(runs_of(&cluster, &key), 1);
}

#[test]
fn outage_refuses_a_call_without_a_key_as_not_run() {
    let cluster = TestClusterBuilder::default().engines(0).start();
    cluster.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    let reply = block_on(send(
        "POST",
        &cluster.url(0, "/orders"),
        &[bearer("quayside")],
        "{}",
    ));
    assert_eq!((reply.status, reply.outcome()), (503, "not-run"));
    assert!(cluster.service.runs().is_empty());
}

#[test]
fn log_outage_frees_the_key() {
    let cluster = TestClusterBuilder::default().engines(0).start();
    let key = new_key();
    order(&cluster, 0, "quayside", &new_key(), "{}");
    cluster.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    let refused = order(&cluster, 0, "quayside", &key, "{}");
    assert_eq!((refused.status, refused.outcome()), (503, "unknown"));
    assert_eq!(runs_of(&cluster, &key), 0);
    cluster.platform.set_faults(PlatformFaults::default());
    wait_until("order after the outage", || {
        order(&cluster, 0, "quayside", &key, "{}").outcome() == "whole"
    });
    assert_eq!(runs_of(&cluster, &key), 1);
}

#[test]
fn recorded_answer_is_kept_when_all_entries_are_replaced() {
    let mut cluster = TestClusterBuilder::default().engines(0).entries(2).start();
    let key = new_key();
    let first = order(&cluster, 0, "quayside", &key, "{}");
    // The answer is recorded in the background. A new instance reads it from the log, so the record
    // has to be there before the entries stop.
    wait_until("record of the answer", || cluster.platform.appends() >= 3);
    cluster.entries.clear();
    cluster.add_entry(7, 0);
    cluster.wait_for_version(1);
    let again = order(&cluster, 0, "quayside", &key, "{}");
    assert_eq!(again.body, first.body);
    assert_eq!(runs_of(&cluster, &key), 1);
}

#[test]
fn leaving_service_refuses_without_running() {
    let cluster = TestClusterBuilder::default().engines(0).start();
    cluster.service.set_faults(ServiceFaults {
        leaving: true,
        ..ServiceFaults::default()
    });
    let key = new_key();
    let reply = order(&cluster, 0, "quayside", &key, "{}");
    assert_eq!((reply.status, reply.outcome()), (503, "not-run"));
    assert_eq!(runs_of(&cluster, &key), 0);
}

// The claim and the answer are lost; the order has run.
#[yare::parameterized(
    instance_that_sent_it = { 0 },
    instance_that_starts_later = { 1 },
)]
fn order_whose_claim_is_lost_in_a_restore_does_not_run_again(entry: usize) {
    let mut cluster = TestClusterBuilder::default().engines(0).start();
    order(&cluster, 0, "quayside", &new_key(), "{}");
    let copy = cluster.platform.copy_log();
    let key = new_key();
    let first = order(&cluster, 0, "quayside", &key, "{}");
    assert_eq!(first.outcome(), "whole");
    cluster.platform.restore_log(&copy);
    if entry == 1 {
        cluster.add_entry(1, 0);
        cluster.wait_for_version(1);
    }
    let again = order(&cluster, entry, "quayside", &key, "{}");
    assert_eq!(runs_of(&cluster, &key), 1);
    assert_ne!(again.outcome(), "not-run");
}

#[test]
fn orders_run_once_after_a_restore() {
    let cluster = TestClusterBuilder::default().engines(0).entries(2).start();
    let copy = cluster.platform.copy_log();
    for _ in 0..3 {
        order(&cluster, 0, "quayside", &new_key(), "{}");
    }
    cluster.platform.restore_log(&copy);
    // Without a key of the caller, nobody can have claimed it before.
    for entry in [0, 1, 0, 1] {
        let url = cluster.url(entry, "/orders");
        let reply = block_on(send("POST", &url, &[bearer("quayside")], "{}"));
        assert_eq!(reply.outcome(), "whole", "{}", reply.status);
    }
    let runs: u32 = cluster.service.runs().iter().map(|run| run.count).sum();
    assert_eq!(runs, 7);
}
