//! Jobs that wait for workers, in the order of their rank.

use std::collections::BTreeSet;
use std::ops::Bound;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::{JobId, Room, ServiceName, TeamName};

use crate::rank::Rank;
use crate::shape::Shape;
use crate::team_work::TeamWork;

/// Entry of a job in the queue of its service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct QueuedJob {
    pub(crate) service: ServiceName,
    pub(crate) team: Option<TeamName>,
    pub(crate) rank: Rank,
    /// Time until which the rank is valid if the job does not change.
    pub(crate) valid_until: Time,
    /// Work of the job's waiting tasks, in thousandths of a core times milliseconds.
    pub(crate) work: u64,
    /// Number of the job's waiting tasks.
    pub(crate) tasks: u64,
    /// What the job's waiting steps require, if all of them are blocked; else empty.
    pub(crate) blocked: Vec<Shape>,
}

impl QueuedJob {
    fn is_blocked(&self) -> bool {
        !self.blocked.is_empty()
    }

    fn useful_work(&self) -> u64 {
        match self.rank.is_useful() && !self.is_blocked() {
            true => self.work,
            false => 0,
        }
    }

    fn timely_tasks(&self) -> u64 {
        match self.rank.is_timely() && !self.is_blocked() {
            true => self.tasks,
            false => 0,
        }
    }
}

/// Jobs by what one of their steps requires.
type JobsByShape = Map<Option<String>, Map<Room, BTreeSet<JobId>>>;

/// Jobs with at least one task that is not done and has no attempt, by service, best rank first.
///
/// Jobs with nothing but blocked steps wait apart, until a worker with what they require is
/// registered or the job, its permissions or the configuration change.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    queues: Map<ServiceName, BTreeSet<(Rank, JobId)>>,
    /// Jobs with nothing but blocked steps.
    ///
    /// Invariant: none of them is in `queues`.
    blocked: Map<ServiceName, JobsByShape>,
    blocked_count: usize,
    queued: Map<JobId, QueuedJob>,
    /// Jobs by the time at which their rank expires.
    expiries: BTreeSet<(Time, JobId)>,
    /// Work of the jobs that can be done while they are still useful, by service.
    useful: Map<ServiceName, TeamWork>,
    /// The same for all services together.
    all_useful: TeamWork,
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
            let (team, work) = (previous.team.as_ref(), previous.useful_work());
            if let Some(useful) = self.useful.get_mut(&previous.service) {
                useful.remove(team, work);
            }
            self.all_useful.remove(team, work);
            self.timely -= previous.timely_tasks();
            self.unblock(id, &previous);
            if let Some(queue) = self.queues.get_mut(&previous.service) {
                queue.remove(&(previous.rank, id));
            }
        }
        if let Some(current) = current {
            self.expiries.insert((current.valid_until, id));
            let (team, work) = (current.team.as_ref(), current.useful_work());
            let useful = self.useful.entry(current.service.clone()).or_default();
            useful.add(team, work);
            self.all_useful.add(team, work);
            self.timely += current.timely_tasks();
            if current.is_blocked() {
                self.block(id, &current);
            } else {
                let queue = self.queues.entry(current.service.clone()).or_default();
                queue.insert((current.rank, id));
            }
            self.queued.insert(id, current);
        }
    }

    fn block(&mut self, id: JobId, job: &QueuedJob) {
        self.blocked_count += 1;
        let shapes = self.blocked.entry(job.service.clone()).or_default();
        for shape in &job.blocked {
            let rooms = shapes.entry(shape.label.clone()).or_default();
            rooms.entry(shape.room).or_default().insert(id);
        }
    }

    fn unblock(&mut self, id: JobId, job: &QueuedJob) {
        if !job.is_blocked() {
            return;
        }
        self.blocked_count -= 1;
        let Some(shapes) = self.blocked.get_mut(&job.service) else {
            return;
        };
        for shape in &job.blocked {
            let Some(rooms) = shapes.get_mut(&shape.label) else {
                continue;
            };
            if let Some(jobs) = rooms.get_mut(&shape.room) {
                jobs.remove(&id);
                if jobs.is_empty() {
                    rooms.remove(&shape.room);
                }
            }
            if rooms.is_empty() {
                shapes.remove(&shape.label);
            }
        }
    }

    /// Blocked jobs with a step for which a worker that offers `shape` has the label and the size.
    pub(crate) fn blocked_on(
        &self,
        service: &ServiceName,
        shape: &Shape,
    ) -> impl Iterator<Item = JobId> {
        let rooms = self
            .blocked
            .get(service)
            .and_then(|s| s.get(&shape.label))
            .into_iter()
            .flatten();
        let fitting = rooms.filter(|(room, _)| room.fits(shape.room));
        fitting.flat_map(|(_, jobs)| jobs.iter().copied())
    }

    /// Number of jobs with nothing but blocked steps.
    pub(crate) fn blocked_len(&self) -> usize {
        self.blocked_count
    }

    /// Waiting work of the jobs that can be done while they are still useful.
    pub(crate) fn useful_work(&self) -> &TeamWork {
        &self.all_useful
    }

    /// Like [`Self::useful_work`], for the jobs of one service.
    pub(crate) fn useful_work_of(&self, service: &ServiceName) -> Option<&TeamWork> {
        self.useful.get(service)
    }

    /// Number of waiting tasks of the jobs that can meet their objective.
    pub(crate) fn timely_tasks(&self) -> u64 {
        self.timely
    }

    /// Number of waiting jobs, blocked ones included.
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
