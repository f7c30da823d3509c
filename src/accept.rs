//! HTTP interface for callers: reads and validates requests and dispatches them. The table is the
//! operators' list of backend servers, model versions, routes and client accounts.

use super::*;

use std::rc::Rc;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use actix_web::web::Payload;
use actix_web::web::ServiceConfig;
use tokio::time::timeout;

/// Maximum time for receiving a request body from the caller.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum length of an idempotency key or event id; a request with a longer one is rejected.
const KEY_MAX_BYTES: usize = 128;

/// State of one worker thread.
pub struct Worker {
    /// State of the instance, shared by all threads.
    pub context: Arc<Context>,
    /// HTTP clients of this thread.
    pub dispatcher: Rc<Dispatcher>,
}

/// Registers the handlers of the callers' listener. A request to any path without a handler is a
/// plain call (a call other than a chat completion), which is matched with the routes of the table.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/models", web::get().to(models))
        .default_service(web::to(plain));
}

async fn chat(request: HttpRequest, payload: Payload, worker: web::Data<Worker>) -> HttpResponse {
    let mut request_id = new_request_id();
    match accept_chat(&request, payload, &worker, &mut request_id).await {
        Ok(response) => response,
        Err(error) => refuse(&request, &worker, &request_id, error),
    }
}

async fn accept_chat(
    http: &HttpRequest,
    payload: Payload,
    worker: &Worker,
    request_id: &mut RequestId,
) -> Result<HttpResponse> {
    let context = &worker.context;
    let in_force = context.table.load_full();
    if in_force.version == 0 {
        return Err(Error::TableMissing);
    }
    let account = authenticate_account(&in_force.table, header(http, "authorization"))?;
    let key = read_key_header(http, "idempotency-key")?;
    let event = read_event_id(http)?;
    let body = read_body(payload, context.settings.body_max_bytes).await?;
    let chat = ChatRequest::parse(&in_force.table, &body)?;
    if let Some(event) = &event {
        *request_id = event.request_id.clone();
    }
    let (sink, events) = mpsc::channel(SINK_CAPACITY);
    let join = JoinCall {
        account: account.name,
        body,
        chat: chat.clone(),
        from: event
            .as_ref()
            .map(|event| event.position)
            .unwrap_or_default(),
        key,
        request_id: request_id.clone(),
        is_returning: event.is_some(),
        sink,
    };
    join_call(worker, join).await?;
    match chat.stream {
        true => stream_response(worker, request_id, &chat, events).await,
        false => collect_response(worker, request_id, &chat, events).await,
    }
}

fn refuse(http: &HttpRequest, worker: &Worker, request_id: &str, error: Error) -> HttpResponse {
    let is_keyed = KEY_HEADERS
        .iter()
        .any(|name| http.headers().contains_key(*name));
    let error = match is_keyed {
        true => error.for_keyed_request(),
        false => error,
    };
    error_response(&worker.context, request_id, &error)
}

/// Request headers by which a caller may repeat or resume an earlier request.
const KEY_HEADERS: [&str; 2] = ["idempotency-key", "last-event-id"];

/// Lists the models in the format of the OpenAI API.
async fn models(request: HttpRequest, worker: web::Data<Worker>) -> HttpResponse {
    let request_id = new_request_id();
    let context = &worker.context;
    let in_force = context.table.load();
    if let Err(error) = authenticate_account(&in_force.table, header(&request, "authorization")) {
        return error_response(context, &request_id, &error);
    }
    let mut data = Vec::new();
    for subject in in_force.table.variants.keys() {
        let Subject::Model(name) = subject else {
            continue;
        };
        data.push(serde_json::json!({
            "id": name, "object": "model", "created": 0, "owned_by": "ebonyspread",
        }));
    }
    let list = serde_json::json!({ "object": "list", "data": data });
    response_builder(200, &request_id, Outcome::Whole).json(list)
}

async fn plain(request: HttpRequest, payload: Payload, worker: web::Data<Worker>) -> HttpResponse {
    let request_id = new_request_id();
    match accept_plain(&request, payload, &worker, &request_id).await {
        Ok(response) => response,
        Err(error) => refuse(&request, &worker, &request_id, error),
    }
}

async fn accept_plain(
    http: &HttpRequest,
    payload: Payload,
    worker: &Worker,
    request_id: &RequestId,
) -> Result<HttpResponse> {
    let context = &worker.context;
    let in_force = context.table.load_full();
    if in_force.version == 0 {
        return Err(Error::TableMissing);
    }
    let account = authenticate_account(&in_force.table, header(http, "authorization"))?;
    let (prefix, route) = in_force
        .table
        .route_for(http.path())
        .ok_or(Error::UnknownRoute)?;
    let key = read_key_header(http, "idempotency-key")?;
    let body = read_body(payload, context.settings.body_max_bytes).await?;
    let call = PlainRequest {
        account: account.name,
        body,
        headers: forwarded_headers(http),
        key,
        method: http.method().clone(),
        path_and_query: path_and_query(http),
        request_id: request_id.clone(),
        route: route.clone(),
        subject: Subject::Route(prefix.clone()),
    };
    serve_plain(worker, call).await
}

/// Creates a random request id. A caller reconnects to its call with this id, so others must not be
/// able to guess it.
pub fn new_request_id() -> RequestId {
    let mut buffer = uuid::Uuid::encode_buffer();
    let id = uuid::Uuid::new_v4();
    RequestId::from(&*id.simple().encode_lower(&mut buffer))
}

/// Id of the last event that a reconnecting caller received, as parsed from `Last-Event-ID`.
struct EventId {
    position: Position,
    request_id: RequestId,
}

/// Formats an event id: request id, token count and hash of the text. A reconnecting caller sends
/// it back in `Last-Event-ID`.
pub fn event_id(request_id: &str, position: Position) -> String {
    format!(
        "{request_id}.{}.{:016x}",
        position.tokens, position.text_hash
    )
}

fn read_event_id(http: &HttpRequest) -> Result<Option<EventId>> {
    let Some(text) = read_key_header(http, "last-event-id")? else {
        return Ok(None);
    };
    let parse = || {
        let mut parts = text.split('.');
        let request_id = RequestId::from(parts.next()?);
        let tokens = parts.next()?.parse().ok()?;
        let text_hash = u64::from_str_radix(parts.next()?, 16).ok()?;
        let position = Position { text_hash, tokens };
        parts.next().is_none().then_some(EventId {
            position,
            request_id,
        })
    };
    let event = parse().ok_or_else(|| Error::BadRequest {
        reason: "Last-Event-ID is malformed; send the last event id received".to_owned(),
    })?;
    Ok(Some(event))
}

fn header<'a>(http: &'a HttpRequest, name: &str) -> Option<&'a str> {
    http.headers().get(name)?.to_str().ok()
}

fn read_key_header(http: &HttpRequest, name: &'static str) -> Result<Option<SmolStr>> {
    let Some(value) = http.headers().get(name) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let printable = text.bytes().all(|byte| byte.is_ascii_graphic());
    if text.is_empty() || text.len() > KEY_MAX_BYTES || !printable {
        return Err(Error::BadRequest {
            reason: format!("{name} must be 1 to {KEY_MAX_BYTES} printable characters"),
        });
    }
    Ok(Some(text.into()))
}

async fn read_body(mut payload: Payload, limit_bytes: usize) -> Result<Bytes> {
    let mut body = BytesMut::new();
    let read = async {
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|error| Error::BadRequest {
                reason: format!("body is incomplete: {error}; send the request again"),
            })?;
            if body.len() + chunk.len() > limit_bytes {
                return Err(Error::BodyTooLarge { limit_bytes });
            }
            body.extend_from_slice(&chunk);
        }
        Ok(())
    };
    match timeout(BODY_TIMEOUT, read).await {
        Ok(result) => result?,
        Err(_) => {
            return Err(Error::BadRequest {
                reason: format!(
                    "body was not received within {} s; send it again",
                    BODY_TIMEOUT.as_secs()
                ),
            });
        }
    }
    Ok(body.freeze())
}

/// Headers that are not forwarded, because they belong to a connection, contain credentials or are
/// set by this proxy.
const UNFORWARDED_HEADERS: [&str; 13] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-client-account",
    FENCING_HEADER,
];

/// Returns false if a header, named in lower case, is never forwarded between caller and backend
/// server. It returns true for `x-request-id` and `idempotency-key`, which `forwarded_headers`
/// leaves out of requests.
pub fn is_forwarded_header(name: &str) -> bool {
    !UNFORWARDED_HEADERS.contains(&name)
}

fn forwarded_headers(http: &HttpRequest) -> Vec<(String, Vec<u8>)> {
    let mut headers = Vec::new();
    for (name, value) in http.headers() {
        if is_forwarded_header(name.as_str())
            && name != REQUEST_ID_HEADER
            && name != "idempotency-key"
        {
            headers.push((name.as_str().to_owned(), value.as_bytes().to_vec()));
        }
    }
    headers
}

fn path_and_query(http: &HttpRequest) -> String {
    match http.query_string() {
        "" => http.path().to_owned(),
        query => format!("{}?{query}", http.path()),
    }
}
