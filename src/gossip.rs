//! Exchanges state digests with peers, the other instances, and registers this instance's address
//! in the log. A digest is a datagram with server loads, the accounts' demand, usage, and the time
//! since the sender's policy (the operators' configuration of routes, services and accounts) was
//! proven to be the newest.
//!
//! Each instance writes its address under its name to a keyed topic when it starts and removes it
//! when it stops. The record of a crashed instance costs its peers only an occasional datagram.

use super::*;

use std::rc::Rc;

use prost::Message;
use tokio::net::UdpSocket;

/// Interval between rounds of digests.
pub const DIGEST_INTERVAL: Duration = Duration::from_millis(300);

/// Size in bytes of the receive buffer, which holds the longest possible datagram.
const DATAGRAM_MAX_BYTES: usize = 64 << 10;

/// Delay before the registration of the instance's own address is retried.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Topic with one record per instance: its name as the key, and its address, data centre and start
/// time.
pub const INSTANCES_TOPIC: &str = "keyed.instances";

/// Sends and receives digests on `socket` until shutdown.
pub async fn run_gossip(serving: Rc<ServingState>, socket: UdpSocket, shutdown: CancellationToken) {
    let socket = Rc::new(socket);
    let receiving = receive_digests(serving.clone(), socket.clone());
    let sending = send_digests(serving, socket);
    tokio::select! {
        () = shutdown.cancelled() => {}
        () = receiving => {}
        () = sending => {}
    }
}

/// Binds the datagram socket for digests; fails with [`Error::Address`].
pub async fn bind_gossip(address: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(address)
        .await
        .map_err(|error| Error::Address {
            address: address.to_string(),
            reason: error.to_string(),
        })
}

/// Writes this instance's address to [`INSTANCES_TOPIC`], retrying until it succeeds.
pub async fn register_address(serving: &ServingState, log: &dyn TopicLog, address: SocketAddr) {
    let record = wire::InstanceRecord {
        data_centre: serving.settings.data_centre.to_string(),
        life: serving.life,
        peer_address: address.to_string(),
    };
    let key = &serving.settings.instance;
    while let Err(error) = log
        .put(INSTANCES_TOPIC, key, record.encode_to_vec().into())
        .await
    {
        warn!("peer registration failed reason=\"{error}\"; retrying");
        tokio::time::sleep(REGISTER_RETRY_DELAY).await;
    }
}

async fn receive_digests(serving: Rc<ServingState>, socket: Rc<UdpSocket>) {
    let mut datagram = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let (length, address) = match socket.recv_from(&mut datagram).await {
            Ok(received) => received,
            Err(error) => {
                warn!("gossip receive failed reason=\"{error}\"; retrying");
                tokio::time::sleep(DIGEST_INTERVAL).await;
                continue;
            }
        };
        match PeerDigest::decode(&datagram[..length]) {
            Ok(digest) => apply_digest(&serving, address, digest),
            Err(error) => warn!("gossip from={address} discarded digest: {error}"),
        }
    }
}

/// Applies a peer's digest to the state that it covers; a digest of this instance itself is
/// ignored.
fn apply_digest(serving: &ServingState, address: SocketAddr, mut digest: PeerDigest) {
    let now = boot_time();
    let peer = &digest.instance.clone();
    if *peer == serving.settings.instance {
        return;
    }
    if let Some(rollouts) = &serving.rollouts {
        // Also of an instance that has removed its address: its calls may still run.
        let reports = std::mem::take(&mut digest.rollout_reports).into_iter();
        let reports = reports.map(|report| report.received(digest.sent, now));
        let mut rollouts = rollouts.borrow_mut();
        rollouts.merge_reports(reports.collect(), serving.collects_usage(now));
        let knowledge = std::mem::take(&mut digest.rollout_knowledge);
        rollouts.record_knowledge(address, digest.echoed, knowledge);
    }
    let mut peers = serving.peers.borrow_mut();
    if digest.leaving && !peers.is_known(peer) {
        // It has removed its address from the log, and is not to be added again by what it still
        // sends.
        return;
    }
    peers.record_digest(now, peer, address, &digest.data_centre, digest.sent);
    peers.record_version(peer, digest.policy_version);
    peers.record_duties(peer, digest.holds_duties);
    serving
        .policy
        .borrow_mut()
        .record_peer_version(digest.policy_version);
    if digest.policy_age.is_some() {
        serving.record_peer_told();
    }
    // A peer returns in `echoed` the send time of the last digest that it received from this
    // instance. It stated its policy's age after that time, however long its datagram was delayed,
    // so the age is counted from then.
    if let (Some(echoed), Some(age)) = (digest.echoed, digest.policy_age) {
        let fresh_at = echoed.saturating_sub(age);
        let mut policy = serving.policy.borrow_mut();
        policy.confirm_by_peer(digest.policy_version, fresh_at);
    }
    let mut wall_clock = serving.wall_clock.borrow_mut();
    wall_clock.record_peer_estimate(now, peer, digest.unix_ms);
    record_received(serving, &digest.data_centre, peer);
    let crash_reports = std::mem::take(&mut digest.crash_reports).into_iter();
    let crash_reports = crash_reports.map(|report| report.received(digest.sent, now));
    serving.merge_crash_reports(now, crash_reports.collect());
    let limits = std::mem::take(&mut digest.limits).into_iter();
    let limits = limits.map(|report| report.received(digest.sent, now));
    serving.merge_limits(now, peer, limits.collect());
    serving.merge_leaving(peer, std::mem::take(&mut digest.leaving_servers));
    let own_centre = &serving.settings.data_centre;
    let mut fleet = serving.fleet.borrow_mut();
    let mut limits = serving.limits.borrow_mut();
    let mut room = serving.room.borrow_mut();
    room.apply_digest(
        now,
        own_centre,
        &mut peers,
        &mut fleet,
        &mut limits,
        &mut digest,
    );
    let centre = &digest.data_centre;
    let mut usage = serving.usage.borrow_mut();
    usage.set_peer_counts(peer.clone(), digest.life, centre, digest.usage);
    usage.merge_centre_sums(centre, digest.centre_usage);
}

async fn send_digests(serving: Rc<ServingState>, socket: Rc<UdpSocket>) {
    for round in 0_u64.. {
        let now = boot_time();
        let digest = local_digest(&serving, now, round);
        let own = &serving.settings.instance;
        let peers = serving.peers.borrow().active_hashes(now);
        {
            let mut fleet = serving.fleet.borrow_mut();
            fleet.set_instances(now, name_hash(own), peers);
            fleet.set_digest_interval(serving.peers.borrow().digest_interval());
        }
        serving.update_overload(now);
        let collectors = collectors(&serving, now);
        let own_reports = rollout_reports(&serving, now, round, false);
        let holder_reports = rollout_reports(&serving, now, round, serving.collects_usage(now));
        for (mut digest, targets) in outgoing_digests(&serving, now, round, digest, collectors) {
            let (holders, others) = split_holders(&serving, targets);
            digest.rollout_reports.clone_from(&own_reports);
            send_to(&socket, &mut digest, others);
            digest.rollout_reports.clone_from(&holder_reports);
            send_to(&socket, &mut digest, holders);
        }
        tokio::time::sleep(DIGEST_INTERVAL).await;
    }
}

/// Returns the digests of a round and the peers that get them, from that of this instance.
fn outgoing_digests(
    serving: &ServingState,
    now: Duration,
    round: u64,
    mut digest: PeerDigest,
    collectors: Vec<DigestTarget>,
) -> Vec<OutgoingDigest> {
    let peers = serving.peers.borrow();
    let mut room = serving.room.borrow_mut();
    let room_round = {
        let mut fleet = serving.fleet.borrow_mut();
        let mut limits = serving.limits.borrow_mut();
        room.begin_round(now, &peers, &mut fleet, &mut limits, &digest)
    };
    let targets = peers.digest_targets(now, &serving.settings.instance, round);
    let mut for_collectors = digest.clone();
    if serving.collects_usage(now) {
        for_collectors.centre_usage = serving.usage.borrow().centre_sums();
    }
    if !collectors.is_empty() {
        digest.usage.clear();
    }
    room.outgoing(
        &room_round,
        &peers,
        digest,
        for_collectors,
        targets,
        collectors,
    )
}

/// Returns the peers that collect usage, if the others do not get a digest in every round.
fn collectors(serving: &ServingState, now: Duration) -> Vec<DigestTarget> {
    let settings = &serving.settings;
    let peers = serving.peers.borrow();
    match peers.sends_to_all() {
        true => Vec::new(),
        false => {
            let is_holder = serving.holds_duties.get();
            peers.collectors(now, &settings.instance, &settings.data_centre, is_holder)
        }
    }
}

/// Splits off the targets that hold the duties; only they need the reports of other instances.
fn split_holders(
    serving: &ServingState,
    targets: Vec<DigestTarget>,
) -> (Vec<DigestTarget>, Vec<DigestTarget>) {
    let peers = serving.peers.borrow();
    let is_holder = |address: &SocketAddr| {
        let mut peers = peers.iter();
        peers.any(|(_, peer)| peer.holds_duties && peer.address == *address)
    };
    targets
        .into_iter()
        .partition(|(address, _)| is_holder(address))
}

/// Returns the reports on rollouts for the digests of a round; `with_centre` adds those of the
/// instances of this data centre.
fn rollout_reports(
    serving: &ServingState,
    now: Duration,
    round: u64,
    with_centre: bool,
) -> Vec<RolloutReport> {
    let Some(rollouts) = &serving.rollouts else {
        return Vec::new();
    };
    let mut others = HashSet::new();
    if with_centre {
        let peers = serving.peers.borrow();
        let centre = &serving.settings.data_centre;
        let of_centre = peers.iter().filter(|(_, peer)| peer.data_centre == *centre);
        others.extend(of_centre.map(|(name, _)| name.clone()));
    }
    rollouts.borrow().reports_to_send(now, round, &others)
}

fn send_to(socket: &UdpSocket, digest: &mut PeerDigest, targets: Vec<DigestTarget>) {
    for (address, echoed) in targets {
        digest.echoed = echoed;
        for datagram in encode_datagrams(digest) {
            // The next digest follows soon, so a loss to a full socket or an unreachable peer is
            // ignored.
            let _ = socket.try_send_to(&datagram, address);
        }
    }
}

/// Builds the current digest. The caller sets `echoed`, the send time of the last digest from the
/// receiver, for each peer.
fn local_digest(serving: &ServingState, now: Duration, round: u64) -> PeerDigest {
    let crash_reports = serving.crash_reports_to_send(now, round);
    let rollouts = &serving.rollouts;
    let policy = serving.policy.borrow();
    let mut fleet = serving.fleet.borrow_mut();
    let limits = fleet.limits_to_send(now, round);
    let leaving_servers = fleet.leaving_to_send(now, round);
    let mut loads = HashMap::new();
    for server in fleet.servers() {
        let load = server.own_load(now);
        if load != ServerLoad::default() {
            loads.insert(server.record.id.clone(), load);
        }
    }
    PeerDigest {
        centre_usage: BTreeMap::new(),
        crash_reports,
        data_centre: serving.settings.data_centre.clone(),
        demands: serving.limits.borrow_mut().demand(now),
        echoed: None,
        holds_duties: serving.holds_duties.get(),
        instance: serving.settings.instance.clone(),
        limits,
        leaving_servers,
        leaving: serving.draining.get(),
        life: serving.life,
        loads,
        policy_age: policy.age(now),
        policy_version: policy.newest_version(),
        room: None,
        rollout_knowledge: rollouts.as_ref().map_or(Vec::new(), |rollouts| {
            rollouts.borrow().knowledge_to_send(now, round)
        }),
        rollout_reports: Vec::new(),
        sent: now,
        unix_ms: serving.wall_clock.borrow().local_unix_ms(now),
        usage: serving.usage.borrow().recent_own_counts(),
        work: fleet.work(now),
    }
}
