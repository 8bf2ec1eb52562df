//! Takes callers' requests.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cactuswheel_adapter::{DEADLINE_HEADER, KEY_HEADER, pending_body, read_job, state_body};
use cactuswheel_cell::encode;
use cactuswheel_model::Code;
use cactuswheel_work::{FleetConfig, JobId, Queue, Submission, TeamName};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::answer::{Answer, error_response, ok_json};
use crate::ask;
use crate::intake::{Intake, NotStored};
use crate::peer::JobAnswer;
use crate::shared::Shared;
use crate::topics::IntakeKey;

/// Pause after a failed `accept`, so that running out of descriptors does not spin a core.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time in which a caller has to send the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Part of a caller's time that is left for the way of the answer.
const RESPONSE_MARGIN: Duration = Duration::from_millis(150);

/// Longest wait for an owner of the cell. A takeover takes about two seconds; a caller that
/// would wait longer asks again in its own time.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time that a caller has if it names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without a request after which a stopping node closes a caller's connection.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Largest record of the store, in bytes.
const MAX_RECORD: usize = 256 << 10;

/// A node's front.
pub(crate) struct Front {
    pub(crate) shared: Arc<Shared>,
    pub(crate) intake: Intake,
    /// Requests that have no answer yet.
    pub(crate) in_flight: AtomicUsize,
}

/// A refusal of one request.
struct Refusal {
    code: Code,
    detail: String,
    /// When to come back.
    retry_after: Duration,
}

/// What a request is about.
struct Target<'a> {
    queue: &'a Queue,
    team: Option<TeamName>,
    /// Time that the caller waits.
    max_wait: Duration,
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

/// Accepts callers until `stop`, each on a task that `open` tracks.
pub(crate) async fn serve(
    listener: TcpListener,
    front: Arc<Front>,
    open: TaskTracker,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Small answers would otherwise wait for the caller's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        open.spawn(serve_caller(stream, front.clone(), stop.clone()));
    }
}

async fn serve_caller(stream: TcpStream, front: Arc<Front>, stop: CancellationToken) {
    let count = Arc::new(AtomicUsize::new(0));
    let counter = count.clone();
    let service = service_fn(move |request| {
        let front = front.clone();
        counter.fetch_add(1, Ordering::Relaxed);
        async move { Ok::<_, Infallible>(front.handle(request).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(conn);
    tokio::select! {
        // A caller that breaks off has no one left to tell.
        _ = conn.as_mut() => return,
        () = stop.cancelled() => {}
    }
    // Failure: a planned stop closes an idle connection while a request is on its way; the
    // caller sees it cut. The answer to a request that still comes closes the connection, and
    // one on which nothing comes for a while is closed last.
    loop {
        let before = count.load(Ordering::Relaxed);
        tokio::select! {
            _ = conn.as_mut() => return,
            () = sleep(IDLE_TIMEOUT) => {}
        }
        if count.load(Ordering::Relaxed) == before {
            conn.as_mut().graceful_shutdown();
        }
    }
}

impl Front {
    async fn handle(&self, request: Request<Incoming>) -> Answer {
        let start = self.shared.clock.now();
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        let mut answer = match self.route(request).await {
            Ok(answer) => answer,
            Err(refusal) => {
                self.shared.metrics.refused(refusal.code);
                error_response(refusal.code, &refusal.detail, refusal.retry_after)
            }
        };
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
        // A caller that comes back on the same connection would come back to this node.
        if !self.shared.is_ready() {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(CONNECTION, close);
        }
        let took = self.shared.clock.now().since(start);
        self.shared.metrics.answered(answer.status().as_u16(), took);
        answer
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Answer, Refusal> {
        let Some(config) = self.shared.config.load_full() else {
            return Err(Refusal::new(Code::NotReady, "no configuration yet"));
        };
        let path = request.uri().path().to_owned();
        let host = host_name(&request);
        let Some(queue) = config.queue_at(&host, &path) else {
            self.check_fresh("")?;
            return Err(Refusal::new(Code::NoQueue, path));
        };
        let rest = path[queue.prefix.len()..].to_owned();
        let target = Target {
            queue,
            team: self.authenticate(&config, queue, &request, &rest)?,
            max_wait: requested_timeout(&request).min(queue.timeout.duration()),
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

    /// The team whose key came with a request; `None` on a queue that takes no key.
    fn authenticate(
        &self,
        config: &FleetConfig,
        queue: &Queue,
        request: &Request<Incoming>,
        job: &str,
    ) -> Result<Option<TeamName>, Refusal> {
        if queue.public {
            return Ok(None);
        }
        self.check_fresh(job)?;
        let key = request.headers().get(KEY_HEADER);
        let Some(key) = key.and_then(|k| k.to_str().ok()) else {
            return Err(Refusal::new(Code::NoKey, ""));
        };
        match config.keys.get(key) {
            Some(team) => Ok(Some(team.clone())),
            None => {
                log::info!(
                    job = job, queue:% = queue.name, version = config.version,
                    age_ms = self.shared.config_age();
                    "refused: unknown key"
                );
                Err(Refusal::new(Code::BadKey, ""))
            }
        }
    }

    /// Failure: a node that the store turns away goes on accepting a key that was withdrawn.
    /// Without a confirmation for most of the bound it accepts none, and says that it is not
    /// ready.
    fn check_fresh(&self, job: &str) -> Result<(), Refusal> {
        if self.shared.is_config_fresh() {
            return Ok(());
        }
        let age = self.shared.config_age();
        log::info!(job = job, age_ms = age; "refused: configuration not confirmed");
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
        let body = read_body(request, config.limits.body, target.max_wait).await?;
        let job = read_job(&body).map_err(|e| Refusal::new(Code::BadJob, e.to_string()))?;
        let sub = Submission {
            job: id,
            team: target.team.clone(),
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
        if record.len() > MAX_RECORD {
            return Err(Refusal::new(Code::BodyTooLarge, "the job's record"));
        }
        // The key may have been withdrawn while the body came in.
        if target.team.is_some() {
            self.check_fresh(&id.to_string())?;
        }
        let spent = self.shared.clock.now().since(start);
        let left = target.max_wait.saturating_sub(spent + RESPONSE_MARGIN);
        match self.intake.accept(&self.shared, &sub, record, left).await {
            Ok(()) => Ok(ok_json(Vec::new())),
            Err(e) => Err(self.not_stored(id, "submit", e)),
        }
    }

    fn not_stored(&self, id: JobId, what: &str, error: NotStored) -> Refusal {
        let age = self.shared.config_age();
        log::warn!(job:% = id, what = what, outcome:? = error, age_ms = age; "not stored");
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
            NotStored::Doubt => Refusal::new(Code::StoreDoubt, ""),
        }
    }

    async fn state(&self, target: &Target<'_>, id: JobId) -> Result<Answer, Refusal> {
        match ask::job(&self.shared, id, owner_timeout(target)).await {
            Some(JobAnswer::Known { state, team }) if may_see(target, team.as_ref()) => {
                Ok(ok_json(state_body(state)))
            }
            Some(JobAnswer::Known { .. } | JobAnswer::Unknown) => {
                log::info!(job:% = id, queue:% = target.queue.name; "no such job");
                Err(Refusal::new(Code::NoJob, ""))
            }
            Some(JobAnswer::NotOwner) | None => Err(self.no_owner(&id.to_string())),
        }
    }

    async fn cancel(&self, target: &Target<'_>, id: JobId) -> Result<Answer, Refusal> {
        let start = self.shared.clock.now();
        match ask::job(&self.shared, id, owner_timeout(target)).await {
            Some(JobAnswer::Known { team, .. }) if may_see(target, team.as_ref()) => {}
            Some(JobAnswer::Known { .. } | JobAnswer::Unknown) => {
                return Err(Refusal::new(Code::NoJob, ""));
            }
            Some(JobAnswer::NotOwner) | None => return Err(self.no_owner(&id.to_string())),
        }
        let spent = self.shared.clock.now().since(start);
        let left = target.max_wait.saturating_sub(spent + RESPONSE_MARGIN);
        // A record without a value would drop its key.
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

    async fn pending(
        &self,
        request: &Request<Incoming>,
        target: &Target<'_>,
    ) -> Result<Answer, Refusal> {
        if *request.method() != Method::GET {
            return Err(Refusal::new(Code::BadRequest, "a job id is missing"));
        }
        match ask::pending(&self.shared, &target.queue.name, owner_timeout(target)).await {
            Some(pending) => Ok(ok_json(pending_body(pending))),
            None => Err(self.no_owner(target.queue.name.as_str())),
        }
    }

    fn no_owner(&self, what: &str) -> Refusal {
        let owner = self.shared.owner.load();
        let epoch = owner.as_ref().map_or(0, |o| o.epoch);
        log::warn!(job = what, epoch = epoch; "refused: no owner answers");
        Refusal::new(Code::NoOwner, "")
    }
}

/// A team sees its own jobs; those of a queue without keys belong to nobody.
fn may_see(target: &Target<'_>, team: Option<&TeamName>) -> bool {
    target.team.is_none() || team.is_none() || target.team.as_ref() == team
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
