//! Listeners of an instance whose backend servers register themselves: one for calls, one for
//! readiness and metrics.

use super::*;

use std::pin::pin;
use std::rc::Rc;

use actix_http::HttpServiceBuilder;
use actix_http::KeepAlive;
use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::error::DispatchError;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;

/// Maximum number of connections that the kernel queues until the listener accepts them.
const LISTEN_BACKLOG: u32 = 1_024;

/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Idle time after which a connection for readiness or metrics is closed.
const STATUS_KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum time from the acceptance of a connection for readiness or metrics to the end of the head
/// of its first request.
const STATUS_REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Purpose of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrontKind {
    /// Serves callers' requests.
    Callers,
    /// Serves metrics on `/metrics`, and readiness on every other path.
    Status,
}

/// Binds a listener to an IPv4 address, even while earlier connections of that address are still
/// closing.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpSocket::new_v4().and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    });
    bound.map_err(|error| Error::Address {
        address: address.to_string(),
        reason: error.to_string(),
    })
}

/// Accepts connections until `accepting` is cancelled; open connections are served until `closing`
/// is cancelled.
pub async fn serve_listener(
    serving: Rc<ServingState>,
    kind: FrontKind,
    listener: TcpListener,
    accepting: CancellationToken,
    closing: CancellationToken,
) {
    let state = serving.clone();
    let service = fn_service(move |request: Request| {
        let serving = state.clone();
        async move {
            let connection = request.conn_data::<Rc<ConnectionTrace>>().cloned();
            let response = match kind {
                FrontKind::Callers => {
                    let connection = connection.unwrap_or_else(|| Rc::new(untraced(&request)));
                    serve_call(serving, connection, request).await
                }
                FrontKind::Status => serve_status(&serving, &request),
            };
            Ok::<Response<BoxBody>, actix_http::Error>(response)
        }
    });
    // Idle connections of callers are closed by `ServingState::close_idle_callers`, since their
    // timeout changes with the policy.
    let (keep_alive, request_timeout) = match kind {
        FrontKind::Callers => (KeepAlive::Os, Duration::ZERO),
        FrontKind::Status => (
            KeepAlive::Timeout(STATUS_KEEP_ALIVE_TIMEOUT),
            STATUS_REQUEST_TIMEOUT,
        ),
    };
    let factory = HttpServiceBuilder::default()
        .keep_alive(keep_alive)
        .client_request_timeout(request_timeout)
        .client_disconnect_timeout(Duration::from_secs(1))
        .h1_allow_half_closed(false)
        .on_connect_ext(|connection: &CallerConnection, data| {
            data.insert(connection.trace.clone());
        })
        .graceful_shutdown_signal(move || closing.clone().cancelled_owned())
        .h1(service);
    let Ok(handler) = factory.new_service(()).await else {
        error!("start front={kind:?} failed; restart the instance");
        return;
    };
    for number in 0.. {
        let accepted = tokio::select! {
            () = accepting.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!("accept front={kind:?} failed reason=\"{error}\"; retrying");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // Without TCP_NODELAY, stream events would wait for acknowledgements. A failure only adds
        // delay.
        let _ = stream.set_nodelay(true);
        let trace = Rc::new(ConnectionTrace::new(peer));
        let connection = CallerConnection::new(stream, trace.clone());
        let serving_connection = handler.call((connection, Some(peer)));
        if kind == FrontKind::Status {
            actix_rt::spawn(serving_connection);
            continue;
        }
        let serving = serving.clone();
        let listed = Rc::downgrade(&trace);
        serving.callers.borrow_mut().insert(number, listed);
        actix_rt::spawn(async move {
            let mut serving_connection = pin!(serving_connection);
            let result = serving_connection.as_mut().await;
            // A call in progress is dropped with the connection, so this line comes first.
            log_connection_end(&serving, &trace, result);
            serving.callers.borrow_mut().remove(&number);
        });
    }
}

/// Counts a connection that ended with an error, and logs one that ended before its caller was
/// answered.
fn log_connection_end(
    serving: &ServingState,
    trace: &ConnectionTrace,
    result: Result<(), DispatchError>,
) {
    if let Err(error) = &result {
        serving.metrics.connection_error(error_kind(error));
    }
    let Some(unanswered) = trace.unanswered() else {
        return;
    };
    let reason = result
        .err()
        .map_or(String::new(), |error| error.to_string());
    warn!(
        "connection peer={} {unanswered} closed_by={} draining={} reason=\"{}\"",
        trace.peer,
        trace.closed_by().as_str(),
        serving.draining.get(),
        shorten(&reason),
    );
}

fn error_kind(error: &DispatchError) -> &'static str {
    match error {
        DispatchError::Body(_) => "response-body",
        DispatchError::DisconnectTimeout => "disconnect-timeout",
        DispatchError::HandlerDroppedPayload => "request-body-dropped",
        DispatchError::Io(_) => "io",
        DispatchError::Parse(_) => "parse",
        _ => "other",
    }
}

/// Trace of a request that came without one; its connection is not traced.
fn untraced(request: &Request) -> ConnectionTrace {
    let unknown = SocketAddr::from(([0, 0, 0, 0], 0));
    ConnectionTrace::new(request.peer_addr().unwrap_or(unknown))
}

fn serve_status(serving: &ServingState, request: &Request) -> Response<BoxBody> {
    match request.path() {
        "/metrics" => Response::ok()
            .set_body(serving.metrics.render())
            .map_into_boxed_body(),
        path if path == "/quarantine" || path.starts_with("/quarantine/") => {
            serve_quarantine(serving, request.method(), path)
        }
        path if path == "/limits" || path.starts_with("/limits/") => {
            serve_limits(serving, request.method(), path)
        }
        path if path == "/notices" || path.starts_with("/notices/") => {
            serve_notices(serving, request.method(), path)
        }
        _ if serving.is_ready() => Response::ok().map_into_boxed_body(),
        _ => Response::new(StatusCode::SERVICE_UNAVAILABLE).map_into_boxed_body(),
    }
}

/// Lists the parts of prompts whose requests are refused (`GET /quarantine`), or releases one
/// (`DELETE /quarantine/HASH`).
fn serve_quarantine(serving: &ServingState, method: &Method, path: &str) -> Response<BoxBody> {
    let hash = path.strip_prefix("/quarantine/");
    match (method, hash.map(|hash| PartHash::from_str_radix(hash, 16))) {
        (&Method::GET, None) => {
            let quarantine = serving.part_quarantine.borrow();
            let refusals: Vec<&Refusal> = quarantine.refusals(boot_time()).collect();
            json_response(StatusCode::OK, &serde_json::json!({ "refused": refusals }))
        }
        (&Method::DELETE, Some(Ok(part))) if serving.release_part(part) => {
            json_response(StatusCode::OK, &serde_json::json!({ "released": true }))
        }
        (&Method::DELETE, Some(Ok(_))) => status_error(
            StatusCode::NOT_FOUND,
            "no refusal names this part; GET /quarantine lists them",
        ),
        _ => status_error(
            StatusCode::BAD_REQUEST,
            "send GET /quarantine, or DELETE /quarantine/HASH with a hash as it lists it",
        ),
    }
}

/// Lists the limits of servers that are in force (`GET /limits`), or ends one until an answer names
/// it again (`DELETE /limits/SERVER`).
fn serve_limits(serving: &ServingState, method: &Method, path: &str) -> Response<BoxBody> {
    let now = boot_time();
    let mut fleet = serving.fleet.borrow_mut();
    match (method, path.strip_prefix("/limits/")) {
        (&Method::GET, None) => {
            let limits = fleet.limits_in_force(now);
            json_response(StatusCode::OK, &serde_json::json!({ "limits": limits }))
        }
        (&Method::DELETE, Some(server)) if fleet.release_limit(now, server) => {
            log_limit(&server.into(), None, "operator");
            json_response(StatusCode::OK, &serde_json::json!({ "released": true }))
        }
        (&Method::DELETE, Some(_)) => status_error(
            StatusCode::NOT_FOUND,
            "no limit of this server is in force; GET /limits lists them",
        ),
        _ => status_error(
            StatusCode::BAD_REQUEST,
            "send GET /limits, or DELETE /limits/SERVER with a server as it lists it",
        ),
    }
}

/// Lists what servers have said about themselves in answers (`GET /notices`), or forgets it for one
/// at this instance, until its next answer (`DELETE /notices/SERVER`).
fn serve_notices(serving: &ServingState, method: &Method, path: &str) -> Response<BoxBody> {
    let now = boot_time();
    let mut fleet = serving.fleet.borrow_mut();
    match (method, path.strip_prefix("/notices/")) {
        (&Method::GET, None) => {
            let notices = fleet.notices_in_force(now);
            json_response(StatusCode::OK, &serde_json::json!({ "notices": notices }))
        }
        (&Method::DELETE, Some(server)) if fleet.release_notice(now, server) => {
            info!("notice server={server} by=operator released");
            json_response(StatusCode::OK, &serde_json::json!({ "released": true }))
        }
        (&Method::DELETE, Some(_)) => status_error(
            StatusCode::NOT_FOUND,
            "this server has said nothing; GET /notices lists those that have",
        ),
        _ => status_error(
            StatusCode::BAD_REQUEST,
            "send GET /notices, or DELETE /notices/SERVER with a server as it lists it",
        ),
    }
}

fn status_error(status: StatusCode, remedy: &str) -> Response<BoxBody> {
    json_response(status, &serde_json::json!({ "error": remedy }))
}

fn json_response(status: StatusCode, body: &Json) -> Response<BoxBody> {
    Response::build(status)
        .insert_header(("content-type", "application/json"))
        .body(body.to_string())
        .map_into_boxed_body()
}
