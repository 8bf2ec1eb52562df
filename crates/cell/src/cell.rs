//! The cell itself: its state, what it is told and what it asks for.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::{Map, Set, Time};
use cactuswheel_work::{
    FleetConfig, JobId, JobState, QueueName, StepId, TeamName, WorkerId, ZoneName,
};

use crate::admission::Admission;
use crate::advice::Tickets;
use crate::attempt::Phase;
use crate::backlog::Backlog;
use crate::batch::{Consequences, Mark, PlannedStart};
use crate::blame::AbandonedRuns;
use crate::bounds::Bounds;
use crate::finished::Kept;
use crate::job::Job;
use crate::jobs::Jobs;
use crate::learned::Learned;
use crate::output::Output;
use crate::policy::WorkPolicy;
use crate::run_state::Turn;
use crate::shares::Shares;
use crate::tallies::Tallies;
use crate::usage::Usage;
use crate::wait_queue::WaitQueue;
use crate::worker::{RENEW_WITHOUT_STORE, Worker};
use crate::workers::Workers;

/// Bits of a fencing token below the owner's epoch. Within one ownership a worker's token rises
/// each time that an order to it has no answer.
const FENCE_BITS: u32 = 20;

/// How long a job is remembered beyond the time for which its state can be asked for.
const RETENTION_MARGIN: Duration = Duration::from_secs(30);

/// Time after which a look at an idle worker is repeated when nothing else is known.
pub(crate) const POLL_RETRY: Duration = Duration::from_millis(200);

/// The jobs assigned to one owner, the workers of their services and what runs where.
#[derive(Debug)]
pub struct Cell {
    pub(crate) bounds: Bounds,
    pub(crate) policy: WorkPolicy,
    /// Highest fencing token that any worker was given.
    ///
    /// Invariant: only rises. One for all workers: a worker that is forgotten and listed again
    /// has seen its old token, and refuses a lower one as if a newer owner were at work.
    pub(crate) fence: u64,
    pub(crate) config: Arc<FleetConfig>,
    pub(crate) jobs: Jobs,
    /// Those that are not in a final state.
    pub(crate) open: Set<JobId>,
    /// Those with a task that waits for a worker.
    pub(crate) wait_queue: WaitQueue,
    /// When the next occurrence of each job is due, in milliseconds since 1970.
    pub(crate) timed: BTreeSet<(u64, JobId)>,
    /// Jobs of which nothing is left to do, by the journal.
    ///
    /// Invariant: none of them is in `jobs`.
    pub(crate) finished: Map<JobId, Kept>,
    /// The same by age, oldest first.
    pub(crate) finished_order: VecDeque<JobId>,
    /// Finished jobs whose submission is still in the intake.
    pub(crate) obsolete: Vec<JobId>,
    pub(crate) last_drop: Time,
    pub(crate) workers: Workers,
    /// Workers on instances that are to be maintained before long.
    pub(crate) maintenance_due: Set<WorkerId>,
    /// Data centres in which nothing starts.
    pub(crate) evacuated: Arc<Set<ZoneName>>,
    /// When lasting work was last asked to leave workers.
    pub(crate) last_evacuation: Time,
    pub(crate) usage: Usage,
    pub(crate) shares: Shares,
    pub(crate) tickets: Map<StepId, Tickets>,
    /// Jobs whose cancelling came before themselves.
    pub(crate) cancelled: Set<JobId>,
    /// Submissions that the journal is to hold, as they were encoded.
    pub(crate) encoded_submissions: Map<JobId, Vec<u8>>,
    /// Jobs whose state the journal does not hold yet.
    pub(crate) dirty: Set<JobId>,
    /// Those of them that the last batch had no room for.
    pub(crate) deferred: Set<JobId>,
    /// Runs that wait for the journal.
    pub(crate) planned: Vec<PlannedStart>,
    /// The batch under way, and what holds once it is in the journal.
    pub(crate) in_flight: Option<(Mark, Consequences)>,
    /// When that was asked for.
    pub(crate) append_sent: Time,
    pub(crate) next_mark: u64,
    pub(crate) out: Vec<Output>,
    /// What was learnt of each queue's jobs.
    pub(crate) learned: Map<QueueName, Learned>,
    /// Something changed that may let a task start.
    pub(crate) reschedule: bool,
    pub(crate) now: Time,
    pub(crate) tallies: Tallies,
    pub(crate) backlog: Backlog,
    pub(crate) admission: Admission,
    /// Runs that were given up of late with their silent workers.
    pub(crate) abandoned: Map<WorkerId, AbandonedRuns>,
    /// Where workers have crashed of late, and when last.
    pub(crate) crash_times: Map<SocketAddr, Time>,
    /// What an earlier owner has told in the log already is taken in.
    pub(crate) restoring: bool,
    /// How long an earlier owner may go on renewing leases after this one has taken over.
    renewal_overlap: Duration,
    /// Orders to start leave out what the job runs.
    pub(crate) specs_omitted: bool,
    /// Answers may be late since the owner's link is full.
    pub(crate) link_full: bool,
    /// Leases are renewed: the ownership was confirmed of late.
    pub(crate) renew_leases: bool,
}

impl Cell {
    /// An empty cell, owned under `epoch`.
    pub fn new(bounds: Bounds, epoch: u64, config: Arc<FleetConfig>) -> Self {
        Self {
            bounds,
            policy: WorkPolicy::default(),
            fence: epoch << FENCE_BITS,
            config,
            jobs: Jobs::default(),
            open: Set::default(),
            wait_queue: WaitQueue::default(),
            timed: BTreeSet::new(),
            finished: Map::default(),
            finished_order: VecDeque::new(),
            obsolete: Vec::new(),
            last_drop: Time::default(),
            workers: Workers::default(),
            maintenance_due: Set::default(),
            evacuated: Arc::default(),
            last_evacuation: Time::default(),
            usage: Usage::default(),
            shares: Shares::default(),
            tickets: Map::default(),
            cancelled: Set::default(),
            encoded_submissions: Map::default(),
            dirty: Set::default(),
            deferred: Set::default(),
            planned: Vec::new(),
            in_flight: None,
            append_sent: Time::default(),
            next_mark: 1,
            out: Vec::new(),
            learned: Map::default(),
            reschedule: true,
            now: Time::default(),
            tallies: Tallies::default(),
            backlog: Backlog::default(),
            admission: Admission::default(),
            abandoned: Map::default(),
            crash_times: Map::default(),
            restoring: true,
            renewal_overlap: Duration::ZERO,
            specs_omitted: false,
            link_full: false,
            renew_leases: true,
        }
    }

    /// The same with other switches of how it decides.
    pub fn with_policy(self, policy: WorkPolicy) -> Self {
        Self { policy, ..self }
    }

    /// Everything that earlier owners left behind was taken in.
    pub fn finish_restore(&mut self) {
        self.restoring = false;
    }

    /// An earlier owner may be at work still, and renew leases on workers that it reaches.
    pub fn expect_previous_owner(&mut self) {
        self.renewal_overlap = RENEW_WITHOUT_STORE;
    }

    /// What was counted since this was last asked.
    pub fn take_tallies(&mut self) -> Tallies {
        std::mem::take(&mut self.tallies)
    }

    /// Version of the configuration in force.
    pub fn config_version(&self) -> u64 {
        self.config.version
    }

    /// Nothing starts in these data centres until they are left out again; what runs there goes on.
    pub fn set_evacuated_zones(&mut self, now: Time, zones: &Arc<Set<ZoneName>>) {
        if Arc::ptr_eq(zones, &self.evacuated) || *zones == self.evacuated {
            return;
        }
        self.now = now;
        self.evacuated = zones.clone();
        let mut changed = 0;
        for id in self.workers.ids() {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            let inside = worker.is_within(zones);
            changed += u64::from(inside != worker.evacuated);
            worker.evacuated = inside;
        }
        log::info!(zones:? = zones, workers = changed; "evacuated data centres changed");
        self.reschedule = true;
    }

    /// A newer configuration is in force.
    pub fn configure(&mut self, now: Time, config: Arc<FleetConfig>) {
        self.now = now;
        if config.version < self.config.version {
            return;
        }
        self.config = config;
        for id in &self.open {
            self.jobs.get_mut(id);
        }
        self.reschedule = true;
    }

    /// The state of a job that callers see; `None` if there is no such job.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        let kept = self.finished.get(&id).map(|k| k.job.state);
        kept.or_else(|| self.jobs.get(&id).map(Job::visible))
    }

    /// The team that a job belongs to; `None` if there is no such job, or no team.
    pub fn team(&self, id: JobId) -> Option<&TeamName> {
        match self.finished.get(&id) {
            Some(kept) => kept.job.team.as_ref(),
            None => self.jobs.get(&id)?.sub.team.as_ref(),
        }
    }

    /// Number of a queue's jobs of which no task has started.
    pub fn pending_jobs(&self, queue: &QueueName) -> u64 {
        let jobs = self.open.iter().filter_map(|id| self.jobs.get(id));
        let waiting = jobs.filter(|j| j.sub.queue == *queue && j.visible() == JobState::Queued);
        waiting.count() as u64
    }

    /// For how long a batch has been under way, if one is.
    pub fn append_age(&self, now: Time) -> Option<Duration> {
        self.in_flight.as_ref().map(|_| now.since(self.append_sent))
    }

    /// The ownership was confirmed `age` ago. Past [`RENEW_WITHOUT_STORE`] leases are left to
    /// expire: a newer owner may count on it.
    pub fn set_ownership_age(&mut self, age: Duration) {
        self.renew_leases = age < RENEW_WITHOUT_STORE;
    }

    /// Whether orders to start name what the job runs instead of carrying it.
    pub fn omit_specs(&mut self, named: bool) {
        self.specs_omitted = named;
    }

    /// Whether answers may be late since the owner's link is full.
    pub fn set_link_full(&mut self, full: bool) {
        self.link_full = full;
    }

    /// Derives anew what follows from the state of jobs and workers that changed.
    pub(crate) fn settle(&mut self) {
        self.workers.settle();
        let due = self.wait_queue.due(self.now);
        for id in self.jobs.take_touched().into_iter().chain(due) {
            let queued = self.jobs.get(&id).and_then(|job| self.queued(job));
            self.wait_queue.put(id, queued);
        }
    }

    /// What is to be done now; `wall` is in milliseconds since 1970.
    pub fn poll(&mut self, now: Time, wall: u64) -> Vec<Output> {
        self.now = now;
        self.begin_due_turns(wall);
        self.expire_silent_workers();
        self.reschedule |= self.workers.expire_reservations(now);
        self.evacuate();
        self.prune_finished();
        if self.in_flight.is_none() {
            if self.reschedule {
                self.reschedule = false;
                self.schedule();
            }
            self.write();
        }
        self.drop_submissions();
        self.poll_due_workers();
        self.count_room();
        self.log_backlog();
        std::mem::take(&mut self.out)
    }

    /// When it has to be polled at the latest, if nothing happens.
    pub fn next_wake(&self) -> Time {
        let soon = self.now.after(Duration::from_millis(100));
        let look = self.workers.next_poll();
        look.map_or(soon, |at| at.min(soon))
    }

    pub(crate) fn worker_mut(&mut self, id: &WorkerId) -> &mut Worker {
        self.workers.get_or_add(id, self.fence, self.now)
    }

    /// Ends a job: nothing of it starts any more, and what runs is stopped.
    pub(crate) fn finish(&mut self, id: JobId, state: JobState) {
        let now = self.now;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.state = state;
            job.ended = Some(now);
        }
        self.open.remove(&id);
        self.dirty.insert(id);
        self.reschedule = true;
        self.stop_all(id);
    }

    /// Stops every run of a job.
    pub(crate) fn stop_all(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let attempts: Vec<_> = job
            .attempts()
            .map(|(t, c)| (t, c.run, c.worker.clone(), c.phase))
            .collect();
        for (task, run, worker, phase) in attempts {
            match phase {
                Phase::Planned => self.release(task, run, &worker),
                _ => self.stop(task, run, &worker),
            }
        }
    }

    /// Occurrences that are due begin.
    fn begin_due_turns(&mut self, wall: u64) {
        while let Some(&(due, id)) = self.timed.first()
            && due <= wall
        {
            self.timed.pop_first();
            let job = self.jobs.get_mut(&id).filter(|j| j.is_open());
            // A record of an earlier owner may be further on.
            let Some(job) = job.filter(|j| j.next_turn() == Some(due)) else {
                continue;
            };
            let next = job.turns.len() as u32;
            job.turns.push(Turn::new(next, &job.sub.steps));
            self.timed.extend(job.next_turn().map(|due| (due, id)));
            self.reschedule = true;
        }
    }

    /// Runs on workers that are silent for longer than any lease are gone.
    fn expire_silent_workers(&mut self) {
        let (lease, others) = (self.bounds.lease, self.renewal_overlap);
        let now = self.now;
        self.workers.settle();
        let gone: Vec<WorkerId> = self
            .workers
            .silent()
            .filter(|w| w.allocations.is_empty() || w.has_expired(lease, others, now))
            .map(|w| w.id.clone())
            .collect();
        for id in gone {
            self.abandon_runs(&id);
            if self.workers.get(&id).is_some_and(|w| w.entry.is_none()) {
                self.workers.remove(&id);
            }
        }
    }

    /// Finished jobs are forgotten once nobody may ask for them.
    fn prune_finished(&mut self) {
        let kept = self.bounds.retention.duration() + RETENTION_MARGIN;
        let now = self.now;
        while let Some(id) = self.finished_order.front() {
            let known = self.finished.get(id);
            if known.is_some_and(|k| now.since(k.ended) <= kept) {
                return;
            }
            self.finished.remove(id);
            self.dirty.insert(*id);
            self.finished_order.pop_front();
        }
    }
}
