//! HTTP client that sends calls to backend servers. For a failed attempt it reports whether the
//! request can have been sent.

use super::*;

use std::io::ErrorKind;
use std::pin::Pin;
use std::rc::Rc;

use actix_web::http::Method;
use actix_web::http::header::CONTENT_LENGTH;
use actix_web::http::header::HeaderMap;
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
    /// All headers of the server, including those that must not be forwarded.
    pub headers: HeaderMap,
    /// Status that the server sent; error statuses are responses too.
    pub status: u16,
}

/// Reason why an attempt at one server failed.
#[derive(Debug, Clone)]
pub struct AttemptError {
    /// Kind of failure; [`Failure::Connect`] proves that nothing was sent.
    pub failure: Failure,
    /// Cause of the failure, as text for the log.
    pub reason: String,
}

impl AttemptError {
    /// Returns true if the server may have run the call, for an attempt that failed before its
    /// response began.
    pub fn may_have_run(&self) -> bool {
        match self.failure {
            Failure::Broken | Failure::Stalled | Failure::Status => true,
            Failure::Connect | Failure::Leaving => false,
        }
    }
}

/// HTTP clients of one thread.
pub struct Dispatcher {
    /// Memory for unfinished events of engines' streams; a stream for which none is left fails.
    pub event_budget: Rc<ByteBudget>,
    /// Reuses connections, for calls that may be repeated.
    pooled: Client,
    /// Opens a connection for each call. On a reused connection that the server has just closed,
    /// the outcome of a call that may not be repeated would be unknown although it never ran.
    unpooled: Client,
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
            event_budget: ByteBudget::new(EVENT_BUDGET_BYTES),
            pooled: build_client(KEEP_ALIVE),
            unpooled: build_client(Duration::ZERO),
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
            failure,
            reason: format!("status {status}"),
        }))
    }

    /// Sends a plain call and returns once the head of the response has arrived. With
    /// `new_connection` it opens a connection for this call alone, as a call that may not be
    /// repeated needs.
    pub async fn send_plain(
        &self,
        server: &BackendServer,
        call: PlainCall<'_>,
        new_connection: bool,
    ) -> Result<PlainResponse, AttemptError> {
        let client = if new_connection {
            &self.unpooled
        } else {
            &self.pooled
        };
        let url = format!("http://{}{}", server.address, call.path_and_query);
        let is_head = call.method == Method::HEAD;
        let mut request = client.request(call.method, url).timeout(call.timeout);
        for (name, value) in call.headers {
            request = request.append_header((name.as_str(), value.as_slice()));
        }
        if let Some(offset) = call.fencing {
            request = request.insert_header((FENCING_HEADER, offset.to_string()));
        }
        if new_connection {
            request = request.force_close();
        }
        let response = match request.send_body(call.body).await {
            Ok(response) => response,
            Err(error) => return Err(attempt_error(&error)),
        };
        if response.headers().contains_key(LEAVING_HEADER) {
            return Err(AttemptError {
                failure: Failure::Leaving,
                reason: "server is leaving and refused the call".to_owned(),
            });
        }
        let headers = response.headers().clone();
        let status = response.status().as_u16();
        let has_body = !is_head && status != 204 && status != 304;
        Ok(PlainResponse {
            body: match content_length_of(&headers) {
                Some(bytes) if has_body => check_length(Box::pin(response), bytes),
                Some(_) | None => Box::pin(response),
            },
            headers,
            status,
        })
    }

    /// Fetches a small document, such as a load report or the result of a lookup, and returns its
    /// status and body. Any status is a success. `timeout` covers the whole exchange.
    pub async fn fetch(&self, url: &str, timeout: Duration) -> Result<(u16, Bytes), AttemptError> {
        match tokio::time::timeout(timeout, self.fetch_document(url, timeout)).await {
            Ok(fetched) => fetched,
            Err(_) => Err(AttemptError {
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

fn build_client(keep_alive: Duration) -> Client {
    let connector = Connector::new()
        .limit(CONNECTIONS_MAX)
        .conn_keep_alive(keep_alive)
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

fn content_length_of(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Returns a body that fails if it ends before `bytes` have arrived: the client takes the end of a
/// connection for the end of a body.
fn check_length(body: ResponseStream, bytes: u64) -> ResponseStream {
    let state = Some((body, bytes));
    Box::pin(futures_util::stream::unfold(state, |state| async move {
        let (mut body, missing_bytes) = state?;
        match body.next().await {
            Some(Ok(part)) => {
                let missing_bytes = missing_bytes.saturating_sub(part.len() as u64);
                Some((Ok(part), Some((body, missing_bytes))))
            }
            Some(Err(error)) => Some((Err(error), None)),
            None if missing_bytes > 0 => Some((Err(PayloadError::Incomplete(None)), None)),
            None => None,
        }
    }))
}
