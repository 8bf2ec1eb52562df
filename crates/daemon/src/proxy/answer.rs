//! Answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use cactuswheel_http::Reply;
use cactuswheel_model::{Code, Ran, Refusal};
use http_body_util::Full;
use hyper::Response;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::HeaderValue;

use super::headers::{CODE, RAN, REQUEST_ID, strip_answer};
use super::live::Live;
use super::relay::Relay;
use super::traffic::Busy;
use crate::refused::refused;

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

impl Answer {
    fn own(body: Full<Bytes>) -> Self {
        Self {
            kind: Kind::Own(body),
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
    let mut response = refused(refusal).map(Answer::own);
    mark(&mut response, refusal.code, id);
    response
}

/// Answers with a control reply of this entry.
pub(super) fn tell(reply: Reply, id: &str) -> Response<Answer> {
    let mut response = reply.map(Answer::own);
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
