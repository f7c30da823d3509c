//! Listeners of an instance: callers, readiness and metrics.

use super::*;

use std::rc::Rc;

use actix_http::HttpServiceBuilder;
use actix_http::KeepAlive;
use actix_http::Request;
use actix_http::Response;
use actix_http::body::BoxBody;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Pause after a failed accept, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Idle time after which a caller's connection is closed: longer than any time for which callers
/// reuse a connection, so that no request crosses the close.
const CALLER_IDLE_MAX: Duration = Duration::from_secs(120);

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrontKind {
    /// Calls.
    Callers,
    /// Readiness and metrics.
    Status,
}

/// Binds a listener.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    let bound = TcpSocket::new_v4().and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    });
    bound.map_err(|error| Error::Address {
        address: address.to_string(),
        reason: error.to_string(),
    })
}

/// Serves a listener until `accepting` is cancelled; open connections go on until `closing` is.
pub async fn serve_listener(
    serving: Rc<Serving>,
    kind: FrontKind,
    listener: TcpListener,
    accepting: CancellationToken,
    closing: CancellationToken,
) {
    let service = fn_service(move |request: Request| {
        let serving = serving.clone();
        async move {
            let response = match kind {
                FrontKind::Callers => serve_call(serving, request).await,
                FrontKind::Status => serve_status(&serving, &request),
            };
            Ok::<Response<BoxBody>, actix_http::Error>(response)
        }
    });
    let factory = HttpServiceBuilder::default()
        .keep_alive(KeepAlive::Timeout(CALLER_IDLE_MAX))
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(Duration::from_secs(1))
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || closing.clone().cancelled_owned())
        .h1(service);
    let Ok(handler) = factory.new_service(()).await else {
        error!("start front={kind:?} failed; restart the instance");
        return;
    };
    loop {
        let accepted = tokio::select! {
            () = accepting.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!("accept front={kind:?} failed reason=\"{error}\"; retried");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // Without it events of a stream would wait for acknowledgements; a failure only delays.
        let _ = stream.set_nodelay(true);
        actix_rt::spawn(handler.call((stream, Some(peer))));
    }
}

fn serve_status(serving: &Serving, request: &Request) -> Response<BoxBody> {
    match request.path() {
        "/metrics" => Response::ok()
            .set_body(serving.metrics.render())
            .map_into_boxed_body(),
        _ if serving.is_ready() => Response::ok().map_into_boxed_body(),
        _ => Response::new(actix_http::StatusCode::SERVICE_UNAVAILABLE).map_into_boxed_body(),
    }
}
