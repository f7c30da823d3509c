//! Case 5: the store comes back from an older copy while all instances are killed.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::instance::Instance;
use crate::keys::{Deployment, KeyClients};
use crate::platform::{Platform, config};
use crate::record::Record;

/// Age of the copy when the store leaves.
const COPY_AGE: Duration = Duration::from_secs(5);

/// Time from the copy to the configuration that takes the key away.
const REVOKE_AFTER_COPY: Duration = Duration::from_secs(2);

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(1_500);

/// Time for which a killed process is down.
const DOWN: Duration = Duration::from_millis(500);

/// Time from the store's return until the operator has written again.
const WRITTEN_AGAIN: Duration = Duration::from_secs(2);

pub fn run(record: &Path, temp: &Path, trouble: bool) -> i32 {
    let record = Record::create(record);
    let platform = Platform::start();
    let tenants =
        |keys: &str| format!("[{{\"name\":\"hule930\",\"apiKeys\":[{keys}],\"priority\":1}}]");
    platform.put(
        "keyed.op",
        "config",
        &config(7, &tenants("\"key-1\",\"key-2\"")),
    );
    let Some(mut deployment) = Deployment::start(&platform, &record, temp) else {
        return 2;
    };
    thread::sleep(Duration::from_secs(6));
    let clients = KeyClients::start(&deployment, &record, Duration::from_millis(100));
    let copy = platform.copy();
    thread::sleep(REVOKE_AFTER_COPY);
    let revoked = config(12, &tenants("\"key-1\""));
    platform.put("keyed.op", "config", &revoked);
    let acknowledged = Instant::now();
    record.say("operator: version 12 takes key-2 away; acknowledged");
    thread::sleep(COPY_AGE - REVOKE_AFTER_COPY);
    // `PART` in the environment leaves one of the two disruptions out.
    let part = std::env::var("PART").unwrap_or_default();
    let is_killed = trouble && part != "drill";
    let is_drill = trouble && part != "kill";
    if is_drill {
        record.say("platform: the store is away");
        platform.leave();
    }
    if is_killed {
        record.say("platform: all instances are killed");
        deployment.instances.iter_mut().for_each(Instance::kill);
        thread::sleep(DOWN);
        deployment.instances.iter_mut().for_each(Instance::start);
        record.line("platform: starts the instances again");
    }
    if is_drill {
        thread::sleep(if is_killed { AWAY - DOWN } else { AWAY });
        platform.come_back(copy);
        record.say("platform: the store is back from a copy of before version 12");
        thread::sleep(WRITTEN_AGAIN);
        platform.put("keyed.op", "config", &revoked);
        record.say("operator: writes version 12 again");
    }
    thread::sleep(Duration::from_secs(6));
    clients.judge(&deployment, &record, acknowledged)
}
