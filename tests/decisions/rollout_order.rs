//! Checks of orders, against rollouts that start by an order that cannot be meant.

use std::time::Duration;

use ebonyspread::ServerVersion;
use ebonyspread::rollout_order::OrderContext;
use ebonyspread::rollout_order::OrderDecision;
use ebonyspread::rollout_order::OrderRefusal;
use ebonyspread::rollout_order::RolloutOrder;

const ORDER: &str = r#"{"service":"s","target":"v2","durationS":12.5}"#;

fn order(target: &str) -> RolloutOrder {
    RolloutOrder {
        duration: Duration::from_millis(12_500),
        service: "s".into(),
        target: target.into(),
    }
}

#[test]
fn order_is_read() {
    assert_eq!(
        RolloutOrder::from_json("s", ORDER.as_bytes()),
        Ok(order("v2"))
    );
}

#[yare::parameterized(
    no_json = { "rollout", "unreadable" },
    no_object = { "[]", "unreadable" },
    other_service = { r#"{"service":"t","target":"v2","durationS":12}"#, "the key names service s" },
    no_target = { r#"{"service":"s","durationS":12}"#, "target is missing" },
    target_is_no_text = { r#"{"service":"s","target":2,"durationS":12}"#, "target is missing" },
    no_duration = { r#"{"service":"s","target":"v2"}"#, "durationS is missing" },
    zero = { r#"{"service":"s","target":"v2","durationS":0}"#, "durationS is 0;" },
    negative = { r#"{"service":"s","target":"v2","durationS":-3}"#, "durationS is -3;" },
    text = { r#"{"service":"s","target":"v2","durationS":"12"}"#, "give seconds above 0" },
    endless = { r#"{"service":"s","target":"v2","durationS":1e300}"#, "give seconds above 0" },
)]
fn malformed_order_is_refused_with_the_reason(text: &str, reason: &str) {
    let refusal = RolloutOrder::from_json("s", text.as_bytes()).unwrap_err();
    assert!(refusal.to_string().contains(reason), "{refusal}");
}

#[yare::parameterized(
    first = { true, None, &["v1", ""], OrderDecision::Start },
    new_servers_run_already = { true, None, &["v1", "v2"], OrderDecision::Start },
    no_servers = { true, None, &[], OrderDecision::Start },
    unknown_service = { false, None, &["v1"], OrderDecision::Refuse(
        OrderRefusal::UnknownService { service: "s".into() }
    ) },
    in_force = { true, None, &["v2", "v2"], OrderDecision::Refuse(
        OrderRefusal::TargetInForce { service: "s".into(), target: "v2".into() }
    ) },
    comes_twice = { true, Some("v2"), &["v1", "v2"], OrderDecision::Duplicate },
    while_another_runs = { true, Some("v3"), &["v1", "v3"], OrderDecision::Refuse(
        OrderRefusal::Running { service: "s".into(), target: "v3".into() }
    ) },
)]
fn order_starts_a_rollout_only_if_it_can_be_meant(
    is_known: bool,
    running: Option<&str>,
    versions: &[&str],
    expected: OrderDecision,
) {
    let running = running.map(order);
    let versions: Vec<ServerVersion> = versions.iter().map(|version| (*version).into()).collect();
    let context = OrderContext {
        is_known,
        running: running.as_ref(),
        versions: &versions,
    };
    assert_eq!(order("v2").check(&context), expected);
}
