//! Jobs that wait for workers, best first.

use std::collections::BTreeSet;
use std::ops::Bound;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::{JobId, ServiceName};

use crate::rank::Rank;

/// A job's place in the queue of its service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct QueuedJob {
    pub(crate) service: ServiceName,
    pub(crate) rank: Rank,
    /// Until then its rank stays the same, if nothing happens to it.
    pub(crate) until: Time,
    /// Work of its tasks that wait, in thousandths of a core times milliseconds.
    pub(crate) work: u64,
    /// Number of those tasks.
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

/// Jobs with a task that should run and has no run, by service, best first.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    queues: Map<ServiceName, BTreeSet<(Rank, JobId)>>,
    queued: Map<JobId, QueuedJob>,
    /// When each has to be ranked again.
    due: BTreeSet<(Time, JobId)>,
    /// Work of all jobs that can be done while they are of use, by service.
    useful: Map<ServiceName, u64>,
    /// Tasks of all jobs that can meet their objective.
    timely: u64,
}

impl WaitQueue {
    /// Puts a job into its queue, or takes it out.
    pub(crate) fn put(&mut self, id: JobId, now: Option<QueuedJob>) {
        let before = self.queued.get(&id);
        if before == now.as_ref() {
            return;
        }
        if let Some(before) = self.queued.remove(&id) {
            self.due.remove(&(before.until, id));
            if let Some(useful) = self.useful.get_mut(&before.service) {
                *useful -= before.useful_work();
            }
            self.timely -= before.timely_tasks();
            if let Some(line) = self.queues.get_mut(&before.service) {
                line.remove(&(before.rank, id));
            }
        }
        if let Some(now) = now {
            self.due.insert((now.until, id));
            *self.useful.entry(now.service.clone()).or_default() += now.useful_work();
            self.timely += now.timely_tasks();
            let line = self.queues.entry(now.service.clone()).or_default();
            line.insert((now.rank, id));
            self.queued.insert(id, now);
        }
    }

    /// Work that waits for workers, of jobs that can be done while they are of use, in
    /// thousandths of a core times milliseconds.
    pub(crate) fn useful_work(&self) -> u64 {
        self.useful.values().sum()
    }

    /// The same of one service.
    pub(crate) fn useful_work_of(&self, service: &ServiceName) -> u64 {
        self.useful.get(service).copied().unwrap_or_default()
    }

    /// Tasks that wait for workers, of jobs that can meet their objective.
    pub(crate) fn timely_tasks(&self) -> u64 {
        self.timely
    }

    /// Number of jobs in all queues.
    pub(crate) fn len(&self) -> usize {
        self.queued.len()
    }

    /// Jobs that have to be ranked again by `now`.
    pub(crate) fn due(&self, now: Time) -> Vec<JobId> {
        let due = self.due.iter().take_while(|(at, _)| *at <= now);
        due.map(|(_, id)| *id).collect()
    }

    /// Services with a job that waits.
    pub(crate) fn services(&self) -> Vec<ServiceName> {
        let busy = self.queues.iter().filter(|(_, line)| !line.is_empty());
        busy.map(|(service, _)| service.clone()).collect()
    }

    /// The job after `last` in the queue of a service; the first one after none.
    pub(crate) fn next(
        &self,
        service: &ServiceName,
        last: Option<(Rank, JobId)>,
    ) -> Option<(Rank, JobId)> {
        let from = last.map_or(Bound::Unbounded, Bound::Excluded);
        let line = self.queues.get(service)?;
        line.range((from, Bound::Unbounded)).next().copied()
    }
}
