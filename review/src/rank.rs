//! Case 2: the operator adds a tenant of a low rank, and later takes a key away.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::keys::{Deployment, KeyClients};
use crate::platform::{Platform, config};
use crate::record::Record;

/// Rank of the tenant that is added; `RANK` in the environment replaces it.
const RANK: &str = "1000";

pub fn run(record: &Path, temp: &Path, trouble: bool) -> i32 {
    let record = Record::create(record);
    let platform = Platform::start();
    let rank = std::env::var("RANK").unwrap_or_else(|_| RANK.to_owned());
    let added =
        format!(",{{\"name\":\"night-batch\",\"apiKeys\":[\"key-of-batch\"],\"priority\":{rank}}}");
    let tenants = |keys: &str, others: &str| {
        format!("[{{\"name\":\"hule930\",\"apiKeys\":[{keys}],\"priority\":1}}{others}]")
    };
    let both = "\"key-1\",\"key-2\"";
    platform.put("keyed.op", "config", &config(7, &tenants(both, "")));
    let Some(deployment) = Deployment::start(&platform, &record, temp) else {
        return 2;
    };
    thread::sleep(Duration::from_secs(4));
    let clients = KeyClients::start(&deployment, &record, Duration::from_millis(200));
    thread::sleep(Duration::from_secs(3));
    platform.put("keyed.op", "config", &config(9, &tenants(both, &added)));
    record.say(&format!(
        "operator: version 9 adds a tenant of rank {rank}; acknowledged"
    ));
    thread::sleep(Duration::from_secs(4));
    let keys = if trouble { "\"key-1\"" } else { both };
    platform.put("keyed.op", "config", &config(12, &tenants(keys, &added)));
    let acknowledged = Instant::now();
    let what = if trouble {
        "takes key-2 away"
    } else {
        "takes no key away"
    };
    record.say(&format!("operator: version 12 {what}; acknowledged"));
    thread::sleep(Duration::from_secs(20));
    if !trouble {
        return 0;
    }
    clients.judge(&deployment, &record, acknowledged)
}
