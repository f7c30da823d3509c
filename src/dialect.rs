//! How callers' and backend servers' HTTP heads are read and written. The exchange works on what
//! these types say; the names of headers belong to whoever implements [`Dialect`].

use super::*;

use actix_http::Method;
use actix_http::RequestHead;
use actix_http::ResponseHead;
use actix_http::Uri;
use actix_http::header::HeaderMap;

/// A caller's request as far as its head tells.
#[derive(Debug, Clone)]
pub struct CallHead {
    /// Key of the caller's account.
    pub account_key: Option<SmolStr>,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Host that the caller named.
    pub host: SmolStr,
    /// Method.
    pub method: Method,
    /// Prompt, for model calls.
    pub prompt: Option<Prompt>,
    /// Id of this attempt of the caller.
    pub request_id: RequestId,
    /// Time that the caller will wait; `None` if it does not say.
    pub time_left: Option<Duration>,
    /// Path and query.
    pub uri: Uri,
}

/// What the system adds to a call for one attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptHead<'a> {
    /// Account that the caller's key belongs to.
    pub account: Option<&'a AccountName>,
    /// Last event that the caller has, if the attempt goes on after it.
    pub last_event_id: Option<&'a str>,
    /// Rank among the calls that wait at the server; 0 is the most urgent.
    pub priority: u8,
    /// Server that is to run the call.
    pub server: &'a ServerName,
    /// Time after which the answer is of no use.
    pub time_left: Duration,
}

/// What a server's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The call ran; the answer is passed on.
    Answer,
    /// The server did not run the call.
    NotRun,
    /// Another server has the address; the call was not run.
    OtherServer,
    /// The answer lacks what shows that it is the server's own.
    Untrusted,
}

/// Reads and writes HTTP heads for callers and servers.
pub trait Dialect {
    /// Reads a caller's request.
    fn read_call(&self, head: &RequestHead) -> Result<CallHead>;

    /// Writes the head that a server receives.
    fn write_call(&self, call: &CallHead, attempt: AttemptHead<'_>) -> RequestHead;

    /// Tells whose an answer is.
    fn owner_of(&self, call: &CallHead, head: &ResponseHead) -> ResponseOwner;

    /// Reads what an answer says.
    fn read_answer(&self, head: &ResponseHead) -> AnswerKind;
}
