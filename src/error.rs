//! The crate's error type. Each message says what the operator or the caller can do. The table is
//! the operators' list of backend servers, models, routes and client accounts; the policy is the
//! operators' configuration of routes, services and accounts on the platform.

use super::*;

/// Result with [`Error`] as the default error and `()` as the default value.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;

/// Errors that operators or callers see. [`status`](Self::status) gives the HTTP status,
/// [`outcome`](Self::outcome) tells whether the call may have run.
#[derive(Debug, Clone, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The account exceeded its limit on concurrent streams, requests, tokens or usage units.
    #[snafu(display(
        "account {account} is over its limit of {limit}; retry after {retry_after_ms} ms"
    ))]
    AccountLimit {
        /// Name of the account in the table or policy.
        account: AccountName,
        /// The limit that was exceeded, with its unit.
        limit: &'static str,
        /// Time in milliseconds until a retry can succeed.
        retry_after_ms: u64,
    },
    /// An address cannot be bound or connected to, or an administration request to it failed.
    #[snafu(display("{address}: {reason}; check that the address is correct and not in use"))]
    Address {
        /// Address as configured or given on the command line, or the name of the listener.
        address: String,
        /// What failed: text of the underlying error, or the status and message of a response.
        reason: String,
    },
    /// The request is malformed or lacks a required header or field.
    #[snafu(display("bad request: {reason}"))]
    BadRequest {
        /// What is wrong with the request and what to send instead.
        reason: String,
    },
    /// The request body exceeds the size limit of the instance or policy.
    #[snafu(display("request body exceeds {limit_bytes} bytes; send a smaller one"))]
    BodyTooLarge {
        /// Maximum size in bytes that was exceeded.
        limit_bytes: usize,
    },
    /// A call with this idempotency key is running at another instance, or was interrupted there.
    #[snafu(display(
        "a call with this key is running or was interrupted; retry with the same key"
    ))]
    CallInProgress,
    /// The call was handed over to another instance while its caller waited, or its task ended
    /// before it answered.
    #[snafu(display(
        "the call was handed over to another instance; send it again with the same key or \
         Last-Event-ID"
    ))]
    CallMoved,
    /// The log service did not confirm the claim, which reserves the call's key, in time; the call
    /// was not dispatched.
    #[snafu(display("claims are unavailable ({reason}); send the call again"))]
    ClaimUnavailable {
        /// Why the claim could not be confirmed.
        reason: String,
    },
    /// A request to the platform's API for capacity and usage failed or was rejected.
    #[snafu(display(
        "platform API: {reason}; the request will be retried; check the platform's status"
    ))]
    CloudApi {
        /// Text of the HTTP client's error, or the unexpected status.
        reason: String,
    },
    /// The memory for unfinished events of all streams is in use.
    #[snafu(display("no memory for an event of {buffered_bytes} bytes; check the servers"))]
    EventBudgetSpent {
        /// Number of bytes of the event that had been received.
        buffered_bytes: usize,
    },
    /// A backend server sent too many bytes without a complete event that has data.
    #[snafu(display(
        "{received_bytes} bytes without an event, limit {limit_bytes}; check the server"
    ))]
    EventTooLarge {
        /// Maximum number of bytes without an event.
        limit_bytes: usize,
        /// Number of bytes received since the last event that has data.
        received_bytes: usize,
    },
    /// The settings file, the table file or another file on this machine cannot be read.
    #[snafu(display("cannot read {path}: {reason}; check the path and its permissions"))]
    FileRead {
        /// Path as given on the command line or in the environment.
        path: String,
        /// Text of the operating system's error.
        reason: String,
    },
    /// The administration key is missing or does not match the instance's setting.
    #[snafu(display("administration key is wrong; send `Authorization: Bearer ADMIN-KEY`"))]
    InvalidAdminKey,
    /// A setting is missing, malformed or inconsistent with another one.
    #[snafu(display("settings: {field}: {reason}"))]
    InvalidSetting {
        /// Name of the setting, as written in the file or environment.
        field: &'static str,
        /// What is wrong and how to correct it.
        reason: String,
    },
    /// An internal invariant does not hold; the request is aborted.
    #[snafu(display("internal invariant violated: {invariant}; report it with the request id"))]
    Invariant {
        /// The condition that should hold, in words; also the label of the metric.
        invariant: &'static str,
    },
    /// The idempotency key is not a version 7 UUID, which contains the timestamp that is checked.
    #[snafu(display("idempotency key must be a version 7 UUID, which contains a timestamp"))]
    KeyFormat,
    /// The idempotency key's timestamp is outside the window in which its claim is guaranteed to be
    /// retained.
    #[snafu(display(
        "idempotency key is outside the window of {window_s} s; whether the call ran is \
         unknown, look it up at the service itself"
    ))]
    KeyOutsideWindow {
        /// Time in seconds within which a key must be used after its timestamp.
        window_s: u64,
    },
    /// The idempotency key was used before with a different body.
    #[snafu(display(
        "idempotency key was used with a different body; use a new key for a new call"
    ))]
    KeyReused,
    /// The service cannot answer the call in time at present, or only at the expense of more urgent
    /// calls, so that the call was not sent.
    #[snafu(display(
        "{subject} lacks capacity for this call ({reason}), which was not run; retry after \
         {retry_after_ms} ms"
    ))]
    LackOfCapacity {
        /// Why the call was rejected.
        reason: &'static str,
        /// Time in milliseconds until a retry can succeed.
        retry_after_ms: u64,
        /// Service that the request was addressed to.
        subject: Subject,
    },
    /// A request to the log service failed, or its response cannot be used.
    #[snafu(display(
        "log service: {reason}; the request will be retried; check the platform's status"
    ))]
    LogService {
        /// Text of the HTTP client's error, or what is wrong with the response.
        reason: String,
    },
    /// No live backend server serves the requested model or route.
    #[snafu(display("no live backend server serves {subject}; retry after {retry_after_ms} ms"))]
    NoBackendServer {
        /// Model, route or service that the request was addressed to.
        subject: Subject,
        /// Time in milliseconds until a retry can succeed.
        retry_after_ms: u64,
    },
    /// The call was abandoned before it was sent, under a granted claim or a key that this system
    /// generated, so it cannot have run.
    #[snafu(display("{cause}; the call was not run"))]
    NotRun {
        /// Error that ended the call; it gives the HTTP status.
        cause: Box<Error>,
    },
    /// The call was rejected before it was known whether an earlier call with the same idempotency
    /// key ran.
    #[snafu(display(
        "{cause}; whether an earlier call with this key ran is unknown, retry with the same key"
    ))]
    OutcomeUnknown {
        /// Error that rejected this call; it gives the HTTP status.
        cause: Box<Error>,
    },
    /// Every backend server that serves the request is full, or none accepted the call.
    #[snafu(display("{subject} is overloaded; retry after {retry_after_ms} ms"))]
    Overloaded {
        /// Model, route or service that the request was addressed to.
        subject: Subject,
        /// Time in milliseconds until a retry can succeed.
        retry_after_ms: u64,
    },
    /// A settings or table file, or a record of the platform, cannot be parsed.
    #[snafu(display("cannot parse {what}: {reason}"))]
    Parse {
        /// Kind of file or record that was parsed.
        what: &'static str,
        /// Position of the fault in the text, if known, and its cause.
        reason: String,
    },
    /// A peer, another instance, sent a malformed, oversized or unauthenticated frame.
    #[snafu(display("peer {address}: {reason}; check that the peer keys match"))]
    Peer {
        /// Network address of the peer, or what was received (`frame`, `datagram`) if it is not
        /// known.
        address: String,
        /// What is wrong with the frame or the peer's key.
        reason: String,
    },
    /// A newer policy than the one in force cannot be decoded, so that a call might be served by
    /// what it has changed.
    #[snafu(display(
        "policy {version} or a newer one cannot be read and replaces policy {in_force}; publish one \
         that this program can read, or update the program"
    ))]
    PolicyUnreadable {
        /// Version of the policy in force.
        in_force: PolicyVersion,
        /// Lowest version that the unreadable policy can have.
        version: PolicyVersion,
    },
    /// The request's content crashed several backend servers and is quarantined.
    #[snafu(display(
        "this content crashed several backend servers and is quarantined; change it, or ask the \
         operator to release {content_hash:016x}"
    ))]
    Quarantined {
        /// Hash of the content, as `ebonyspread quarantine` lists it.
        content_hash: u64,
    },
    /// Parts of the request's prompt crashed several backend servers and are quarantined.
    #[snafu(display(
        "requests with these parts crashed {crashes} backend servers and are quarantined; change \
         the prompt, or ask the operator to release {parts}"
    ))]
    QuarantinedParts {
        /// Number of servers that crashed.
        crashes: usize,
        /// Hashes of the parts, as the operators' list has them.
        parts: String,
    },
    /// The connection to the server broke after the call was sent, so the call may have run.
    #[snafu(display(
        "connection to backend server {server} broke ({reason}); retry with the same key"
    ))]
    ResponseLost {
        /// Server whose connection broke.
        server: ServerName,
        /// Text of the connection's error, or what ended the attempts.
        reason: String,
    },
    /// The caller's deadline or the route's timeout expired after the call was dispatched.
    #[snafu(display(
        "backend server {server} did not respond within {timeout_ms} ms; retry with the same key"
    ))]
    ResponseTimeout {
        /// Last server that the call was sent to; empty if there was none.
        server: ServerName,
        /// Time in milliseconds from the receipt of the request until it was given up.
        timeout_ms: u64,
    },
    /// The regenerated text differs from the text that the caller already received.
    #[snafu(display(
        "the response cannot be resumed from this event; send the request again without \
         Last-Event-ID for a complete response"
    ))]
    ResumeMismatch,
    /// An attempt failed, and the budget that limits retries to a fraction of the requests is
    /// exhausted.
    #[snafu(display(
        "{subject} failed and its retry budget is exhausted; retry after {retry_after_ms} ms"
    ))]
    RetryBudgetSpent {
        /// Model, route or service that the request was addressed to.
        subject: Subject,
        /// Time in milliseconds until a retry can succeed.
        retry_after_ms: u64,
    },
    /// This instance cannot tell to which version of the service's servers it may send calls.
    #[snafu(display(
        "the rollout of {subject} was last read {age_ms} ms ago; retry after {retry_after_ms} ms or \
         at another instance"
    ))]
    RolloutStale {
        /// Time in milliseconds since the records of rollouts were last known to be the newest.
        age_ms: u64,
        /// Time in milliseconds until a retry can succeed.
        retry_after_ms: u64,
        /// Service that the request was addressed to.
        subject: Subject,
    },
    /// The servers have named limits that leave this instance no call at present.
    #[snafu(display(
        "the servers of {subject} limit their calls; retry after {retry_after_ms} ms"
    ))]
    ServerLimits {
        /// Service that the request was addressed to.
        subject: Subject,
        /// Time in milliseconds until a retry can succeed.
        retry_after_ms: u64,
    },
    /// The servers have refused calls and want no further ones from this instance for a while.
    #[snafu(display(
        "the servers of {subject} take no calls at present; retry after {retry_after_ms} ms"
    ))]
    ServersPaused {
        /// Service that the request was addressed to.
        subject: Subject,
        /// Time in milliseconds until the first of them takes calls again.
        retry_after_ms: u64,
    },
    /// The instance is stopping and the call came too late to be completed for certain.
    #[snafu(display("this instance is stopping; retry at another one after {retry_after_ms} ms"))]
    Stopping {
        /// Time in milliseconds until a retry can succeed.
        retry_after_ms: u64,
    },
    /// The table has changed since the version on which the edit is based.
    #[snafu(display(
        "conflict: the table is at version {current}, the edit is based on version {base}; \
         changed rows: {rows}; fetch the table, repeat the edit and publish it again"
    ))]
    TableConflict {
        /// Table version on which the edit is based.
        base: TableVersion,
        /// Newest version that the log holds.
        current: TableVersion,
        /// Names of the rows changed since `base`.
        rows: String,
    },
    /// A row of the table, or an entry of the platform's store, is invalid.
    #[snafu(display("table: row {row}, column {column}: {remedy}"))]
    TableInvalid {
        /// Kind, index and name of the row.
        row: String,
        /// Name of the column or field that is invalid.
        column: &'static str,
        /// What is wrong and how to correct it.
        remedy: String,
    },
    /// This instance has not received a table or policy yet.
    #[snafu(display("no table is in force yet; publish one with `ebonyspread table publish`"))]
    TableMissing,
    /// This instance cannot confirm that its policy is the newest, so revoked keys might be
    /// accepted.
    #[snafu(display(
        "the table was last confirmed to be current {age_ms} ms ago; retry at another instance"
    ))]
    TableStale {
        /// Time in milliseconds since the policy was last confirmed to be the newest; since boot if
        /// it never was.
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
        /// Requested model, shortened so that a long name does not fill the message.
        model: String,
    },
    /// No route in the table or policy matches the request.
    #[snafu(display("no route matches this path; add a [[route]] row or correct the path"))]
    UnknownRoute,
}

/// Whether a call ran, as reported to its caller.
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
    /// Value of the `Ebonyspread-Outcome` response header and of the `outcome` metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Whole => "whole",
        }
    }
}

impl Error {
    /// Outcome reported to the caller with this error; `Unknown` wherever the call, or an earlier
    /// one with its key, may have run.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::CallInProgress
            | Self::CallMoved
            | Self::EventBudgetSpent { .. }
            | Self::EventTooLarge { .. }
            | Self::Invariant { .. }
            | Self::KeyOutsideWindow { .. }
            | Self::OutcomeUnknown { .. }
            | Self::ResponseLost { .. }
            | Self::ResponseTimeout { .. } => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// HTTP status, and the machine-readable code that the error body and the metrics carry.
    pub fn status(&self) -> (u16, &'static str) {
        match self {
            Self::AccountLimit { .. } => (429, "rate_limit_exceeded"),
            Self::BadRequest { .. } => (400, "invalid_request"),
            Self::BodyTooLarge { .. } => (413, "body_too_large"),
            Self::CallInProgress => (409, "call_in_progress"),
            Self::CallMoved => (503, "call_moved"),
            Self::ClaimUnavailable { .. } => (503, "claim_unavailable"),
            Self::EventBudgetSpent { .. } | Self::EventTooLarge { .. } => (502, "answer_lost"),
            Self::InvalidAdminKey => (401, "invalid_admin_key"),
            Self::KeyFormat => (400, "key_format"),
            Self::KeyOutsideWindow { .. } => (409, "key_outside_window"),
            Self::KeyReused => (422, "key_reused"),
            Self::LackOfCapacity { .. } => (503, "lack_of_capacity"),
            Self::NoBackendServer { .. } => (503, "no_backend_server"),
            Self::NotRun { cause } | Self::OutcomeUnknown { cause } => cause.status(),
            Self::Overloaded { .. } => (503, "overloaded"),
            Self::PolicyUnreadable { .. } => (503, "policy_unreadable"),
            Self::Quarantined { .. } | Self::QuarantinedParts { .. } => {
                (422, "content_quarantined")
            }
            Self::ResponseLost { .. } => (502, "answer_lost"),
            Self::ResponseTimeout { .. } => (504, "answer_timeout"),
            Self::ResumeMismatch => (409, "resume_mismatch"),
            Self::RetryBudgetSpent { .. } => (503, "retry_budget_spent"),
            Self::RolloutStale { .. } => (503, "rollout_stale"),
            Self::ServerLimits { .. } => (503, "server_limits"),
            Self::ServersPaused { .. } => (503, "servers_paused"),
            Self::Stopping { .. } => (503, "instance_stopping"),
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

    /// Time after which a retry can succeed; `None` if waiting does not help or the time is not
    /// known.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::AccountLimit { retry_after_ms, .. }
            | Self::LackOfCapacity { retry_after_ms, .. }
            | Self::NoBackendServer { retry_after_ms, .. }
            | Self::Overloaded { retry_after_ms, .. }
            | Self::RetryBudgetSpent { retry_after_ms, .. }
            | Self::RolloutStale { retry_after_ms, .. }
            | Self::ServerLimits { retry_after_ms, .. }
            | Self::ServersPaused { retry_after_ms, .. }
            | Self::Stopping { retry_after_ms } => Some(Duration::from_millis(*retry_after_ms)),
            Self::CallInProgress
            | Self::CallMoved
            | Self::ClaimUnavailable { .. }
            | Self::PolicyUnreadable { .. }
            | Self::TableMissing
            | Self::TableStale { .. } => Some(DEFAULT_RETRY_AFTER),
            Self::NotRun { cause } | Self::OutcomeUnknown { cause } => cause.retry_after(),
            _ => None,
        }
    }

    /// Converts the error that ended a call which may have run, where `reason` is why its last
    /// attempt, at `server`, failed: "not run" becomes [`Error::ResponseLost`].
    pub fn after_lost_attempt(self, server: &ServerName, reason: &str) -> Self {
        match self.outcome() {
            Outcome::Unknown | Outcome::Whole => self,
            Outcome::NotRun => Self::ResponseLost {
                server: server.clone(),
                reason: format!("{reason}; {self}"),
            },
        }
    }

    /// Converts the error for a request with a caller's idempotency key: an outcome of "not run"
    /// becomes "unknown". Whatever the reason for rejecting this call, an earlier call with the
    /// same key may have run, unless a granted claim, which reserves the key for this call, rules
    /// that out.
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
