//! Answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use cactuswheel_model::{Code, Ran, Refusal};
use cactuswheel_routing::Lease;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

use super::held::Permit;

/// Header with the number of the result.
pub(super) const CODE: &str = "x-cactuswheel-code";

/// Header that says whether the request ran.
pub(super) const RAN: &str = "x-cactuswheel-ran";

/// Header with the request's id.
pub(super) const REQUEST_ID: &str = "x-request-id";

/// Body of an answer.
#[derive(Debug)]
pub(super) enum Answer {
    /// One of our own.
    Own(Full<Bytes>),
    /// An upstream's, passed on as it comes.
    ///
    /// A body that ends short is an error here too: hyper then breaks the caller's connection
    /// off instead of ending the answer as if it were whole.
    Upstream {
        /// What comes.
        body: Incoming,
        /// Held until the last byte is passed on or the caller is gone.
        _held: (Permit, Lease),
    },
}

/// The body of a refusal.
#[derive(Serialize)]
struct RefusalBody<'a> {
    code: u16,
    ran: Ran,
    message: &'a str,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_ms: Option<u64>,
}

impl Body for Answer {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Own(body) => Pin::new(body).poll_frame(cx).map_err(|e| match e {}),
            Self::Upstream { body, .. } => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(body) => body.is_end_stream(),
            Self::Upstream { body, .. } => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Own(body) => body.size_hint(),
            Self::Upstream { body, .. } => body.size_hint(),
        }
    }
}

/// Answers with a refusal.
pub(super) fn refuse(refusal: &Refusal, id: &str) -> Response<Answer> {
    let code = refusal.code;
    let body = RefusalBody {
        code: code.number(),
        ran: code.ran(),
        message: code.text(),
        detail: &refusal.detail,
        retry_ms: refusal.retry.map(|d| d.as_millis() as u64),
    };
    let text = serde_json::to_vec(&body).unwrap_or_default();
    let mut response = Response::new(Answer::Own(Full::new(Bytes::from(text))));
    let status = StatusCode::from_u16(code.status());
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry) = refusal.retry {
        // Whole seconds only: rounded up, so that no one is told to come back too early.
        headers.insert(
            RETRY_AFTER,
            HeaderValue::from(retry.as_millis().div_ceil(1000) as u64),
        );
    }
    mark(&mut response, code, id);
    response
}

/// Adds the headers that every answer carries.
pub(super) fn mark(response: &mut Response<Answer>, code: Code, id: &str) {
    let headers = response.headers_mut();
    headers.insert(CODE, HeaderValue::from(code.number()));
    headers.insert(RAN, HeaderValue::from_static(ran_text(code.ran())));
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID, id);
    }
}

fn ran_text(ran: Ran) -> &'static str {
    match ran {
        Ran::NotRun => "not-run",
        Ran::Ran => "ran",
        Ran::Unknown => "unknown",
    }
}
