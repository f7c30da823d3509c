//! The one error type of the crate. Each message names the remedy.

use super::*;

/// Result with the crate's error.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// Every failure that an operator or a caller can meet.
#[derive(Debug, Clone, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The account's bound on concurrent streams or requests a second is reached.
    #[snafu(display(
        "account {account} is over its limit of {limit}; retry after {retry_after_ms} ms"
    ))]
    AccountLimit {
        /// Account over its limit.
        account: AccountName,
        /// Which limit, with its unit.
        limit: &'static str,
        /// Time until a retry can succeed.
        retry_after_ms: u64,
    },
    /// The administration key is missing or wrong.
    #[snafu(display("administration key is wrong; send `Authorization: Bearer ADMIN-KEY`"))]
    AdminKey,
    /// An address cannot be listened on or reached.
    #[snafu(display("{address}: {reason}; check that the address is right and free"))]
    Address {
        /// Address.
        address: String,
        /// Cause.
        reason: String,
    },
    /// The request body is not what the interface asks for.
    #[snafu(display("bad request: {reason}"))]
    BadRequest {
        /// What is wrong and what to send instead.
        reason: String,
    },
    /// The body is over the bound of this instance or route.
    #[snafu(display("body is over {limit_bytes} bytes; send a shorter one"))]
    BodyTooLarge {
        /// The bound.
        limit_bytes: usize,
    },
    /// The platform's API for capacity and usage refused or did not answer.
    #[snafu(display("platform API: {reason}; it is retried, check the platform's status"))]
    Cloud {
        /// Cause.
        reason: String,
    },
    /// The call went on to another instance while its caller waited.
    #[snafu(display(
        "the call went on to another instance; send it again with the same key or Last-Event-ID"
    ))]
    CallMoved,
    /// A call with this key is running at another instance.
    #[snafu(display(
        "a call with this key is running or was interrupted; ask again with the same key"
    ))]
    ClaimRunning,
    /// The log service could not order the claim; the call was not dispatched.
    #[snafu(display("claims are unavailable ({reason}); send the call again"))]
    ClaimUnavailable {
        /// Cause.
        reason: String,
    },
    /// The caller's deadline or the route's timeout passed after the call was dispatched.
    #[snafu(display(
        "backend server {server} did not answer in {timeout_ms} ms; ask again with the same key"
    ))]
    DispatchTimeout {
        /// Server that had the call.
        server: ServerName,
        /// Time waited.
        timeout_ms: u64,
    },
    /// The connection broke after the call was sent.
    #[snafu(display(
        "connection to backend server {server} broke ({reason}); ask again with the same key"
    ))]
    DispatchLost {
        /// Server that had the call.
        server: ServerName,
        /// Cause.
        reason: String,
    },
    /// A file could not be read.
    #[snafu(display("cannot read {path}: {reason}; check the path and its permissions"))]
    FileRead {
        /// Path as given.
        path: String,
        /// Cause.
        reason: String,
    },
    /// A safeguard inside the program was violated; the request is not carried further.
    #[snafu(display("internal invariant violated: {invariant}; report it with the request id"))]
    Invariant {
        /// Name of the invariant.
        invariant: &'static str,
    },
    /// The key is outside the window in which its claim is certainly kept.
    #[snafu(display(
        "idempotency key is outside the window of {window_s} s; whether it ran is unknown here, \
         look it up at the service itself"
    ))]
    KeyAge {
        /// Length of the window.
        window_s: u64,
    },
    /// The key is not a UUID of version 7.
    #[snafu(display("idempotency key must be a UUID of version 7, which carries its own time"))]
    KeyFormat,
    /// The key was used before with another body.
    #[snafu(display("idempotency key was used with another body; use a new key for a new call"))]
    KeyReused,
    /// The log service refused or did not answer.
    #[snafu(display("log service: {reason}; it is retried, check the platform's status"))]
    LogService {
        /// Cause.
        reason: String,
    },
    /// No live backend server serves the request.
    #[snafu(display("no live backend server serves {subject}; retry after {retry_after_ms} ms"))]
    NoServer {
        /// Model or route asked for.
        subject: Subject,
        /// Time until a retry can succeed.
        retry_after_ms: u64,
    },
    /// Every backend server that serves the request is at its bound.
    #[snafu(display("{subject} is overloaded; retry after {retry_after_ms} ms"))]
    Overloaded {
        /// Model or route asked for.
        subject: Subject,
        /// Time until a retry can succeed.
        retry_after_ms: u64,
    },
    /// A peer sent a frame that is malformed, too long or not authenticated.
    #[snafu(display("peer {address}: {reason}; check that the peer keys agree"))]
    Peer {
        /// Address of the peer.
        address: String,
        /// Cause.
        reason: String,
    },
    /// The request's content crashed several backend servers.
    #[snafu(display(
        "this content stopped several backend servers and is quarantined; change it, or ask the \
         operator to release {content_hash:016x}"
    ))]
    Quarantined {
        /// Hash of the content, as `ebonyspread quarantine` lists it.
        content_hash: u64,
    },
    /// The text generated again differs from the text that the caller has.
    #[snafu(display(
        "the answer cannot be continued from this event; send the request again without \
         Last-Event-ID for a whole answer"
    ))]
    ResumeMismatch,
    /// The retry budget is spent.
    #[snafu(display(
        "{subject} failed and its retry budget is spent; retry after {retry_after_ms} ms"
    ))]
    RetryBudget {
        /// Model or route asked for.
        subject: Subject,
        /// Time until a retry can succeed.
        retry_after_ms: u64,
    },
    /// The settings file does not hold what it must.
    #[snafu(display("settings: {column}: {reason}"))]
    SettingsInvalid {
        /// Field of the settings.
        column: &'static str,
        /// What is wrong and the remedy.
        reason: String,
    },
    /// A call with the caller's key was refused before it could be known whether an earlier call
    /// with the same key ran.
    #[snafu(display(
        "{cause}; whether an earlier call with this key ran is not known here, ask again with the \
         same key"
    ))]
    NotProven {
        /// Why this call was refused.
        cause: Box<Error>,
    },
    /// A call was given up under a granted claim, or under a key of our own, before it was sent.
    #[snafu(display("{cause}; the call was not run"))]
    Released {
        /// Why it was given up.
        cause: Box<Error>,
    },
    /// Another edit was accepted first.
    #[snafu(display(
        "conflict: the table is at version {current}, the edit was made against {base}; rows that \
         differ: {rows}; fetch the table, repeat the edit and publish again"
    ))]
    TableConflict {
        /// Version the edit was made against.
        base: TableVersion,
        /// Version in force.
        current: TableVersion,
        /// Names of the rows changed since `base`.
        rows: String,
    },
    /// A row of the table is wrong.
    #[snafu(display("table: row {row}, column {column}: {remedy}"))]
    TableInvalid {
        /// Row as kind, index and name.
        row: String,
        /// Column.
        column: &'static str,
        /// What is wrong and what to write instead.
        remedy: String,
    },
    /// No table has reached this instance yet.
    #[snafu(display("no table is in force yet; publish one with `ebonyspread table publish`"))]
    TableMissing,
    /// It is not known whether the table in force is still the newest one.
    #[snafu(display(
        "the table was last known to be the newest {age_ms} ms ago; retry at another instance"
    ))]
    TableStale {
        /// Time since the last proof.
        age_ms: u64,
    },
    /// Text is not TOML of the expected shape.
    #[snafu(display("cannot parse {what}: {reason}"))]
    Toml {
        /// Which file.
        what: &'static str,
        /// Place and cause.
        reason: String,
    },
    /// The account key is not in the table.
    #[snafu(display(
        "unknown account key; send `Authorization: Bearer KEY` with a key in the table"
    ))]
    UnknownKey,
    /// The model is not in the table.
    #[snafu(display("unknown model {model}; `GET /v1/models` lists the models"))]
    UnknownModel {
        /// Model as asked for, shortened.
        model: String,
    },
    /// No route of the table matches.
    #[snafu(display("no route serves this path; add a [[route]] row or correct the path"))]
    UnknownRoute,
}

/// What is known of a call whose whole answer was not given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The call did not run and will not; sending it again is safe.
    NotRun,
    /// The call may have run; only the same key may be asked again.
    Unknown,
    /// The whole answer was given.
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
    /// Outcome that a caller is told with this error.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::CallMoved
            | Self::ClaimRunning
            | Self::DispatchLost { .. }
            | Self::DispatchTimeout { .. }
            | Self::Invariant { .. }
            | Self::KeyAge { .. }
            | Self::NotProven { .. } => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// HTTP status and the machine-readable code of the error body.
    pub fn status(&self) -> (u16, &'static str) {
        match self {
            Self::AccountLimit { .. } => (429, "rate_limit_exceeded"),
            Self::AdminKey => (401, "invalid_admin_key"),
            Self::BadRequest { .. } => (400, "invalid_request"),
            Self::BodyTooLarge { .. } => (413, "body_too_large"),
            Self::CallMoved => (503, "call_moved"),
            Self::ClaimRunning => (409, "call_in_progress"),
            Self::ClaimUnavailable { .. } => (503, "claim_unavailable"),
            Self::DispatchLost { .. } => (502, "answer_lost"),
            Self::DispatchTimeout { .. } => (504, "answer_timeout"),
            Self::KeyAge { .. } => (409, "key_outside_window"),
            Self::KeyFormat => (400, "key_format"),
            Self::KeyReused => (422, "key_reused"),
            Self::NoServer { .. } => (503, "no_backend_server"),
            Self::NotProven { cause } | Self::Released { cause } => cause.status(),
            Self::Overloaded { .. } => (503, "overloaded"),
            Self::Quarantined { .. } => (422, "content_quarantined"),
            Self::ResumeMismatch => (409, "resume_mismatch"),
            Self::RetryBudget { .. } => (503, "retry_budget_spent"),
            Self::TableMissing => (503, "table_missing"),
            Self::TableStale { .. } => (503, "table_stale"),
            Self::UnknownKey => (401, "invalid_api_key"),
            Self::UnknownModel { .. } => (404, "model_not_found"),
            Self::UnknownRoute => (404, "route_not_found"),
            Self::Address { .. }
            | Self::Cloud { .. }
            | Self::FileRead { .. }
            | Self::Invariant { .. }
            | Self::LogService { .. }
            | Self::Peer { .. }
            | Self::SettingsInvalid { .. }
            | Self::TableConflict { .. }
            | Self::TableInvalid { .. }
            | Self::Toml { .. } => (500, "internal"),
        }
    }

    /// Time after which a retry can succeed, if the error names one.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::AccountLimit { retry_after_ms, .. }
            | Self::NoServer { retry_after_ms, .. }
            | Self::Overloaded { retry_after_ms, .. }
            | Self::RetryBudget { retry_after_ms, .. } => {
                Some(Duration::from_millis(*retry_after_ms))
            }
            Self::CallMoved
            | Self::ClaimRunning
            | Self::ClaimUnavailable { .. }
            | Self::TableMissing
            | Self::TableStale { .. } => Some(DEFAULT_RETRY_AFTER),
            Self::NotProven { cause } | Self::Released { cause } => cause.retry_after(),
            _ => None,
        }
    }

    /// The error for a request that carries its caller's key. Whatever refused this call, an
    /// earlier one with the same key may have run, unless a granted claim says otherwise.
    pub fn for_keyed_request(self) -> Self {
        match (&self, self.outcome()) {
            (Self::Released { .. }, _) | (_, Outcome::Unknown | Outcome::Whole) => self,
            (_, Outcome::NotRun) => Self::NotProven {
                cause: Box::new(self),
            },
        }
    }
}

/// Retry time told where nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
