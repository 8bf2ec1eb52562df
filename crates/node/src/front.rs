//! The front end: serves callers' requests.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use bytes::Bytes;
use cactuswheel_adapter::{DEADLINE_HEADER, KEY_HEADER, parse_job, pending_body, state_body};
use cactuswheel_cell::encode;
use cactuswheel_model::{Code, Time};
use cactuswheel_work::{FleetConfig, JobId, JobState, Queue, Submission, TeamName};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{Method, Request};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::access::{Caller, KeyError};
use crate::answer::{Answer, error_response, ok_json};
use crate::ask;
use crate::in_flight::InFlight;
use crate::intake::{Intake, NotStored};
use crate::peer::JobAnswer;
use crate::shared::Shared;
use crate::topics::IntakeKey;

/// Part of a caller's deadline that is reserved for sending the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// Maximum wait for the cell's owner to answer. A takeover takes about two seconds; a caller that
/// is willing to wait longer retries.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of a request without a deadline header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);

/// When a caller may come back whose job had no room in the state of the open jobs: jobs end at any
/// time.
const FULL_RETRY: Duration = Duration::from_secs(5);

/// Maximum size of a record in the store, in bytes.
const MAX_RECORD: usize = 256 << 10;

/// Upper limit of the part of a record that its key takes up, in bytes.
const MAX_KEY: usize = 64;

/// The front end of a node.
pub(crate) struct Front {
    pub(crate) shared: Arc<Shared>,
    pub(crate) intake: Intake,
    /// Number of requests in flight.
    pub(crate) in_flight: AtomicUsize,
    /// Number of idle connections that this node closed while stopping.
    pub(crate) idle_closed: AtomicUsize,
    /// Cancelled when every request has to be answered because the process exits.
    pub(crate) answers_due: CancellationToken,
}

/// An error response to a request.
struct Refusal {
    code: Code,
    detail: String,
    /// How long the caller should wait before a retry; zero for the default.
    retry_after: Duration,
}

/// The queue that a request addresses, and its caller.
struct Target<'a> {
    queue: &'a Queue,
    caller: Caller,
    /// How long the caller waits for the response.
    max_wait: Duration,
}

impl Target<'_> {
    /// The team of a job that the caller submits; `None` on a public queue.
    fn team(&self) -> Option<&TeamName> {
        match &self.caller {
            Caller::Team(team) if !self.queue.public => Some(team),
            _ => None,
        }
    }
}

impl Refusal {
    fn new(code: Code, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
            retry_after: Duration::ZERO,
        }
    }

    fn with_retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after,
            ..self
        }
    }
}

impl Front {
    /// Handles a request; a refusal is a response too.
    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Answer {
        let start = self.shared.clock.now();
        let path = request.uri().path().to_owned();
        let in_flight = InFlight::new(&self.shared, &self.in_flight, &path);
        let reads = *request.method() == Method::GET;
        let routed = tokio::select! {
            biased;
            routed = self.route(request, &path) => routed,
            () = self.answers_due.cancelled() => Err(self.give_up(&path, reads)),
        };
        let mut answer = match routed {
            Ok(answer) => answer,
            Err(refusal) => {
                self.shared.metrics.refused(refusal.code);
                error_response(refusal.code, &refusal.detail, refusal.retry_after)
            }
        };
        in_flight.answered();
        // Otherwise the caller would send its next request to this node on the same connection.
        if !self.shared.is_ready() {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        let took = self.shared.clock.now().since(start);
        self.shared.metrics.answered(answer.status().as_u16(), took);
        answer
    }

    async fn route(&self, request: Request<Incoming>, path: &str) -> Result<Answer, Refusal> {
        let Some(config) = self.shared.config.load_full() else {
            return Err(Refusal::new(Code::NotReady, "no configuration yet"));
        };
        let host = host_name(&request);
        let Some(queue) = config.queue_at(&host, path) else {
            self.check_fresh("")?;
            return Err(Refusal::new(Code::NoQueue, path));
        };
        let rest = path[queue.prefix.len()..].to_owned();
        let target = Target {
            queue,
            caller: self.authenticate(&config, queue, &request, &rest)?,
            max_wait: self.max_wait(&request, queue),
        };
        if rest.is_empty() {
            return self.pending(&request, &target).await;
        }
        let Ok(id) = rest.parse::<JobId>() else {
            return Err(Refusal::new(Code::BadRequest, "the path names no job id"));
        };
        match *request.method() {
            Method::POST => self.submit(request, &config, &target, id).await,
            Method::GET => self.state(&target, id).await,
            Method::DELETE => self.cancel(&target, id).await,
            _ => Err(Refusal::new(Code::BadRequest, "POST, GET or DELETE")),
        }
    }

    /// How long the caller waits, or the time until the process exits if that is shorter.
    fn max_wait(&self, request: &Request<Incoming>, queue: &Queue) -> Duration {
        let wait = requested_timeout(request).min(queue.timeout.duration());
        wait.min(self.shared.time_left().unwrap_or(wait))
    }

    /// The answer to a request that is still in flight shortly before the process exits. A job or a
    /// cancel may have been stored already.
    fn give_up(&self, path: &str, reads: bool) -> Refusal {
        let owner = self.shared.believed_owner();
        log::warn!(
            path = path, owner = owner.node, epoch = owner.epoch;
            "request given up: the process is about to exit"
        );
        match reads {
            true => Refusal::new(Code::Stopping, ""),
            false => Refusal::new(Code::StoreDoubt, "the node is stopping"),
        }
    }

    /// Refuses to store a record if the process exits before the store usually answers: the outcome
    /// would be unknown.
    fn check_time_to_store(&self, id: JobId) -> Result<(), Refusal> {
        let Some(left) = self.shared.time_left() else {
            return Ok(());
        };
        if left >= self.shared.append_rtt.retry_timeout() + RESPONSE_MARGIN {
            return Ok(());
        }
        log::info!(
            job:% = id, left_ms = left.as_millis() as u64;
            "request refused: the process exits before it could be stored"
        );
        Err(Refusal::new(Code::Stopping, ""))
    }

    /// Identifies the caller by the request's key, which a public queue does not require.
    fn authenticate(
        &self,
        config: &FleetConfig,
        queue: &Queue,
        request: &Request<Incoming>,
        job: &str,
    ) -> Result<Caller, Refusal> {
        let key = request.headers().get(KEY_HEADER);
        let key = key.and_then(|k| k.to_str().ok());
        match queue.public {
            true if key.is_some() && !self.shared.is_config_fresh() => {
                return Ok(Caller::Unverified);
            }
            true => {}
            false => self.check_fresh(job)?,
        }
        Caller::identify(config, queue, key).map_err(|e| match e {
            KeyError::Missing => Refusal::new(Code::NoKey, ""),
            KeyError::Unknown => {
                log::info!(
                    job = job, queue:% = queue.name, version = config.version,
                    age_ms = self.shared.config_age();
                    "request refused: unknown key"
                );
                Refusal::new(Code::BadKey, "")
            }
        })
    }

    /// Refuses the request if the configuration is stale.
    ///
    /// Otherwise a node that cannot reach the store would go on accepting revoked keys. A node
    /// whose configuration was not confirmed for most of the revocation bound accepts no keys and
    /// reports that it is not ready.
    fn check_fresh(&self, job: &str) -> Result<(), Refusal> {
        if self.shared.is_config_fresh() {
            return Ok(());
        }
        let age = self.shared.config_age();
        log::info!(job = job, age_ms = age; "request refused: configuration is stale");
        Err(Refusal::new(
            Code::Fenced,
            format!("configuration last confirmed {age} ms ago"),
        ))
    }

    async fn submit(
        &self,
        request: Request<Incoming>,
        config: &FleetConfig,
        target: &Target<'_>,
        id: JobId,
    ) -> Result<Answer, Refusal> {
        let start = self.shared.clock.now();
        let body = read_body(request, config.limits.body, target.max_wait).await;
        let body = body.map_err(|e| match e.code {
            Code::BadRequest if self.shared.is_stopping() => Refusal::new(Code::Stopping, e.detail),
            _ => e,
        })?;
        let job = parse_job(&body).map_err(|e| Refusal::new(Code::BadJob, e.to_string()))?;
        let sub = Submission {
            job: id,
            team: target.team().cloned(),
            queue: target.queue.name.clone(),
            service: target.queue.service.clone(),
            spec: job.spec.into(),
            steps: job.steps.into(),
            begin: job.begin,
            interval: job.interval,
            times: job.times,
            accepted: self.shared.clock.wall(),
        };
        self.shared.specs().insert(&sub.spec);
        let record = encode(&sub);
        if record.len() > MAX_RECORD - MAX_KEY {
            return Err(Refusal::new(Code::BodyTooLarge, "the job's record"));
        }
        // The key may have been revoked while the body was being received.
        if target.team().is_some() {
            self.check_fresh(&id.to_string())?;
        }
        let spent = self.shared.clock.now().since(start);
        let left = target.max_wait.saturating_sub(spent + RESPONSE_MARGIN);
        self.check_time_to_store(id)?;
        match self.intake.accept(&self.shared, &sub, record, left).await {
            Ok(()) => Ok(ok_json(Vec::new())),
            Err(e) => Err(self.not_stored(id, "submit", e)),
        }
    }

    fn not_stored(&self, id: JobId, what: &str, error: NotStored) -> Refusal {
        let age = self.shared.config_age();
        log::warn!(job:% = id, what = what, outcome:? = error, age_ms = age; "request not stored");
        match error {
            NotStored::Refused => Refusal::new(Code::StoreAway, ""),
            NotStored::NoOwner(excess) => {
                let detail = format!("nobody takes jobs, {} ms too long", excess.as_millis());
                Refusal::new(Code::NoScheduler, detail).with_retry_after(excess)
            }
            NotStored::Overloaded(excess) => {
                let detail = format!("it would begin {} ms too late", excess.as_millis());
                Refusal::new(Code::QueueFull, detail).with_retry_after(excess)
            }
            NotStored::Full => Refusal::new(Code::StateFull, "").with_retry_after(FULL_RETRY),
            NotStored::Doubt => Refusal::new(Code::StoreDoubt, ""),
        }
    }

    async fn state(&self, target: &Target<'_>, id: JobId) -> Result<Answer, Refusal> {
        let state = self.find_job(target, id, "read").await?;
        Ok(ok_json(state_body(state)))
    }

    async fn cancel(&self, target: &Target<'_>, id: JobId) -> Result<Answer, Refusal> {
        let start = self.shared.clock.now();
        self.find_job(target, id, "cancel").await?;
        let spent = self.shared.clock.now().since(start);
        let left = target.max_wait.saturating_sub(spent + RESPONSE_MARGIN);
        self.check_time_to_store(id)?;
        // A record without a value would delete the key.
        let record = vec![1];
        match self
            .intake
            .store(IntakeKey::Cancelled(id), record, left)
            .await
        {
            Ok(()) => Ok(ok_json(Vec::new())),
            Err(e) => Err(self.not_stored(id, "cancel", e)),
        }
    }

    /// Asks the owner for a job's state. A job that the caller may not see is answered exactly like
    /// one that does not exist, so that callers cannot probe for ids.
    async fn find_job(
        &self,
        target: &Target<'_>,
        id: JobId,
        what: &str,
    ) -> Result<JobState, Refusal> {
        let asked = self.shared.clock.now();
        match ask::job(&self.shared, id, owner_timeout(target)).await {
            Some(JobAnswer::Known { state, team }) if target.caller.may_see(team.as_ref()) => {
                return Ok(state);
            }
            Some(JobAnswer::Known { team, .. }) => {
                let owner = team.as_ref().map_or("", TeamName::as_str);
                log::warn!(
                    job:% = id, queue:% = target.queue.name, team = owner, what = what;
                    "request refused: job of another team"
                );
            }
            Some(JobAnswer::Unknown) => {
                log::info!(job:% = id, queue:% = target.queue.name, what = what; "job not found");
            }
            Some(JobAnswer::NotOwner) | None => return Err(self.no_owner(&id.to_string(), asked)),
        }
        if target.caller == Caller::Unverified {
            self.check_fresh(&id.to_string())?;
        }
        Err(Refusal::new(Code::NoJob, ""))
    }

    async fn pending(
        &self,
        request: &Request<Incoming>,
        target: &Target<'_>,
    ) -> Result<Answer, Refusal> {
        if *request.method() != Method::GET {
            return Err(Refusal::new(Code::BadRequest, "a job id is missing"));
        }
        let asked = self.shared.clock.now();
        match ask::pending(&self.shared, &target.queue.name, owner_timeout(target)).await {
            Some(pending) => Ok(ok_json(pending_body(pending))),
            None => Err(self.no_owner(target.queue.name.as_str(), asked)),
        }
    }

    fn no_owner(&self, what: &str, asked: Time) -> Refusal {
        let owner = self.shared.believed_owner();
        let stopping = self.shared.stopping_for();
        log::warn!(
            job = what, owner = owner.node, epoch = owner.epoch,
            waited_ms = self.shared.clock.now().since(asked).as_millis() as u64,
            stopping_ms = stopping.map_or(-1, |t| t.as_millis() as i64);
            "request refused: the owner does not answer"
        );
        Refusal::new(Code::NoOwner, "")
    }
}

fn owner_timeout(target: &Target<'_>) -> Duration {
    OWNER_TIMEOUT.min(target.max_wait.saturating_sub(RESPONSE_MARGIN))
}

fn host_name(request: &Request<Incoming>) -> String {
    let host = request.headers().get(HOST).and_then(|h| h.to_str().ok());
    let host = host.or_else(|| request.uri().host()).unwrap_or_default();
    let name = host.split(':').next().unwrap_or_default();
    name.to_ascii_lowercase()
}

fn requested_timeout(request: &Request<Incoming>) -> Duration {
    let header = request.headers().get(DEADLINE_HEADER);
    let ms = header.and_then(|h| h.to_str().ok()?.parse().ok());
    ms.map_or(DEFAULT_TIMEOUT, Duration::from_millis)
}

async fn read_body(
    request: Request<Incoming>,
    max: usize,
    limit: Duration,
) -> Result<Bytes, Refusal> {
    let body = Limited::new(request.into_body(), max).collect();
    match timeout(limit, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Refusal::new(Code::BodyTooLarge, "")),
        Ok(Err(e)) => Err(Refusal::new(Code::BadRequest, e.to_string())),
        Err(_) => Err(Refusal::new(
            Code::BadRequest,
            "the body did not come in time",
        )),
    }
}
