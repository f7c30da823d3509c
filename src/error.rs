//! The crate's error type. Each message says what the operator or the caller can do.

use super::*;

/// Result with the crate's error type.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// Errors reported to operators and callers.
#[derive(Debug, Clone, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The account exceeded its limit on concurrent streams, requests, tokens or usage units.
    #[snafu(display(
        "account {account} is over its limit of {limit}; retry after {retry_after_ms} ms"
    ))]
    AccountLimit {
        /// Account over its limit.
        account: AccountName,
        /// The limit that was exceeded, with its unit.
        limit: &'static str,
        /// Time in milliseconds until a retry can succeed.
        retry_after_ms: u64,
    },
    /// An address cannot be bound or connected to.
    #[snafu(display("{address}: {reason}; check that the address is correct and not in use"))]
    Address {
        /// Address.
        address: String,
        /// Cause.
        reason: String,
    },
    /// The request is malformed.
    #[snafu(display("bad request: {reason}"))]
    BadRequest {
        /// What is wrong and what to send instead.
        reason: String,
    },
    /// The request body exceeds the size limit of the instance or policy, or received stream data
    /// exceeds the maximum size of an event.
    #[snafu(display("request body exceeds {limit_bytes} bytes; send a smaller one"))]
    BodyTooLarge {
        /// Maximum body size in bytes.
        limit_bytes: usize,
    },
    /// A call with this key is running at another instance, or was interrupted there.
    #[snafu(display(
        "a call with this key is running or was interrupted; retry with the same key"
    ))]
    CallInProgress,
    /// The call was handed over to another instance while its caller waited.
    #[snafu(display(
        "the call was handed over to another instance; send it again with the same key or \
         Last-Event-ID"
    ))]
    CallMoved,
    /// The log service did not confirm the claim in time; the call was not dispatched.
    #[snafu(display("claims are unavailable ({reason}); send the call again"))]
    ClaimUnavailable {
        /// Cause.
        reason: String,
    },
    /// A request to the platform's API for capacity and usage failed.
    #[snafu(display(
        "platform API: {reason}; the request will be retried; check the platform's status"
    ))]
    CloudApi {
        /// Cause.
        reason: String,
    },
    /// A file cannot be read.
    #[snafu(display("cannot read {path}: {reason}; check the path and its permissions"))]
    FileRead {
        /// Path as given.
        path: String,
        /// Cause.
        reason: String,
    },
    /// The administration key is missing or does not match.
    #[snafu(display("administration key is wrong; send `Authorization: Bearer ADMIN-KEY`"))]
    InvalidAdminKey,
    /// A setting is missing or invalid.
    #[snafu(display("settings: {field}: {reason}"))]
    InvalidSetting {
        /// Name of the setting.
        field: &'static str,
        /// What is wrong and how to correct it.
        reason: String,
    },
    /// An internal invariant does not hold; the request is aborted.
    #[snafu(display("internal invariant violated: {invariant}; report it with the request id"))]
    Invariant {
        /// Name of the invariant.
        invariant: &'static str,
    },
    /// The key is not a version 7 UUID.
    #[snafu(display("idempotency key must be a version 7 UUID, which contains a timestamp"))]
    KeyFormat,
    /// The key's timestamp is outside the window in which its claim is guaranteed to be retained.
    #[snafu(display(
        "idempotency key is outside the window of {window_s} s; whether the call ran is \
         unknown, look it up at the service itself"
    ))]
    KeyOutsideWindow {
        /// Length of the window in seconds.
        window_s: u64,
    },
    /// The key was used before with a different body.
    #[snafu(display(
        "idempotency key was used with a different body; use a new key for a new call"
    ))]
    KeyReused,
    /// A request to the log service failed.
    #[snafu(display(
        "log service: {reason}; the request will be retried; check the platform's status"
    ))]
    LogService {
        /// Cause.
        reason: String,
    },
    /// No live backend server serves the requested model or route.
    #[snafu(display("no live backend server serves {subject}; retry after {retry_after_ms} ms"))]
    NoBackendServer {
        /// Requested model or route.
        subject: Subject,
        /// Time in milliseconds until a retry can succeed.
        retry_after_ms: u64,
    },
    /// The call was abandoned before it was sent, under a granted claim or a key that this system
    /// generated, so it cannot have run.
    #[snafu(display("{cause}; the call was not run"))]
    NotRun {
        /// Why the call was abandoned.
        cause: Box<Error>,
    },
    /// The call was rejected before it was known whether an earlier call with the same key ran.
    #[snafu(display(
        "{cause}; whether an earlier call with this key ran is unknown, retry with the same key"
    ))]
    OutcomeUnknown {
        /// Why this call was rejected.
        cause: Box<Error>,
    },
    /// Every backend server that serves the request is at its limit, or none accepted the call.
    #[snafu(display("{subject} is overloaded; retry after {retry_after_ms} ms"))]
    Overloaded {
        /// Requested model or route.
        subject: Subject,
        /// Time in milliseconds until a retry can succeed.
        retry_after_ms: u64,
    },
    /// A file or record cannot be parsed.
    #[snafu(display("cannot parse {what}: {reason}"))]
    Parse {
        /// What was parsed.
        what: &'static str,
        /// Position and cause.
        reason: String,
    },
    /// A peer sent a malformed, oversized or unauthenticated frame.
    #[snafu(display("peer {address}: {reason}; check that the peer keys match"))]
    Peer {
        /// Address of the peer.
        address: String,
        /// Cause.
        reason: String,
    },
    /// The request's content crashed several backend servers.
    #[snafu(display(
        "this content crashed several backend servers and is quarantined; change it, or ask the \
         operator to release {content_hash:016x}"
    ))]
    Quarantined {
        /// Hash of the content, as `ebonyspread quarantine` lists it.
        content_hash: u64,
    },
    /// The connection broke after the call was sent.
    #[snafu(display(
        "connection to backend server {server} broke ({reason}); retry with the same key"
    ))]
    ResponseLost {
        /// Server that the call was sent to.
        server: ServerName,
        /// Cause.
        reason: String,
    },
    /// The caller's deadline or the route's timeout expired after the call was dispatched.
    #[snafu(display(
        "backend server {server} did not respond within {timeout_ms} ms; retry with the same key"
    ))]
    ResponseTimeout {
        /// Server that the call was sent to.
        server: ServerName,
        /// Timeout in milliseconds.
        timeout_ms: u64,
    },
    /// The regenerated text differs from the text that the caller already received.
    #[snafu(display(
        "the response cannot be resumed from this event; send the request again without \
         Last-Event-ID for a complete response"
    ))]
    ResumeMismatch,
    /// The retry budget is exhausted.
    #[snafu(display(
        "{subject} failed and its retry budget is exhausted; retry after {retry_after_ms} ms"
    ))]
    RetryBudgetSpent {
        /// Requested model or route.
        subject: Subject,
        /// Time in milliseconds until a retry can succeed.
        retry_after_ms: u64,
    },
    /// Another edit was accepted first.
    #[snafu(display(
        "conflict: the table is at version {current}, the edit is based on version {base}; \
         changed rows: {rows}; fetch the table, repeat the edit and publish it again"
    ))]
    TableConflict {
        /// Version that the edit is based on.
        base: TableVersion,
        /// Version in force.
        current: TableVersion,
        /// Names of the rows changed since `base`.
        rows: String,
    },
    /// A row of the table is invalid.
    #[snafu(display("table: row {row}, column {column}: {remedy}"))]
    TableInvalid {
        /// Kind, index and name of the row.
        row: String,
        /// Column.
        column: &'static str,
        /// What is wrong and how to correct it.
        remedy: String,
    },
    /// This instance has not received a table yet.
    #[snafu(display("no table is in force yet; publish one with `ebonyspread table publish`"))]
    TableMissing,
    /// This instance cannot confirm that its table is the latest version.
    #[snafu(display(
        "the table was last confirmed to be current {age_ms} ms ago; retry at another instance"
    ))]
    TableStale {
        /// Time in milliseconds since the table was last confirmed to be current.
        age_ms: u64,
    },
    /// The account key is missing, or is not in the table or policy.
    #[snafu(display(
        "unknown account key; send `Authorization: Bearer KEY` with a key in the table"
    ))]
    UnknownKey,
    /// The model is not in the table.
    #[snafu(display("unknown model {model}; `GET /v1/models` lists the models"))]
    UnknownModel {
        /// Requested model, shortened.
        model: String,
    },
    /// No route in the table or policy matches the request.
    #[snafu(display("no route matches this path; add a [[route]] row or correct the path"))]
    UnknownRoute,
}

/// Outcome of a call, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The call did not run and will not run; sending it again is safe.
    NotRun,
    /// The call may have run; it may only be retried with the same key.
    Unknown,
    /// The complete response was delivered.
    Whole,
}

impl Outcome {
    /// Value of the `Ebonyspread-Outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Whole => "whole",
        }
    }
}

impl Error {
    /// Outcome that is reported to the caller with this error.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::CallInProgress
            | Self::CallMoved
            | Self::Invariant { .. }
            | Self::KeyOutsideWindow { .. }
            | Self::OutcomeUnknown { .. }
            | Self::ResponseLost { .. }
            | Self::ResponseTimeout { .. } => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// HTTP status and machine-readable code for the error body.
    pub fn status(&self) -> (u16, &'static str) {
        match self {
            Self::AccountLimit { .. } => (429, "rate_limit_exceeded"),
            Self::BadRequest { .. } => (400, "invalid_request"),
            Self::BodyTooLarge { .. } => (413, "body_too_large"),
            Self::CallInProgress => (409, "call_in_progress"),
            Self::CallMoved => (503, "call_moved"),
            Self::ClaimUnavailable { .. } => (503, "claim_unavailable"),
            Self::InvalidAdminKey => (401, "invalid_admin_key"),
            Self::KeyFormat => (400, "key_format"),
            Self::KeyOutsideWindow { .. } => (409, "key_outside_window"),
            Self::KeyReused => (422, "key_reused"),
            Self::NoBackendServer { .. } => (503, "no_backend_server"),
            Self::NotRun { cause } | Self::OutcomeUnknown { cause } => cause.status(),
            Self::Overloaded { .. } => (503, "overloaded"),
            Self::Quarantined { .. } => (422, "content_quarantined"),
            Self::ResponseLost { .. } => (502, "answer_lost"),
            Self::ResponseTimeout { .. } => (504, "answer_timeout"),
            Self::ResumeMismatch => (409, "resume_mismatch"),
            Self::RetryBudgetSpent { .. } => (503, "retry_budget_spent"),
            Self::TableMissing => (503, "table_missing"),
            Self::TableStale { .. } => (503, "table_stale"),
            Self::UnknownKey => (401, "invalid_api_key"),
            Self::UnknownModel { .. } => (404, "model_not_found"),
            Self::UnknownRoute => (404, "route_not_found"),
            Self::Address { .. }
            | Self::CloudApi { .. }
            | Self::FileRead { .. }
            | Self::InvalidSetting { .. }
            | Self::Invariant { .. }
            | Self::LogService { .. }
            | Self::Parse { .. }
            | Self::Peer { .. }
            | Self::TableConflict { .. }
            | Self::TableInvalid { .. } => (500, "internal"),
        }
    }

    /// Time after which a retry can succeed, if known.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::AccountLimit { retry_after_ms, .. }
            | Self::NoBackendServer { retry_after_ms, .. }
            | Self::Overloaded { retry_after_ms, .. }
            | Self::RetryBudgetSpent { retry_after_ms, .. } => {
                Some(Duration::from_millis(*retry_after_ms))
            }
            Self::CallInProgress
            | Self::CallMoved
            | Self::ClaimUnavailable { .. }
            | Self::TableMissing
            | Self::TableStale { .. } => Some(DEFAULT_RETRY_AFTER),
            Self::NotRun { cause } | Self::OutcomeUnknown { cause } => cause.retry_after(),
            _ => None,
        }
    }

    /// Converts the error for a request with a caller's idempotency key. Whatever the reason for
    /// rejecting this call, an earlier call with the same key may have run, unless a granted claim
    /// rules that out.
    pub fn for_keyed_request(self) -> Self {
        match (&self, self.outcome()) {
            (Self::NotRun { .. }, _) | (_, Outcome::Unknown | Outcome::Whole) => self,
            (_, Outcome::NotRun) => Self::OutcomeUnknown {
                cause: Box::new(self),
            },
        }
    }
}

/// Value of `Retry-After` for errors without a more specific time.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
