//! Retries, and the quarantine of content, after servers have gone silent.

use std::sync::Arc;
use std::time::Duration;

use ebonyspread::crash_report::SuspectParts;
use ebonyspread::error::Error;
use ebonyspread::part_quarantine::TRIAL_DELAY;
use ebonyspread::prefix::PrefixHashes;
use ebonyspread::router::Failure;
use ebonyspread::router::RouteRequest;
use ebonyspread::router::Router;
use ebonyspread::table::Subject;
use ebonyspread::table::Table;
use ebonyspread::wire;
use smol_str::SmolStr;

const CONTENT: u64 = 0xc0de;

fn request(content_hash: u64) -> RouteRequest {
    RouteRequest {
        call: 0,
        account: "quayside".into(),
        content_hash,
        conversation: 0,
        parts: Default::default(),
        prefixes: PrefixHashes::new(),
        prompt_blocks: 0,
        request_id: "request".into(),
        subject: Subject::Model("model".into()),
    }
}

/// Creates a router with this number of servers and accepts this number of requests.
fn router(servers: usize, requests: usize) -> Router {
    let mut file = wire::TableFile::default();
    file.model_version.push(wire::ModelVersionRow {
        model: "model".to_owned(),
        version: "v1".to_owned(),
        path: "new".to_owned(),
        weight: 1,
        ..Default::default()
    });
    for index in 0..servers {
        file.backend_server.push(wire::BackendServerRow {
            name: format!("server-{index}"),
            data_centre: "centre-0".to_owned(),
            address: format!("10.0.0.{}:80", index + 1),
            path: "new".to_owned(),
            serves: vec!["model@v1".to_owned()],
            slots: 16,
            ..Default::default()
        });
    }
    file.client_account.push(wire::ClientAccountRow {
        name: "quayside".to_owned(),
        key_sha256: "0".repeat(64),
        requests_per_s: 10_000,
        tokens_per_s: 1_000_000,
        streams_max: 1_000,
        ..Default::default()
    });
    let mut router = Router::new("centre-0".into(), 1);
    let table = Table::try_from(&file).unwrap();
    router.apply_table(1, Arc::new(table)).unwrap();
    for _ in 0..requests {
        let placement = router.admit(Duration::ZERO, &request(1)).unwrap();
        router.end_attempt(Duration::ZERO, &request(1), &placement, None);
        router.finish(&request(1), 0);
    }
    router
}

fn requests_at(router: &Router, server: &SmolStr) -> u32 {
    let found = router.servers().find(|(row, ..)| row.name == *server);
    found.map_or(0, |(_, _, requests)| requests)
}

#[yare::parameterized(
    without_a_retry = { 2, 0 },
    without_another_server = { 1, 30 },
)]
fn request_that_cannot_be_moved_stays_at_its_silent_server(servers: usize, requests: usize) {
    let mut router = router(servers, requests);
    let now = Duration::from_secs(1);
    let placement = router.admit(now, &request(CONTENT)).unwrap();
    let server = placement.server.name.clone();
    let tried = [server.clone()];
    let moved = router.move_stalled(now, &request(CONTENT), &placement, &tried);
    assert!(moved.is_err());
    assert_eq!(requests_at(&router, &server), 1);
    assert!(!router.quarantine.is_suspect(CONTENT));
}

#[test]
fn content_of_servers_that_broke_is_quarantined() {
    let mut router = router(4, 60);
    let now = Duration::from_secs(1);
    let first = router.admit(now, &request(CONTENT)).unwrap();
    let mut tried = vec![first.server.name.clone()];
    let second = router.retry(now, &request(CONTENT), &first, Failure::Broken, &tried);
    let second = second.unwrap();
    tried.push(second.server.name.clone());
    let third = router.retry(now, &request(CONTENT), &second, Failure::Broken, &tried);
    assert!(matches!(third, Err(Error::Quarantined { .. })), "{third:?}");
}

#[test]
fn content_of_servers_that_timed_out_is_not_quarantined() {
    let mut router = router(4, 60);
    let now = Duration::from_secs(1);
    let mut placement = router.admit(now, &request(CONTENT)).unwrap();
    let mut tried: Vec<SmolStr> = Vec::new();
    for _ in 0..3 {
        tried.push(placement.server.name.clone());
        placement = router
            .retry(now, &request(CONTENT), &placement, Failure::Stalled, &tried)
            .unwrap();
    }
    assert!(!router.quarantine.is_suspect(CONTENT));
}

#[test]
fn content_of_silent_servers_is_not_quarantined() {
    let mut router = router(4, 60);
    let now = Duration::from_secs(1);
    let mut placement = router.admit(now, &request(CONTENT)).unwrap();
    let mut tried: Vec<SmolStr> = Vec::new();
    for _ in 0..3 {
        tried.push(placement.server.name.clone());
        placement = router
            .move_stalled(now, &request(CONTENT), &placement, &tried)
            .unwrap();
    }
    assert!(!router.quarantine.is_suspect(CONTENT));
    let again = router.admit(now, &request(CONTENT));
    assert!(
        !matches!(again, Err(Error::Quarantined { .. })),
        "{again:?}"
    );
}

// An instance that only heard of the crashes leaves trials to the one that saw them.
#[yare::parameterized(
    seen_here = { true },
    seen_by_another_instance = { false },
)]
fn refused_request_is_tried_only_where_the_crash_was_seen(seen_here: bool) {
    let mut router = router(4, 60);
    let mut parted = request(0);
    parted.parts = SuspectParts::from_slice(&[7]);
    for index in 0..3 {
        let now = Duration::from_secs(10 + index);
        let placement = router.admit(now, &parted).unwrap();
        let server = placement.server.name.clone();
        match seen_here {
            true => router.end_attempt(now, &parted, &placement, Some(Failure::BrokenAtStart)),
            false => {
                router.end_attempt(now, &parted, &placement, None);
                router.merge_crash(now, &server, parted.parts.clone(), 0);
            }
        }
    }
    let later = Duration::from_secs(12) + TRIAL_DELAY;
    let early = router.admit(later - Duration::from_secs(1), &parted);
    assert!(
        matches!(early, Err(Error::QuarantinedParts { .. })),
        "{early:?}"
    );
    assert_eq!(router.admit(later, &parted).is_ok(), seen_here);
}

// Half of the engines lose answers by a reset of the connection, as with a fault of the network, and
// one sound request is among those that break off, each time it is sent again.
#[yare::parameterized(
    few_engines = { 6 },
    many_engines = { 60 },
)]
fn sound_request_is_not_refused_because_many_servers_lose_answers(servers: u64) {
    let mut router = router(servers as usize, 60);
    for round in 0..4 {
        let now = Duration::from_millis(10_000 + round * 700);
        for server in 0..servers / 2 {
            let name: SmolStr = format!("server-{server}").into();
            let other = SuspectParts::from_slice(&[1_000 + round * 100 + server]);
            router.merge_crash(now, &name, other, 0);
        }
        let hit = format!("server-{}", servers - 1 - round % (servers / 2));
        let sound = SuspectParts::from_slice(&[7]);
        router.merge_crash(now, &hit.into(), sound, 0);
    }
    let mut sound = request(0);
    sound.parts = SuspectParts::from_slice(&[7]);
    let admitted = router.admit(Duration::from_secs(14), &sound);
    assert!(admitted.is_ok(), "{admitted:?}");
}
