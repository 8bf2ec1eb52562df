//! Stand-in of the platform: log, roster, worker control and fault switches.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactuswheel_http::{Reply, json, read_json, serve, text};
use cactuswheel_model::{Incarnation, InstanceId, Offset};
use cactuswheel_platform::{Appended, RosterEntry, TaskReport};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout_at};

use crate::fault::Fault;
use crate::log::Log;
use crate::roster::Roster;
use crate::tasks::TaskRunner;
use crate::workers::WorkerControl;

/// Maximum number of records that a stream retains.
const STREAM_CAPACITY: usize = 100_000;

/// Maximum number of records in one answer, even if the client asks for more.
const MAX_BATCH_RECORDS: usize = 1_000;

/// Maximum time that a read waits for new records.
const MAX_READ_WAIT: Duration = Duration::from_secs(30);

/// Suffixes of the routes that only tests use; they also work while the platform is down.
const TEST_ROUTES: [&str; 4] = ["/worker-history", "/reboots", "/lose", "/return"];

/// An in-memory platform.
#[derive(Debug, Clone, Default)]
pub struct Platform {
    inner: Arc<Mutex<Inner>>,
    tasks: TaskRunner,
}

#[derive(Debug)]
pub(crate) struct Inner {
    fleet: Log,
    snapshots: Log,
    tasks: Log,
    pub(crate) roster: Roster,
    pub(crate) control: WorkerControl,
    fault: Fault,
}

impl Default for Inner {
    fn default() -> Self {
        Self {
            fleet: Log::new(STREAM_CAPACITY),
            snapshots: Log::new(STREAM_CAPACITY),
            tasks: Log::new(STREAM_CAPACITY),
            roster: Roster::default(),
            control: WorkerControl::default(),
            fault: Fault::default(),
        }
    }
}

impl Inner {
    fn stream(&mut self, name: &str) -> Option<&mut Log> {
        match name {
            "fleet" => Some(&mut self.fleet),
            "snapshots" => Some(&mut self.snapshots),
            "tasks" => Some(&mut self.tasks),
            _ => None,
        }
    }
}

impl Platform {
    /// Serves requests on `listener` until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        serve(listener, move |request| self.clone().answer(request)).await;
    }

    /// Adds an instance to the roster, or updates its listing.
    pub fn upsert_instance(&self, sighting: RosterEntry) {
        self.lock().roster.insert(sighting.id.clone(), sighting);
    }

    /// Returns an instance's current incarnation according to the roster.
    pub(crate) fn incarnation(&self, id: &InstanceId) -> Option<Incarnation> {
        self.lock().roster.get(id).map(|s| s.incarnation)
    }

    /// Appends a worker's report to the task stream.
    pub(crate) fn report(&self, report: &TaskReport) {
        let body = serde_json::to_string(report).unwrap_or_default();
        self.lock().tasks.append(vec![body]);
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `f` on worker control and the roster under one lock.
    pub(crate) fn with_control<T>(
        &self,
        f: impl FnOnce(&mut WorkerControl, &mut Roster) -> T,
    ) -> T {
        let mut inner = self.lock();
        let Inner {
            roster, control, ..
        } = &mut *inner;
        f(control, roster)
    }

    async fn answer(self, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        if path == "/fault" {
            return self.set_fault(request).await;
        }
        if TEST_ROUTES.iter().any(|end| path.ends_with(end)) {
            return self.answer_control(request).await;
        }
        let fault = self.lock().fault;
        // The call takes effect before the delay, so that it stays in effect if the client gives
        // up while waiting for the answer.
        let reply = match fault.down {
            true => text(StatusCode::SERVICE_UNAVAILABLE, "down"),
            false => self.serve_call(&path, request, fault).await,
        };
        sleep(Duration::from_millis(fault.slow)).await;
        reply
    }

    async fn serve_call(self, path: &str, request: Request<Incoming>, fault: Fault) -> Reply {
        match (request.method().clone(), path.split_at_checked(5)) {
            (Method::POST, Some(("/log/", stream))) => self.append(stream, request, fault).await,
            (Method::GET, Some(("/log/", stream))) => self.read(stream, &request).await,
            (Method::GET, _) if path == "/roster" => self.roster(&request),
            (Method::GET, _) if path == "/appends" => self.appends(),
            (Method::POST, _) if path == "/roster" => self.set_roster(request).await,
            (Method::POST, _) if path.starts_with("/tasks/") => {
                self.tasks.answer(&self, request).await
            }
            (Method::POST, Some(("/trim", _))) => self.trim(&request),
            _ => self.answer_control(request).await,
        }
    }

    async fn append(&self, stream: &str, request: Request<Incoming>, fault: Fault) -> Reply {
        let bodies: Vec<String> = match read_json(request.into_body()).await {
            Ok(bodies) => bodies,
            Err(e) => return text(StatusCode::BAD_REQUEST, e),
        };
        let offset = match self.lock().stream(stream) {
            Some(log) => log.append(bodies),
            None => return text(StatusCode::NOT_FOUND, "no such stream"),
        };
        if fault.deaf {
            return text(StatusCode::INTERNAL_SERVER_ERROR, "answer lost");
        }
        json(StatusCode::OK, &Appended { offset })
    }

    async fn read(&self, stream: &str, request: &Request<Incoming>) -> Reply {
        let from = Offset::new(query_number(request, "from"));
        let max = (query_number(request, "max") as usize).min(MAX_BATCH_RECORDS);
        let wait = Duration::from_millis(query_number(request, "wait")).min(MAX_READ_WAIT);
        let deadline = Instant::now() + wait;
        loop {
            let (batch, mut head_changes) = match self.lock().stream(stream) {
                Some(log) => (log.read(from, max), log.watch_head()),
                None => return text(StatusCode::NOT_FOUND, "no such stream"),
            };
            if from < batch.first {
                return json(StatusCode::GONE, &batch);
            }
            let caught_up = batch.entries.is_empty() && batch.head <= from;
            if !caught_up || timeout_at(deadline, head_changes.changed()).await.is_err() {
                return json(StatusCode::OK, &batch);
            }
        }
    }

    /// For tests: the number of appends to the fleet and snapshot streams.
    fn appends(&self) -> Reply {
        let inner = self.lock();
        let appends = [inner.fleet.appends(), inner.snapshots.appends()];
        json(StatusCode::OK, &appends)
    }

    fn roster(&self, request: &Request<Incoming>) -> Reply {
        let since = request.uri().query().and_then(|q| q.strip_prefix("since="));
        json(
            StatusCode::OK,
            &self.lock().roster.changes(since.unwrap_or_default()),
        )
    }

    async fn set_roster(&self, request: Request<Incoming>) -> Reply {
        match read_json::<RosterEntry>(request.into_body()).await {
            Ok(sighting) => self.upsert_instance(sighting),
            Err(e) => return text(StatusCode::BAD_REQUEST, e),
        }
        text(StatusCode::OK, "listed")
    }

    fn trim(&self, request: &Request<Incoming>) -> Reply {
        let kept = query_number(request, "kept") as usize;
        self.lock().fleet.trim(kept);
        text(StatusCode::OK, "trimmed")
    }

    async fn set_fault(&self, request: Request<Incoming>) -> Reply {
        match read_json(request.into_body()).await {
            Ok(fault) => self.lock().fault = fault,
            Err(e) => return text(StatusCode::BAD_REQUEST, e),
        }
        text(StatusCode::OK, "set")
    }
}

/// Returns a numeric query parameter, or 0 if it is missing or invalid.
fn query_number(request: &Request<Incoming>, name: &str) -> u64 {
    let query = request.uri().query().unwrap_or_default();
    let pair = query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .find(|(k, _)| *k == name);
    pair.and_then(|(_, v)| v.parse().ok()).unwrap_or(0)
}
