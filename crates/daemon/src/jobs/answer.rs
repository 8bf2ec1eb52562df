//! The submitters' side: submit, look up, cancel.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use cactuswheel_fleet::{Job, JobPhase};
use cactuswheel_http::{Reply, json, read_json};
use cactuswheel_model::{
    Attempt, Code, InstanceId, JobEvent, JobId, JobName, JobSpec, Refusal, TeamId,
};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};

use crate::shared::Shared;

/// A submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Submission {
    name: JobName,
    #[serde(flatten)]
    spec: JobSpec,
}

/// A job as its submitter sees it.
#[derive(Debug, Serialize)]
struct JobView<'a> {
    job: &'a JobId,
    phase: &'static str,
    attempt: Attempt,
    #[serde(skip_serializing_if = "Option::is_none")]
    worker: Option<&'a InstanceId>,
    #[serde(skip_serializing_if = "Option::is_none")]
    checkpoint: Option<&'a str>,
    failed: &'a [InstanceId],
    lost: u32,
    cancel: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    why: Option<&'static str>,
}

/// Names of jobs to be cancelled together.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Cancellation {
    names: Vec<JobName>,
}

/// What became of one cancellation.
#[derive(Debug, Serialize)]
struct Cancelled {
    job: JobId,
    code: u16,
}

/// Answers a request for a path under `/jobs`, for the team whose key came with it.
pub(crate) async fn answer(
    shared: Arc<Shared>,
    team: TeamId,
    request: Request<Incoming>,
) -> Result<Reply, Refusal> {
    let path = request.uri().path().to_owned();
    let rest = path
        .strip_prefix("/jobs")
        .unwrap_or_default()
        .trim_start_matches('/');
    match (request.method(), rest) {
        (&Method::POST, "") => submit(&shared, team, request).await,
        (&Method::POST, "cancel") => cancel(&shared, team, request).await,
        (&Method::GET, name) if !name.is_empty() => show(&shared, team, name),
        _ => Err(Refusal::new(Code::NotFound).with_detail(path)),
    }
}

async fn submit(
    shared: &Shared,
    team: TeamId,
    request: Request<Incoming>,
) -> Result<Reply, Refusal> {
    let bad = |e| Refusal::new(Code::BadJob).with_detail(e);
    let Submission { name, spec } = read_json(request.into_body()).await.map_err(bad)?;
    let job = JobId { team, name };
    let at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let at = at.as_millis() as u64;
    // Accepted is said only after the record was read back: an entry that is replaced before
    // has told nobody that it took the job.
    shared
        .jobs
        .put(JobEvent::Submit {
            job: job.clone(),
            spec,
            at,
        })
        .await?;
    view(shared, &job, StatusCode::ACCEPTED)
}

async fn cancel(
    shared: &Shared,
    team: TeamId,
    request: Request<Incoming>,
) -> Result<Reply, Refusal> {
    let bad = |e| Refusal::new(Code::BadJob).with_detail(e);
    let Cancellation { names } = read_json(request.into_body()).await.map_err(bad)?;
    let jobs: Vec<_> = names
        .into_iter()
        .map(|name| JobId {
            team: team.clone(),
            name,
        })
        .collect();
    let puts = jobs
        .iter()
        .map(|job| shared.jobs.put(JobEvent::Cancel { job: job.clone() }));
    let results = futures::future::join_all(puts).await;
    let code = |r: Result<(), Refusal>| r.map_or_else(|e| e.code.number(), |()| 0);
    let done = jobs.into_iter().zip(results);
    let done: Vec<_> = done
        .map(|(job, r)| Cancelled { job, code: code(r) })
        .collect();
    Ok(json(StatusCode::OK, &done))
}

fn show(shared: &Shared, team: TeamId, name: &str) -> Result<Reply, Refusal> {
    let name = name.parse().map_err(|_| Refusal::new(Code::NotFound))?;
    view(shared, &JobId { team, name }, StatusCode::OK)
}

fn view(shared: &Shared, id: &JobId, status: StatusCode) -> Result<Reply, Refusal> {
    let state = shared.state.load();
    let job = state
        .jobs()
        .get(id)
        .ok_or_else(|| Refusal::new(Code::NotFound))?;
    let worker = match &job.phase {
        JobPhase::Placed { worker, .. } => Some(worker),
        _ => None,
    };
    let view = JobView {
        job: id,
        phase: phase(job),
        attempt: job.attempt,
        worker,
        checkpoint: job.checkpoint.as_deref(),
        failed: &job.failed,
        lost: job.lost,
        cancel: job.cancel,
        why: why(&state, id, job),
    };
    Ok(json(status, &view))
}

fn phase(job: &Job) -> &'static str {
    match job.phase {
        JobPhase::Queued => "queued",
        JobPhase::Placed { .. } => "placed",
        JobPhase::Done => "done",
        JobPhase::Failed => "failed",
        JobPhase::Cancelled => "cancelled",
        JobPhase::Unknown => "unknown",
    }
}

/// Why a job waits, as far as the log tells.
fn why(state: &cactuswheel_fleet::State, id: &JobId, job: &Job) -> Option<&'static str> {
    if job.phase != JobPhase::Queued {
        return None;
    }
    let team = state.config().teams.get(&id.team)?;
    if state.jobs().placed(&id.team) >= team.jobs.get() {
        return Some("the team has as many jobs placed as it may");
    }
    if job.failed.is_empty() {
        return Some("no worker of the pool has room yet");
    }
    Some("no worker of the pool has room yet but those it failed on")
}
