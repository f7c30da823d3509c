//! HTTP handlers of the administration listener: liveness, readiness, metrics and operator actions.
//! An instance is a process that accepts callers' requests; the table is the operators' list of
//! backend servers, models, routes and client accounts that all instances apply.

use super::*;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use actix_web::web::ServiceConfig;

type Shared = web::Data<AdminContext>;

/// State that every administration handler reads; built once when the listener starts.
pub struct AdminContext {
    /// State shared with the listeners for callers and peers.
    pub context: Arc<Context>,
    /// Actor that reads the table's edits from the log service and answers queries about rows and
    /// past edits.
    pub table: Addr<TableActor>,
}

/// Body of the response to `GET /admin/status`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Data centre from the instance's settings.
    pub data_centre: DataCentreName,
    /// True once the instance has started to stop; it never becomes false again.
    pub draining: bool,
    /// Instance name from its settings.
    pub instance: InstanceName,
    /// Version of the newest table that the instance has applied; 0 before the first.
    pub table_version: TableVersion,
}

/// Registers the routes of the administration listener. Those under `/admin` require the
/// administration key.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route("/healthz", web::get().to(liveness))
        .route("/readyz", web::get().to(readiness))
        .route("/metrics", web::get().to(metrics))
        .route("/admin/status", web::get().to(status))
        .route("/admin/members", web::get().to(members))
        .route("/admin/reclaim", web::post().to(reclaim))
        .route("/admin/servers", web::get().to(servers))
        .route("/admin/servers/{server}/drain", web::post().to(drain))
        .route("/admin/servers/{server}/drain", web::delete().to(undrain))
        .route("/admin/table", web::get().to(table))
        .route("/admin/table/history", web::get().to(history))
        .route("/admin/quarantine", web::get().to(quarantine))
        .route("/admin/quarantine/parts", web::get().to(refused_parts))
        .route(
            "/admin/quarantine/{content_hash}",
            web::delete().to(release),
        );
}

/// Returns [`Error::InvalidAdminKey`] unless the request's bearer token is the administration key.
fn authorize(request: &HttpRequest, context: &Context) -> Result {
    let value = request.headers().get("authorization");
    let value = value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let key = value.strip_prefix("Bearer ").unwrap_or_default();
    // Compares hashes, so that the comparison time does not reveal the length of the key.
    let given = hash_account_key(key);
    let expected = hash_account_key(&context.settings.admin_key);
    match bool::from(given.ct_eq(&expected)) {
        true => Ok(()),
        false => Err(Error::InvalidAdminKey),
    }
}

/// Runs an action if the request is authorized and responds with its result as JSON.
async fn respond<T: Serialize>(
    request: &HttpRequest,
    shared: &Shared,
    action: impl Future<Output = Result<T>>,
) -> HttpResponse {
    let result = match authorize(request, &shared.context) {
        Ok(()) => action.await,
        Err(error) => Err(error),
    };
    match result {
        Ok(body) => HttpResponse::Ok().json(body),
        Err(error) => error_response(&shared.context, "admin", &error),
    }
}

async fn liveness() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

/// Reports the instance as ready while it has a table and is not shutting down.
async fn readiness(shared: Shared) -> HttpResponse {
    if shared.context.is_draining() {
        return HttpResponse::ServiceUnavailable().body("stopping\n");
    }
    if shared.context.table.load().version == 0 {
        return HttpResponse::ServiceUnavailable().body("no table\n");
    }
    HttpResponse::Ok().body("ready\n")
}

async fn metrics(shared: Shared) -> HttpResponse {
    let text = shared.context.metrics.render();
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(text)
}

async fn status(request: HttpRequest, shared: Shared) -> HttpResponse {
    let context = &shared.context;
    let status = InstanceStatus {
        data_centre: context.settings.data_centre.clone(),
        draining: context.is_draining(),
        instance: context.settings.instance.clone(),
        table_version: context.table.load().version,
    };
    respond(&request, &shared, std::future::ready(Ok(status))).await
}

async fn servers(request: HttpRequest, shared: Shared) -> HttpResponse {
    let list = async {
        shared
            .context
            .router
            .send(ListServers)
            .await
            .map_err(actor_stopped)
    };
    respond(&request, &shared, list).await
}

async fn members(request: HttpRequest, shared: Shared) -> HttpResponse {
    let list = async {
        shared
            .context
            .peers
            .send(GetMembership)
            .await
            .map_err(actor_stopped)
    };
    respond(&request, &shared, list).await
}

/// Body of a reclaim notice: `notice_ms` is the time in milliseconds until the platform reclaims
/// this instance.
#[derive(Deserialize)]
struct ReclaimNotice {
    notice_ms: u64,
}

/// Accepts a notice that the platform will reclaim this instance and starts the stop. Calls that
/// have not ended shortly before the deadline are handed over to other instances.
async fn reclaim(
    request: HttpRequest,
    shared: Shared,
    body: web::Json<ReclaimNotice>,
) -> HttpResponse {
    let notice = Duration::from_millis(body.notice_ms);
    let accepted = async {
        shared.context.stop_within(notice);
        Ok(true)
    };
    respond(&request, &shared, accepted).await
}

async fn set_drain(request: HttpRequest, shared: Shared, leaving: bool) -> HttpResponse {
    let server = request.match_info().query("server").into();
    let source = LeavingSource::Operator;
    let set = SetLeaving {
        is_detected_here: true,
        leaving,
        server,
        source,
    };
    let changed = async { shared.context.router.send(set).await.map_err(actor_stopped) };
    respond(&request, &shared, changed).await
}

async fn drain(request: HttpRequest, shared: Shared) -> HttpResponse {
    set_drain(request, shared, true).await
}

async fn undrain(request: HttpRequest, shared: Shared) -> HttpResponse {
    set_drain(request, shared, false).await
}

async fn table(request: HttpRequest, shared: Shared) -> HttpResponse {
    let fetch = async {
        let fetched = shared
            .table
            .send(FetchTable { have: 0 })
            .await
            .map_err(actor_stopped)?;
        let (version, rows) = fetched.unwrap_or_default();
        Ok(serde_json::json!({ "version": version, "rows": rows }))
    };
    respond(&request, &shared, fetch).await
}

async fn history(request: HttpRequest, shared: Shared) -> HttpResponse {
    let list = async { shared.table.send(ListEdits).await.map_err(actor_stopped) };
    respond(&request, &shared, list).await
}

async fn quarantine(request: HttpRequest, shared: Shared) -> HttpResponse {
    let list = async {
        shared
            .context
            .router
            .send(ListQuarantine)
            .await
            .map_err(actor_stopped)
    };
    respond(&request, &shared, list).await
}

async fn refused_parts(request: HttpRequest, shared: Shared) -> HttpResponse {
    let list = async {
        let listed = shared.context.router.send(ListRefusals).await;
        listed.map_err(actor_stopped)
    };
    respond(&request, &shared, list).await
}

async fn release(request: HttpRequest, shared: Shared) -> HttpResponse {
    let text = request.match_info().query("content_hash").to_owned();
    let released = async {
        let parsed = u64::from_str_radix(&text, 16);
        let content_hash = parsed.map_err(|_| Error::BadRequest {
            reason: "content hash must be in hex, as `ebonyspread quarantine` lists it".to_owned(),
        })?;
        let release = ReleaseContent { content_hash };
        shared
            .context
            .router
            .send(release)
            .await
            .map_err(actor_stopped)
    };
    respond(&request, &shared, released).await
}

fn actor_stopped(_: MailboxError) -> Error {
    Error::Invariant {
        invariant: "actors run as long as the instance",
    }
}
