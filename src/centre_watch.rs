//! Detects that a data centre is cut off, so that calls do not have to time out on each of its
//! servers in turn.
//!
//! A data centre counts as reachable while its instances (the processes that accept callers'
//! requests) send datagrams or its servers answer. If neither happens for a while,
//! [`watch_centres`] opens connections to two of its servers and two of its instances as a probe. If
//! none of them responds to two probes in a row, its servers receive no new calls, and calls there
//! that may be repeated are moved to other servers where that is possible, until a probe succeeds or
//! anything arrives from it.

use super::*;

use std::rc::Rc;

use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use tokio::net::TcpStream;
use tokio::time::Instant as TokioInstant;

/// Interval between checks for data centres that have been silent long enough to be probed.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two attempts to move a call out of a data centre that seems cut off. The retry
/// budget grows with each accepted call, so that a later attempt may succeed.
pub(crate) const MOVE_INTERVAL: Duration = Duration::from_secs(1);

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
    let began_at = boot_time();
    match any_reachable(&addresses).await {
        Some(address) => record_received(serving, &centre, &address),
        None => record_failed_probe(serving, began_at, &centre, &addresses),
    }
}

/// Records that a data centre can be reached, because something was received from `sender` in it.
pub(crate) fn record_received(
    serving: &ServingState,
    centre: &DataCentreName,
    sender: &dyn fmt::Display,
) {
    let now = boot_time();
    let mut fleet = serving.fleet.borrow_mut();
    let silence = fleet.centre_silence(now, centre);
    if !fleet.mark_centre_reachable(now, centre) {
        return;
    }
    info!(
        "dependency name=data-centre id={centre} regained by={sender} silent_ms={}",
        format_ms(silence)
    );
    serving.cut_off_changes.send_modify(|count| *count += 1);
}

fn record_failed_probe(
    serving: &ServingState,
    began_at: Duration,
    centre: &DataCentreName,
    addresses: &[SocketAddr],
) {
    let mut fleet = serving.fleet.borrow_mut();
    let silence = fleet.centre_silence(boot_time(), centre);
    if !fleet.record_failed_probe(began_at, centre) {
        return;
    }
    serving.metrics.centre_cut_off();
    let probed: SmallVec<[String; 4]> = addresses.iter().map(ToString::to_string).collect();
    warn!(
        "dependency name=data-centre id={centre} lost silent_ms={} probed={} \
         reason=\"no connection\"",
        format_ms(silence),
        probed.join(","),
    );
    serving.cut_off_changes.send_modify(|count| *count += 1);
}

fn format_ms(time: Option<Duration>) -> String {
    time.map_or("unknown".to_owned(), |time| time.as_millis().to_string())
}

/// Returns once the data centre is marked as cut off, but not before `from`.
pub async fn wait_for_cut_off(serving: &ServingState, centre: &DataCentreName, from: TokioInstant) {
    tokio::time::sleep_until(from).await;
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

/// Returns the first of the addresses that responds.
async fn any_reachable(addresses: &[SocketAddr]) -> Option<SocketAddr> {
    let mut connecting: FuturesUnordered<_> = addresses.iter().copied().map(connect).collect();
    while let Some(responding) = connecting.next().await {
        if responding.is_some() {
            return responding;
        }
    }
    None
}

async fn connect(address: SocketAddr) -> Option<SocketAddr> {
    match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Some(address),
        // A refused connection shows that the machine can be reached.
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => Some(address),
        Ok(Err(_)) | Err(_) => None,
    }
}
