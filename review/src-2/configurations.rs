//! Each change of the configuration leaves a whole copy in the memory of an instance, for its peers, up
//! to 1,024 of them. With configurations near the store's largest record these take the process over its
//! memory.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::callers::Callers;
use crate::deployment::Deployment;
use crate::deployment::configuration;
use crate::instance::MEMORY_KIB;
use crate::record::Record;

/// Changes of the configuration; the brief speaks of 2,300 a day.
const CHANGES: u64 = 1_040;

/// Time between two changes.
const CHANGE_GAP: Duration = Duration::from_millis(80);

/// Size of a configuration; a record of the store has up to 262,144 bytes, its key included.
const CONFIGURATION_BYTES: usize = 262_000;

/// Size without the disruption, some twenty routes.
const USUAL_CONFIGURATION_BYTES: usize = 5_000;

/// Time that a worker needs for an order.
const WORK_TIME: Duration = Duration::from_millis(30);

pub fn run(record: &Record, scratch: &Path, has_trouble: bool) -> Verdict {
    let Some(mut deployment) = Deployment::start_sound(scratch, WORK_TIME) else {
        return Verdict::NotRun("instance not ready");
    };
    let callers = Callers::start(deployment.instance.callers);
    let bytes = match has_trouble {
        true => CONFIGURATION_BYTES,
        false => USUAL_CONFIGURATION_BYTES,
    };
    let mut peak_kib = 0;
    let mut is_killed = false;
    let mut changes = 0;
    while !is_killed && changes < CHANGES {
        changes += 1;
        let value = configuration(1 + changes, bytes);
        deployment.store.put("keyed.op", "config", &value);
        thread::sleep(CHANGE_GAP);
        let Some(kib) = deployment.instance.memory_kib() else {
            return Verdict::NotRun("memory of the process is not known");
        };
        peak_kib = kib.max(peak_kib);
        if changes.is_multiple_of(100) {
            let length = value.len();
            record.line(format!(
                "changes={changes} bytes={length} memory={} MiB",
                kib >> 10
            ));
        }
        if kib > MEMORY_KIB {
            record.line(format!(
                "the platform kills the process at {} MiB",
                kib >> 10
            ));
            deployment.instance.kill();
            is_killed = true;
        }
    }
    let orders = callers.end(record, &deployment);
    record.line(format!(
        "changes={changes} peak={} MiB killed={is_killed}; orders answered={} lost={}",
        peak_kib >> 10,
        orders.answered,
        orders.lost,
    ));
    match orders.break_rule() {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
