//! Jobs that wait for workers, in the order of their rank.

use std::collections::BTreeSet;
use std::ops::Bound;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::{JobId, ServiceName};

use crate::rank::Rank;

/// Entry of a job in the queue of its service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct QueuedJob {
    pub(crate) service: ServiceName,
    pub(crate) rank: Rank,
    /// Time until which the rank is valid if the job does not change.
    pub(crate) valid_until: Time,
    /// Work of the job's waiting tasks, in thousandths of a core times milliseconds.
    pub(crate) work: u64,
    /// Number of the job's waiting tasks.
    pub(crate) tasks: u64,
}

impl QueuedJob {
    fn useful_work(&self) -> u64 {
        match self.rank.is_useful() {
            true => self.work,
            false => 0,
        }
    }

    fn timely_tasks(&self) -> u64 {
        match self.rank.is_timely() {
            true => self.tasks,
            false => 0,
        }
    }
}

/// Jobs with at least one task that is not done and has no attempt, by service, best rank first.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    queues: Map<ServiceName, BTreeSet<(Rank, JobId)>>,
    queued: Map<JobId, QueuedJob>,
    /// Jobs by the time at which their rank expires.
    expiries: BTreeSet<(Time, JobId)>,
    /// Work of the jobs that can be done while they are still useful, by service, in thousandths of
    /// a core times milliseconds.
    useful: Map<ServiceName, u64>,
    /// Number of waiting tasks of the jobs that can meet their objective.
    timely: u64,
}

impl WaitQueue {
    /// Replaces the entry of a job; `None` removes the job from its queue.
    pub(crate) fn update(&mut self, id: JobId, current: Option<QueuedJob>) {
        let previous = self.queued.get(&id);
        if previous == current.as_ref() {
            return;
        }
        if let Some(previous) = self.queued.remove(&id) {
            self.expiries.remove(&(previous.valid_until, id));
            if let Some(useful) = self.useful.get_mut(&previous.service) {
                *useful -= previous.useful_work();
            }
            self.timely -= previous.timely_tasks();
            if let Some(queue) = self.queues.get_mut(&previous.service) {
                queue.remove(&(previous.rank, id));
            }
        }
        if let Some(current) = current {
            self.expiries.insert((current.valid_until, id));
            *self.useful.entry(current.service.clone()).or_default() += current.useful_work();
            self.timely += current.timely_tasks();
            let queue = self.queues.entry(current.service.clone()).or_default();
            queue.insert((current.rank, id));
            self.queued.insert(id, current);
        }
    }

    /// Waiting work of the jobs that can be done while they are still useful, in thousandths of a
    /// core times milliseconds.
    pub(crate) fn useful_work(&self) -> u64 {
        self.useful.values().sum()
    }

    /// Like [`Self::useful_work`], for the jobs of one service.
    pub(crate) fn useful_work_of(&self, service: &ServiceName) -> u64 {
        self.useful.get(service).copied().unwrap_or_default()
    }

    /// Number of waiting tasks of the jobs that can meet their objective.
    pub(crate) fn timely_tasks(&self) -> u64 {
        self.timely
    }

    /// Number of jobs in all queues.
    pub(crate) fn len(&self) -> usize {
        self.queued.len()
    }

    /// Jobs with a rank that has expired by `now`.
    pub(crate) fn stale(&self, now: Time) -> Vec<JobId> {
        let expired = self.expiries.iter().take_while(|(at, _)| *at <= now);
        expired.map(|(_, id)| *id).collect()
    }

    /// Services with at least one waiting job.
    pub(crate) fn services(&self) -> Vec<ServiceName> {
        let nonempty = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        nonempty.map(|(service, _)| service.clone()).collect()
    }

    /// The job after `last` in the queue of a service, or the first job if `last` is `None`.
    pub(crate) fn next(
        &self,
        service: &ServiceName,
        last: Option<(Rank, JobId)>,
    ) -> Option<(Rank, JobId)> {
        let from = last.map_or(Bound::Unbounded, Bound::Excluded);
        let queue = self.queues.get(service)?;
        queue.range((from, Bound::Unbounded)).next().copied()
    }
}
