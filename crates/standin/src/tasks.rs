//! TaskRunner' stand-in: runs tasks as their payloads say.

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

/// What a payload tells the stand-in's worker to do, as JSON.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TaskScript {
    /// How long the task runs, in milliseconds.
    pub run: u64,
    /// Whether it fails at its end.
    pub fail: bool,
    /// Cores that it really takes up; 0 for as many as it may.
    pub cores: u32,
    /// Whether it stores a checkpoint when it is stopped.
    pub checkpoint: bool,
}

/// Runs tasks, each attempt at most once in one life of a worker.
#[derive(Debug, Clone, Default)]
pub(crate) struct TaskRunner {
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Attempts that were started or kept from starting, with what they are told.
    tasks: BTreeMap<TaskId, watch::Sender<Told>>,
    /// TaskRunner that fail whatever they start.
    broken: Vec<InstanceId>,
}

/// What a running task is told.
#[derive(Debug, Clone, Copy)]
struct Told {
    /// End of its lease.
    until: Instant,
    /// Whether it is to stop.
    stop: bool,
}

impl TaskRunner {
    /// Answers worker control's calls.
    pub(crate) async fn answer(&self, platform: &Platform, request: Request<Incoming>) -> Reply {
        let verb = request
            .uri()
            .path()
            .rsplit('/')
            .next()
            .unwrap_or_default()
            .to_owned();
        let body = request.into_body();
        let done = match verb.as_str() {
            "start" => read_json(body)
                .await
                .map(|order| self.start(platform, order)),
            "renew" => read_json(body)
                .await
                .map(|(tasks, lease)| self.renew(tasks, lease)),
            "stop" => read_json(body)
                .await
                .map(|tasks| self.stop(platform, tasks)),
            "break" => read_json(body).await.map(|worker| self.break_down(worker)),
            _ => return text(StatusCode::NOT_FOUND, "no such call"),
        };
        match done {
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
        let until = Instant::now() + Duration::from_millis(order.lease);
        let (tell, told) = watch::channel(Told { until, stop: false });
        inner.tasks.insert(order.task.clone(), tell);
        let broken = inner.broken.contains(&order.worker);
        tokio::spawn(run(platform.clone(), order, told, broken));
        StatusCode::OK
    }

    fn renew(&self, tasks: Vec<TaskId>, lease: u64) -> StatusCode {
        let until = Instant::now() + Duration::from_millis(lease);
        let inner = self.lock();
        for tell in tasks.iter().filter_map(|task| inner.tasks.get(task)) {
            tell.send_modify(|told| told.until = until);
        }
        StatusCode::OK
    }

    fn stop(&self, platform: &Platform, tasks: Vec<TaskId>) -> StatusCode {
        let mut inner = self.lock();
        for task in tasks {
            if let Some(tell) = inner.tasks.get(&task) {
                tell.send_modify(|told| told.stop = true);
                continue;
            }
            // It never started, and a start that comes late finds this and is not carried out.
            let told = Told {
                until: Instant::now(),
                stop: true,
            };
            inner.tasks.insert(task.clone(), watch::channel(told).0);
            let news = TaskEvent::Ended(AttemptEnd::Refused);
            platform.report(&TaskReport { task, news });
        }
        StatusCode::OK
    }

    fn break_down(&self, worker: InstanceId) -> StatusCode {
        self.lock().broken.push(worker);
        StatusCode::OK
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn run(platform: Platform, order: TaskOrder, mut told: watch::Receiver<Told>, broken: bool) {
    let script: TaskScript = serde_json::from_str(&order.payload).unwrap_or_default();
    let end = if broken {
        AttemptEnd::Failed
    } else {
        work(&script, &mut told).await
    };
    // A reboot ends what ran without a word.
    if platform.incarnation(&order.worker) != Some(order.incarnation) {
        return;
    }
    let tell = |news| {
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
    tell(TaskEvent::Usage(Room {
        cores,
        ..order.room
    }));
    if end == AttemptEnd::Stopped && script.checkpoint {
        tell(TaskEvent::Checkpoint(format!(
            "after attempt {}",
            order.task.attempt
        )));
    }
    tell(TaskEvent::Ended(end));
}

/// Works until the end, a stop, or the end of the lease.
async fn work(script: &TaskScript, told: &mut watch::Receiver<Told>) -> AttemptEnd {
    let done = Instant::now() + Duration::from_millis(script.run);
    loop {
        let Told { until, stop } = *told.borrow_and_update();
        if stop {
            return AttemptEnd::Stopped;
        }
        tokio::select! {
            () = sleep_until(done) => {
                return if script.fail { AttemptEnd::Failed } else { AttemptEnd::Done };
            }
            () = sleep_until(until) => return AttemptEnd::Stopped,
            changed = told.changed() => {
                if changed.is_err() {
                    return AttemptEnd::Stopped;
                }
            }
        }
    }
}
