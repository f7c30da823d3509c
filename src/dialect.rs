//! Conversion between HTTP heads (the request or status line with its headers) and the types that
//! the proxying code uses. The names of the headers with a special meaning are known only to
//! implementations of [`Dialect`].

use super::*;

use actix_http::Method;
use actix_http::RequestHead;
use actix_http::ResponseHead;
use actix_http::Uri;
use actix_http::header::HeaderMap;

/// Head of a caller's request, with the values that control routing extracted.
#[derive(Debug, Clone)]
pub struct CallHead {
    /// Key that identifies the caller's account; `None` if the request carries none.
    pub account_key: Option<SmolStr>,
    /// Headers to forward to the server, without those that only this system may set.
    pub headers: HeaderMap,
    /// Host that the caller requested; selects the route together with the path. Empty if missing.
    pub host: SmolStr,
    /// Method to forward to the server.
    pub method: Method,
    /// Size and parts of a model call's prompt; `None` for a call that does not describe one.
    pub prompt: Option<Prompt>,
    /// Request id, which the caller chooses for each attempt.
    pub request_id: RequestId,
    /// Time from the receipt of the request to the caller's deadline; `None` if it sent no
    /// deadline.
    pub time_left: Option<Duration>,
    /// Path, which selects the route, and query; both are forwarded.
    pub uri: Uri,
}

/// Parameters of one attempt that are added to the call's head.
#[derive(Debug, Clone, Copy)]
pub struct AttemptHead<'a> {
    /// Name of the account that owns the caller's key; `None` for a call without an account.
    pub account: Option<&'a AccountName>,
    /// Id of the last event that the caller received, if the attempt resumes after it.
    pub last_event_id: Option<&'a str>,
    /// Priority in the server's queue; 0 is the highest.
    pub priority: u32,
    /// Server that must handle the call; a different one at the same address has to refuse it.
    pub server: &'a ServerName,
    /// Time from sending this attempt to the call's deadline.
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

/// Parses and builds the HTTP heads that are exchanged with callers and backend servers.
pub trait Dialect {
    /// Parses the head of a caller's request. Fails if the head lacks a value that every call must
    /// have, such as its request id.
    fn parse_request(&self, head: &RequestHead) -> Result<CallHead>;

    /// Builds the head of the request to a server from the caller's head and the values of this
    /// attempt.
    fn build_request(&self, call: &CallHead, attempt: AttemptHead<'_>) -> RequestHead;

    /// Returns true if the response says that its server is leaving.
    fn is_leaving(&self, head: &ResponseHead) -> bool;

    /// Returns the time for which the server wants no further calls from this instance, if the
    /// response refuses the call and names one.
    fn pause(&self, head: &ResponseHead) -> Option<Duration>;

    /// Returns the calls per second that the server takes from all instances together, if the
    /// response names such a limit. It is in force as long as the server's responses name it.
    fn limit_per_s(&self, head: &ResponseHead) -> Option<f64>;

    /// Determines whether a response belongs to `call` or is a late or duplicated one of another
    /// call.
    fn owner_of(&self, call: &CallHead, head: &ResponseHead) -> ResponseOwner;

    /// Determines from a response's head whether the server ran the call and whether the response
    /// can be forwarded.
    fn classify_response(&self, head: &ResponseHead) -> ResponseKind;
}
