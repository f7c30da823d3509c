//! Notices that a data centre is cut off before each of its servers has cost a call its time.
//!
//! Datagrams of instances and answers of servers are signs of life. A data centre that gives
//! none for a while is asked by opening connections to two of its servers; if neither opens, its
//! servers get no work, and calls that may move are moved, until a connection opens again.

use super::*;

use std::rc::Rc;

use tokio::net::TcpStream;

/// Pause between looks.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

/// Time for a connection: many times the way between data centres of a region.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Watches the ways to all data centres until the shutdown.
pub async fn watch_centres(serving: Rc<Serving>, shutdown: CancellationToken) {
    for round in 0.. {
        tokio::select! {
            () = shutdown.cancelled() => return,
            () = tokio::time::sleep(LOOK_PAUSE) => {}
        }
        let silent = serving.fleet.borrow().centres_to_probe(boot_time(), round);
        for (centre, addresses) in silent {
            let opens = opens_any(&addresses).await;
            take_probe(&serving, &centre, opens);
        }
    }
}

/// Waits until a data centre is cut off.
pub async fn wait_for_cut(serving: &Serving, centre: &DataCentreName) {
    let mut cuts = serving.cuts.subscribe();
    loop {
        if serving.fleet.borrow().is_centre_unreachable(centre) {
            return;
        }
        if cuts.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

async fn opens_any(addresses: &[SocketAddr]) -> bool {
    for address in addresses {
        let connecting = TcpStream::connect(address);
        match tokio::time::timeout(PROBE_TIMEOUT, connecting).await {
            // A refusal comes from a machine that can be reached.
            Ok(Ok(_)) => return true,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => return true,
            Ok(Err(_)) | Err(_) => {}
        }
    }
    false
}

fn take_probe(serving: &Serving, centre: &DataCentreName, opens: bool) {
    let now = boot_time();
    let changed = match opens {
        true => serving
            .fleet
            .borrow_mut()
            .mark_centre_reachable(now, centre),
        false => serving.fleet.borrow_mut().mark_centre_unreachable(centre),
    };
    if !changed {
        return;
    }
    match opens {
        true => info!("dependency name=data-centre id={centre} regained"),
        false => warn!("dependency name=data-centre id={centre} lost reason=\"no connection\""),
    }
    serving.cuts.send_modify(|count| *count += 1);
}
