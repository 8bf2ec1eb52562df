//! One request, from its head to the first byte of its answer.

use std::sync::Arc;

use cactuswheel_fleet::State;
use cactuswheel_model::{Code, Digest, Refusal, Service, ServiceId, Team};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Request, Response};

use super::answer::{Answer, mark, refuse};
use super::forward;
use super::held::Permit;
use crate::shared::Shared;
use crate::{Phase, jobs};

/// Answers a request; a refusal is an answer too.
pub(super) async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Answer> {
    let id = request_id(&shared, request.headers());
    match admit(shared, request, &id).await {
        Ok(response) => response,
        Err(refusal) => {
            log::debug!("request {id} refused: {refusal}");
            refuse(&refusal, &id)
        }
    }
}

async fn admit(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    id: &str,
) -> Result<Response<Answer>, Refusal> {
    if shared.phase.get() == Phase::Starting {
        return Err(Refusal::new(Code::NotReady));
    }
    let state = shared.state.load_full();
    if request.uri().path().starts_with("/jobs") {
        let team = find_team(&state, request.headers())?;
        return answer_jobs(shared, &team, request, id).await;
    }
    let (service, rest) = find_service(&state, request.uri().path())?;
    let rest = match request.uri().query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest,
    };
    let team = find_team(&state, request.headers())?;
    let permit = Permit::take(&shared, &team)?;
    let lease = shared.routes.load().pick(&service.pool)?;
    forward::send(request, &rest, id, permit, lease).await
}

async fn answer_jobs(
    shared: Arc<Shared>,
    team: &Team,
    request: Request<Incoming>,
    id: &str,
) -> Result<Response<Answer>, Refusal> {
    let reply = jobs::answer(shared, team.id.clone(), request).await?;
    let mut response = reply.map(Answer::Own);
    mark(&mut response, Code::Ok, id);
    Ok(response)
}

/// Splits `/s/SERVICE/REST` and finds the service.
fn find_service(state: &State, path: &str) -> Result<(Arc<Service>, String), Refusal> {
    let Some(path) = path.strip_prefix("/s/") else {
        return Err(Refusal::new(Code::UnknownService).with_detail("paths are /s/SERVICE/..."));
    };
    let (name, rest) = path.split_once('/').unwrap_or((path, ""));
    let id: ServiceId = name
        .parse()
        .map_err(|_| Refusal::new(Code::UnknownService))?;
    match state.config().services.get(&id) {
        Some(service) => Ok((service.clone(), format!("/{rest}"))),
        None => Err(Refusal::new(Code::UnknownService)),
    }
}

/// Finds the team that the request's key speaks for.
fn find_team(state: &State, headers: &HeaderMap) -> Result<Arc<Team>, Refusal> {
    let value = headers
        .get(AUTHORIZATION)
        .ok_or_else(|| Refusal::new(Code::NoKey))?;
    let key = value.as_bytes().strip_prefix(b"Bearer ");
    let key = key.ok_or_else(|| Refusal::new(Code::NoKey))?;
    let bad = || Refusal::new(Code::BadKey);
    let grant = state.config().keys.get(&Digest::of(key)).ok_or_else(bad)?;
    if grant.withdrawn {
        return Err(Refusal::new(Code::KeyWithdrawn));
    }
    state
        .config()
        .teams
        .get(&grant.team)
        .cloned()
        .ok_or_else(bad)
}

/// The caller's id of the request, or one of our own.
fn request_id(shared: &Shared, headers: &HeaderMap) -> String {
    let given = headers.get("x-request-id").and_then(|v| v.to_str().ok());
    match given {
        Some(id) if !id.is_empty() && id.len() <= 128 => id.to_owned(),
        _ => format!("{}-{}", shared.settings.entry, shared.next_request()),
    }
}
