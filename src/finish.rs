//! Converts outcomes of requests into HTTP responses.
//!
//! These responses have the headers `X-Request-Id` and `Ebonyspread-Outcome`. The outcome is
//! `whole` (a complete response was returned), `not-run` (no server can have run the call) or
//! `unknown`. A streamed completion has only the first header, because its head is sent before its
//! outcome is known: a whole stream ends with `[DONE]`, and a failed one with an error event that
//! contains the outcome.

use super::*;

use actix_web::HttpResponse;
use actix_web::HttpResponseBuilder;
use actix_web::http::StatusCode;

/// Response header that tells the caller whether the call ran: `whole`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "ebonyspread-outcome";

/// Header with the request id, sent to backend servers and returned to callers.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Formats an error in the format of the OpenAI API.
pub fn error_json(error: &Error) -> Json {
    let (status, code) = error.status();
    let kind = match status {
        400..=499 => "invalid_request_error",
        _ => "server_error",
    };
    serde_json::json!({
        "error": {
            "message": error.to_string(),
            "type": kind,
            "param": null,
            "code": code,
            "outcome": error.outcome().as_str(),
        }
    })
}

/// Starts a response with the request id and the outcome, the headers that all responses have. A
/// status that is not valid in HTTP becomes 502.
pub fn response_builder(status: u16, request_id: &str, outcome: Outcome) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    builder.insert_header((REQUEST_ID_HEADER, request_id));
    builder.insert_header((OUTCOME_HEADER, outcome.as_str()));
    builder
}

/// Responds with an error, and records the outcome in the metrics and the log. Some errors also
/// tell the caller, in `Retry-After`, when to try again.
pub fn error_response(context: &Context, request_id: &str, error: &Error) -> HttpResponse {
    let (status, code) = error.status();
    let outcome = error.outcome();
    context.metrics.outcome(outcome, code);
    info!(
        "finish request={request_id} outcome={} status={status} code={code} reason=\"{error}\"",
        outcome.as_str()
    );
    let mut builder = response_builder(status, request_id, outcome);
    if let Some(retry_after) = error.retry_after() {
        let seconds = retry_after.as_millis().div_ceil(1_000).max(1);
        builder.insert_header(("retry-after", seconds.to_string()));
        builder.insert_header(("retry-after-ms", retry_after.as_millis().to_string()));
    }
    builder.json(error_json(error))
}

/// Records the outcome `whole` in the metrics and the log; `detail` is appended to the log line.
pub fn log_whole(context: &Context, request_id: &str, detail: &str) {
    context.metrics.outcome(Outcome::Whole, "ok");
    info!("finish request={request_id} outcome=whole {detail}");
}

/// Formats the response to a model call that is not streamed.
pub fn chat_json(request_id: &str, model: &Json, text: &str, reason: &str, usage: Usage) -> Json {
    serde_json::json!({
        "id": format!("chatcmpl-{request_id}"),
        "object": "chat.completion",
        "created": unix_seconds(),
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "logprobs": null,
            "finish_reason": reason,
        }],
        "usage": usage.to_json(),
    })
}

/// Formats one of the last chunks of a stream, with the finish reason in `choices` or with the
/// token counts in `usage`.
pub fn closing_chunk(request_id: &str, model: &Json, choices: Json, usage: Json) -> Json {
    serde_json::json!({
        "id": format!("chatcmpl-{request_id}"),
        "object": "chat.completion.chunk",
        "created": unix_seconds(),
        "model": model,
        "choices": choices,
        "usage": usage,
    })
}

fn unix_seconds() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
