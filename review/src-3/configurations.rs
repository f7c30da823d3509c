//! Many versions of the configuration in quick succession, with many routes.

use std::fmt::Write;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::client::Clients;
use crate::instance::Instance;
use crate::store::Store;
use crate::worker::Worker;

/// Memory of a process in bytes (`memoryMb` of the settings); one that exceeds it is killed.
const MEMORY_BYTES: u64 = 260_000_000;

/// Routes that the configuration grows by (`big_config`, count 350, three times).
const ADDED_ROUTES: usize = 1_050;

/// Time between two versions (`config_storm`, gap_s 0.06).
const GAP: Duration = Duration::from_millis(60);

/// Time for which versions are written.
const STORM: Duration = Duration::from_secs(95);

/// Time between two heartbeats of a worker (`beatIntervalMs`).
const BEAT: Duration = Duration::from_millis(1_200);

const CLIENTS_PER_INSTANCE: usize = 8;

/// Requests that may be lost at any time.
const LOST_MAX: usize = 3;

pub fn run(has_trouble: bool, folder: &Path, temporary: &Path) -> i32 {
    let began = Instant::now();
    let mut record = String::new();
    let store = Store::start();
    let workers = [Worker::start("i-1"), Worker::start("i-2")];
    let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let born = born.map_or(0, |since| since.as_millis() as u64);
    let beat = |sequence| {
        for worker in &workers {
            let entry = worker.entry(born, sequence);
            store.put("keyed.servers", &worker.id, entry.as_bytes());
        }
    };
    beat(0);
    let mut version = 7;
    let first = configuration(version);
    store.put("keyed.op", "config", first.as_bytes());
    let _ = writeln!(record, "configuration of {} bytes", first.len());
    let mut instances: Vec<Instance> = (1..=2)
        .map(|number| Instance::start(&format!("front-{number}"), store.address, temporary))
        .collect();
    let mut max_bytes = [0; 2];
    sleep(Duration::from_secs(3));
    let callers: Vec<_> = instances.iter().map(|instance| instance.callers).collect();
    let clients = Clients::start(began, &callers, CLIENTS_PER_INSTANCE);
    let storm_began = Instant::now();
    let (mut versions, mut kills, mut beats, mut logged_s) = (1_u32, Vec::new(), 1, 0);
    while storm_began.elapsed() < STORM {
        sleep(GAP);
        if has_trouble {
            version += 3;
            versions += 1;
            store.put("keyed.op", "config", configuration(version).as_bytes());
        }
        if storm_began.elapsed() >= BEAT * beats {
            beat(u64::from(beats));
            beats += 1;
        }
        for (index, instance) in instances.iter_mut().enumerate() {
            let Some(bytes) = instance.memory_bytes() else {
                let _ = writeln!(record, "front-{} ended by itself", index + 1);
                return finish(folder, &record, 1);
            };
            max_bytes[index] = max_bytes[index].max(bytes);
            if bytes > MEMORY_BYTES {
                let at = began.elapsed();
                let _ = writeln!(
                    record,
                    "{:.3} s front-{} holds {} MB after {versions} versions: killed",
                    at.as_secs_f64(),
                    index + 1,
                    bytes / 1_000_000
                );
                kills.push((index, at));
                instance.kill();
                instance.restart();
            }
        }
        if storm_began.elapsed().as_secs() >= logged_s {
            logged_s += 10;
            let mib = max_bytes.map(|bytes| bytes / 1_000_000);
            let _ = writeln!(
                record,
                "{:.1} s versions={versions} most memory MB={mib:?}",
                began.elapsed().as_secs_f64()
            );
        }
        if kills.len() == instances.len() {
            break;
        }
    }
    sleep(Duration::from_secs(2));
    let sent = clients.stop();
    let answered = sent.iter().filter(|sent| sent.whole).count();
    let _ = writeln!(record, "requests={} answered whole={answered}", sent.len());
    let mut lost = 0;
    for sent in sent.iter().filter(|sent| sent.status == 0) {
        let runs: usize = workers.iter().map(|worker| worker.runs_of(&sent.id)).sum();
        let was_running = sent.kept && runs > 0;
        lost += usize::from(was_running);
        let _ = writeln!(
            record,
            "{:.3} s request {} to front-{} kept_connection={} runs={runs}: closed without an answer",
            sent.at.as_secs_f64(),
            sent.id,
            sent.instance + 1,
            sent.kept
        );
    }
    let _ = writeln!(
        record,
        "processes killed for memory={} requests lost={lost}",
        kills.len()
    );
    if answered == 0 {
        return finish(folder, &record, 2);
    }
    finish(
        folder,
        &record,
        i32::from(!kills.is_empty() && lost > LOST_MAX),
    )
}

fn finish(folder: &Path, record: &str, code: i32) -> i32 {
    let text = format!("{record}exit {code}\n");
    if std::fs::write(folder.join("record.txt"), text).is_err() {
        return 2;
    }
    code
}

/// Configuration with one route in use and the added ones. Only the idle timeout differs between
/// versions.
fn configuration(version: u64) -> String {
    let route = |name: &str, prefix: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"pathPrefix\":\"{prefix}\",\
             \"kind\":\"unsafe\",\"timeoutMs\":1500,\"targetLatencyMs\":150,\"priority\":2,\
             \"service\":\"desk\",\"maxAttempts\":1,\"anonymous\":false,\"sticky\":false,\
             \"resumable\":false,\"gapTargetMs\":400}}"
        )
    };
    let mut routes = vec![route("r-orders", "/orders/")];
    for number in 0..ADDED_ROUTES {
        routes.push(route(
            &format!("r-{number:07}"),
            &format!("/more{number:04}/"),
        ));
    }
    let idle_timeout_ms = 15_000 + version % 97;
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\
         \"healthPath\":\"/health\"}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\
         \"headerTimeoutMs\":5000,\"idleTimeoutMs\":{idle_timeout_ms}}},\"tenants\":[{{\"name\":\
         \"quayside\",\"apiKeys\":[\"key-of-quayside\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}
