//! Detects that a data centre is cut off, so that calls do not have to time out on each of its
//! servers in turn.
//!
//! A data centre counts as reachable while its instances (the processes that accept callers'
//! requests) send datagrams or its servers answer. If neither happens for a while,
//! [`watch_centres`] opens connections to two of its servers as a probe. If neither machine
//! responds, its servers receive no new calls, and calls there that may be repeated are retried on
//! other servers, until a probe succeeds or a datagram arrives again.

use super::*;

use std::rc::Rc;

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
        let silent = serving.fleet.borrow().centres_to_probe(boot_time(), round);
        for (centre, addresses) in silent {
            let reachable = any_reachable(&addresses).await;
            apply_probe_result(&serving, &centre, &addresses, reachable);
        }
    }
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
    for address in addresses {
        let connecting = TcpStream::connect(address);
        match tokio::time::timeout(PROBE_TIMEOUT, connecting).await {
            // A refused connection shows that the machine can be reached.
            Ok(Ok(_)) => return true,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => return true,
            Ok(Err(_)) | Err(_) => {}
        }
    }
    false
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
        false => serving.fleet.borrow_mut().mark_centre_unreachable(centre),
    };
    if !changed {
        return;
    }
    match reachable {
        true => info!("dependency name=data-centre id={centre} regained silent_ms={silent_ms}"),
        false => {
            serving.metrics.centre_cut_off();
            let probed: SmallVec<[String; 2]> = addresses.iter().map(ToString::to_string).collect();
            let probed = probed.join(",");
            warn!(
                "dependency name=data-centre id={centre} lost silent_ms={silent_ms} \
                 probed={probed} reason=\"no connection\""
            );
        }
    }
    serving.cut_off_changes.send_modify(|count| *count += 1);
}
