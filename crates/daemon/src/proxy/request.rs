//! One request, from its head to the first byte of its answer.

use std::sync::Arc;
use std::time::Instant;

use cactuswheel_fleet::State;
use cactuswheel_model::{Code, Digest, Refusal, Service, ServiceId, Team};
use hyper::body::{Body, Incoming};
use hyper::header::{AUTHORIZATION, HeaderValue};
use hyper::http::uri::InvalidUri;
use hyper::{HeaderMap, Request, Response, Version};

use super::answer::{Answer, pass, refuse, tell};
use super::forward::Forward;
use super::headers::REQUEST_ID;
use super::held::Permit;
use super::job::{Job, deadline, is_idempotent};
use super::payload::Payload;
use crate::shared::Shared;
use crate::{Phase, jobs};

/// Answers a request; a refusal is an answer too.
pub(super) async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Answer> {
    let started = Instant::now();
    let id = request_id(&shared, request.headers());
    let key = request.headers().get(AUTHORIZATION).cloned();
    let answered = match check_size(&shared, &request) {
        Ok(()) => admit(shared.clone(), request, &id).await,
        Err(refusal) => Err(refusal),
    };
    let code = answered.as_ref().map_or_else(|r| r.code, |_| Code::Ok);
    shared.metrics.requests.answered(code, started.elapsed());
    answered.unwrap_or_else(|refusal| {
        note_refusal(&shared, &refusal, &id, key.as_ref());
        refuse(&refusal, &id)
    })
}

/// Refuses a head that is too large, or a body announced as such, before more is spent on it.
fn check_size(shared: &Shared, request: &Request<Incoming>) -> Result<(), Refusal> {
    let limits = &shared.settings.limits;
    let check = |size: u64, limit: u64, code| {
        if size <= limit {
            return Ok(());
        }
        let detail = format!("got {size} bytes, takes up to {limit}");
        Err(Refusal::new(code).with_detail(detail))
    };
    let head = head_size(request);
    check(head, limits.head_bytes.get(), Code::HeadTooLarge)?;
    let body = request.body().size_hint().lower();
    check(body, limits.body_bytes.get(), Code::BodyTooLarge)
}

/// Bytes of a request's path and headers, without the punctuation between them.
fn head_size(request: &Request<Incoming>) -> u64 {
    let headers = request.headers().iter();
    let headers: usize = headers.map(|(n, v)| n.as_str().len() + v.len()).sum();
    let path = request.uri().path_and_query();
    (headers + path.map_or(0, |p| p.as_str().len())) as u64
}

/// Logs a refusal, unless many were logged in this second already.
fn note_refusal(shared: &Shared, refusal: &Refusal, id: &str, key: Option<&HeaderValue>) {
    let Some(suppressed) = shared.refusals.allow(shared.metrics.uptime().as_secs()) else {
        return;
    };
    let (code, ran) = (refusal.code.number(), refusal.code.ran());
    let headers = key.map(|key| (AUTHORIZATION, key.clone()));
    let team = find_team(&shared.state.load(), &headers.into_iter().collect()).ok();
    let team = team.as_ref().map_or("-", |team| team.id.as_str());
    log::info!(request = id, team, code, ran:%, suppressed; "refused: {refusal}");
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
    let asked = Instant::now();
    let permit = enter(&job).await?;
    job.shared.metrics.requests.waited(asked.elapsed());
    let (head, body) = request.into_parts();
    let most = job.shared.settings.limits.body_bytes.get();
    let mut request = Request::from_parts(head, Payload::read(body, most).await?);
    job.dress(&mut request, permit.team())?;
    let (answer, live) = Forward::new(job).send(permit, request).await?;
    Ok(pass(answer, live, id))
}

/// Takes a unit of the team for one attempt.
pub(super) async fn enter(job: &Job) -> Result<Permit, Refusal> {
    Permit::take(&job.shared, &job.team)
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
        deadline: deadline(headers, shared.now())?,
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
