//! Simulated platform: log service, instance list, cloud API and model weight store.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use actix_web::HttpResponse;
use actix_web::web;
use actix_web::web::ServiceConfig;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

/// Upper bound on the wait of a long-polling read.
const MAX_READ_WAIT: Duration = Duration::from_secs(10);

/// Rate limit of the weight store in downloads per second.
const WEIGHT_DOWNLOADS_PER_S: f64 = 2.0;

/// Injected faults and limits, set through `POST /admin/faults`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Rate limit of the log service in appends per second.
    pub append_per_s: f64,
    /// Delay until a state change appears in the instance list.
    pub list_lag_ms: u64,
    /// Number of upcoming appends whose response is lost after the append took effect.
    pub lose_answers: u32,
    /// Whether the log service is unavailable.
    pub outage: bool,
    /// Whether the cloud API refuses to start instances.
    pub refuse_starts: bool,
    /// Retention time of log records.
    pub retention_ms: u64,
}

impl Default for PlatformFaults {
    fn default() -> Self {
        Self {
            append_per_s: 300.0,
            list_lag_ms: 2_000,
            lose_answers: 0,
            outage: false,
            refuse_starts: false,
            retention_ms: 86_400_000,
        }
    }
}

#[derive(Clone, Serialize)]
struct Record {
    data: String,
    /// Era in which the record was appended.
    era: u64,
    offset: u64,
    time_ms: u64,
}

/// Contents of the log service at one time.
pub struct LogCopy(BTreeMap<String, Stream>);

#[derive(Clone, Default)]
struct Stream {
    next: u64,
    records: VecDeque<Record>,
}

/// Cloud instance, as accepted by the start and admin endpoints.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Instance {
    /// Instance name.
    pub name: String,
    /// Price per hour in cents.
    #[serde(default)]
    pub price_cents_per_hour: u32,
    /// Lifecycle state: "live", "leaving" or "gone".
    pub state: String,
}

struct InstanceEntry {
    changed_at: Instant,
    ended_at: Option<Instant>,
    started_at: Instant,
    price_cents_per_hour: u32,
    state: String,
    previous_state: String,
}

struct TokenBucket {
    refilled_at: Instant,
    tokens: f64,
}

impl TokenBucket {
    fn try_take(&mut self, per_s: f64) -> bool {
        let now = Instant::now();
        self.tokens = (self.tokens + (now - self.refilled_at).as_secs_f64() * per_s).min(per_s);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

struct State {
    append_bucket: TokenBucket,
    appends: u64,
    /// Number of times that the log was restored from a copy.
    era: u64,
    faults: PlatformFaults,
    instances: BTreeMap<String, InstanceEntry>,
    notices: BTreeMap<String, Instant>,
    streams: BTreeMap<String, Stream>,
    weight_bucket: TokenBucket,
}

/// Simulated platform; clones share its state.
#[derive(Clone)]
pub struct Platform {
    appended: Arc<Notify>,
    state: Arc<Mutex<State>>,
}

impl Default for Platform {
    fn default() -> Self {
        let bucket = || TokenBucket {
            refilled_at: Instant::now(),
            tokens: 1.0,
        };
        Self {
            appended: Arc::new(Notify::new()),
            state: Arc::new(Mutex::new(State {
                append_bucket: bucket(),
                appends: 0,
                era: 0,
                faults: PlatformFaults::default(),
                instances: BTreeMap::new(),
                notices: BTreeMap::new(),
                streams: BTreeMap::new(),
                weight_bucket: bucket(),
            })),
        }
    }
}

impl Platform {
    /// Registers the HTTP routes.
    pub fn configure(&self, config: &mut ServiceConfig) {
        config
            .app_data(web::Data::new(self.clone()))
            .app_data(web::JsonConfig::default().limit(64 << 20))
            .route("/log/{stream}", web::post().to(append))
            .route("/log/{stream}", web::get().to(read))
            .route("/instances", web::get().to(list))
            .route("/cloud/notice/{instance}", web::get().to(notice))
            .route("/cloud/start", web::post().to(start))
            .route("/weights/{model}", web::get().to(weights))
            .route("/bill", web::get().to(bill))
            .route("/admin/faults", web::get().to(get_faults))
            .route("/admin/faults", web::post().to(set_faults))
            .route("/admin/instances", web::post().to(set_instance))
            .route("/admin/counts", web::get().to(counts));
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
        self.appended.notify_waiters();
    }

    /// Copies the contents of the log service.
    pub fn copy_log(&self) -> LogCopy {
        LogCopy(self.lock().streams.clone())
    }

    /// Replaces the contents of the log service by a copy. What was appended since is lost, and
    /// offsets are given out again.
    pub fn restore_log(&self, copy: &LogCopy) {
        let mut state = self.lock();
        state.streams = copy.0.clone();
        state.era += 1;
        drop(state);
        self.appended.notify_waiters();
    }

    /// Announces the reclaim of an instance at `/cloud/notice`, which the instance polls.
    pub fn announce_reclaim(&self, instance: &str, notice: Duration) {
        self.lock()
            .notices
            .insert(instance.to_owned(), Instant::now() + notice);
    }

    /// Returns the number of appends that took effect.
    pub fn appends(&self) -> u64 {
        self.lock().appends
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

#[derive(Deserialize)]
struct AppendBody {
    records: Vec<String>,
}

async fn append(
    platform: web::Data<Platform>,
    stream: web::Path<String>,
    body: web::Json<AppendBody>,
) -> HttpResponse {
    let mut state = platform.lock();
    if state.faults.outage {
        return HttpResponse::ServiceUnavailable().body("log service is unavailable");
    }
    let per_s = state.faults.append_per_s;
    if !state.append_bucket.try_take(per_s) {
        return HttpResponse::TooManyRequests().body("append rate limit exceeded");
    }
    state.appends += 1;
    let time_ms = now_ms();
    let era = state.era;
    let stream = state.streams.entry(stream.into_inner()).or_default();
    let first_offset = stream.next;
    for data in body.into_inner().records {
        stream.records.push_back(Record {
            data,
            era,
            offset: stream.next,
            time_ms,
        });
        stream.next += 1;
    }
    let loses_response = state.faults.lose_answers > 0;
    if loses_response {
        state.faults.lose_answers -= 1;
    }
    drop(state);
    platform.appended.notify_waiters();
    match loses_response {
        true => HttpResponse::GatewayTimeout().body("response lost by fault injection"),
        false => HttpResponse::Ok().json(serde_json::json!({
            "era": era, "first_offset": first_offset,
        })),
    }
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    max: usize,
    wait_ms: u64,
}

async fn read(
    platform: web::Data<Platform>,
    stream: web::Path<String>,
    query: web::Query<ReadQuery>,
) -> HttpResponse {
    let wait = Duration::from_millis(query.wait_ms).min(MAX_READ_WAIT);
    let until = tokio::time::Instant::now() + wait;
    loop {
        let appended = platform.appended.notified();
        tokio::pin!(appended);
        appended.as_mut().enable();
        if let Some(response) = read_now(&platform, &stream, &query, until) {
            return response;
        }
        let _ = tokio::time::timeout_at(until, appended).await;
    }
}

fn read_now(
    platform: &Platform,
    name: &str,
    query: &ReadQuery,
    until: tokio::time::Instant,
) -> Option<HttpResponse> {
    let mut state = platform.lock();
    if state.faults.outage {
        return Some(HttpResponse::ServiceUnavailable().body("log service is unavailable"));
    }
    let time_ms = now_ms();
    let oldest_ms = time_ms.saturating_sub(state.faults.retention_ms);
    let era = state.era;
    let stream = state.streams.entry(name.to_owned()).or_default();
    while stream
        .records
        .front()
        .is_some_and(|record| record.time_ms < oldest_ms)
    {
        stream.records.pop_front();
    }
    let start = stream
        .records
        .front()
        .map_or(stream.next, |record| record.offset);
    let skip = query.from.saturating_sub(start) as usize;
    let records: Vec<&Record> = stream.records.iter().skip(skip).take(query.max).collect();
    let is_at_tail = start <= query.from && query.from == stream.next;
    if records.is_empty() && is_at_tail && tokio::time::Instant::now() < until {
        return None;
    }
    Some(HttpResponse::Ok().json(serde_json::json!({
        "era": era, "start": start, "tail": stream.next, "time_ms": time_ms, "records": records,
    })))
}

/// Lists the instances; a state change appears after the configured lag.
async fn list(platform: web::Data<Platform>) -> HttpResponse {
    let state = platform.lock();
    let lag = Duration::from_millis(state.faults.list_lag_ms);
    let mut listed = Vec::new();
    for (name, instance) in &state.instances {
        let shown = match instance.changed_at.elapsed() < lag {
            true => &instance.previous_state,
            false => &instance.state,
        };
        if shown != "gone" {
            listed.push(serde_json::json!({ "name": name, "state": shown }));
        }
    }
    HttpResponse::Ok().json(listed)
}

async fn notice(platform: web::Data<Platform>, instance: web::Path<String>) -> HttpResponse {
    match platform.lock().notices.get(instance.as_str()) {
        Some(until) => {
            let left = until.saturating_duration_since(Instant::now());
            HttpResponse::Ok().json(serde_json::json!({ "left_ms": left.as_millis() as u64 }))
        }
        None => HttpResponse::NotFound().finish(),
    }
}

async fn start(platform: web::Data<Platform>, body: web::Json<Instance>) -> HttpResponse {
    if platform.lock().faults.refuse_starts {
        return HttpResponse::ServiceUnavailable().body("no capacity");
    }
    set_instance(platform, body).await
}

async fn set_instance(platform: web::Data<Platform>, body: web::Json<Instance>) -> HttpResponse {
    let body = body.into_inner();
    let now = Instant::now();
    let mut state = platform.lock();
    let entry = state
        .instances
        .entry(body.name)
        .or_insert_with(|| InstanceEntry {
            changed_at: now,
            ended_at: None,
            started_at: now,
            price_cents_per_hour: body.price_cents_per_hour,
            state: String::new(),
            previous_state: "gone".to_owned(),
        });
    if entry.state != body.state {
        entry.previous_state = std::mem::replace(&mut entry.state, body.state);
        entry.changed_at = now;
    }
    entry.ended_at = (entry.state == "gone").then_some(now);
    HttpResponse::Ok().json(serde_json::json!({ "ok": true }))
}

async fn weights(platform: web::Data<Platform>, model: web::Path<String>) -> HttpResponse {
    match platform
        .lock()
        .weight_bucket
        .try_take(WEIGHT_DOWNLOADS_PER_S)
    {
        true => HttpResponse::Ok().json(serde_json::json!({ "weights": *model })),
        false => HttpResponse::TooManyRequests().body("weight store rate limit exceeded"),
    }
}

/// Totals the cost of all instances over their running time.
async fn bill(platform: web::Data<Platform>) -> HttpResponse {
    let state = platform.lock();
    let mut cents = 0.0;
    for instance in state.instances.values() {
        let end = instance.ended_at.unwrap_or_else(Instant::now);
        let hours = (end - instance.started_at).as_secs_f64() / 3_600.0;
        cents += hours * f64::from(instance.price_cents_per_hour);
    }
    HttpResponse::Ok().json(serde_json::json!({ "cents": cents }))
}

async fn get_faults(platform: web::Data<Platform>) -> HttpResponse {
    HttpResponse::Ok().json(&platform.lock().faults)
}

async fn set_faults(
    platform: web::Data<Platform>,
    body: web::Json<PlatformFaults>,
) -> HttpResponse {
    platform.set_faults(body.into_inner());
    HttpResponse::Ok().json(serde_json::json!({ "ok": true }))
}

async fn counts(platform: web::Data<Platform>) -> HttpResponse {
    HttpResponse::Ok().json(serde_json::json!({ "appends": platform.lock().appends }))
}
