//! What this entry has told workers.

use cactuswheel_fleet::{Job, JobPhase, State};
use cactuswheel_model::{Attempt, AttemptEnd, JobEvent, JobId, Map, Retry, Set};
use cactuswheel_platform::{RosterSnapshot, TaskId, TaskOrder};

/// Time after which a worker stops a task whose lease is not renewed, in ms.
///
/// Long against an outage of the platform: an entry that cannot reach it cannot renew.
pub(crate) const LEASE: u64 = 600_000;

/// Attempts that workers confirmed to have been told.
#[derive(Debug, Default)]
pub(crate) struct StartedTasks {
    started: Set<TaskId>,
}

impl StartedTasks {
    /// Notes that a worker confirmed a start.
    pub(crate) fn start(&mut self, task: TaskId) {
        self.started.insert(task);
    }

    /// Forgets attempts that are over; the tasks that still run.
    pub(crate) fn running(&mut self, state: &State) -> Vec<TaskId> {
        self.started.retain(|t| is_placed(state, &t.job, t.attempt));
        self.started.iter().cloned().collect()
    }

    /// Orders for attempts that no worker confirmed to this entry.
    ///
    /// StartedTasks again after a change of planners: a worker that knows the attempt does nothing.
    pub(crate) fn orders(&self, state: &State) -> Vec<TaskOrder> {
        let jobs = state.jobs().iter().filter(|(_, job)| !job.cancel);
        let orders = jobs.filter_map(|(id, job)| {
            let JobPhase::Placed {
                worker,
                incarnation,
                room,
            } = &job.phase
            else {
                return None;
            };
            let task = TaskId {
                job: id.clone(),
                attempt: job.attempt,
            };
            Some(TaskOrder {
                task,
                worker: worker.clone(),
                incarnation: *incarnation,
                room: *room,
                payload: job.spec.payload.clone(),
                mark: job.checkpoint.clone(),
                lease: LEASE,
            })
        });
        orders
            .filter(|order| !self.started.contains(&order.task))
            .collect()
    }
}

/// Attempts that are to be stopped: their jobs were cancelled, or their workers are drained
/// and they can be resumed elsewhere. Other jobs are waited for.
pub(crate) fn unwanted(state: &State) -> Vec<TaskId> {
    let jobs = state
        .jobs()
        .iter()
        .filter(|(_, job)| is_unwanted(state, job));
    jobs.map(|(id, job)| TaskId {
        job: id.clone(),
        attempt: job.attempt,
    })
    .collect()
}

fn is_unwanted(state: &State, job: &Job) -> bool {
    let JobPhase::Placed { worker, .. } = &job.phase else {
        return false;
    };
    let leaves = job.spec.retry == Retry::Resume && state.disruptions().is_drained(worker);
    job.cancel || leaves
}

/// Ends for attempts whose worker is in a later life, or was removed by an operator.
///
/// A worker that is only missing from the roster may still run its tasks: the roster lags, and
/// a partition hides whole data centres. Nothing is concluded from that.
pub(crate) fn lost(state: &State, seen: &RosterSnapshot) -> Vec<JobEvent> {
    let lives: Map<_, _> = seen
        .instances
        .iter()
        .map(|s| (&s.id, s.incarnation))
        .collect();
    let mut events = Vec::new();
    for (id, job) in state.jobs().iter() {
        let JobPhase::Placed {
            worker,
            incarnation,
            ..
        } = &job.phase
        else {
            continue;
        };
        let reborn = lives.get(worker).is_some_and(|life| life > incarnation);
        if reborn || !state.config().instances.contains(worker) {
            let (job, attempt) = (id.clone(), job.attempt);
            events.push(JobEvent::End {
                job,
                attempt,
                end: AttemptEnd::Lost,
            });
        }
    }
    events
}

fn is_placed(state: &State, id: &JobId, attempt: Attempt) -> bool {
    let job = state.jobs().get(id);
    job.is_some_and(|j| j.attempt == attempt && matches!(j.phase, JobPhase::Placed { .. }))
}
