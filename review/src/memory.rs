//! Case 1: callers send bodies of the size that the operator allows; a burst comes.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::instance::{Instance, Settings};
use crate::platform::{Platform, config};
use crate::record::Record;
use crate::worker::{Kind, Worker};

/// `memoryMb` of the settings: a process that exceeds it is killed.
const MEMORY_MB: f64 = 260.0;

/// `maxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;

/// Upload of one client: 24 Mbit/s. All clients together stay well below the link of 1,000 Mbit/s.
const UPLOAD_BYTES_PER_S: usize = 3_000_000;

const DEADLINE_MS: u32 = 8_000;

/// Clients of the zone, and those that come in addition: 1.68 times as many (the site allows 1.7).
const CLIENTS: usize = 19;
const BURST_CLIENTS: usize = 13;

/// More lost requests than this break the rule.
const LOST_MAX: usize = 3;

struct Lost {
    request: String,
}

struct Shared {
    ended: AtomicBool,
    lost: Mutex<Vec<Lost>>,
    answered: AtomicU32,
    record: Record,
}

pub fn run(record: &Path, temp: &Path, trouble: bool) -> i32 {
    let record = Record::create(record);
    let platform = Platform::start();
    platform.put(
        "keyed.op",
        "config",
        &config(
            7,
            "[{\"name\":\"hule930\",\"apiKeys\":[\"key-of-hule930\"],\"priority\":1}]",
        ),
    );
    let kind = Kind {
        service: "orders-app",
        zone: "tas-hobart",
        slots: 12,
        queue: 24,
        work: Duration::from_secs(3),
    };
    let start = |number: usize| Worker::start(&platform, &record, &format!("w-{number}"), kind);
    let workers: Vec<Worker> = (0..3).map(start).collect();
    let settings = Settings {
        name: "front-tas-hobart-1".to_owned(),
        zone: "tas-hobart".to_owned(),
        platform: platform.address,
        cloud: platform.address,
    };
    let mut instance = Instance::new(settings, temp);
    instance.start();
    if !instance.wait_ready(Duration::from_secs(20)) {
        record.say("the instance is not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let shared = Arc::new(Shared {
        ended: AtomicBool::new(false),
        lost: Mutex::default(),
        answered: AtomicU32::new(0),
        record: record.clone(),
    });
    let mut clients = Vec::new();
    let front = instance.front;
    let begin = |numbers: std::ops::Range<usize>, clients: &mut Vec<_>| {
        for number in numbers {
            let shared = shared.clone();
            clients.push(thread::spawn(move || place_orders(number, front, &shared)));
        }
    };
    let begun = Instant::now();
    begin(0..CLIENTS, &mut clients);
    let (mut peak_mb, mut kills, mut is_burst) = (0.0_f64, 0, false);
    while begun.elapsed() < Duration::from_secs(30) {
        if trouble && !is_burst && begun.elapsed() > Duration::from_secs(12) {
            is_burst = true;
            record.say(&format!(
                "burst: {BURST_CLIENTS} more clients beside {CLIENTS}"
            ));
            begin(CLIENTS..CLIENTS + BURST_CLIENTS, &mut clients);
        }
        let memory_mb = instance.memory_mb();
        peak_mb = peak_mb.max(memory_mb);
        if memory_mb > MEMORY_MB {
            kills += 1;
            record.say(&format!(
                "platform: kills the process at {memory_mb:.1} MB of {MEMORY_MB}"
            ));
            instance.kill();
            thread::sleep(Duration::from_millis(500));
            instance.start();
            record.line("platform: starts the process again");
        }
        if instance.has_ended() {
            record.say("the process ended by itself");
            return 2;
        }
        thread::sleep(Duration::from_millis(10));
    }
    shared.ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let lost = shared.lost.lock().expect("lost");
    let passed_on = |lost: &&Lost| workers.iter().any(|worker| worker.ran(&lost.request));
    let count = lost.iter().filter(passed_on).count();
    record.say(&format!(
        "peak {peak_mb:.1} MB, killed {kills} times, {} orders answered, {count} orders that came on \
         a kept connection ran and their connection was closed without an answer ({LOST_MAX} allowed)",
        shared.answered.load(Ordering::SeqCst)
    ));
    i32::from(count > LOST_MAX)
}

/// Places order after order on one connection. The first request on it is a small one.
fn place_orders(number: usize, front: std::net::SocketAddr, shared: &Shared) {
    let mut sent = 0;
    thread::sleep(Duration::from_millis(40 * number as u64));
    while !shared.ended.load(Ordering::SeqCst) {
        let Some(mut client) = Client::connect(front, "orders.example", "key-of-hule930") else {
            thread::sleep(Duration::from_millis(300));
            continue;
        };
        let mut is_kept = false;
        while !shared.ended.load(Ordering::SeqCst) {
            let id = format!("c{number}-{sent}");
            sent += 1;
            let bytes = if is_kept { BODY_BYTES } else { 600 };
            shared
                .record
                .line(&format!("send     {id} body {bytes} kept {is_kept}"));
            let is_sent = client.send(&id, DEADLINE_MS, bytes, UPLOAD_BYTES_PER_S);
            let Some(response) = is_sent.then(|| client.receive()).flatten() else {
                shared.record.line(&format!(
                    "closed   {id} without an answer, whole request sent {is_sent}"
                ));
                if is_kept && is_sent {
                    shared.lost.lock().expect("lost").push(Lost { request: id });
                }
                break;
            };
            shared.record.line(&format!(
                "answered {id} {} whole {}",
                response.status(),
                response.whole
            ));
            if response.status() != 200 {
                thread::sleep(Duration::from_millis(500));
                break;
            }
            shared.answered.fetch_add(1, Ordering::SeqCst);
            is_kept = true;
        }
        thread::sleep(Duration::from_millis(200));
    }
}
