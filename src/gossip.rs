//! Tells peers what they need of this instance, over datagrams, and finds the peers in the log.
//!
//! Each instance enters its address under its name in a keyed topic when it starts and drops it
//! when it stops. An entry of a dead instance costs its peers a datagram now and then.

use super::*;

use std::rc::Rc;

use prost::Message;
use tokio::net::UdpSocket;

/// Pause between digests.
const DIGEST_PAUSE: Duration = Duration::from_millis(300);

/// Peers told in one round: small deployments at once; larger ones in turn, so that traffic grows
/// with the instances and not with their square. With a hundred, limits of accounts rest on news
/// that is a second old, which their overage bears.
const ROUND_PEERS_MAX: usize = 24;

/// Peers that are silent for longer get a digest only every [`SILENT_ROUNDS`] rounds.
const SILENT_AFTER: Duration = Duration::from_secs(10);

/// Rounds between digests to a silent peer.
const SILENT_ROUNDS: u64 = 10;

/// Longest datagram that is read.
const DATAGRAM_MAX_BYTES: usize = 64 << 10;

/// Pause between tries to enter the own address.
const ENTER_PAUSE: Duration = Duration::from_millis(500);

/// Topic with the instances' addresses, by instance name.
pub const INSTANCES_TOPIC: &str = "keyed.instances";

/// Exchanges digests until the shutdown.
pub async fn run_gossip(serving: Rc<Serving>, socket: UdpSocket, shutdown: CancellationToken) {
    let socket = Rc::new(socket);
    let receiving = receive_all(serving.clone(), socket.clone());
    let sending = send_all(serving, socket);
    tokio::select! {
        () = shutdown.cancelled() => {}
        () = receiving => {}
        () = sending => {}
    }
}

/// Binds the socket for digests.
pub async fn bind_gossip(address: SocketAddr) -> Result<UdpSocket> {
    UdpSocket::bind(address)
        .await
        .map_err(|error| Error::Address {
            address: address.to_string(),
            reason: error.to_string(),
        })
}

/// Enters this instance's address in the log, again and again until it stands there.
pub async fn enter(serving: &Serving, log: &dyn TopicLog, address: SocketAddr) {
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
        warn!("peer entry failed reason=\"{error}\"; retried");
        tokio::time::sleep(ENTER_PAUSE).await;
    }
}

async fn receive_all(serving: Rc<Serving>, socket: Rc<UdpSocket>) {
    let mut datagram = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let (length, address) = match socket.recv_from(&mut datagram).await {
            Ok(received) => received,
            Err(error) => {
                warn!("gossip receive failed reason=\"{error}\"; retried");
                tokio::time::sleep(DIGEST_PAUSE).await;
                continue;
            }
        };
        match PeerNews::decode(&datagram[..length]) {
            Ok(digest) => take_digest(&serving, address, digest),
            Err(error) => warn!("gossip from={address} {error}"),
        }
    }
}

/// Spreads a digest over the state that it is about.
fn take_digest(serving: &Serving, address: SocketAddr, digest: PeerNews) {
    let now = boot_time();
    let peer = &digest.instance;
    if *peer == serving.settings.instance {
        return;
    }
    let mut peers = serving.peers.borrow_mut();
    peers.hear(now, peer, address, &digest.data_centre, digest.sent);
    // The proof counts from when this instance sent what the peer had heard: later than that the
    // peer vouched, however long the datagram took.
    if let (Some(echoed), Some(age)) = (digest.echoed, digest.policy_age) {
        let fresh_at = echoed.saturating_sub(age);
        let mut book = serving.book.borrow_mut();
        book.prove_by_peer(digest.policy_version, fresh_at);
    }
    let mut wall_clock = serving.wall_clock.borrow_mut();
    wall_clock.record_peer_estimate(now, peer, digest.unix_ms);
    let mut fleet = serving.fleet.borrow_mut();
    if fleet.hear_centre(now, &digest.data_centre) {
        info!(
            "dependency name=data-centre id={} regained by={peer}",
            digest.data_centre
        );
    }
    fleet.take_peer_loads(now, peer, &digest.loads);
    fleet.take_peer_rates(now, peer, digest.prefill_rates);
    let mut limits = serving.limits.borrow_mut();
    limits.take_peer_demand(now, peer, digest.demands);
    let mut usage = serving.usage.borrow_mut();
    usage.take_peer(peer.clone(), digest.life, digest.usage);
}

async fn send_all(serving: Rc<Serving>, socket: Rc<UdpSocket>) {
    for round in 0_u64.. {
        let now = boot_time();
        let mut digest = own_digest(&serving, now);
        for (address, echoed) in targets(&serving, now, round) {
            digest.echoed = echoed;
            // Digests are sent again soon; a full socket or an unreachable peer loses one.
            let _ = socket.try_send_to(&digest.encode(), address);
        }
        tokio::time::sleep(DIGEST_PAUSE).await;
    }
}

fn targets(serving: &Serving, now: Duration, round: u64) -> Vec<(SocketAddr, Option<Duration>)> {
    let mut targets = Vec::new();
    for (_, peer) in serving.peers.borrow().iter() {
        let silent = peer
            .heard
            .is_none_or(|(heard_at, _)| now.saturating_sub(heard_at) > SILENT_AFTER);
        if silent && !round.is_multiple_of(SILENT_ROUNDS) {
            continue;
        }
        targets.push((peer.address, peer.heard.map(|(_, sent)| sent)));
    }
    if targets.len() > ROUND_PEERS_MAX {
        let first = (round as usize).wrapping_mul(ROUND_PEERS_MAX) % targets.len();
        targets.rotate_left(first);
        targets.truncate(ROUND_PEERS_MAX);
    }
    targets
}

/// What this instance has to tell now; whom it was heard from is added for each peer.
fn own_digest(serving: &Serving, now: Duration) -> PeerNews {
    let book = serving.book.borrow();
    let mut fleet = serving.fleet.borrow_mut();
    let mut loads = HashMap::new();
    for server in fleet.servers() {
        let load = server.own_load(now);
        if load != ServerLoad::default() {
            loads.insert(server.record.id.clone(), load);
        }
    }
    PeerNews {
        data_centre: serving.settings.data_centre.clone(),
        demands: serving.limits.borrow_mut().demand(now),
        echoed: None,
        instance: serving.settings.instance.clone(),
        leaving: serving.draining.get(),
        life: serving.life,
        loads,
        policy_age: book.age(now),
        policy_version: book.in_force().map_or(0, |policy| policy.version),
        prefill_rates: fleet.prefill_rates(now),
        sent: now,
        unix_ms: serving.wall_clock.borrow().local_unix_ms(now),
        usage: serving.usage.borrow().newest_own(),
    }
}
