//! Share of calls to a new version, against a bad version that gets more than its share.

use ebonyspread::ServerName;
use ebonyspread::rollout_share::RolloutShare;
use ebonyspread::rollout_share::RolloutSide;
use ebonyspread::rollout_share::canary_servers;
use ebonyspread::rollout_share::share_seed;

const ROUTES: [&str; 3] = ["long", "middle", "short"];
const EXPOSURE: f64 = 0.1;
const SLACK: f64 = 50.0;

/// Calls to the new version out of `calls` of a route.
fn picked(share: &mut RolloutShare, route: &str, calls: u32) -> u32 {
    let sides = (0..calls).map(|_| share.pick(route));
    sides.filter(|side| *side == RolloutSide::New).count() as u32
}

#[yare::parameterized(
    one = { 1 },
    few = { 12 },
    several = { 40 },
    many = { 10_000 },
)]
fn instance_keeps_the_share_on_each_route(calls: u32) {
    for seed in 0..40 {
        let mut share = RolloutShare::new(EXPOSURE, seed);
        for route in ROUTES {
            let new = f64::from(picked(&mut share, route, calls));
            let most = 0.8 * EXPOSURE * f64::from(calls);
            assert!(new < most + 1.0, "{new} of {calls}");
            assert!(new > most - 1.0, "{new} of {calls}");
        }
    }
}

// Each instance counts for itself: they are cut off from each other all the time.
#[yare::parameterized(
    one_call_each = { 1 },
    few_calls = { 5 },
    as_in_a_short_rollout = { 17 },
    many_calls = { 400 },
)]
fn instances_that_know_nothing_of_each_other_keep_the_share_together(calls: u32) {
    for order in 0..20 {
        let mut new = 0.0;
        let mut total = 0.0;
        for instance in 0..76_u32 {
            let seed = share_seed(&format!("front-{instance}").into(), 1_000, order);
            let mut share = RolloutShare::new(EXPOSURE, seed);
            for (index, route) in ROUTES.iter().enumerate() {
                let calls = calls * (index as u32 + 1);
                new += f64::from(picked(&mut share, route, calls));
                total += f64::from(calls);
            }
        }
        assert!(new <= EXPOSURE * total + SLACK, "{new} of {total}");
        // The version is judged by what it gets, so that it must get it from the first calls on.
        assert!(new >= 0.5 * EXPOSURE * total - 20.0, "{new} of {total}");
    }
}

#[test]
fn restarts_do_not_add_up_to_more_than_the_share() {
    let mut new = 0;
    for life in 0..2_000 {
        let mut share = RolloutShare::new(EXPOSURE, share_seed(&"front-1".into(), life, 7));
        new += picked(&mut share, "long", 3);
    }
    assert!(f64::from(new) <= EXPOSURE * 6_000.0, "{new} of 6000");
}

#[test]
fn calls_without_a_server_of_the_new_version_save_up_no_burst() {
    let mut share = RolloutShare::new(EXPOSURE, 7);
    for _ in 0..1_000 {
        if share.pick("long") == RolloutSide::New {
            share.give_back("long");
        }
    }
    assert!(picked(&mut share, "long", 12) <= 1);
}

#[yare::parameterized(
    thumbnails = { 90, 90, 8 },
    invitations = { 112, 112, 9 },
    plain = { 3, 3, 1 },
    few_started_yet = { 90, 2, 2 },
    none_started = { 90, 0, 0 },
)]
fn canary_servers_are_as_many_as_bear_the_usual_load(old: usize, new: usize, expected: usize) {
    let servers: Vec<ServerName> = (0..new).map(|n| format!("server-{n}").into()).collect();
    let chosen = canary_servers(EXPOSURE, 7, old, &servers);
    assert_eq!(chosen.len(), expected);
    // Instances that do not know one of the servers choose the same ones of the others.
    if let Some(first) = chosen.first() {
        let known: Vec<ServerName> = servers
            .iter()
            .rev()
            .filter(|s| *s != first)
            .cloned()
            .collect();
        let others = canary_servers(EXPOSURE, 7, old, &known);
        assert!(chosen[1..].iter().all(|server| others.contains(server)));
    }
}
