//! The buffers of idle connections keep the size of the requests that came on them. Clients that leave
//! their connections open after a request take the process over its memory, although none of their
//! requests is in progress and the operators' limit for idle connections is 15 s.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::callers::Callers;
use crate::clients::Arrivals;
use crate::clients::Clients;
use crate::deployment::Deployment;
use crate::deployment::MACHINES;
use crate::deployment::MACHINES_LEFT;
use crate::deployment::REQUESTS_PER_S;
use crate::instance::MEMORY_KIB;
use crate::record::Record;

/// Bytes of a request: below the largest of the site file's first kind of request (110,000).
const BODY_BYTES: usize = 100_000;

/// Time for which clients come.
const CLIENTS_TIME: Duration = Duration::from_secs(70);

/// Time that a worker needs for an order.
const WORK_TIME: Duration = Duration::from_millis(30);

pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> Verdict {
    let Some(mut deployment) = Deployment::start_sound(scratch, WORK_TIME) else {
        return Verdict::NotRun("instance not ready");
    };
    let address = deployment.instance.callers;
    let callers = Callers::start(address);
    let machines = match has_trouble {
        true => MACHINES_LEFT,
        false => MACHINES,
    };
    let arrivals = Arrivals {
        body_bytes: BODY_BYTES,
        per_s: REQUESTS_PER_S / machines,
        time: CLIENTS_TIME,
    };
    record.line(format!("from now {:.1} clients a second", arrivals.per_s));
    let began_at = Instant::now();
    let clients = Clients::start(address, arrivals);
    let mut peak_kib = 0;
    let mut noted_s = 0;
    let mut is_killed = false;
    while !is_killed && began_at.elapsed() < CLIENTS_TIME {
        let Some(kib) = deployment.instance.memory_kib() else {
            return Verdict::NotRun("memory of the process is not known");
        };
        peak_kib = kib.max(peak_kib);
        if began_at.elapsed().as_secs() >= noted_s {
            let descriptors = deployment.instance.descriptors();
            record.line(format!(
                "memory={} MiB descriptors={descriptors}",
                kib >> 10
            ));
            noted_s += 5;
        }
        if kib > MEMORY_KIB {
            record.line(format!(
                "the platform kills the process at {} MiB",
                kib >> 10
            ));
            deployment.instance.kill();
            is_killed = true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    let orders = callers.end(record, &deployment);
    let statuses = clients.end();
    let served = statuses.iter().filter(|status| **status == 200).count();
    record.line(format!(
        "clients={} served={served} peak={} MiB killed={is_killed}; orders answered={} lost={}",
        statuses.len(),
        peak_kib >> 10,
        orders.answered,
        orders.lost,
    ));
    match orders.break_rule() {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
