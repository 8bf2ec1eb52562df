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
use crate::batch::{BatchEffects, BatchId, PlannedStart};
use crate::blame::GivenUp;
use crate::bounds::Bounds;
use crate::finished::FinishedJob;
use crate::job::Job;
use crate::jobs::Jobs;
use crate::learned::QueueStats;
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
const KEPT_LONGER: Duration = Duration::from_secs(30);

/// Time after which a look at an idle worker is repeated when nothing else is known.
pub(crate) const RETRY_LOOK: Duration = Duration::from_millis(200);

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
    pub(crate) finished: Map<JobId, FinishedJob>,
    /// The same by age, oldest first.
    pub(crate) oldest: VecDeque<JobId>,
    /// Finished jobs whose submission is still in the intake.
    pub(crate) unneeded: Vec<JobId>,
    pub(crate) last_drop: Time,
    pub(crate) workers: Workers,
    /// Workers on instances that are to be maintained before long.
    pub(crate) due: Set<WorkerId>,
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
    pub(crate) handed: Map<JobId, Vec<u8>>,
    /// Jobs whose state the journal does not hold yet.
    pub(crate) dirty: Set<JobId>,
    /// Those of them that the last batch had no room for.
    pub(crate) late: Set<JobId>,
    /// Runs that wait for the journal.
    pub(crate) planned: Vec<PlannedStart>,
    /// The batch under way, and what holds once it is in the journal.
    pub(crate) flying: Option<(BatchId, BatchEffects)>,
    /// When that was asked for.
    pub(crate) written: Time,
    pub(crate) next_mark: u64,
    pub(crate) out: Vec<Output>,
    /// What was learnt of each queue's jobs.
    pub(crate) learned: Map<QueueName, QueueStats>,
    /// Something changed that may let a task start.
    pub(crate) stirred: bool,
    pub(crate) now: Time,
    pub(crate) tallies: Tallies,
    pub(crate) backlog: Backlog,
    pub(crate) admission: Admission,
    /// Runs that were given up of late with their silent workers.
    pub(crate) given_up: Map<WorkerId, GivenUp>,
    /// Where workers have crashed of late, and when last.
    pub(crate) crashed: Map<SocketAddr, Time>,
    /// What an earlier owner has told in the log already is taken in.
    pub(crate) restoring: bool,
    /// How long an earlier owner may go on renewing leases after this one has taken over.
    others: Duration,
    /// Orders to start leave out what the job runs.
    pub(crate) named: bool,
    /// Answers may be late since the owner's link is full.
    pub(crate) full: bool,
    /// Leases are renewed: the ownership was confirmed of late.
    pub(crate) renewing: bool,
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
            oldest: VecDeque::new(),
            unneeded: Vec::new(),
            last_drop: Time::default(),
            workers: Workers::default(),
            due: Set::default(),
            evacuated: Arc::default(),
            last_evacuation: Time::default(),
            usage: Usage::default(),
            shares: Shares::default(),
            tickets: Map::default(),
            cancelled: Set::default(),
            handed: Map::default(),
            dirty: Set::default(),
            late: Set::default(),
            planned: Vec::new(),
            flying: None,
            written: Time::default(),
            next_mark: 1,
            out: Vec::new(),
            learned: Map::default(),
            stirred: true,
            now: Time::default(),
            tallies: Tallies::default(),
            backlog: Backlog::default(),
            admission: Admission::default(),
            given_up: Map::default(),
            crashed: Map::default(),
            restoring: true,
            others: Duration::ZERO,
            named: false,
            full: false,
            renewing: true,
        }
    }

    /// The same with other switches of how it decides.
    pub fn with_policy(self, policy: WorkPolicy) -> Self {
        Self { policy, ..self }
    }

    /// Everything that earlier owners left behind was taken in.
    pub fn restored(&mut self) {
        self.restoring = false;
    }

    /// An earlier owner may be at work still, and renew leases on workers that it reaches.
    pub fn expect_others(&mut self) {
        self.others = RENEW_WITHOUT_STORE;
    }

    /// What was counted since this was last asked.
    pub fn take_tallies(&mut self) -> Tallies {
        std::mem::take(&mut self.tallies)
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> u64 {
        self.config.version
    }

    /// Nothing starts in these data centres until they are left out again; what runs there goes on.
    pub fn evacuate_zones(&mut self, now: Time, zones: &Arc<Set<ZoneName>>) {
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
        self.stirred = true;
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
        self.stirred = true;
    }

    /// The state of a job that callers see; `None` if there is no such job.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        let kept = self.finished.get(&id).map(|k| k.job.state);
        kept.or_else(|| self.jobs.get(&id).map(Job::reported_state))
    }

    /// The team that a job belongs to; `None` if there is no such job, or no team.
    pub fn team(&self, id: JobId) -> Option<&TeamName> {
        match self.finished.get(&id) {
            Some(kept) => kept.job.team.as_ref(),
            None => self.jobs.get(&id)?.sub.team.as_ref(),
        }
    }

    /// Number of a queue's jobs of which no task has started.
    pub fn pending(&self, queue: &QueueName) -> u64 {
        let jobs = self.open.iter().filter_map(|id| self.jobs.get(id));
        let waiting =
            jobs.filter(|j| j.sub.queue == *queue && j.reported_state() == JobState::Queued);
        waiting.count() as u64
    }

    /// For how long a batch has been under way, if one is.
    pub fn writing(&self, now: Time) -> Option<Duration> {
        self.flying.as_ref().map(|_| now.since(self.written))
    }

    /// The ownership was confirmed `age` ago. Past [`RENEW_WITHOUT_STORE`] leases are left to
    /// expire: a newer owner may count on it.
    pub fn confirmed(&mut self, age: Duration) {
        self.renewing = age < RENEW_WITHOUT_STORE;
    }

    /// Whether orders to start name what the job runs instead of carrying it.
    pub fn name_specs(&mut self, named: bool) {
        self.named = named;
    }

    /// Whether answers may be late since the owner's link is full.
    pub fn link_is_full(&mut self, full: bool) {
        self.full = full;
    }

    /// Derives anew what follows from the state of jobs and workers that changed.
    pub(crate) fn settle(&mut self) {
        self.workers.settle();
        let due = self.wait_queue.stale(self.now);
        for id in self.jobs.take_touched().into_iter().chain(due) {
            let queued = self.jobs.get(&id).and_then(|job| self.queue_entry(job));
            self.wait_queue.update(id, queued);
        }
    }

    /// What is to be done now; `wall` is in milliseconds since 1970.
    pub fn poll(&mut self, now: Time, wall: u64) -> Vec<Output> {
        self.now = now;
        self.begin_turns(wall);
        self.expire();
        self.stirred |= self.workers.end_reservations(now);
        self.evacuate();
        self.forget();
        if self.flying.is_none() {
            if self.stirred {
                self.stirred = false;
                self.schedule();
            }
            self.write_batch();
        }
        self.drop_submissions();
        self.look_around();
        self.count_room();
        self.log_backlog();
        std::mem::take(&mut self.out)
    }

    /// When it has to be polled at the latest, if nothing happens.
    pub fn wake(&self) -> Time {
        let soon = self.now.after(Duration::from_millis(100));
        let look = self.workers.next_look();
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
        self.stirred = true;
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
    fn begin_turns(&mut self, wall: u64) {
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
            self.stirred = true;
        }
    }

    /// Runs on workers that are silent for longer than any lease are gone.
    fn expire(&mut self) {
        let (lease, others) = (self.bounds.lease, self.others);
        let now = self.now;
        self.workers.settle();
        let gone: Vec<WorkerId> = self
            .workers
            .silent()
            .filter(|w| w.held.is_empty() || w.has_expired(lease, others, now))
            .map(|w| w.id.clone())
            .collect();
        for id in gone {
            self.give_up(&id);
            if self.workers.get(&id).is_some_and(|w| w.entry.is_none()) {
                self.workers.remove(&id);
            }
        }
    }

    /// Finished jobs are forgotten once nobody may ask for them.
    fn forget(&mut self) {
        let kept = self.bounds.kept.duration() + KEPT_LONGER;
        let now = self.now;
        while let Some(id) = self.oldest.front() {
            let known = self.finished.get(id);
            if known.is_some_and(|k| now.since(k.ended) <= kept) {
                return;
            }
            self.finished.remove(id);
            self.dirty.insert(*id);
            self.oldest.pop_front();
        }
    }
}
