//! A small deployment: the store, three workers of one plain service and one instance.

use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::http::Request;
use crate::http::respond;
use crate::instance::Instance;
use crate::store::Store;
use crate::worker::Worker;

/// Requests a second of all clients together, by the sheet of the member services.
pub const REQUESTS_PER_S: f64 = 135.7;

/// Machines of that deployment, and those that are left when the zone with most of them is lost.
pub const MACHINES: f64 = 6.0;
pub const MACHINES_LEFT: f64 = 3.0;

/// Usual timeout of the route for orders: the deadline of its callers.
const USUAL_TIMEOUT: Duration = Duration::from_millis(1_500);

const CONFIGURATION: &str = r#"{"version":VERSION,"routes":[
{"name":"orders","host":"h.example","pathPrefix":"/orders/","kind":"unsafe","timeoutMs":TIMEOUT_MS,
"targetLatencyMs":150,"priority":0,"service":"shop","maxAttempts":1,"anonymous":false}ROUTES],
"services":[{"name":"shop","healthPath":"/health","maxConnections":96}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"t","apiKeys":["key-of-t"],"priority":0,"unit":"tokens","uncachedTokens":200,
"ratePerS":0,"burst":0}]}"#;

pub struct Deployment {
    pub instance: Instance,
    pub store: Store,
    pub workers: [Worker; 3],
}

fn text(version: u64, timeout: Duration, routes: &str) -> String {
    CONFIGURATION
        .replace("VERSION", &version.to_string())
        .replace("TIMEOUT_MS", &timeout.as_millis().to_string())
        .replace("ROUTES", routes)
}

/// Returns a configuration of at most `bytes`, with as many further routes.
pub fn configuration(version: u64, bytes: usize) -> String {
    let mut routes = String::new();
    let rest = bytes - text(version, USUAL_TIMEOUT, "").len();
    for number in 0.. {
        let route = format!(
            ",{{\"name\":\"r-{number:06}\",\"host\":\"h.example\",\"pathPrefix\":\"/r{number:06}/\",\
             \"kind\":\"safe\",\"timeoutMs\":1500,\"targetLatencyMs\":150,\"priority\":0,\
             \"service\":\"shop\",\"maxAttempts\":2,\"anonymous\":false}}"
        );
        if routes.len() + route.len() > rest {
            break;
        }
        routes.push_str(&route);
    }
    text(version, USUAL_TIMEOUT, &routes)
}

impl Deployment {
    /// Starts all parts, with sound workers that need `work_time` for an order. Returns `None` if the
    /// instance does not become ready.
    pub fn start_sound(scratch: &Path, work_time: Duration) -> Option<Self> {
        let run = move |worker: &Worker, request: &Request, stream: &mut TcpStream| {
            worker.note(request);
            thread::sleep(work_time);
            respond(stream, 200, &worker.headers(request), b"ok")
        };
        Self::start(scratch, USUAL_TIMEOUT, run)
    }

    /// Starts all parts, with a timeout of the route for orders and workers that behave as `run` says.
    pub fn start(
        scratch: &Path,
        timeout: Duration,
        run: impl Fn(&Worker, &Request, &mut TcpStream) -> bool + Clone + Send + Sync + 'static,
    ) -> Option<Self> {
        let store = Store::start();
        store.put("keyed.op", "config", &text(1, timeout, ""));
        let workers = ["i-one", "i-two", "i-three"].map(|id| Worker::start(id, run.clone()));
        for worker in &workers {
            store.put(
                "keyed.servers",
                &worker.id,
                &worker.entry("shop", "dc-a", 6),
            );
        }
        let instance = Instance::start("front-a-1", store.address, scratch);
        let is_ready = instance.wait_ready(Duration::from_secs(15));
        is_ready.then_some(Self {
            instance,
            store,
            workers,
        })
    }

    /// Returns true if a worker has begun to run the request.
    pub fn has_run(&self, request: &str) -> bool {
        self.workers.iter().any(|worker| worker.has_run(request))
    }
}
