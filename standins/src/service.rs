//! Simulated plain HTTP service: orders and bookings, which must not run twice, and lookups.
//! `GET /runs` lists every executed call, which tests compare with the outcomes that callers saw.

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

/// Injected faults, set through `POST /admin/faults`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Processing time of a call.
    pub delay_ms: u64,
    /// Whether the service is leaving; it then refuses new calls.
    pub leaving: bool,
    /// Number of upcoming calls whose response is lost after the call took effect.
    pub lose_answers: u32,
}

/// Executions of one idempotency key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RunRecord {
    /// Account of the caller.
    pub account: String,
    /// Response body of the first execution.
    pub answer: serde_json::Value,
    /// Number of executions.
    pub count: u32,
    /// Fencing token of the latest execution.
    pub fencing: u64,
    /// Idempotency key.
    pub key: String,
}

#[derive(Default)]
struct State {
    faults: ServiceFaults,
    last_order_number: u64,
    rejected_fencing: u64,
    runs: BTreeMap<(String, String), RunRecord>,
}

/// Simulated service; clones share its state.
#[derive(Clone, Default)]
pub struct Service {
    checks_fencing: bool,
    name: String,
    state: Arc<Mutex<State>>,
}

impl Service {
    /// Creates a service. With `checks_fencing` it rejects a call whose fencing token is not
    /// higher than that of the key's latest execution.
    pub fn new(name: &str, checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            name: name.to_owned(),
            state: Arc::default(),
        }
    }

    /// Registers the HTTP routes.
    pub fn configure(&self, config: &mut ServiceConfig) {
        config
            .app_data(web::Data::new(self.clone()))
            .route("/runs", web::get().to(runs))
            .route("/runs/{account}/{key}", web::get().to(lookup_run))
            .route("/load", web::get().to(load))
            .route("/admin/faults", web::post().to(set_faults))
            .default_service(web::to(call));
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.lock().faults = faults;
    }

    /// Returns the executions of all keys.
    pub fn runs(&self) -> Vec<RunRecord> {
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
        simulate_work(delay_ms).await;
        return HttpResponse::Ok()
            .insert_header(("x-served-by", service.name.as_str()))
            .json(serde_json::json!({
                "account": header(&request, "x-client-account"),
                "path": request.uri().to_string(),
            }));
    }
    let Some((answer, loses_response)) = execute(&service, &request, &body) else {
        return HttpResponse::Conflict().body("stale fencing token");
    };
    simulate_work(delay_ms).await;
    if loses_response {
        return truncated_response();
    }
    HttpResponse::Created()
        .insert_header(("x-served-by", service.name.as_str()))
        .json(answer)
}

/// Sleeps for the processing time. A zero delay skips the timer, whose granularity would add about
/// a millisecond.
async fn simulate_work(delay_ms: u64) {
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Executes and records a call. Returns the response body and whether the response is to be lost,
/// or `None` if the fencing token is stale.
fn execute(
    service: &Service,
    request: &HttpRequest,
    body: &Bytes,
) -> Option<(serde_json::Value, bool)> {
    let account = header(request, "x-client-account");
    let key = header(request, "idempotency-key");
    let fencing = header(request, "x-fencing-number").parse().unwrap_or(0);
    let mut state = service.lock();
    let previous = state.runs.get(&(account.clone(), key.clone()));
    if service.checks_fencing && previous.is_some_and(|previous| previous.fencing >= fencing) {
        state.rejected_fencing += 1;
        return None;
    }
    state.last_order_number += 1;
    let answer = serde_json::json!({
        "number": state.last_order_number,
        "account": account,
        "key": key,
        "path": request.uri().to_string(),
        "body_bytes": body.len(),
    });
    let id = (account.clone(), key.clone());
    let record = state.runs.entry(id).or_insert_with(|| RunRecord {
        account,
        answer: answer.clone(),
        count: 0,
        fencing,
        key,
    });
    record.count += 1;
    record.fencing = fencing;
    let loses_response = state.faults.lose_answers > 0;
    if loses_response {
        state.faults.lose_answers -= 1;
    }
    Some((answer, loses_response))
}

/// Starts a response and aborts it, so that the caller receives an incomplete body.
fn truncated_response() -> HttpResponse {
    let interrupted = futures_util::stream::once(async {
        Err::<Bytes, std::io::Error>(std::io::Error::other("response lost by fault injection"))
    });
    HttpResponse::Created().streaming(interrupted)
}

async fn runs(service: web::Data<Service>) -> HttpResponse {
    HttpResponse::Ok().json(service.runs())
}

async fn lookup_run(
    service: web::Data<Service>,
    path: web::Path<(String, String)>,
) -> HttpResponse {
    match service.lock().runs.get(&path.into_inner()) {
        Some(record) => HttpResponse::Ok().json(&record.answer),
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
