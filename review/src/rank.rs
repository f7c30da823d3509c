//! Case 2: the operator adds a tenant of a low rank, and later takes a key away.

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::instance::{Instance, Settings};
use crate::platform::{Platform, config};
use crate::record::Record;
use crate::worker::{Kind, Worker};

/// `revokeMs` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);

/// Rank of the tenant that is added; `RANK` in the environment replaces it.
const RANK: &str = "1000";

struct Sent {
    at: Instant,
    request: String,
}

pub fn run(directory: &Path, temp: &Path, trouble: bool) -> i32 {
    let record = Record::create(directory);
    let platform = Platform::start();
    let rank = std::env::var("RANK").unwrap_or_else(|_| RANK.to_owned());
    let tenants = |keys: &str, with_batch: bool| {
        let batch = match with_batch {
            true => format!(
                ",{{\"name\":\"night-batch\",\"apiKeys\":[\"key-of-batch\"],\"priority\":{rank}}}"
            ),
            false => String::new(),
        };
        format!("[{{\"name\":\"hule930\",\"apiKeys\":[{keys}],\"priority\":1}}{batch}]")
    };
    let both = "\"key-1\",\"key-2\"";
    platform.put("keyed.op", "config", &config(7, &tenants(both, false)));
    let kind = Kind {
        service: "orders-app",
        zone: "tas-hobart",
        slots: 6,
        queue: 24,
        work: Duration::from_millis(30),
    };
    let start = |number: usize| Worker::start(&platform, &record, &format!("w-{number}"), kind);
    let workers: Vec<Worker> = (0..3).map(start).collect();
    let mut instances = Vec::new();
    for zone in ["tas-hobart", "tas-launceston"] {
        let settings = Settings {
            name: format!("front-{zone}-1"),
            zone: zone.to_owned(),
            platform: platform.address,
            cloud: platform.address,
        };
        let mut instance = Instance::new(settings, temp);
        instance.start();
        instances.push(instance);
    }
    if !instances
        .iter()
        .all(|instance| instance.wait_ready(Duration::from_secs(20)))
    {
        record.say("an instance is not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let ended = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    for (number, instance) in instances.iter().enumerate() {
        for key in ["key-1", "key-2"] {
            let (ended, sent, record) = (ended.clone(), sent.clone(), record.clone());
            let front = instance.front;
            clients.push(thread::spawn(move || {
                let mut count = 0;
                while !ended.load(Ordering::SeqCst) {
                    let request = format!("{key}-of-client-{number}-{count}");
                    count += 1;
                    thread::sleep(Duration::from_millis(200));
                    let Some(mut client) = Client::connect(front, "orders.example", key) else {
                        continue;
                    };
                    record.line(&format!("send     {request}"));
                    let entry = Sent {
                        at: Instant::now(),
                        request: request.clone(),
                    };
                    sent.lock().expect("sent").push(entry);
                    client.send(&request, 1_500, 600, 1_000_000);
                    let status = client.receive().map_or(0, |response| response.status());
                    record.line(&format!("answered {request} {status}"));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(3));
    platform.put("keyed.op", "config", &config(9, &tenants(both, true)));
    record.say(&format!(
        "operator: version 9 adds a tenant of rank {rank}; acknowledged"
    ));
    thread::sleep(Duration::from_secs(4));
    let keys = if trouble { "\"key-1\"" } else { both };
    platform.put("keyed.op", "config", &config(12, &tenants(keys, true)));
    let acknowledged = Instant::now();
    let what = if trouble {
        "takes key-2 away"
    } else {
        "changes nothing"
    };
    record.say(&format!("operator: version 12 {what}; acknowledged"));
    thread::sleep(Duration::from_secs(20));
    ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    if !trouble {
        record.say("no key was taken away");
        return 0;
    }
    let mut late = 0;
    for entry in sent.lock().expect("sent").iter() {
        let is_late = entry.request.starts_with("key-2") && entry.at > acknowledged + REVOKE;
        late += usize::from(is_late && workers.iter().any(|worker| worker.ran(&entry.request)));
    }
    let ready = instances
        .iter()
        .filter(|instance| instance.is_ready())
        .count();
    record.say(&format!(
        "{late} requests with key-2 that were sent later than {} ms after the acknowledgement ran; \
         {ready} of {} instances are ready",
        REVOKE.as_millis(),
        instances.len()
    ));
    i32::from(late > 0)
}
