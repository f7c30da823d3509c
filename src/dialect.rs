//! Conversion between the HTTP heads that are exchanged with callers and backend servers and the
//! types that the exchange uses. The names of the headers with a special meaning are known only to
//! implementations of [`Dialect`].

use super::*;

use actix_http::Method;
use actix_http::RequestHead;
use actix_http::ResponseHead;
use actix_http::Uri;
use actix_http::header::HeaderMap;

/// Parsed head of a caller's request.
#[derive(Debug, Clone)]
pub struct CallHead {
    /// Key of the caller's account.
    pub account_key: Option<SmolStr>,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    /// Requested host.
    pub host: SmolStr,
    /// HTTP method.
    pub method: Method,
    /// Prompt of a model call.
    pub prompt: Option<Prompt>,
    /// Request id, which the caller chooses for each attempt.
    pub request_id: RequestId,
    /// Time until the caller's deadline, if it sent one.
    pub time_left: Option<Duration>,
    /// Path and query.
    pub uri: Uri,
}

/// Parameters of one attempt that are added to the call's head.
#[derive(Debug, Clone, Copy)]
pub struct AttemptHead<'a> {
    /// Account that owns the caller's key.
    pub account: Option<&'a AccountName>,
    /// Id of the last event that the caller received, if the attempt resumes after it.
    pub last_event_id: Option<&'a str>,
    /// Priority in the server's queue; 0 is the highest.
    pub priority: u8,
    /// Server that the call is sent to.
    pub server: &'a ServerName,
    /// Time until the call's deadline.
    pub time_left: Duration,
}

/// Meaning of a server's response, as its head shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// The call ran; the response is forwarded to the caller.
    Executed,
    /// The server did not run the call.
    NotRun,
    /// The head does not show that the response is the server's own and unaltered; it is not
    /// forwarded.
    Untrusted,
    /// A different server uses the address; the call was not run.
    WrongServer,
}

/// Parses and builds the HTTP heads that are exchanged with callers and servers.
pub trait Dialect {
    /// Parses the head of a caller's request.
    fn parse_request(&self, head: &RequestHead) -> Result<CallHead>;

    /// Builds the head of the request to a server.
    fn build_request(&self, call: &CallHead, attempt: AttemptHead<'_>) -> RequestHead;

    /// Determines which call a response belongs to.
    fn owner_of(&self, call: &CallHead, head: &ResponseHead) -> ResponseOwner;

    /// Classifies a response by its head.
    fn classify_response(&self, head: &ResponseHead) -> ResponseKind;
}
