//! Placement among registered servers.

use std::collections::BTreeMap;
use std::time::Duration;

use ebonyspread::ServerName;
use ebonyspread::ServiceName;
use ebonyspread::fleet::AttemptOutcome;
use ebonyspread::fleet::CENTRE_PROBE_AFTER;
use ebonyspread::fleet::Fleet;
use ebonyspread::fleet::PlacedAttempt;
use ebonyspread::fleet::PlacementQuery;
use ebonyspread::fleet::ServerLoad;
use ebonyspread::fleet::ServerRecord;
use ebonyspread::fleet::ServiceWork;
use ebonyspread::fleet_notices::LEAVING_PER_DIGEST_MAX;
use ebonyspread::policy::ServicePolicy;
use ebonyspread::prefill_rate::PrefillEstimate;
use ebonyspread::prompt::Prompt;
use ebonyspread::prompt::PromptPart;
use ebonyspread::rollout_versions::VersionRule;
use ebonyspread::server_notice::PAUSE_MAX;
use smol_str::SmolStr;

const NOW: Duration = Duration::from_secs(100);

fn record(index: u16) -> ServerRecord {
    ServerRecord {
        address: ([127, 0, 0, 1], 9_000 + index).into(),
        created_ms: 1,
        data_centre: format!("dc-{}", index % 3).into(),
        id: format!("server-{index}").into(),
        leaving: false,
        service: "models".into(),
        slots: 96,
        spot: false,
        version: SmolStr::default(),
    }
}

fn fleet(data_centre: &str, count: u16) -> Fleet {
    let mut fleet = Fleet::new(data_centre.into());
    for index in 0..count {
        fleet.report(Duration::ZERO, record(index));
    }
    fleet
}

fn prompt(shared: u64, own: u64) -> Prompt {
    let parts = [(shared, 6_300), (own, 2_890)];
    let parts = parts.iter().map(|(hash, tokens)| PromptPart {
        hash: *hash,
        tokens: *tokens,
    });
    Prompt {
        output_tokens_max: 50,
        parts: parts.collect(),
        tokens: 9_190,
    }
}

fn place(fleet: &mut Fleet, now: Duration, prompt: &Prompt, tried: &[ServerName]) -> PlacedAttempt {
    let service = ServiceName::from("models");
    let query = PlacementQuery {
        prompt: Some(prompt),
        queue_class: None,
        service: &service,
        suspect: false,
        tried,
        versions: &VersionRule::Any,
    };
    fleet.place(now, query).unwrap()
}

#[test]
fn instances_agree_on_the_preferred_server_of_shared_parts_without_messages() {
    for shared in 0..40 {
        let mut preferred = Vec::new();
        for centre in ["dc-0", "dc-1", "dc-2"] {
            let mut fleet = fleet(centre, 18);
            let placed = place(&mut fleet, NOW, &prompt(shared, 1), &[]);
            preferred.push(placed.server);
        }
        assert!(
            preferred.iter().all(|server| *server == preferred[0]),
            "{preferred:?}"
        );
    }
}

#[test]
fn calls_with_a_hot_shared_part_are_spread_once_its_preferred_server_is_busy() {
    let mut fleet = fleet("dc-0", 6);
    let mut counts: BTreeMap<ServerName, u32> = BTreeMap::new();
    for own in 0..60 {
        let placed = place(&mut fleet, NOW, &prompt(7, 1_000 + own), &[]);
        *counts.entry(placed.server).or_default() += 1;
    }
    assert!(counts.len() >= 5, "{counts:?}");
    assert!(counts.values().all(|count| *count <= 20), "{counts:?}");
}

#[test]
fn leaving_server_gets_no_calls_even_after_an_outdated_record() {
    let mut fleet = fleet("dc-0", 2);
    let mut leaving = record(0);
    leaving.leaving = true;
    assert!(fleet.report(NOW, leaving));
    assert!(!fleet.report(NOW, record(0)));
    for own in 0..20 {
        let placed = place(&mut fleet, NOW, &prompt(own, own), &[]);
        assert_eq!(placed.server, "server-1");
    }
}

#[test]
fn restarted_server_starts_with_empty_state() {
    let mut fleet = fleet("dc-0", 1);
    place(&mut fleet, NOW, &prompt(1, 1), &[]);
    let mut restarted = record(0);
    restarted.created_ms = 2;
    assert!(fleet.report(NOW, restarted));
    let server = fleet.servers().next().unwrap();
    assert_eq!(server.running(), 0);
    assert!(
        !fleet.report(NOW, record(0)),
        "a record from before the restart is ignored"
    );
}

#[test]
fn unreachable_server_is_ejected_at_once() {
    let mut fleet = fleet("dc-0", 2);
    let first = place(&mut fleet, NOW, &prompt(1, 1), &[]);
    fleet.end_attempt(NOW, &first.server, false, AttemptOutcome::Unreachable);
    for own in 0..20 {
        let next = place(&mut fleet, NOW, &prompt(1, 1_000 + own), &[]);
        assert_ne!(next.server, first.server);
    }
}

#[test]
fn server_that_breaks_consecutive_calls_is_ejected() {
    let mut fleet = fleet("dc-0", 2);
    let mut broken = 0;
    for own in 0..200 {
        let next = place(&mut fleet, NOW, &prompt(own, own), &[]);
        let outcome = match next.server == "server-0" {
            true => AttemptOutcome::Broken,
            false => AttemptOutcome::Completed,
        };
        broken += u32::from(outcome == AttemptOutcome::Broken);
        fleet.end_attempt(NOW, &next.server, false, outcome);
    }
    assert!(broken <= 4, "{broken} calls were lost");
}

#[test]
fn servers_of_an_unreachable_data_centre_get_no_calls() {
    let mut fleet = fleet("dc-0", 6);
    fleet.mark_centre_unreachable(&"dc-1".into());
    for own in 0..60 {
        let placed = place(&mut fleet, NOW, &prompt(own, own), &[]);
        assert_ne!(placed.data_centre, "dc-1");
    }
    fleet.mark_centre_unreachable(&"dc-0".into());
    fleet.mark_centre_unreachable(&"dc-2".into());
    // With all data centres unreachable, any server is better than none.
    place(&mut fleet, NOW, &prompt(1, 1), &[]);
}

// Servers that ended keep their records for a while, and a probe may choose two of them.
#[test]
fn probe_of_ended_servers_does_not_cut_off_a_data_centre() {
    let mut fleet = fleet("dc-0", 6);
    let centre = "dc-1".into();
    assert!(!fleet.record_failed_probe(NOW, &centre));
    assert!(!fleet.is_centre_unreachable(&centre));
    fleet.mark_centre_reachable(NOW, &centre);
    assert!(!fleet.record_failed_probe(NOW, &centre));
    assert!(!fleet.is_centre_unreachable(&centre));
    assert!(fleet.record_failed_probe(NOW, &centre));
    assert!(fleet.is_centre_unreachable(&centre));
}

#[test]
fn probe_during_which_a_datagram_arrives_does_not_count_as_failed() {
    let mut fleet = fleet("dc-0", 6);
    let centre = "dc-1".into();
    for _ in 0..4 {
        fleet.mark_centre_reachable(NOW + Duration::from_millis(100), &centre);
        assert!(!fleet.record_failed_probe(NOW, &centre));
    }
    assert!(!fleet.is_centre_unreachable(&centre));
}

#[test]
fn new_calls_avoid_a_data_centre_whose_last_probe_failed() {
    let mut fleet = fleet("dc-0", 6);
    fleet.record_failed_probe(NOW, &"dc-1".into());
    for own in 0..60 {
        let placed = place(&mut fleet, NOW, &prompt(own, own), &[]);
        assert_ne!(placed.data_centre, "dc-1");
    }
}

#[test]
fn own_data_centre_and_those_that_were_heard_are_not_probed() {
    let mut fleet = fleet("dc-0", 6);
    for centre in ["dc-0", "dc-1", "dc-2"] {
        fleet.mark_centre_reachable(NOW, &centre.into());
    }
    let later = NOW + CENTRE_PROBE_AFTER;
    fleet.mark_centre_reachable(later, &"dc-1".into());
    let probed = fleet.centres_to_probe(later + CENTRE_PROBE_AFTER / 2, 0);
    let probed: Vec<&str> = probed.iter().map(|(centre, _)| centre.as_str()).collect();
    assert_eq!(probed, ["dc-2"]);
}

#[test]
fn retry_is_not_placed_on_a_server_that_was_tried() {
    let mut fleet = fleet("dc-0", 2);
    let first = place(&mut fleet, NOW, &prompt(1, 1), &[]);
    let tried = [first.server.clone()];
    let second = place(&mut fleet, NOW, &prompt(1, 1), &tried);
    assert_ne!(second.server, first.server);
}

// The preferred server of a hot prompt is busy, so that calls go elsewhere. There, parts that other
// instances sent may be cached unknown to this one, which would make the engines look too fast.
#[test]
fn answers_of_other_servers_do_not_change_the_prefill_rate() {
    let service = ServiceName::from("models");
    let mut fleet = fleet("dc-0", 3);
    for own in 0..200 {
        let prompt = prompt(7, 1_000 + own);
        let placed = place(&mut fleet, NOW, &prompt, &[]);
        let elapsed = match placed.is_warm_preferred {
            true => Duration::from_millis(250),
            false => Duration::from_millis(10),
        };
        let now = NOW + Duration::from_millis(100 * own);
        fleet.observe_first_event(now, &service, &prompt, &placed, elapsed);
    }
    let policy = ServicePolicy {
        capacity: None,
        engine: None,
        name: service,
    };
    let rate_per_s = fleet.capacity_view(NOW, &policy).prefill_rate_per_s;
    assert!(rate_per_s <= 30_000.0, "{rate_per_s}");
}

// Reclaims change the preferred servers of many prompts at once. The new ones prefill the shared
// parts first, which would make the engines look too slow.
#[test]
fn answers_of_a_cold_preferred_server_do_not_change_the_prefill_rate() {
    let service = ServiceName::from("models");
    let mut fleet = fleet("dc-0", 6);
    for shared in 0..200 {
        let prompt = prompt(shared, 1_000 + shared);
        let now = NOW + Duration::from_secs(shared);
        let placed = place(&mut fleet, now, &prompt, &[]);
        fleet.observe_first_event(now, &service, &prompt, &placed, Duration::from_millis(300));
    }
    let policy = ServicePolicy {
        capacity: None,
        engine: None,
        name: service,
    };
    let rate_per_s = fleet.capacity_view(NOW, &policy).prefill_rate_per_s;
    assert!(rate_per_s >= 30_000.0, "{rate_per_s}");
}

// With many instances or many shared parts, each instance sends most shared parts only once, so that
// no server is known to have them. Nothing was estimated, and the default rate ordered several times
// too many fast engines.
#[test]
fn rate_is_estimated_by_an_instance_that_sends_each_shared_part_once() {
    let service = ServiceName::from("models");
    let mut fleet = fleet("dc-0", 24);
    for number in 0..120_u64 {
        let own = 800 + (number * 677 % 5_000) as u32;
        let parts = [(7_000 + number, 250), (9_000 + number, own)];
        let parts = parts.iter().map(|(hash, tokens)| PromptPart {
            hash: *hash,
            tokens: *tokens,
        });
        let prompt = Prompt {
            output_tokens_max: 50,
            parts: parts.collect(),
            tokens: own + 250,
        };
        let now = NOW + Duration::from_millis(200) * number as u32;
        let placed = place(&mut fleet, now, &prompt, &[]);
        // Half of the shared parts were sent there by other instances.
        let prefilled = own + 250 * (number as u32 % 2);
        let elapsed = Duration::from_secs_f64(0.050 + f64::from(prefilled) / 140_000.0);
        fleet.observe_first_event(now, &service, &prompt, &placed, elapsed);
        fleet.end_attempt(now, &placed.server, false, AttemptOutcome::Completed);
    }
    let view = fleet.capacity_view(NOW, &service_policy());
    let rate_per_s = view.prefill_rate_per_s;
    assert!((110_000.0..180_000.0).contains(&rate_per_s), "{rate_per_s}");
}

// An instance that has just taken the lease, or gets few calls, has no samples of its own.
#[test]
fn rate_of_the_peers_is_used_by_an_instance_without_samples() {
    let mut fleet = fleet("dc-0", 3);
    for (peer, tokens_per_ms) in [120.0, 140.0, 150.0, 900.0, 20.0].into_iter().enumerate() {
        let estimate = PrefillEstimate {
            fixed_ms: 50.0,
            tokens_per_ms,
        };
        let work = ServiceWork {
            estimate: Some(estimate),
            prefill_tokens_per_s: 1_000.0,
        };
        let work = [("models".into(), work)].into_iter().collect();
        let now = NOW + Duration::from_secs(1) * peer as u32 / 2;
        fleet.update_peer_work(now, &format!("peer-{peer}").into(), work);
    }
    let view = fleet.capacity_view(NOW, &service_policy());
    assert!(
        (view.prefill_rate_per_s - 140_000.0).abs() < 1.0,
        "{view:?}"
    );
    assert!(
        (view.prefill_tokens_per_s - 5_000.0).abs() < 1.0,
        "{view:?}"
    );
}

// With 295 instances a digest of each peer arrives every 3.7 s.
#[test]
fn demand_and_load_of_peers_do_not_expire_between_two_of_their_digests() {
    let interval = Duration::from_millis(3_900);
    let mut fleet = fleet("dc-0", 3);
    fleet.set_digest_interval(interval);
    let load = ServerLoad {
        backlog: Duration::ZERO,
        running: 2,
        ..ServerLoad::default()
    };
    for round in 0..3_u32 {
        for peer in 0..13_u32 {
            let now = NOW + interval * round + interval * peer / 13;
            let name: ebonyspread::InstanceName = format!("peer-{peer}").into();
            let work = ServiceWork {
                estimate: None,
                prefill_tokens_per_s: 1_000.0,
            };
            fleet.update_peer_work(now, &name, [("models".into(), work)].into_iter().collect());
            let loads = [("server-0".into(), load)].into_iter().collect();
            fleet.update_peer_loads(now, &name, &loads);
            if round == 0 {
                continue;
            }
            let view = fleet.capacity_view(now, &service_policy());
            assert_eq!(view.running, 26, "{peer}");
            assert!((view.prefill_tokens_per_s - 13_000.0).abs() < 1.0, "{peer}");
        }
    }
    fleet.update_peer_loads(NOW + interval * 6, &"other".into(), &Default::default());
    assert_eq!(fleet.capacity_view(NOW, &service_policy()).running, 0);
}

fn service_policy() -> ServicePolicy {
    ServicePolicy {
        capacity: None,
        engine: None,
        name: "models".into(),
    }
}

/// Name of the server that a prompt with these shared parts goes to in an idle fleet.
fn preferred_server(fleet: &mut Fleet, shared: u64) -> ServerName {
    let placed = place(fleet, NOW, &prompt(shared, 1), &[]);
    fleet.end_attempt(NOW, &placed.server, false, AttemptOutcome::Completed);
    placed.server
}

// Replacements register while the other servers still run: prompts that moved to them would be
// prefilled again.
#[test]
fn prompts_stay_on_their_former_preferred_server_while_new_servers_are_cold() {
    for shared in 0..40 {
        let mut fleet = fleet("dc-0", 6);
        let former = preferred_server(&mut fleet, shared);
        for index in 6..12 {
            fleet.report(NOW, record(index));
        }
        let later = NOW + Duration::from_secs(1);
        let placed = place(&mut fleet, later, &prompt(shared, 2), &[]);
        assert_eq!(placed.server, former);
    }
}

// Engines that start together have empty caches, whichever server is preferred.
#[test]
fn demand_includes_shared_parts_that_cold_engines_have_to_prefill() {
    let service = ServiceName::from("models");
    let policy = ServicePolicy {
        capacity: None,
        engine: None,
        name: service.clone(),
    };
    let mut rates = Vec::new();
    for seen_at in [Duration::ZERO, NOW] {
        let mut fleet = Fleet::new("dc-0".into());
        for index in 0..6 {
            fleet.report(seen_at, record(index));
        }
        for shared in 0..40 {
            place(&mut fleet, NOW, &prompt(shared, 1), &[]);
        }
        rates.push(fleet.capacity_view(NOW, &policy).prefill_tokens_per_s);
    }
    assert!(rates[1] > rates[0] * 1.5, "{rates:?}");
}

// All servers of a data centre are emptied at once.
#[test]
fn news_of_leaving_servers_takes_bounded_bytes_and_reaches_peers_in_turn() {
    let mut fleet = fleet("dc-0", 100);
    let mut peer = self::fleet("dc-1", 100);
    for index in 0..100 {
        assert!(fleet.record_leaving(NOW, &format!("server-{index}")));
        assert!(!fleet.record_leaving(NOW, &format!("server-{index}")));
    }
    let mut told = 0;
    for round in 0..10 {
        let news = fleet.leaving_to_send(NOW, round);
        assert!(news.len() <= LEAVING_PER_DIGEST_MAX);
        told += peer.merge_leaving(news).len();
    }
    assert_eq!(told, 100);
    // Peers do not pass on what they have only heard.
    assert!(peer.leaving_to_send(NOW, 0).is_empty());
    assert!(
        fleet
            .leaving_to_send(NOW + Duration::from_secs(60), 0)
            .is_empty()
    );
}

#[test]
fn new_process_of_a_server_that_left_gets_calls() {
    let mut fleet = fleet("dc-0", 1);
    let mut peer = self::fleet("dc-0", 1);
    fleet.record_leaving(NOW, "server-0");
    let news = fleet.leaving_to_send(NOW, 0);
    for fleet in [&mut fleet, &mut peer] {
        fleet.report(
            NOW,
            ServerRecord {
                created_ms: 2,
                ..record(0)
            },
        );
    }
    assert!(peer.merge_leaving(news).is_empty());
    assert!(fleet.notices_in_force(NOW).is_empty());
    place(&mut fleet, NOW, &prompt(1, 2), &[]);
}

#[test]
fn pause_without_end_is_limited() {
    let mut fleet = fleet("dc-0", 1);
    fleet.record_pause(NOW, "server-0", Duration::from_secs(1 << 40));
    assert_eq!(fleet.notices_in_force(NOW).len(), 1);
    assert!(fleet.notices_in_force(NOW + PAUSE_MAX).is_empty());
    place(&mut fleet, NOW + PAUSE_MAX, &prompt(1, 2), &[]);
}

#[test]
fn end_of_a_leaving_or_removed_server_is_not_taken_for_a_crash() {
    let mut fleet = fleet("dc-0", 4);
    assert!(fleet.process_of("server-0").is_some());
    let crash_of = |id| fleet.process_of(id).map(|process| process.crash);
    assert_ne!(crash_of("server-0"), crash_of("server-1"));
    fleet.report(
        NOW,
        ServerRecord {
            leaving: true,
            ..record(1)
        },
    );
    fleet.record_leaving(NOW, "server-2");
    fleet.remove("server-3");
    for index in 1..4 {
        assert_eq!(fleet.process_of(&format!("server-{index}")), None);
    }
}
