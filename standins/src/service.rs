//! Stand-in for a plain service: orders and bookings that must not run twice, and look-ups.
//! `GET /runs` lists every run, which is the truth that tests compare with.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use actix_web::web::ServiceConfig;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// Faults, set over `POST /admin/faults`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Time that a run takes.
    pub delay_ms: u64,
    /// True if the service is leaving: it refuses new calls.
    pub leaving: bool,
    /// Runs whose answer is lost after they took effect.
    pub lose_answers: u32,
}

/// All runs of one key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Runs {
    /// Account that called.
    pub account: String,
    /// Answer of the first run.
    pub answer: serde_json::Value,
    /// Times it ran.
    pub count: u32,
    /// Fencing number of the last run.
    pub fencing: u64,
    /// Key.
    pub key: String,
}

#[derive(Default)]
struct State {
    faults: ServiceFaults,
    fencing_refused: u64,
    next_number: u64,
    runs: BTreeMap<(String, String), Runs>,
}

/// The stand-in's state, shared by its handlers.
#[derive(Clone, Default)]
pub struct Service {
    checks_fencing: bool,
    name: String,
    state: Arc<Mutex<State>>,
}

impl Service {
    /// Creates the service; with `checks_fencing` it refuses a key's older fencing numbers.
    pub fn new(name: &str, checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            name: name.to_owned(),
            state: Arc::default(),
        }
    }

    /// Routes of the stand-in.
    pub fn configure(&self, config: &mut ServiceConfig) {
        config
            .app_data(web::Data::new(self.clone()))
            .route("/runs", web::get().to(runs))
            .route("/runs/{account}/{key}", web::get().to(run_of_key))
            .route("/load", web::get().to(load))
            .route("/admin/faults", web::post().to(set_faults))
            .default_service(web::to(call));
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.lock().faults = faults;
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<Runs> {
        self.lock().runs.values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn header(request: &HttpRequest, name: &str) -> String {
    let value = request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

async fn call(service: web::Data<Service>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let delay_ms = service.lock().faults.delay_ms;
    if service.lock().faults.leaving {
        return HttpResponse::ServiceUnavailable()
            .insert_header(("x-leaving", "1"))
            .finish();
    }
    if request.method() == actix_web::http::Method::GET {
        pause(delay_ms).await;
        return HttpResponse::Ok()
            .insert_header(("x-served-by", service.name.as_str()))
            .json(serde_json::json!({
                "account": header(&request, "x-client-account"),
                "path": request.uri().to_string(),
            }));
    }
    let Some((answer, is_lost)) = run(&service, &request, &body) else {
        return HttpResponse::Conflict().body("old fencing number");
    };
    pause(delay_ms).await;
    if is_lost {
        return cut_connection();
    }
    HttpResponse::Created()
        .insert_header(("x-served-by", service.name.as_str()))
        .json(answer)
}

/// Waits for a run's time; a timer would cost a millisecond even for none.
async fn pause(delay_ms: u64) {
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Runs a call and counts it; `None` if its fencing number is old. Tells too if its answer is to
/// be lost.
fn run(
    service: &Service,
    request: &HttpRequest,
    body: &Bytes,
) -> Option<(serde_json::Value, bool)> {
    let account = header(request, "x-client-account");
    let key = header(request, "idempotency-key");
    let fencing = header(request, "x-fencing-number").parse().unwrap_or(0);
    let mut state = service.lock();
    let known = state.runs.get(&(account.clone(), key.clone()));
    if service.checks_fencing && known.is_some_and(|known| known.fencing >= fencing) {
        state.fencing_refused += 1;
        return None;
    }
    state.next_number += 1;
    let answer = serde_json::json!({
        "number": state.next_number,
        "account": account,
        "key": key,
        "path": request.uri().to_string(),
        "body_bytes": body.len(),
    });
    let id = (account.clone(), key.clone());
    let runs = state.runs.entry(id).or_insert_with(|| Runs {
        account,
        answer: answer.clone(),
        count: 0,
        fencing,
        key,
    });
    runs.count += 1;
    runs.fencing = fencing;
    let is_lost = state.faults.lose_answers > 0;
    if is_lost {
        state.faults.lose_answers -= 1;
    }
    Some((answer, is_lost))
}

/// Promises a body and cuts it, so that the caller has no whole answer.
fn cut_connection() -> HttpResponse {
    let cut = futures_util::stream::once(async {
        Err::<Bytes, std::io::Error>(std::io::Error::other("answer lost"))
    });
    HttpResponse::Created().streaming(cut)
}

async fn runs(service: web::Data<Service>) -> HttpResponse {
    HttpResponse::Ok().json(service.runs())
}

async fn run_of_key(
    service: web::Data<Service>,
    path: web::Path<(String, String)>,
) -> HttpResponse {
    match service.lock().runs.get(&path.into_inner()) {
        Some(runs) => HttpResponse::Ok().json(&runs.answer),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn load(service: web::Data<Service>) -> HttpResponse {
    let leaving = service.lock().faults.leaving;
    HttpResponse::Ok().json(serde_json::json!({ "running": 0, "queued": 0, "leaving": leaving }))
}

async fn set_faults(service: web::Data<Service>, body: web::Json<ServiceFaults>) -> HttpResponse {
    service.set_faults(body.into_inner());
    HttpResponse::Ok().json(serde_json::json!({ "ok": true }))
}
