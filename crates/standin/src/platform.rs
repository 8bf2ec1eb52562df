//! The platform's stand-in: log, roster and the switches for their faults.

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
use crate::workers::Control;

/// Records that a stream keeps.
const KEPT: usize = 100_000;

/// Records in one answer, whatever is asked for.
const MOST: usize = 1_000;

/// Longest wait of a reader.
const LONGEST: Duration = Duration::from_secs(30);

/// Ends of routes that only tests use; they work while the platform is down.
const TEST_ROUTES: [&str; 4] = ["/worker-history", "/reboots", "/lose", "/return"];

/// A platform in memory.
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
    pub(crate) control: Control,
    fault: Fault,
}

impl Default for Inner {
    fn default() -> Self {
        Self {
            fleet: Log::new(KEPT),
            snapshots: Log::new(KEPT),
            tasks: Log::new(KEPT),
            roster: Roster::default(),
            control: Control::default(),
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
    /// Answers on `listener` until the task is dropped.
    pub async fn serve(self, listener: TcpListener) {
        serve(listener, move |request| self.clone().answer(request)).await;
    }

    /// Lists an instance, or changes how it is listed.
    pub fn list(&self, sighting: RosterEntry) {
        self.lock().roster.insert(sighting.id.clone(), sighting);
    }

    /// The life that an instance is in, as the roster has it.
    pub(crate) fn incarnation(&self, id: &InstanceId) -> Option<Incarnation> {
        self.lock().roster.get(id).map(|s| s.incarnation)
    }

    /// Appends a worker's report.
    pub(crate) fn report(&self, report: &TaskReport) {
        let body = serde_json::to_string(report).unwrap_or_default();
        self.lock().tasks.append(vec![body]);
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs `f` on worker control and roster together.
    pub(crate) fn with_control<T>(&self, f: impl FnOnce(&mut Control, &mut Roster) -> T) -> T {
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
            return self.control(request).await;
        }
        let fault = self.lock().fault;
        // The effect comes first: who gives up before the answer does not undo it.
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
            _ => self.control(request).await,
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
        let from = Offset::new(query(request, "from"));
        let max = (query(request, "max") as usize).min(MOST);
        let wait = Duration::from_millis(query(request, "wait")).min(LONGEST);
        let until = Instant::now() + wait;
        loop {
            let (batch, mut moved) = match self.lock().stream(stream) {
                Some(log) => (log.read(from, max), log.watch()),
                None => return text(StatusCode::NOT_FOUND, "no such stream"),
            };
            if from < batch.first {
                return json(StatusCode::GONE, &batch);
            }
            let quiet = batch.entries.is_empty() && batch.head <= from;
            if !quiet || timeout_at(until, moved.changed()).await.is_err() {
                return json(StatusCode::OK, &batch);
            }
        }
    }

    /// For tests: how often each stream was appended to.
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
            Ok(sighting) => self.list(sighting),
            Err(e) => return text(StatusCode::BAD_REQUEST, e),
        }
        text(StatusCode::OK, "listed")
    }

    fn trim(&self, request: &Request<Incoming>) -> Reply {
        let kept = query(request, "kept") as usize;
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

/// A number from the query, 0 if it is not there.
fn query(request: &Request<Incoming>, name: &str) -> u64 {
    let query = request.uri().query().unwrap_or_default();
    let pair = query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .find(|(k, _)| *k == name);
    pair.and_then(|(_, v)| v.parse().ok()).unwrap_or(0)
}
