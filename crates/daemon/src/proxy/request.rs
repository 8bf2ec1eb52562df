//! One request, from its head to the first byte of its answer.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_fleet::State;
use cactuswheel_model::{Code, Digest, Refusal, Service, ServiceId, Team};
use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::http::uri::InvalidUri;
use hyper::{HeaderMap, Request, Response, Version};
use tokio::time::{Instant, sleep};

use super::answer::{Answer, pass, refuse, tell};
use super::forward::Forward;
use super::headers::REQUEST_ID;
use super::held::Permit;
use super::job::{Job, deadline, is_idempotent};
use super::payload::Payload;
use crate::shared::Shared;
use crate::{Phase, jobs};

/// Longest wait for a unit of the team.
const UNIT_WAIT: Duration = Duration::from_secs(1);

/// Pause before a unit is asked for again.
const UNIT_PAUSE: Duration = Duration::from_millis(20);

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
    check_version(&request)?;
    if request.uri().path().starts_with("/jobs") {
        return answer_jobs(shared, request, id).await;
    }
    let job = job(shared, &request, id)?;
    let permit = enter(&job).await?;
    let (head, body) = request.into_parts();
    let most = job.shared.settings.limits.body_bytes.get();
    let mut request = Request::from_parts(head, Payload::read(body, most).await?);
    job.dress(&mut request, permit.team())?;
    let (answer, live) = Forward::new(job).send(permit, request).await?;
    Ok(pass(answer, live, id))
}

/// Takes a unit of the team for one attempt.
pub(super) async fn enter(job: &Job) -> Result<Permit, Refusal> {
    let until = Instant::now() + UNIT_WAIT.min(job.left());
    loop {
        match Permit::take(&job.shared, &job.team) {
            Err(_) if Instant::now() < until => sleep(UNIT_PAUSE).await,
            done => return done,
        }
    }
}

/// HTTP/1.0 has no way to tell a caller that an answer of unknown length was cut short.
fn check_version(request: &Request<Incoming>) -> Result<(), Refusal> {
    match request.version() {
        Version::HTTP_11 => Ok(()),
        _ => Err(Refusal::new(Code::BadRequest).with_detail("HTTP/1.1 is needed")),
    }
}

fn job(shared: Arc<Shared>, request: &Request<Incoming>, id: &str) -> Result<Job, Refusal> {
    let state = shared.state.load();
    let headers = request.headers();
    let (service, rest) = find_service(&state, request.uri().path())?;
    let rest = match request.uri().query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest,
    };
    let bad = |e: InvalidUri| Refusal::new(Code::BadRequest).with_detail(e.to_string());
    Ok(Job {
        id: id.to_owned(),
        uri: rest.parse().map_err(bad)?,
        service,
        team: find_team(&state, headers)?,
        idempotent: is_idempotent(request.method(), headers),
        deadline: deadline(
            headers,
            shared.now(),
            shared.settings.limits.run_ms.duration(),
        )?,
        shared,
    })
}

async fn answer_jobs(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    id: &str,
) -> Result<Response<Answer>, Refusal> {
    let team = find_team(&shared.state.load(), request.headers())?;
    let reply = jobs::answer(shared, team.id.clone(), request).await?;
    Ok(tell(reply, id))
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
    let given = headers.get(REQUEST_ID).and_then(|v| v.to_str().ok());
    match given {
        Some(id) if !id.is_empty() && id.len() <= 128 => id.to_owned(),
        _ => format!("{}-{}", shared.settings.entry, shared.next_request()),
    }
}
