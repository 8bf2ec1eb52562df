//! The one form of a refusal, to callers and operators alike.

use cactuswheel_http::{Reply, json};
use cactuswheel_model::{Ran, Refusal};
use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};
use serde::Serialize;

/// The body of a refusal.
#[derive(Serialize)]
struct Refused<'a> {
    code: u16,
    ran: Ran,
    message: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_ms: Option<u64>,
}

/// Answers with a refusal.
pub(crate) fn refused(refusal: &Refusal) -> Reply {
    let code = refusal.code;
    let status = StatusCode::from_u16(code.status());
    let body = Refused {
        code: code.number(),
        ran: code.ran(),
        message: code.text(),
        detail: &refusal.detail,
        retry_ms: refusal.retry.map(|d| d.as_millis() as u64),
    };
    let mut reply = json(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &body);
    if let Some(retry) = refusal.retry {
        // Whole seconds only: rounded up, so that no one is told to come back too early.
        let seconds = retry.as_millis().div_ceil(1000) as u64;
        reply
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    reply
}
