//! Stand-in of the workers: runs tasks as scripted by their payloads.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cactuswheel_http::{Reply, read_json, text};
use cactuswheel_model::{AttemptEnd, Cores, InstanceId, Room};
use cactuswheel_platform::{TaskEvent, TaskId, TaskOrder, TaskReport};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

use crate::Platform;

/// Script of a simulated task, sent as its JSON payload.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskScript {
    /// Duration of the task in milliseconds.
    pub run: u64,
    /// Whether the task fails at its end.
    pub fail: bool,
    /// Cores reported as used; 0 to report all cores reserved for the task.
    pub cores: u32,
    /// Whether the task reports a checkpoint when it is stopped.
    pub checkpoint: bool,
}

/// Runs tasks, each attempt at most once and only in the worker incarnation that its order names.
#[derive(Debug, Clone, Default)]
pub(crate) struct TaskRunner {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    /// State of each attempt that was started, or that was stopped before it started.
    tasks: BTreeMap<TaskId, watch::Sender<RunState>>,
    /// Workers on which every task fails.
    broken: Vec<InstanceId>,
}

/// Lease and stop request of an attempt.
#[derive(Debug, Clone, Copy)]
struct RunState {
    /// End of the lease.
    lease_end: Instant,
    /// Whether the attempt was asked to stop.
    stop: bool,
}

impl TaskRunner {
    /// Serves the calls that start, renew, stop and break tasks.
    pub(crate) async fn answer(&self, platform: &Platform, request: Request<Incoming>) -> Reply {
        let action = request
            .uri()
            .path()
            .rsplit('/')
            .next()
            .unwrap_or_default()
            .to_owned();
        let body = request.into_body();
        let result = match action.as_str() {
            "start" => read_json(body)
                .await
                .map(|order| self.start(platform, order)),
            "renew" => read_json(body)
                .await
                .map(|(tasks, lease)| self.renew(tasks, lease)),
            "stop" => read_json(body)
                .await
                .map(|tasks| self.stop(platform, tasks)),
            "break" => read_json(body).await.map(|worker| self.mark_broken(worker)),
            _ => return text(StatusCode::NOT_FOUND, "no such call"),
        };
        match result {
            Ok(status) => text(status, ""),
            Err(e) => text(StatusCode::BAD_REQUEST, e),
        }
    }

    fn start(&self, platform: &Platform, order: TaskOrder) -> StatusCode {
        if platform.incarnation(&order.worker) != Some(order.incarnation) {
            return StatusCode::CONFLICT;
        }
        let mut inner = self.lock();
        if inner.tasks.contains_key(&order.task) {
            return StatusCode::OK;
        }
        let lease_end = Instant::now() + Duration::from_millis(order.lease);
        let (sender, state) = watch::channel(RunState {
            lease_end,
            stop: false,
        });
        inner.tasks.insert(order.task.clone(), sender);
        let broken = inner.broken.contains(&order.worker);
        tokio::spawn(run(platform.clone(), order, state, broken));
        StatusCode::OK
    }

    fn renew(&self, tasks: Vec<TaskId>, lease: u64) -> StatusCode {
        let lease_end = Instant::now() + Duration::from_millis(lease);
        let inner = self.lock();
        for sender in tasks.iter().filter_map(|task| inner.tasks.get(task)) {
            sender.send_modify(|state| state.lease_end = lease_end);
        }
        StatusCode::OK
    }

    fn stop(&self, platform: &Platform, tasks: Vec<TaskId>) -> StatusCode {
        let mut inner = self.lock();
        for task in tasks {
            if let Some(sender) = inner.tasks.get(&task) {
                sender.send_modify(|state| state.stop = true);
                continue;
            }
            // The attempt has not started. The state inserted here makes a start that arrives later
            // a no-op.
            let state = RunState {
                lease_end: Instant::now(),
                stop: true,
            };
            inner.tasks.insert(task.clone(), watch::channel(state).0);
            let news = TaskEvent::Ended(AttemptEnd::Refused);
            platform.report(&TaskReport { task, news });
        }
        StatusCode::OK
    }

    fn mark_broken(&self, worker: InstanceId) -> StatusCode {
        self.lock().broken.push(worker);
        StatusCode::OK
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn run(
    platform: Platform,
    order: TaskOrder,
    mut state: watch::Receiver<RunState>,
    broken: bool,
) {
    let script: TaskScript = serde_json::from_str(&order.payload).unwrap_or_default();
    let end = if broken {
        AttemptEnd::Failed
    } else {
        work(&script, &mut state).await
    };
    // A task ended by a reboot or a loss of its worker sends no reports.
    if platform.incarnation(&order.worker) != Some(order.incarnation) {
        return;
    }
    let send_report = |news| {
        platform.report(&TaskReport {
            task: order.task.clone(),
            news,
        })
    };
    let cores = if script.cores == 0 {
        order.room.cores
    } else {
        Cores::new(script.cores)
    };
    send_report(TaskEvent::Usage(Room {
        cores,
        ..order.room
    }));
    if end == AttemptEnd::Stopped && script.checkpoint {
        send_report(TaskEvent::Checkpoint(format!(
            "after attempt {}",
            order.task.attempt
        )));
    }
    send_report(TaskEvent::Ended(end));
}

/// Waits until the task is finished or stopped, or its lease expires.
async fn work(script: &TaskScript, state: &mut watch::Receiver<RunState>) -> AttemptEnd {
    let done = Instant::now() + Duration::from_millis(script.run);
    loop {
        let RunState { lease_end, stop } = *state.borrow_and_update();
        if stop {
            return AttemptEnd::Stopped;
        }
        tokio::select! {
            () = sleep_until(done) => {
                return if script.fail { AttemptEnd::Failed } else { AttemptEnd::Done };
            }
            () = sleep_until(lease_end) => return AttemptEnd::Stopped,
            changed = state.changed() => {
                if changed.is_err() {
                    return AttemptEnd::Stopped;
                }
            }
        }
    }
}
