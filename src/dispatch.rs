//! HTTP client that sends calls to backend servers. For a failed attempt it reports whether the
//! request can have been sent.

use super::*;

use std::io::ErrorKind;
use std::pin::Pin;
use std::rc::Rc;

use actix_http::ConnectionType;
use actix_http::RequestHead;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_web::http::Method;
use awc::Client;
use awc::Connector;
use awc::error::ConnectError;
use awc::error::PayloadError;
use awc::error::SendRequestError;
use futures_util::Stream;

/// Timeout for opening a TCP connection. If it expires, the call is known not to have been sent.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time that a model engine (a backend server that runs models) may take to send the head
/// of its response, including the call's time in the engine's queue.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum number of connections in use at once per HTTP client, over all backend servers; further
/// calls wait.
const CONNECTIONS_MAX: usize = 4_096;

/// Time after which the pooled client closes an idle connection.
const KEEP_ALIVE: Duration = Duration::from_secs(15);

/// Maximum size of the body of an error response or of a small document such as a load report. A
/// larger document is an error; an error body that is larger or does not end in time is left out.
const SMALL_BODY_MAX_BYTES: usize = 64 << 10;

/// Timeout for reading the body of an error response, which arrives with its head.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Memory in bytes for unfinished events of engines' streams, of all calls of one thread together.
/// Growing buffers take up to twice as much.
const EVENT_BUDGET_BYTES: usize = 8 << 20;

/// Response header with which a leaving backend server (one that is about to be stopped) refuses a
/// call.
const LEAVING_HEADER: &str = "x-leaving";

/// Request header with the fencing token, for backend servers that check it: the log offset of the
/// call's claim, the record that reserves its idempotency key.
pub const FENCING_HEADER: &str = "x-fencing-number";

/// Body of a response, in chunks as they arrive. A broken connection ends it with an error.
pub type ResponseStream = Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>;

/// Response to a plain call (any call other than a chat completion); its body has not been read
/// yet.
pub struct PlainResponse {
    /// Rest of the response, read from the connection as the stream is polled.
    pub body: ResponseStream,
    /// True if only the end of the connection shows where the body ends, as does a crash.
    pub ends_with_connection: bool,
    /// All headers of the server, including those that must not be forwarded.
    pub headers: HeaderMap,
    /// Status that the server sent; error statuses are responses too.
    pub status: u16,
}

/// Reason why an attempt at one server failed.
#[derive(Debug, Clone)]
pub struct AttemptError {
    /// True if the server closed or reset the connection, as when it crashes.
    pub closed: bool,
    /// Kind of failure; [`Failure::Connect`] proves that nothing was sent.
    pub failure: Failure,
    /// Cause of the failure, as text for the log.
    pub reason: String,
}

impl From<ServerCallError> for AttemptError {
    fn from(error: ServerCallError) -> Self {
        let failure = match error.progress {
            SendProgress::NotSent => Failure::Connect,
            SendProgress::MaybeRun => Failure::Broken,
        };
        Self {
            closed: error.closed,
            failure,
            reason: error.reason,
        }
    }
}

impl AttemptError {
    /// Returns true if the server may have run the call, for an attempt that failed before its
    /// response began.
    pub fn may_have_run(&self) -> bool {
        match self.failure {
            Failure::Broken | Failure::BrokenAtStart | Failure::Stalled | Failure::Status => true,
            Failure::Connect | Failure::Leaving => false,
        }
    }
}

/// HTTP clients of one thread.
pub struct Dispatcher {
    /// Connections for plain calls. The HTTP client takes the end of a connection for the end of a
    /// body; these do not.
    connections: Rc<ConnectionPool>,
    /// Memory for unfinished events of engines' streams; a stream for which none is left fails.
    pub event_budget: Rc<ByteBudget>,
    /// Client for model calls and small documents; reuses connections.
    pooled: Client,
}

/// Parameters of [`Dispatcher::send_plain`].
pub struct PlainCall<'a> {
    /// Whole request body; empty if there is none.
    pub body: Bytes,
    /// Fencing token, if the call may not be repeated: the log offset of the call's claim, the
    /// record that reserves its idempotency key.
    pub fencing: Option<LogOffset>,
    /// Headers to forward, without those that apply to one connection only.
    pub headers: &'a [(String, Vec<u8>)],
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query of the caller's request, appended to the server's address.
    pub path_and_query: &'a str,
    /// Maximum time until the head of the response arrives, from the settings of the route.
    pub timeout: Duration,
}

impl Dispatcher {
    /// Creates the HTTP clients of the current thread; they cannot be used from another one.
    pub fn new() -> Self {
        Self {
            connections: Rc::default(),
            event_budget: ByteBudget::new(EVENT_BUDGET_BYTES),
            pooled: build_client(),
        }
    }

    /// Sends a model call to an engine (a server that runs models) and returns its event stream
    /// once the engine has responded with status 200.
    pub async fn open_stream(
        &self,
        server: &BackendServer,
        body: Bytes,
        request_id: &str,
    ) -> Result<ResponseStream, OpenStreamError> {
        let url = format!("http://{}/v1/chat/completions", server.address);
        let request = self
            .pooled
            .post(url)
            .insert_header(("content-type", "application/json"))
            .insert_header(("x-request-id", request_id))
            .timeout(HEAD_TIMEOUT);
        let response = match request.send_body(body).await {
            Ok(response) => response,
            Err(error) => return Err(OpenStreamError::Failed(attempt_error(&error))),
        };
        let status = response.status().as_u16();
        if status == 200 {
            return Ok(Box::pin(response));
        }
        let failure = match status {
            400..=499 if status != 408 && status != 429 => {
                let body = read_error(response).await;
                return Err(OpenStreamError::BadRequest { body, status });
            }
            _ if response.headers().contains_key(LEAVING_HEADER) => Failure::Leaving,
            _ => Failure::Status,
        };
        Err(OpenStreamError::Failed(AttemptError {
            closed: false,
            failure,
            reason: format!("status {status}"),
        }))
    }

    /// Sends a plain call and returns once the head of the response has arrived. With
    /// `new_connection` it opens a connection for this call alone, as a call that may not be
    /// repeated needs: on a reused connection that the server has just closed, its outcome would be
    /// unknown although it never ran.
    pub async fn send_plain(
        &self,
        server: &BackendServer,
        call: PlainCall<'_>,
        new_connection: bool,
    ) -> Result<PlainResponse, AttemptError> {
        let address = server.address.parse().map_err(|_| AttemptError {
            closed: false,
            failure: Failure::Connect,
            reason: format!("address {} is not an IP address and port", server.address),
        })?;
        let call_timeout = call.timeout;
        let sending = self.connections.send(ServerCall {
            body: &call.body,
            head: plain_head(server, &call, new_connection)?,
            owner_of: &|_| ResponseOwner::ThisCall,
            target: ConnectionTarget {
                address,
                server: server.name.clone(),
            },
        });
        let response = match tokio::time::timeout(call_timeout, sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return Err(AttemptError::from(error)),
            Err(_) => {
                return Err(AttemptError {
                    closed: false,
                    failure: Failure::Stalled,
                    reason: format!("no answer within {} ms", call_timeout.as_millis()),
                });
            }
        };
        let headers = response.head.headers.clone();
        if headers.contains_key(LEAVING_HEADER) {
            return Err(AttemptError {
                closed: false,
                failure: Failure::Leaving,
                reason: "server is leaving and refused the call".to_owned(),
            });
        }
        Ok(PlainResponse {
            ends_with_connection: response.body.ends_with_connection(),
            body: stream_body(response.body),
            headers,
            status: response.head.status.as_u16(),
        })
    }

    /// Fetches a small document, such as a load report or the result of a lookup, and returns its
    /// status and body. Any status is a success. `timeout` covers the whole exchange.
    pub async fn fetch(&self, url: &str, timeout: Duration) -> Result<(u16, Bytes), AttemptError> {
        match tokio::time::timeout(timeout, self.fetch_document(url, timeout)).await {
            Ok(fetched) => fetched,
            Err(_) => Err(AttemptError {
                closed: false,
                failure: Failure::Broken,
                reason: format!("{url} did not end within {} ms", timeout.as_millis()),
            }),
        }
    }

    async fn fetch_document(
        &self,
        url: &str,
        timeout: Duration,
    ) -> Result<(u16, Bytes), AttemptError> {
        let request = self.pooled.get(url).timeout(timeout);
        let mut response = match request.send().await {
            Ok(response) => response,
            Err(error) => return Err(attempt_error(&error)),
        };
        let status = response.status().as_u16();
        let body = response.body().limit(SMALL_BODY_MAX_BYTES).await;
        match body {
            Ok(body) => Ok((status, body)),
            Err(error) => Err(AttemptError {
                closed: false,
                failure: Failure::Broken,
                reason: error.to_string(),
            }),
        }
    }
}

impl Default for Dispatcher {
    fn default() -> Self {
        Self::new()
    }
}

/// Why a model stream was not opened.
#[derive(Debug)]
pub enum OpenStreamError {
    /// The engine rejected the request as invalid; other engines would reject it too.
    BadRequest {
        /// Body of the engine's response, to be forwarded.
        body: Bytes,
        /// Status of the engine's response, to be forwarded: 400 to 499, except 408 and 429.
        status: u16,
    },
    /// The attempt failed; it may succeed on another engine.
    Failed(AttemptError),
}

fn build_client() -> Client {
    let connector = Connector::new()
        .limit(CONNECTIONS_MAX)
        .conn_keep_alive(KEEP_ALIVE)
        .timeout(CONNECT_TIMEOUT);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .no_default_headers()
        .finish()
}

fn attempt_error(error: &SendRequestError) -> AttemptError {
    let failure = match error {
        _ if proves_not_sent(error) => Failure::Connect,
        SendRequestError::Timeout => Failure::Stalled,
        _ => Failure::Broken,
    };
    AttemptError {
        closed: false,
        failure,
        reason: error.to_string(),
    }
}

/// Returns true if the error proves that no connection was opened. The client also reports a
/// connection that breaks after the request was sent as a connect error, so only causes that cannot
/// come from an open connection count.
fn proves_not_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(ConnectError::Timeout | ConnectError::Resolver(_)) => true,
        SendRequestError::Connect(ConnectError::Io(error)) => matches!(
            error.kind(),
            ErrorKind::AddrNotAvailable
                | ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
        ),
        _ => false,
    }
}

async fn read_error(
    mut response: awc::ClientResponse<
        impl Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
    >,
) -> Bytes {
    let reading = response.body().limit(SMALL_BODY_MAX_BYTES);
    match tokio::time::timeout(ERROR_BODY_TIMEOUT, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) | Err(_) => Bytes::new(),
    }
}

/// Builds the head of a plain call; the length of its body is added when it is sent.
fn plain_head(
    server: &BackendServer,
    call: &PlainCall<'_>,
    new_connection: bool,
) -> Result<RequestHead, AttemptError> {
    let not_sent = |reason: String| AttemptError {
        closed: false,
        failure: Failure::Connect,
        reason,
    };
    let mut head = RequestHead::default();
    head.method = call.method.clone();
    head.uri = call
        .path_and_query
        .parse()
        .map_err(|error| not_sent(format!("path of the call: {error}")))?;
    let mut insert = |name: &str, value: &[u8]| -> Result<(), AttemptError> {
        let name = HeaderName::from_bytes(name.as_bytes());
        let name = name.map_err(|error| not_sent(format!("header of the call: {error}")))?;
        let value = HeaderValue::from_bytes(value);
        let value = value.map_err(|error| not_sent(format!("header of the call: {error}")))?;
        head.headers.append(name, value);
        Ok(())
    };
    insert("host", server.address.as_bytes())?;
    for (name, value) in call.headers {
        insert(name, value)?;
    }
    if let Some(offset) = call.fencing {
        insert(FENCING_HEADER, offset.to_string().as_bytes())?;
    }
    if new_connection {
        head.set_connection_type(ConnectionType::Close);
    }
    Ok(head)
}

/// Returns true if a body ended because the server closed or reset the connection.
pub(crate) fn is_closed(error: &PayloadError) -> bool {
    let cause = match error {
        PayloadError::Incomplete(cause) => cause.as_ref(),
        PayloadError::Io(cause) => Some(cause),
        _ => None,
    };
    cause.is_some_and(|cause| cause.kind() == ErrorKind::ConnectionReset)
}

fn stream_body(body: ServerResponseBody) -> ResponseStream {
    Box::pin(futures_util::stream::unfold(body, |mut body| async move {
        let part = body.next().await?;
        let part = part.map_err(|error| PayloadError::Incomplete(Some(error.into())));
        Some((part, body))
    }))
}
