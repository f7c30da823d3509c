//! Sends one attempt to a backend server and tells precisely how far it got.

use super::*;

use std::io::ErrorKind;
use std::pin::Pin;

use actix_web::http::Method;
use actix_web::http::header::HeaderMap;
use awc::Client;
use awc::Connector;
use awc::error::ConnectError;
use awc::error::PayloadError;
use awc::error::SendRequestError;
use futures_util::Stream;

/// Time for a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for the first byte of a model's answer; a queue at the engine is part of it.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Connections kept per backend server by one thread.
const CONNECTIONS_MAX: usize = 4_096;

/// Time for which an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(15);

/// Part of an error body that is read.
const ERROR_BODY_MAX_BYTES: usize = 64 << 10;

/// Header with which a leaving backend server refuses work.
const LEAVING_HEADER: &str = "x-leaving";

/// Fencing number of an order, for the backend servers that check it.
pub const FENCING_HEADER: &str = "x-fencing-number";

/// Body of an answer as it arrives.
pub type AnswerStream = Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>;

/// An answer's head, with its body still to come.
pub struct Answer {
    /// Body.
    pub body: AnswerStream,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Status code.
    pub status: u16,
}

/// A failed attempt.
#[derive(Debug, Clone)]
pub struct AttemptError {
    /// How far the attempt got.
    pub failure: Failure,
    /// Cause, for the log.
    pub reason: String,
}

/// HTTP clients of one thread.
pub struct Dispatcher {
    /// Keeps connections, for calls that may be repeated.
    pooled: Client,
    /// Opens a connection for each call: on a kept connection that the server just closed, a
    /// call that may not be repeated would end as unknown for no good reason.
    single: Client,
}

/// A plain call to send.
pub struct PlainCall<'a> {
    /// Body.
    pub body: Bytes,
    /// Fencing number, if the call may not be repeated.
    pub fencing: Option<LogOffset>,
    /// Headers to pass on; connection headers are left out.
    pub headers: &'a [(String, Vec<u8>)],
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path_and_query: &'a str,
    /// Time for the head of the answer.
    pub timeout: Duration,
}

impl Dispatcher {
    /// Creates the clients of the current thread.
    pub fn new() -> Self {
        Self {
            pooled: client(KEEP_ALIVE),
            single: client(Duration::ZERO),
        }
    }

    /// Opens a model server's stream.
    pub async fn open_stream(
        &self,
        server: &BackendServer,
        body: Bytes,
        request_id: &str,
    ) -> Result<AnswerStream, StreamRefusal> {
        let url = format!("http://{}/v1/chat/completions", server.address);
        let request = self
            .pooled
            .post(url)
            .insert_header(("content-type", "application/json"))
            .insert_header(("x-request-id", request_id))
            .timeout(HEAD_TIMEOUT);
        let response = match request.send_body(body).await {
            Ok(response) => response,
            Err(error) => return Err(StreamRefusal::Failed(attempt_error(&error))),
        };
        let status = response.status().as_u16();
        if status == 200 {
            return Ok(Box::pin(response));
        }
        let failure = match status {
            400..=499 if status != 408 && status != 429 => {
                let body = read_error(response).await;
                return Err(StreamRefusal::Caller { body, status });
            }
            _ if response.headers().contains_key(LEAVING_HEADER) => Failure::Leaving,
            _ => Failure::Status,
        };
        Err(StreamRefusal::Failed(AttemptError {
            failure,
            reason: format!("status {status}"),
        }))
    }

    /// Sends a plain call; `once` uses a connection of its own.
    pub async fn send_plain(
        &self,
        server: &BackendServer,
        call: PlainCall<'_>,
        once: bool,
    ) -> Result<Answer, AttemptError> {
        let client = if once { &self.single } else { &self.pooled };
        let url = format!("http://{}{}", server.address, call.path_and_query);
        let mut request = client.request(call.method, url).timeout(call.timeout);
        for (name, value) in call.headers {
            request = request.append_header((name.as_str(), value.as_slice()));
        }
        if let Some(offset) = call.fencing {
            request = request.insert_header((FENCING_HEADER, offset.to_string()));
        }
        if once {
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
        Ok(Answer {
            headers: response.headers().clone(),
            status: response.status().as_u16(),
            body: Box::pin(response),
        })
    }

    /// Fetches a small document, such as a load report or an answer to a lookup.
    pub async fn fetch(&self, url: &str, timeout: Duration) -> Result<(u16, Bytes), AttemptError> {
        let request = self.pooled.get(url).timeout(timeout);
        let mut response = match request.send().await {
            Ok(response) => response,
            Err(error) => return Err(attempt_error(&error)),
        };
        let status = response.status().as_u16();
        let body = response.body().limit(ERROR_BODY_MAX_BYTES).await;
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
pub enum StreamRefusal {
    /// The engine refused the request itself; another engine would do the same.
    Caller {
        /// Body of the refusal, passed on.
        body: Bytes,
        /// Status of the refusal.
        status: u16,
    },
    /// The attempt failed; another engine may do.
    Failed(AttemptError),
}

fn client(keep_alive: Duration) -> Client {
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
    let failure = match is_proof_of_not_sent(error) {
        true => Failure::Connect,
        false => Failure::Broken,
    };
    AttemptError {
        failure,
        reason: error.to_string(),
    }
}

/// True if the error shows that no connection was made. The client reports a connection that
/// breaks after the request was sent as a connection error too, so only the causes that cannot
/// come from an open connection count.
fn is_proof_of_not_sent(error: &SendRequestError) -> bool {
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
    response
        .body()
        .limit(ERROR_BODY_MAX_BYTES)
        .await
        .unwrap_or_default()
}
