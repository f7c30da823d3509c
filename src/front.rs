//! Listeners of an instance whose backend servers register themselves: one for calls, one for
//! readiness and metrics.

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

/// Maximum number of connections that the kernel queues until the listener accepts them.
const LISTEN_BACKLOG: u32 = 1_024;

/// Delay after a failed accept, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Idle time after which a caller's connection is closed. It exceeds the time for which any caller
/// reuses a connection, so that no request is sent while the connection is being closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(120);

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
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE_TIMEOUT))
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
                warn!("accept front={kind:?} failed reason=\"{error}\"; retrying");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // Without TCP_NODELAY, stream events would wait for acknowledgements. A failure only adds
        // delay.
        let _ = stream.set_nodelay(true);
        actix_rt::spawn(handler.call((stream, Some(peer))));
    }
}

fn serve_status(serving: &ServingState, request: &Request) -> Response<BoxBody> {
    match request.path() {
        "/metrics" => Response::ok()
            .set_body(serving.metrics.render())
            .map_into_boxed_body(),
        _ if serving.is_ready() => Response::ok().map_into_boxed_body(),
        _ => Response::new(actix_http::StatusCode::SERVICE_UNAVAILABLE).map_into_boxed_body(),
    }
}
