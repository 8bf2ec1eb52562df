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
use super::job::{Job, deadline, is_idempotent, is_urgent};
use super::lines;
use super::payload::Payload;
use super::progress::Progress;
use crate::jobs;
use crate::shared::Shared;

/// Answers a request; a refusal is an answer too.
pub(super) async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Answer> {
    let started = Instant::now();
    let id = request_id(&shared, request.headers());
    let key = request.headers().get(AUTHORIZATION).cloned();
    let answered = match check_size(&shared, &request) {
        Ok(()) => admit_in_time(shared.clone(), request, &id).await,
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
    let team = find_team(shared, &shared.state.load(), key).ok();
    let team = team.as_ref().map_or("-", |(_, team)| team.id.as_str());
    log::info!(request = id, team, code, ran:%, suppressed; "refused: {refusal}");
}

/// Admits a request, or refuses it once a stop waits no longer.
///
/// Otherwise the exit would cut it, and its caller would not learn whether it ran.
async fn admit_in_time(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    id: &str,
) -> Result<Response<Answer>, Refusal> {
    let (drained, progress) = (shared.drained_out.clone(), Progress::default());
    tokio::select! {
        biased;
        () = drained.cancelled() => Err(progress.refusal()),
        answered = admit(shared, request, id, progress.clone()) => answered,
    }
}

async fn admit(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    id: &str,
    progress: Progress,
) -> Result<Response<Answer>, Refusal> {
    if !shared.phase.is_usable() {
        return Err(Refusal::new(Code::NotReady));
    }
    check_version(&request)?;
    if request.uri().path().starts_with("/jobs") {
        progress.hand_over();
        return answer_jobs(shared, request, id).await;
    }
    let job = job(shared, &request, id, progress)?;
    let (head, body) = request.into_parts();
    let most = job.shared.settings.limits.body_bytes.get();
    // Before a slot is taken: a slow caller holds nothing that others wait for.
    let mut request = Request::from_parts(head, Payload::read(body, most).await?);
    let asked = Instant::now();
    let grant = lines::enter(&job).await?;
    job.shared.metrics.requests.waited(asked.elapsed());
    check_key(&job)?;
    job.dress(&mut request, grant.permit.team())?;
    let forward = Forward::new(job, grant.slot);
    let (answer, live) = forward.send(grant.permit, request).await?;
    Ok(pass(answer, live, id))
}

/// Refuses a key that was withdrawn, also while its request waited.
pub(super) fn check_key(job: &Job) -> Result<(), Refusal> {
    let state = job.shared.state.load();
    let grant = state.config().keys.get(&job.key);
    if grant.is_some_and(|g| g.withdrawn) || job.shared.is_denied(&job.key) {
        return Err(Refusal::new(Code::KeyWithdrawn));
    }
    Ok(())
}

/// HTTP/1.0 has no way to tell a caller that an answer of unknown length was cut short.
fn check_version(request: &Request<Incoming>) -> Result<(), Refusal> {
    match request.version() {
        Version::HTTP_11 => Ok(()),
        _ => Err(Refusal::new(Code::BadRequest).with_detail("HTTP/1.1 is needed")),
    }
}

fn job(
    shared: Arc<Shared>,
    request: &Request<Incoming>,
    id: &str,
    progress: Progress,
) -> Result<Job, Refusal> {
    let state = shared.state.load();
    let headers = request.headers();
    let (service, rest) = find_service(&state, request.uri().path())?;
    let rest = match request.uri().query() {
        Some(query) => format!("{rest}?{query}"),
        None => rest,
    };
    let (key, team) = find_team(&shared, &state, headers.get(AUTHORIZATION))?;
    let bad = |e: InvalidUri| Refusal::new(Code::BadRequest).with_detail(e.to_string());
    Ok(Job {
        id: id.to_owned(),
        uri: rest.parse().map_err(bad)?,
        service,
        urgent: is_urgent(headers),
        key,
        team,
        idempotent: is_idempotent(request.method(), headers),
        deadline: deadline(
            headers,
            shared.now(),
            shared.settings.limits.run_ms.duration(),
        )?,
        progress,
        shared,
    })
}

async fn answer_jobs(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    id: &str,
) -> Result<Response<Answer>, Refusal> {
    let key = request.headers().get(AUTHORIZATION);
    let (_, team) = find_team(&shared, &shared.state.load(), key)?;
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
fn find_team(
    shared: &Shared,
    state: &State,
    value: Option<&HeaderValue>,
) -> Result<(Digest, Arc<Team>), Refusal> {
    let value = value.ok_or_else(|| Refusal::new(Code::NoKey))?;
    let key = value.as_bytes().strip_prefix(b"Bearer ");
    let key = key.ok_or_else(|| Refusal::new(Code::NoKey))?;
    let bad = || Refusal::new(Code::BadKey);
    let digest = Digest::of(key);
    let grant = state.config().keys.get(&digest).ok_or_else(bad)?;
    if grant.withdrawn || shared.is_denied(&digest) {
        return Err(Refusal::new(Code::KeyWithdrawn));
    }
    state
        .config()
        .teams
        .get(&grant.team)
        .cloned()
        .map(|team| (digest, team))
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
