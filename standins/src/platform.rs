//! Stand-in for the platform: log service, instance list, cloud API and weight store.

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

/// Longest wait of a read.
const READ_WAIT_MAX: Duration = Duration::from_secs(10);

/// Downloads that the weight store starts in a second.
const WEIGHT_STARTS_PER_S: f64 = 2.0;

/// Faults and limits, set over `POST /admin/faults`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Appends accepted in a second.
    pub append_per_s: f64,
    /// Time by which the instance list lags.
    pub list_lag_ms: u64,
    /// Appends whose answer is lost after they took effect.
    pub lose_answers: u32,
    /// True while the log service is out.
    pub outage: bool,
    /// True while the cloud API refuses starts.
    pub refuse_starts: bool,
    /// Time for which records are kept.
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
    offset: u64,
    time_ms: u64,
}

#[derive(Default)]
struct Stream {
    next: u64,
    records: VecDeque<Record>,
}

/// An instance as started, listed and billed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Instance {
    /// Name.
    pub name: String,
    /// Price.
    #[serde(default)]
    pub price_cents_per_hour: u32,
    /// "live", "leaving" or "gone".
    pub state: String,
}

struct Listed {
    changed_at: Instant,
    ended_at: Option<Instant>,
    started_at: Instant,
    price_cents_per_hour: u32,
    state: String,
    state_before: String,
}

struct Bucket {
    at: Instant,
    level: f64,
}

impl Bucket {
    fn take(&mut self, per_s: f64) -> bool {
        let now = Instant::now();
        self.level = (self.level + (now - self.at).as_secs_f64() * per_s).min(per_s);
        self.at = now;
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}

struct State {
    append_bucket: Bucket,
    appends: u64,
    faults: PlatformFaults,
    instances: BTreeMap<String, Listed>,
    notices: BTreeMap<String, Instant>,
    streams: BTreeMap<String, Stream>,
    weight_bucket: Bucket,
}

/// The stand-in's state, shared by its handlers.
#[derive(Clone)]
pub struct Platform {
    appended: Arc<Notify>,
    state: Arc<Mutex<State>>,
}

impl Default for Platform {
    fn default() -> Self {
        let bucket = || Bucket {
            at: Instant::now(),
            level: 1.0,
        };
        Self {
            appended: Arc::new(Notify::new()),
            state: Arc::new(Mutex::new(State {
                append_bucket: bucket(),
                appends: 0,
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
    /// Routes of the stand-in.
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

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
        self.appended.notify_waiters();
    }

    /// Announces the reclaim of an instance to itself.
    pub fn give_notice(&self, instance: &str, notice: Duration) {
        self.lock()
            .notices
            .insert(instance.to_owned(), Instant::now() + notice);
    }

    /// Appends that took effect so far.
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
        return HttpResponse::ServiceUnavailable().body("log service is out");
    }
    let per_s = state.faults.append_per_s;
    if !state.append_bucket.take(per_s) {
        return HttpResponse::TooManyRequests().body("append rate is over its limit");
    }
    state.appends += 1;
    let time_ms = now_ms();
    let stream = state.streams.entry(stream.into_inner()).or_default();
    let first_offset = stream.next;
    for data in body.into_inner().records {
        stream.records.push_back(Record {
            data,
            offset: stream.next,
            time_ms,
        });
        stream.next += 1;
    }
    let lost = state.faults.lose_answers > 0;
    if lost {
        state.faults.lose_answers -= 1;
    }
    drop(state);
    platform.appended.notify_waiters();
    match lost {
        true => HttpResponse::GatewayTimeout().body("answer lost"),
        false => HttpResponse::Ok().json(serde_json::json!({ "first_offset": first_offset })),
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
    let wait = Duration::from_millis(query.wait_ms).min(READ_WAIT_MAX);
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
        return Some(HttpResponse::ServiceUnavailable().body("log service is out"));
    }
    let time_ms = now_ms();
    let oldest_ms = time_ms.saturating_sub(state.faults.retention_ms);
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
    if records.is_empty() && start <= query.from && tokio::time::Instant::now() < until {
        return None;
    }
    Some(HttpResponse::Ok().json(serde_json::json!({
        "start": start, "tail": stream.next, "time_ms": time_ms, "records": records,
    })))
}

/// Lists instances as they were before the lag.
async fn list(platform: web::Data<Platform>) -> HttpResponse {
    let state = platform.lock();
    let lag = Duration::from_millis(state.faults.list_lag_ms);
    let mut listed = Vec::new();
    for (name, instance) in &state.instances {
        let shown = match instance.changed_at.elapsed() < lag {
            true => &instance.state_before,
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
    let listed = state.instances.entry(body.name).or_insert_with(|| Listed {
        changed_at: now,
        ended_at: None,
        started_at: now,
        price_cents_per_hour: body.price_cents_per_hour,
        state: String::new(),
        state_before: "gone".to_owned(),
    });
    if listed.state != body.state {
        listed.state_before = std::mem::replace(&mut listed.state, body.state);
        listed.changed_at = now;
    }
    listed.ended_at = (listed.state == "gone").then_some(now);
    HttpResponse::Ok().json(serde_json::json!({ "ok": true }))
}

async fn weights(platform: web::Data<Platform>, model: web::Path<String>) -> HttpResponse {
    match platform.lock().weight_bucket.take(WEIGHT_STARTS_PER_S) {
        true => HttpResponse::Ok().json(serde_json::json!({ "weights": *model })),
        false => HttpResponse::TooManyRequests().body("weight store is over its limit"),
    }
}

/// Sums the price of all instances over the time they ran.
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
