//! Clients with two keys, one of which is taken away, for the cases about keys.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::instance::{Instance, Settings};
use crate::platform::Platform;
use crate::record::Record;
use crate::worker::{Kind, Worker};

/// `revokeMs` of the settings.
pub const REVOKE: Duration = Duration::from_millis(5_000);

/// The key that is taken away.
const REVOKED_KEY: &str = "key-2";

struct Sent {
    at: Instant,
    request: String,
}

/// Two instances in different zones and three workers.
pub struct Deployment {
    pub instances: Vec<Instance>,
    workers: Vec<Worker>,
}

impl Deployment {
    /// Starts it on a platform that has a configuration; `None` if an instance doesn't become ready.
    pub fn start(platform: &Platform, record: &Record, temp: &std::path::Path) -> Option<Self> {
        let kind = Kind {
            service: "orders-app",
            zone: "tas-hobart",
            slots: 6,
            queue: 24,
            work: Duration::from_millis(30),
        };
        let start = |number: usize| Worker::start(platform, record, &format!("w-{number}"), kind);
        let workers = (0..3).map(start).collect();
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
        let is_ready = |instance: &Instance| instance.wait_ready(Duration::from_secs(20));
        if !instances.iter().all(is_ready) {
            record.say("an instance is not ready");
            return None;
        }
        Some(Self { instances, workers })
    }
}

/// Clients that send orders, at each instance one with each key.
pub struct KeyClients {
    ended: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<JoinHandle<()>>,
}

impl KeyClients {
    /// Starts them; each waits for `pause` between two orders.
    pub fn start(deployment: &Deployment, record: &Record, pause: Duration) -> Self {
        let mut clients = Self {
            ended: Arc::default(),
            sent: Arc::default(),
            threads: Vec::new(),
        };
        for (number, instance) in deployment.instances.iter().enumerate() {
            for key in ["key-1", REVOKED_KEY] {
                let (ended, sent) = (clients.ended.clone(), clients.sent.clone());
                let (front, record) = (instance.front, record.clone());
                clients.threads.push(thread::spawn(move || {
                    for count in 0.. {
                        thread::sleep(pause);
                        if ended.load(Ordering::SeqCst) {
                            return;
                        }
                        let Some(mut client) = Client::connect(front, "orders.example", key) else {
                            continue;
                        };
                        let request = format!("{key}-of-client-{number}-{count}");
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
        clients
    }

    /// Ends the clients and records the requests with the key that was taken away, by a configuration
    /// acknowledged at `acknowledged`, that were sent too late and ran. Returns the exit code.
    pub fn judge(self, deployment: &Deployment, record: &Record, acknowledged: Instant) -> i32 {
        self.ended.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let mut late = 0;
        for entry in self.sent.lock().expect("sent").iter() {
            let is_late =
                entry.request.starts_with(REVOKED_KEY) && entry.at > acknowledged + REVOKE;
            let has_run = |worker: &Worker| worker.ran(&entry.request);
            if is_late && deployment.workers.iter().any(has_run) {
                late += 1;
                let after = (entry.at - acknowledged).as_secs_f64();
                record.line(&format!(
                    "late     {} sent {after:.3} s after",
                    entry.request
                ));
            }
        }
        let ready = deployment
            .instances
            .iter()
            .filter(|instance| instance.is_ready())
            .count();
        record.say(&format!(
            "{late} requests with {REVOKED_KEY} that were sent later than {} ms after the \
             acknowledgement ran; {ready} of {} instances are ready",
            REVOKE.as_millis(),
            deployment.instances.len()
        ));
        i32::from(late > 0)
    }
}
