//! Answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use cactuswheel_http::Reply;
use cactuswheel_model::{Code, Ran, Refusal};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;

use super::headers::{CODE, RAN, REQUEST_ID, strip_answer};
use super::live::Live;
use super::relay::Relay;
use super::traffic::Busy;

/// Body of an answer, and a mark that it is not out yet.
#[derive(Debug)]
pub(super) struct Answer {
    kind: Kind,
    /// Dropped when the last byte is passed on or the caller is gone.
    _busy: Option<Busy>,
}

/// Where an answer comes from.
#[derive(Debug)]
enum Kind {
    /// One of our own.
    Own(Full<Bytes>),
    /// An upstream's.
    Relay(Relay),
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

impl Answer {
    fn own(text: Vec<u8>) -> Self {
        Self {
            kind: Kind::Own(Full::new(Bytes::from(text))),
            _busy: None,
        }
    }

    /// Adds the mark that its connection is busy.
    pub(super) fn with_busy(mut self, busy: Busy) -> Self {
        self._busy = Some(busy);
        self
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut self.get_mut().kind {
            Kind::Own(body) => Pin::new(body).poll_frame(cx).map_err(|e| match e {}),
            Kind::Relay(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            Kind::Own(body) => body.is_end_stream(),
            Kind::Relay(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Own(body) => body.size_hint(),
            Kind::Relay(body) => body.size_hint(),
        }
    }
}

/// Passes an upstream's answer on.
pub(super) fn pass(answer: Response<Incoming>, live: Live, id: &str) -> Response<Answer> {
    let (mut head, body) = answer.into_parts();
    strip_answer(&mut head.headers);
    let kind = Kind::Relay(Relay::new(body, live));
    let mut response = Response::from_parts(head, Answer { kind, _busy: None });
    mark(&mut response, Code::Ok, id);
    response
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
    let mut response = Response::new(Answer::own(text));
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

/// Answers with a control reply of this entry.
pub(super) fn tell(reply: Reply, id: &str) -> Response<Answer> {
    let mut response = reply.map(|body| Answer {
        kind: Kind::Own(body),
        _busy: None,
    });
    mark(&mut response, Code::Ok, id);
    response
}

/// Adds the headers that every answer carries.
fn mark(response: &mut Response<Answer>, code: Code, id: &str) {
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
