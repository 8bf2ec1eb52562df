//! A caller's request, once it is known who asks for what.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::{Code, Digest, Refusal, Service, Team, TeamId, Time};
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Uri};

use super::headers::{DEADLINE, IDEMPOTENT, PRIORITY, REQUEST_ID, TEAM, strip_request};
use super::payload::Payload;
use super::progress::Progress;
use crate::shared::Shared;

/// Who asks for what, and until when.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) shared: Arc<Shared>,
    /// The request's id.
    pub(super) id: String,
    /// Path and query for the upstream.
    pub(super) uri: Uri,
    pub(super) service: Arc<Service>,
    pub(super) team: Arc<Team>,
    /// Digest of the key that spoke for the team.
    pub(super) key: Digest,
    /// Whether it goes before other requests.
    pub(super) urgent: bool,
    /// Whether running the request twice does no harm.
    pub(super) idempotent: bool,
    /// When the answer's head has to be there.
    pub(super) deadline: Time,
    /// What a stop may say of it.
    pub(super) progress: Progress,
}

impl Job {
    /// Time left until the deadline.
    pub(super) fn left(&self) -> Duration {
        self.deadline.since(self.shared.now())
    }

    /// Makes a caller's request one of our own.
    pub(super) fn dress(
        &self,
        request: &mut Request<Payload>,
        team: &TeamId,
    ) -> Result<(), Refusal> {
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        strip_request(headers);
        headers.insert(TEAM, value(team.as_str())?);
        headers.insert(REQUEST_ID, value(&self.id)?);
        Ok(())
    }

    /// Addresses the request to one upstream and tells it the time left.
    pub(super) fn address(
        &self,
        request: &mut Request<Payload>,
        to: SocketAddr,
    ) -> Result<(), Refusal> {
        let headers = request.headers_mut();
        headers.insert(HOST, value(&to.to_string())?);
        let left = self.left().as_millis() as u64;
        headers.insert(DEADLINE, HeaderValue::from(left));
        Ok(())
    }
}

/// Whether running a request twice does no harm: by its method, or by the caller's word.
pub(super) fn is_idempotent(method: &Method, headers: &HeaderMap) -> bool {
    let given = headers.get(IDEMPOTENT).map(HeaderValue::as_bytes);
    method.is_idempotent() || given.is_some_and(|v| v == b"true" || v == b"1")
}

/// Whether the caller asks to go before other requests.
pub(super) fn is_urgent(headers: &HeaderMap) -> bool {
    headers.get(PRIORITY).is_some_and(|v| v == "urgent")
}

/// When the head of the answer has to be there: the caller's word, or the longest run.
pub(super) fn deadline(headers: &HeaderMap, now: Time, longest: Duration) -> Result<Time, Refusal> {
    let Some(given) = headers.get(DEADLINE) else {
        return Ok(now.after(longest));
    };
    let given = given.to_str().ok().and_then(|v| v.parse().ok());
    let bad = || Refusal::new(Code::BadRequest).with_detail("x-deadline-ms: not a number");
    let left = Duration::from_millis(given.ok_or_else(bad)?);
    if left.is_zero() {
        return Err(Refusal::new(Code::Deadline));
    }
    Ok(now.after(left.min(longest)))
}

fn value(text: &str) -> Result<HeaderValue, Refusal> {
    HeaderValue::from_str(text)
        .map_err(|e| Refusal::new(Code::BadRequest).with_detail(e.to_string()))
}
