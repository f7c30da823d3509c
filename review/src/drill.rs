//! Case 4: the store comes back from an older copy while all instances are killed.

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

/// Age of the copy when the store leaves.
const COPY_AGE: Duration = Duration::from_secs(5);

/// Time from the copy to the configuration that takes the key away.
const REVOKE_AFTER_COPY: Duration = Duration::from_secs(2);

const AWAY: Duration = Duration::from_millis(1_500);

/// Time from the store's return until the operator has written again.
const WRITTEN_AGAIN: Duration = Duration::from_secs(2);

struct Sent {
    at: Instant,
    request: String,
}

pub fn run(directory: &Path, temp: &Path, trouble: bool) -> i32 {
    let record = Record::create(directory);
    let platform = Platform::start();
    let tenants =
        |keys: &str| format!("[{{\"name\":\"hule930\",\"apiKeys\":[{keys}],\"priority\":1}}]");
    platform.put(
        "keyed.op",
        "config",
        &config(7, &tenants("\"key-1\",\"key-2\"")),
    );
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
    thread::sleep(Duration::from_secs(6));
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
                    thread::sleep(Duration::from_millis(100));
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
    let copy = platform.copy();
    thread::sleep(REVOKE_AFTER_COPY);
    let revoked = config(12, &tenants("\"key-1\""));
    platform.put("keyed.op", "config", &revoked);
    let acknowledged = Instant::now();
    record.say("operator: version 12 takes key-2 away; acknowledged");
    thread::sleep(COPY_AGE - REVOKE_AFTER_COPY);
    if trouble {
        record.say("platform: the store is away, and all instances are killed");
        platform.leave();
        instances.iter_mut().for_each(Instance::kill);
        thread::sleep(Duration::from_millis(500));
        instances.iter_mut().for_each(Instance::start);
        record.line("platform: starts the instances again");
        thread::sleep(AWAY - Duration::from_millis(500));
        platform.come_back(copy);
        record.say("platform: the store is back from a copy of before version 12");
        thread::sleep(WRITTEN_AGAIN);
        platform.put("keyed.op", "config", &revoked);
        record.say("operator: writes version 12 again");
    }
    thread::sleep(Duration::from_secs(6));
    ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let mut late = 0;
    for entry in sent.lock().expect("sent").iter() {
        let is_late = entry.request.starts_with("key-2") && entry.at > acknowledged + REVOKE;
        if is_late && workers.iter().any(|worker| worker.ran(&entry.request)) {
            late += 1;
            let after = (entry.at - acknowledged).as_secs_f64();
            record.line(&format!(
                "late     {} sent {after:.3} s after",
                entry.request
            ));
        }
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
