//! The operators' API, JSON over HTTP; `docs/API.md` describes it.

mod allotments;
mod audit;
mod check;
mod denials;
mod history;
mod instances;
mod list;
mod maintenance;
mod plan;
mod pools;
mod propose;
mod status;
mod tickets;

use std::sync::Arc;

use cactuswheel_http::{Reply, json, text};
use cactuswheel_model::{Code, Digest, OperatorId, Refusal};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, StatusCode};

use self::list::list;
use crate::Phase;
use crate::refused::refused;
use crate::shared::Shared;

/// Answers one request of an operator.
pub(crate) async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    if path == "/ready" {
        return ready(&shared);
    }
    if path == "/metrics" {
        return metrics(&shared);
    }
    let Some(operator) = operator(&shared, &request) else {
        return refused(&Refusal::new(Code::NotOperator));
    };
    let done = match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/tickets") => tickets::apply(shared, operator, request).await,
        (&Method::POST, "/v1/tickets/check") => check::check(&shared.state.load(), request).await,
        (&Method::POST, "/v1/denials") => denials::put(shared, operator, request).await,
        (&Method::POST, "/v1/maintenance") => maintenance::change(&shared, operator, request).await,
        (&Method::GET, "/v1/plan") => plan::show(&shared).await,
        (&Method::POST, "/v1/plan/apply") => plan::apply(&shared, operator).await,
        (&Method::GET, path) => show(&shared, path, request.uri().query()),
        (method, path) => Err(not_found(format!("{method} {path}"))),
    };
    done.unwrap_or_else(|refusal| refused(&refusal))
}

/// Answers what only reads.
fn show(shared: &Shared, path: &str, query: Option<&str>) -> Result<Reply, Refusal> {
    let state = shared.state.load();
    let seen = shared.sightings.load();
    let config = state.config();
    if let Some(name) = path.strip_prefix("/v1/tickets/") {
        return history::show(&state, name);
    }
    Ok(match path {
        "/v1/status" => return status::show(shared),
        "/v1/audit" => return audit::show(shared, query),
        "/v1/tickets" => return history::newest(&state, query),
        "/v1/maintenance" => maintenance::show(shared),
        "/v1/config" => json(StatusCode::OK, config),
        "/v1/dcs" => list(&state, config.dcs.values()),
        "/v1/allotments" => list(&state, allotments::splits(&state)),
        "/v1/pools" => list(&state, pools::pools(&state, &seen)),
        "/v1/budgets" => list(&state, pools::budgets(&state, &seen)),
        "/v1/services" => list(&state, config.services.values()),
        "/v1/teams" => list(&state, config.teams.values()),
        "/v1/keys" => list(&state, config.keys.values()),
        "/v1/instances" => list(&state, instances::instances(&state, &seen)),
        _ => return Err(not_found(format!("GET {path}"))),
    })
}

fn not_found(what: String) -> Refusal {
    Refusal::new(Code::NotFound).with_detail(what)
}

/// For the balancer: whether new callers may be sent here.
fn ready(shared: &Shared) -> Reply {
    match shared.phase.get() {
        Phase::Ready if shared.is_open() => text(StatusCode::OK, "ready"),
        // All callers would be turned away; other entries may serve them.
        Phase::Ready => text(StatusCode::SERVICE_UNAVAILABLE, "may start nothing"),
        Phase::Starting => text(StatusCode::SERVICE_UNAVAILABLE, "starting"),
        Phase::Stopping => text(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}

/// For whatever collects metrics; no key, since it shows no secret.
fn metrics(shared: &Shared) -> Reply {
    match shared.metrics.text() {
        Ok(lines) => text(StatusCode::OK, lines),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
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
