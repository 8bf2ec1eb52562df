//! HTTP responses to callers.

use std::time::Duration;

use bytes::Bytes;
use cactuswheel_model::Code;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use rand::Rng;
use serde_json::json;

/// A response to a caller.
pub(crate) type Answer = Response<Full<Bytes>>;

/// Minimum of the `Retry-After` header, in seconds; the header has no smaller unit.
const MIN_RETRY_AFTER_S: u64 = 1;

/// Maximum of the `Retry-After` header, in seconds.
const MAX_RETRY_AFTER_S: u64 = 10;

/// A response with status 200 and a JSON body.
pub(crate) fn ok_json(body: Vec<u8>) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}

/// An error response with a result code and details of the error.
///
/// Responses with status 429 or 503 have a `Retry-After` header of `delay` plus a random time of up
/// to one second.
pub(crate) fn error_response(code: Code, detail: &str, delay: Duration) -> Answer {
    let body = json!({
        "code": code.number(),
        "ran": code.ran().to_string(),
        "error": code.text(),
        "detail": detail,
    });
    let mut answer = ok_json(body.to_string().into_bytes());
    let status = StatusCode::from_u16(code.status());
    *answer.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if matches!(code.status(), 429 | 503) {
        answer
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(retry_after_seconds(delay)));
    }
    answer
}

fn retry_after_seconds(delay: Duration) -> u64 {
    if delay.is_zero() {
        return MIN_RETRY_AFTER_S;
    }
    let spread = rand::rng().random_range(0.0..1.0);
    let seconds = (delay.as_secs_f64() + spread).round() as u64;
    seconds.clamp(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)
}
