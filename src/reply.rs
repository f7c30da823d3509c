//! Responses to callers: a backend server's response, or an error.

use super::*;

use actix_http::Response;
use actix_http::ResponseHead;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use tokio::time::Instant as TokioInstant;

/// Headers that apply to one connection only and are therefore not forwarded.
const CONNECTION_HEADERS: [&str; 7] = [
    "connection",
    "content-length",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns true if a header applies to one connection only, such as `connection` or `te`.
pub fn is_connection_header(name: &str) -> bool {
    CONNECTION_HEADERS.contains(&name)
}

/// Builds the caller's response from a server's response: its status, `body`, and its headers
/// except those that apply to one connection only.
pub(crate) fn respond(head: &ResponseHead, body: BoxBody) -> Response<BoxBody> {
    let mut response = Response::with_body(head.status, body);
    for (name, value) in head.headers() {
        if !is_connection_header(name.as_str()) {
            response.headers_mut().append(name.clone(), value.clone());
        }
    }
    response
}

/// Responds to a call with an error, and records the call's outcome in the metrics and the log. The
/// outcome is `not-run` only if no server can have run the call.
pub(crate) fn refuse(
    serving: &ServingState,
    request_id: &str,
    received_at: TokioInstant,
    error: &Error,
) -> Response<BoxBody> {
    let (status, code) = error.status();
    let outcome = error.outcome();
    serving.metrics.outcome(outcome, code);
    let age = serving.policy.borrow().age(boot_time());
    info!(
        "finish request={request_id} outcome={} status={status} code={code} ms={} \
         policy_age_ms={} reason=\"{error}\"",
        outcome.as_str(),
        received_at.elapsed().as_millis(),
        age.map_or(0, |age| age.as_millis()),
    );
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = Response::build(status);
    builder.insert_header((REQUEST_ID_HEADER, request_id));
    builder.insert_header((finish::OUTCOME_HEADER, outcome.as_str()));
    builder.insert_header(("content-type", "application/json"));
    if let Some(retry_after) = error.retry_after() {
        builder.insert_header(("retry-after", format!("{:.3}", retry_after.as_secs_f64())));
    }
    builder
        .body(error_json(error).to_string())
        .map_into_boxed_body()
}
