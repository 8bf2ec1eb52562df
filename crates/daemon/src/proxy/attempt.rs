//! One attempt at an upstream.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::{Code, Ran, Refusal};
use cactuswheel_routing::{Attempt, Event, Outcome};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;

use super::abandoned::{Sent, Waiting};
use super::conns::ConnError;
use super::headers::{NOT_RUN, is_set};
use super::held::Permit;
use super::live::Live;
use super::payload::Payload;
use super::slot::Slot;
use crate::shared::Shared;

/// When to come back to upstreams that are full.
const RETRY: Duration = Duration::from_secs(1);

/// A failed attempt.
#[derive(Debug)]
pub(super) struct Failure {
    /// The reason, if it is the last attempt.
    pub(super) refusal: Refusal,
    /// What is known of this attempt's execution.
    pub(super) ran: Ran,
    /// The team's unit, unless this attempt may still be running on it.
    pub(super) permit: Option<Box<Permit>>,
    /// The request, if it was not given to a connection or came back from it.
    pub(super) request: Option<Box<Request<Payload>>>,
}

/// Sends the request; the head of the answer with its body, or why there is none by `until`.
pub(super) async fn send(
    shared: &Arc<Shared>,
    request: Request<Payload>,
    permit: Permit,
    lease: Slot,
    until: Instant,
) -> Result<(Response<Incoming>, Live), Failure> {
    let upstream = lease.upstream();
    let limit = shared.settings.limits.connect_ms.duration();
    let connected = until.min(Instant::now() + limit);
    let conn = upstream
        .link
        .get(upstream.addr, upstream.conns, connected)
        .await;
    let mut conn = match conn {
        Ok(conn) => conn,
        Err(e) => {
            let (code, outcome) = match e {
                ConnError::Spent => (Code::Declined, Outcome::Full),
                ConnError::Unreachable(_) => (Code::Unreachable, Outcome::Failed),
            };
            lease.record_outcome(outcome, shared.now());
            return Err(Failure {
                refusal: Refusal::new(code).with_detail(e.to_string()),
                ran: Attempt::Connecting.step(Event::NoConnection).ran(),
                permit: Some(Box::new(permit)),
                request: Some(Box::new(request)),
            });
        }
    };
    if let Err(refusal) = permit.check() {
        lease.upstream().link.put(conn);
        return Err(Failure {
            refusal,
            ran: Ran::NotRun,
            permit: Some(Box::new(permit)),
            request: None,
        });
    }
    let sent = conn.sender.try_send_request(request);
    let live = Live::new(permit, lease, conn, shared.clone());
    let until = until.min(live.last());
    match Waiting::new(sent, live).head(until).await {
        Some((sent, live)) => judge(sent, live),
        None => Err(timed_out()),
    }
}

fn judge(sent: Sent, mut live: Live) -> Result<(Response<Incoming>, Live), Failure> {
    let answer = match sent {
        Ok(answer) => answer,
        Err(mut e) => {
            // Given back unsent is the one proof from a connection that nothing ran.
            let request = e.take_message();
            let event = request
                .as_ref()
                .map_or(Event::Interrupted, |_| Event::ReturnedUnsent);
            let code = request.as_ref().map_or(Code::Lost, |_| Code::Unreachable);
            return Err(fail(live, event, code, e.error().to_string(), request));
        }
    };
    live.hear(answer.headers());
    if is_set(answer.headers(), NOT_RUN) {
        return Err(fail(
            live,
            Event::Declined,
            Code::Declined,
            String::new(),
            None,
        ));
    }
    if is_unframed(&answer) {
        return Err(fail(
            live,
            Event::Interrupted,
            Code::Unframed,
            String::new(),
            None,
        ));
    }
    live.step(Event::ResponseHead);
    Ok((answer, live))
}

fn fail(
    mut live: Live,
    event: Event,
    code: Code,
    detail: String,
    request: Option<Request<Payload>>,
) -> Failure {
    live.step(event);
    let refusal = Refusal::new(code).with_detail(detail);
    Failure {
        refusal: match event {
            Event::Declined => refusal.with_retry(RETRY),
            _ => refusal,
        },
        ran: live.ran(),
        permit: live.unrun().map(Box::new),
        request: request.map(Box::new),
    }
}

fn timed_out() -> Failure {
    Failure {
        refusal: Refusal::new(Code::Timeout),
        ran: Ran::Unknown,
        permit: None,
        request: None,
    }
}

/// Whether only the end of the connection ends the answer.
///
/// Such an answer looks whole wherever it is cut. A switch of protocols is no answer either:
/// the header that asks for one is not passed on.
fn is_unframed(answer: &Response<Incoming>) -> bool {
    let headers = answer.headers();
    let framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let switched = answer.status() == StatusCode::SWITCHING_PROTOCOLS;
    switched || !(framed || answer.body().is_end_stream())
}
