//! Tests of the choice of the instances of a data centre that read the log.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use ebonyspread::InstanceName;
use ebonyspread::fleet::CENTRE_PROBE_AFTER;
use ebonyspread::gossip::DIGEST_INTERVAL;
use ebonyspread::keyed_view::KeyedRecord;
use ebonyspread::peers::Peers;
use ebonyspread::wire;
use prost::Message;

const NOW: Duration = Duration::from_secs(100);

fn name(index: u16) -> InstanceName {
    format!("entry-{index}").into()
}

fn address(index: u16) -> SocketAddr {
    ([127, 0, 0, 1], 9_000 + index).into()
}

/// Returns the peers known to instance `own` in a data centre of `count` instances.
fn peers_of(own: u16, count: u16) -> Peers {
    let mut peers = Peers::default();
    for index in (0..count).filter(|index| *index != own) {
        peers.record_digest(NOW, &name(index), address(index), &"dc-a".into(), NOW);
    }
    peers
}

fn readers_of(own: u16, count: u16, now: Duration) -> Vec<SocketAddr> {
    let peers = peers_of(own, count);
    peers.readers(now, &name(own), &"dc-a".into()).to_vec()
}

#[yare::parameterized(
    one = { 1 },
    three = { 3 },
    four = { 4 },
)]
fn instances_of_a_small_data_centre_read_the_log_themselves(count: u16) {
    for own in 0..count {
        assert!(readers_of(own, count, NOW).is_empty());
    }
}

#[yare::parameterized(
    five = { 5 },
    thirty = { 30 },
)]
fn instances_of_a_large_data_centre_agree_on_two_that_read_it(count: u16) {
    let mut direct = BTreeSet::new();
    let mut asked = BTreeSet::new();
    for own in 0..count {
        let readers = readers_of(own, count, NOW);
        if readers.is_empty() {
            direct.insert(address(own));
        }
        asked.extend(readers);
    }
    assert_eq!(direct.len(), 2);
    assert_eq!(direct, asked);
}

#[test]
fn instance_that_hears_nobody_reads_the_log_itself() {
    for own in 0..30 {
        let later = NOW + Duration::from_secs(20);
        assert!(readers_of(own, 30, later).is_empty());
    }
}

#[test]
fn readers_of_another_data_centre_are_not_asked() {
    let mut peers = peers_of(0, 3);
    for index in 10..40 {
        peers.record_digest(NOW, &name(index), address(index), &"dc-b".into(), NOW);
    }
    let readers = peers.readers(NOW, &name(0), &"dc-a".into());
    assert!(readers.is_empty());
}

/// Rounds of digests that are played.
const ROUNDS: u64 = 60;

/// Returns the peers of instance `own` among `count` instances in three data centres, whose names
/// begin with that of their data centre.
fn peers_in_three_centres(own: u16, count: u16) -> Peers {
    let mut peers = Peers::default();
    for index in (0..count).filter(|index| *index != own) {
        let (name, centre) = (name_in_centre(index, count), centre_of(index, count));
        let centre = format!("dc-{centre}").into();
        peers.record_digest(NOW, &name, address(index), &centre, NOW);
    }
    peers
}

fn centre_of(index: u16, count: u16) -> usize {
    usize::from(index) * 3 / usize::from(count)
}

fn name_in_centre(index: u16, count: u16) -> InstanceName {
    format!("entry-{}-{index}", centre_of(index, count)).into()
}

// All instances start at the same time, so that their rounds are in step.
#[yare::parameterized(
    small = { 30 },
    medium = { 85 },
    large = { 300 },
)]
fn data_centre_does_not_seem_silent_while_digests_rotate_over_the_peers(count: u16) {
    let mut heard_in: Vec<[u64; 3]> = vec![[0; 3]; usize::from(count)];
    let mut longest_gap = 0;
    let peers: Vec<Peers> = (0..count)
        .map(|own| peers_in_three_centres(own, count))
        .collect();
    for round in 0..ROUNDS {
        for sender in 0..count {
            let name = name_in_centre(sender, count);
            let targets = peers[usize::from(sender)].digest_targets(NOW, &name, round);
            for (target, _) in targets {
                let receiver = usize::from(target.port() - 9_000);
                let heard = &mut heard_in[receiver][centre_of(sender, count)];
                longest_gap = longest_gap.max(round - *heard);
                *heard = round;
            }
        }
    }
    let unheard = heard_in.iter().flatten().map(|heard| ROUNDS - 1 - heard);
    let longest_gap = longest_gap.max(unheard.max().unwrap());
    let silence = DIGEST_INTERVAL * longest_gap as u32;
    assert!(silence < CENTRE_PROBE_AFTER, "{silence:?}");
}

#[test]
fn probe_of_a_data_centre_includes_its_live_instances() {
    let peers = peers_in_three_centres(0, 30);
    let mut probed = BTreeSet::new();
    for round in 0..10 {
        let addresses = peers.probe_addresses(NOW, &"dc-1".into(), round);
        assert_eq!(addresses.len(), 2);
        probed.extend(addresses);
    }
    let expected: BTreeSet<SocketAddr> = (10..20).map(address).collect();
    assert_eq!(probed, expected);
    let silent = NOW + Duration::from_secs(60);
    assert!(peers.probe_addresses(silent, &"dc-1".into(), 0).is_empty());
    assert!(peers.probe_addresses(NOW, &"dc-9".into(), 0).is_empty());
}

/// Returns the record of an instance in the instances' topic.
fn record(index: u16) -> KeyedRecord {
    let value = wire::InstanceRecord {
        data_centre: "dc-a".to_owned(),
        life: 1,
        peer_address: address(index).to_string(),
    };
    KeyedRecord {
        key: name(index),
        offset: index.into(),
        value: Some(value.encode_to_vec().into()),
    }
}

#[test]
fn instances_that_start_together_do_not_wait_for_each_others_first_digest() {
    let mut peers = Peers::default();
    for index in 1..4 {
        peers.apply_record(NOW, &record(index), &name(0));
    }
    for round in 0..10 {
        assert_eq!(peers.digest_targets(NOW, &name(0), round).len(), 3);
    }
    let later = NOW + Duration::from_secs(60);
    assert_eq!(peers.digest_targets(later, &name(0), 1).len(), 0);
    assert_eq!(peers.digest_targets(later, &name(0), 10).len(), 3);
}
