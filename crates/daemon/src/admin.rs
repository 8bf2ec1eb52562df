//! The operators' API, JSON over HTTP.

mod audit;
mod status;
mod tickets;

use std::sync::Arc;

use cactuswheel_http::{Reply, json, text};
use cactuswheel_model::{Code, Digest, OperatorId, Refusal};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;

use crate::Phase;
use crate::shared::Shared;

/// The body of a refusal.
#[derive(Serialize)]
struct Refused<'a> {
    code: u16,
    message: &'a str,
    detail: &'a str,
}

/// Answers one request of an operator.
pub(crate) async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    if path == "/ready" {
        return ready(&shared);
    }
    let Some(operator) = operator(&shared, &request) else {
        return refused(&Refusal::new(Code::NotOperator));
    };
    let done = match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/tickets") => tickets::apply(shared, operator, request).await,
        (&Method::GET, "/v1/status") => status::show(&shared),
        (&Method::GET, "/v1/config") => Ok(json(StatusCode::OK, shared.state.load().config())),
        (&Method::GET, "/v1/audit") => audit::show(&shared, request.uri().query()),
        _ => Err(Refusal::new(Code::NotFound).with_detail(path)),
    };
    done.unwrap_or_else(|refusal| refused(&refusal))
}

/// For the balancer: whether new callers may be sent here.
fn ready(shared: &Shared) -> Reply {
    match shared.phase.get() {
        Phase::Ready => text(StatusCode::OK, "ready"),
        Phase::Starting => text(StatusCode::SERVICE_UNAVAILABLE, "starting"),
        Phase::Stopping => text(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}

fn operator(shared: &Shared, request: &Request<Incoming>) -> Option<OperatorId> {
    let key = request
        .headers()
        .get(AUTHORIZATION)?
        .as_bytes()
        .strip_prefix(b"Bearer ")?;
    let digest = Digest::of(key);
    let operators = &shared.settings.operators;
    operators
        .iter()
        .find(|o| o.digest == digest)
        .map(|o| o.name.clone())
}

fn refused(refusal: &Refusal) -> Reply {
    let code = refusal.code;
    let status = StatusCode::from_u16(code.status());
    let body = Refused {
        code: code.number(),
        message: code.text(),
        detail: &refusal.detail,
    };
    json(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR), &body)
}
