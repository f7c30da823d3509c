//! Detects that a data centre is cut off, so that calls do not have to time out on each of its
//! servers in turn.
//!
//! A data centre counts as reachable while its instances (the processes that accept callers'
//! requests) send datagrams or its servers answer. If neither happens for a while,
//! [`watch_centres`] opens connections to two of its servers and two of its instances as a probe. If
//! none of them responds to two probes in a row, its servers receive no new calls, and calls there
//! that may be repeated are retried on other servers, until a probe succeeds or a datagram arrives
//! again.

use super::*;

use std::rc::Rc;

use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use tokio::net::TcpStream;

/// Interval between checks for data centres that have been silent long enough to be probed.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout for one connection of a probe: many times the latency between data centres of a region.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Probes silent data centres and records which are cut off, until shutdown.
pub async fn watch_centres(serving: Rc<ServingState>, shutdown: CancellationToken) {
    for round in 0.. {
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
        }
        let now = boot_time();
        let silent = serving.fleet.borrow().centres_to_probe(now, round);
        let mut probes = Vec::new();
        for (centre, servers) in silent {
            let instances = serving.peers.borrow().probe_addresses(now, &centre, round);
            let addresses: ProbeAddresses = servers.into_iter().chain(instances).collect();
            probes.push(probe(&serving, centre, addresses));
        }
        join_all(probes).await;
    }
}

/// Addresses to which one probe of a data centre opens connections.
type ProbeAddresses = SmallVec<[SocketAddr; 4]>;

async fn probe(serving: &ServingState, centre: DataCentreName, addresses: ProbeAddresses) {
    let reachable = any_reachable(&addresses).await;
    apply_probe_result(serving, &centre, &addresses, reachable);
}

/// Returns once the data centre is marked as cut off, at once if it already is.
pub async fn wait_for_cut_off(serving: &ServingState, centre: &DataCentreName) {
    let mut changes = serving.cut_off_changes.subscribe();
    loop {
        if serving.fleet.borrow().is_centre_unreachable(centre) {
            return;
        }
        if changes.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

async fn any_reachable(addresses: &[SocketAddr]) -> bool {
    let mut connecting: FuturesUnordered<_> = addresses.iter().map(is_reachable).collect();
    while let Some(reachable) = connecting.next().await {
        if reachable {
            return true;
        }
    }
    false
}

async fn is_reachable(address: &SocketAddr) -> bool {
    match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => true,
        // A refused connection shows that the machine can be reached.
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Err(_) => false,
    }
}

fn apply_probe_result(
    serving: &ServingState,
    centre: &DataCentreName,
    addresses: &[SocketAddr],
    reachable: bool,
) {
    let now = boot_time();
    let silence = serving.fleet.borrow().centre_silence(now, centre);
    let silent_ms = silence.map_or("unknown".to_owned(), |time| time.as_millis().to_string());
    let changed = match reachable {
        true => serving
            .fleet
            .borrow_mut()
            .mark_centre_reachable(now, centre),
        false => serving.fleet.borrow_mut().record_failed_probe(centre),
    };
    if !changed {
        return;
    }
    match reachable {
        true => info!("dependency name=data-centre id={centre} regained silent_ms={silent_ms}"),
        false => {
            serving.metrics.centre_cut_off();
            let probed: SmallVec<[String; 4]> = addresses.iter().map(ToString::to_string).collect();
            let probed = probed.join(",");
            warn!(
                "dependency name=data-centre id={centre} lost silent_ms={silent_ms} \
                 probed={probed} reason=\"no connection\""
            );
        }
    }
    serving.cut_off_changes.send_modify(|count| *count += 1);
}
