//! The cell's state, the events it takes and the outputs it produces.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::{Map, Set, Time};
use cactuswheel_work::{
    FleetConfig, Instance, JobId, JobState, QueueName, StepId, TeamName, WorkerId, ZoneName,
};

use crate::admission::Admission;
use crate::advice::Tickets;
use crate::attempt::Phase;
use crate::backlog::Backlog;
use crate::batch::{BatchEffects, BatchId, PlannedStart};
use crate::blame::AbandonedRuns;
use crate::bounds::Bounds;
use crate::demand::MAX_RESTORED_AGE;
use crate::finished::FinishedJob;
use crate::inventory::Inventory;
use crate::job::Job;
use crate::jobs::Jobs;
use crate::learned::QueueStats;
use crate::open_state::{OpenState, StateLimits, StateRoom};
use crate::output::Output;
use crate::policy::WorkPolicy;
use crate::preempt::Preemptors;
use crate::queue_limits::QueueLimits;
use crate::shares::Shares;
use crate::silences::Silences;
use crate::sweep::Sweeps;
use crate::tallies::Tallies;
use crate::usage::Usage;
use crate::wait_queue::WaitQueue;
use crate::worker::{RENEW_WITHOUT_STORE, Worker};
use crate::workers::Workers;

/// Number of low bits of a fencing token; the bits above hold the owner's epoch. Within one epoch
/// the low bits rise each time that an order to a worker is not answered.
const FENCE_BITS: u32 = 20;

/// How long a finished job is remembered beyond the time for which callers may query its state.
const RETENTION_MARGIN: Duration = Duration::from_secs(30);

/// Base of the backoff between polls of a worker that does not answer.
pub(crate) const POLL_RETRY: Duration = Duration::from_millis(200);

/// Interval of checks for held start orders: a confirmation of the ownership is no event of the
/// cell.
const HELD_START_CHECK: Duration = Duration::from_millis(10);

/// The jobs assigned to one owner, the workers of their services and the runs on these workers.
#[derive(Debug)]
pub struct Cell {
    pub(crate) bounds: Bounds,
    pub(crate) policy: WorkPolicy,
    /// Highest fencing token given to any worker.
    ///
    /// Invariant: never decreases. All workers share one counter because a worker that is removed
    /// and registered again has already seen its old token. It would refuse a lower token as
    /// coming from an owner that has been replaced.
    pub(crate) fence: u64,
    /// Number of the newest poll of any worker.
    ///
    /// Invariant: never decreases. All workers share one counter because an order or an answer to
    /// a worker that is removed and registered again may still be in transit. If the worker's
    /// polls were numbered from one again, that answer would settle a later poll, and the worker
    /// would never be polled again.
    pub(crate) last_poll: u64,
    pub(crate) config: Arc<FleetConfig>,
    pub(crate) queue_limits: QueueLimits,
    pub(crate) jobs: Jobs,
    /// Jobs that are not in a final state.
    pub(crate) open: Set<JobId>,
    /// Jobs with at least one task that waits for a worker.
    pub(crate) wait_queue: WaitQueue,
    /// Where the next scheduling cycles go on in queues that the last ones did not complete.
    pub(crate) sweeps: Sweeps,
    /// When the next occurrence of each recurring job is due, in milliseconds since 1970.
    pub(crate) due_turns: BTreeSet<(u64, JobId)>,
    /// Occurrences that are due and wait until the state has room for them.
    pub(crate) held_turns: BTreeSet<(u64, JobId)>,
    /// When those were last tried.
    pub(crate) held_checked: Time,
    pub(crate) open_state: OpenState,
    pub(crate) state_limits: StateLimits,
    /// Jobs whose final record is in the journal; only this record is kept.
    ///
    /// Invariant: disjoint from `jobs`.
    pub(crate) finished: Map<JobId, FinishedJob>,
    /// Identifiers of `finished`, oldest first.
    pub(crate) finished_order: VecDeque<JobId>,
    /// Finished jobs whose submission is still in the intake and can be dropped.
    pub(crate) obsolete: Vec<JobId>,
    /// Finished jobs whose submission the intake may still hold.
    ///
    /// Invariant: they are not forgotten. A new owner that finds a submission without a final record
    /// would run the job again.
    pub(crate) undropped: Set<JobId>,
    pub(crate) last_drop: Time,
    pub(crate) workers: Workers,
    pub(crate) silences: Silences,
    /// Workers whose instances were ordered to move away, or may have been.
    ///
    /// Invariant: all of them that are registered are closed. Kept apart from the worker, which may
    /// be removed and registered again before the outcome of the order is known; a run that
    /// started there would be lost with the instance.
    pub(crate) removing: Set<WorkerId>,
    /// Workers on instances that are due for maintenance soon.
    pub(crate) maintenance_due: Set<WorkerId>,
    /// Data centres in which no task is started.
    pub(crate) evacuated: Arc<Set<ZoneName>>,
    /// What the fleet's instances offer; `None` before they are listed.
    pub(crate) inventory: Option<Inventory>,
    /// When evacuating workers were last checked for long-running tasks to stop.
    pub(crate) last_evacuation: Time,
    /// State of preemption, by service.
    pub(crate) preemptors: Preemptors,
    pub(crate) usage: Usage,
    pub(crate) shares: Shares,
    pub(crate) tickets: Map<StepId, Tickets>,
    /// When tickets of each step expire.
    pub(crate) ticket_ends: BTreeSet<(Time, StepId)>,
    /// Jobs whose cancellation arrived before their submission.
    pub(crate) cancelled: Set<JobId>,
    /// Encoded submissions that still have to be written to the journal.
    pub(crate) encoded_submissions: Map<JobId, Vec<u8>>,
    /// Jobs whose current state is not in the journal yet.
    pub(crate) dirty: Set<JobId>,
    /// Jobs in `dirty` for which the last batch had no room.
    pub(crate) deferred: Set<JobId>,
    /// Runs whose start order waits until the journal holds them.
    pub(crate) planned: Vec<PlannedStart>,
    /// Runs in the journal whose start order waits until the ownership is confirmed.
    pub(crate) unsent: Vec<PlannedStart>,
    /// Start orders are held back.
    pub(crate) hold_starts: bool,
    /// The batch being appended, and what takes effect once the append is confirmed.
    pub(crate) in_flight: Option<(BatchId, BatchEffects)>,
    /// When the append of that batch was requested.
    pub(crate) append_sent: Time,
    pub(crate) next_batch: u64,
    pub(crate) outputs: Vec<Output>,
    /// Run times and arrivals observed for each queue.
    pub(crate) queue_stats: Map<QueueName, QueueStats>,
    /// Set by an event that may let a waiting task start; the next poll then runs the scheduler.
    pub(crate) reschedule: bool,
    pub(crate) now: Time,
    pub(crate) tallies: Tallies,
    pub(crate) backlog: Backlog,
    pub(crate) admission: Admission,
    /// Runs that were recently abandoned because their worker stopped answering.
    pub(crate) abandoned: Map<WorkerId, AbandonedRuns>,
    /// Addresses of workers that crashed recently, with the time of the last crash.
    pub(crate) crash_times: Map<SocketAddr, Time>,
    /// Set while the records of earlier owners are being read.
    pub(crate) restoring: bool,
    /// Greatest age of a job that counts as an arrival if an earlier owner accepted it.
    pub(crate) restored_age: Duration,
    /// How long an earlier owner may keep renewing leases after this owner's takeover.
    pub(crate) renewal_overlap: Duration,
    /// Start orders are sent without the job's spec, so they count as smaller.
    pub(crate) specs_omitted: bool,
    /// The owner's network link is saturated, so answers may be late.
    pub(crate) link_full: bool,
    /// Polls renew leases; cleared when the ownership was not confirmed recently.
    pub(crate) renew_leases: bool,
}

impl Cell {
    /// Creates an empty cell that is owned under `epoch`.
    pub fn new(bounds: Bounds, epoch: u64, config: Arc<FleetConfig>) -> Self {
        let mut queue_limits = QueueLimits::default();
        queue_limits.learn(&config);
        Self {
            bounds,
            policy: WorkPolicy::default(),
            fence: epoch << FENCE_BITS,
            last_poll: 0,
            config,
            queue_limits,
            jobs: Jobs::default(),
            open: Set::default(),
            wait_queue: WaitQueue::default(),
            sweeps: Sweeps::default(),
            due_turns: BTreeSet::new(),
            held_turns: BTreeSet::new(),
            held_checked: Time::default(),
            open_state: OpenState::default(),
            state_limits: StateLimits::default(),
            finished: Map::default(),
            finished_order: VecDeque::new(),
            obsolete: Vec::new(),
            undropped: Set::default(),
            last_drop: Time::default(),
            workers: Workers::default(),
            silences: Silences::default(),
            removing: Set::default(),
            maintenance_due: Set::default(),
            evacuated: Arc::default(),
            inventory: None,
            last_evacuation: Time::default(),
            preemptors: Preemptors::default(),
            usage: Usage::default(),
            shares: Shares::default(),
            tickets: Map::default(),
            ticket_ends: BTreeSet::new(),
            cancelled: Set::default(),
            encoded_submissions: Map::default(),
            dirty: Set::default(),
            deferred: Set::default(),
            planned: Vec::new(),
            unsent: Vec::new(),
            hold_starts: false,
            in_flight: None,
            append_sent: Time::default(),
            next_batch: 1,
            outputs: Vec::new(),
            queue_stats: Map::default(),
            reschedule: true,
            now: Time::default(),
            tallies: Tallies::default(),
            backlog: Backlog::default(),
            admission: Admission::default(),
            abandoned: Map::default(),
            crash_times: Map::default(),
            restoring: true,
            restored_age: MAX_RESTORED_AGE,
            renewal_overlap: Duration::ZERO,
            specs_omitted: false,
            link_full: false,
            renew_leases: true,
        }
    }

    /// Replaces the scheduling policy.
    pub fn with_policy(self, policy: WorkPolicy) -> Self {
        Self { policy, ..self }
    }

    /// Counts jobs that earlier owners accepted as arrivals up to an outage of this length ago, too.
    pub fn with_outage(self, limit: Duration) -> Self {
        let restored_age = MAX_RESTORED_AGE + limit;
        Self {
            restored_age,
            ..self
        }
    }

    /// Reports that all records of earlier owners were read.
    pub fn finish_restore(&mut self) {
        for id in self.open.iter().copied().collect::<Vec<_>>() {
            self.settle_restored(id);
        }
        self.restoring = false;
    }

    /// Reports that an earlier owner may still be active and may renew leases on the workers it
    /// reaches.
    pub fn expect_previous_owner(&mut self) {
        self.renewal_overlap = RENEW_WITHOUT_STORE;
    }

    /// Returns the counts since the previous call and resets them.
    pub fn take_tallies(&mut self) -> Tallies {
        std::mem::take(&mut self.tallies)
    }

    /// Version of the configuration in use.
    pub fn config_version(&self) -> u64 {
        self.config.version
    }

    /// Sets the data centres in which no task is started; tasks that already run there continue.
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

    /// Sets the instances of the fleet, from which it follows which work could be done if they were
    /// moved to its pool.
    pub fn list_instances(&mut self, instances: &[Instance]) {
        self.inventory = Some(Inventory::new(instances, &self.evacuated));
    }

    /// Switches to a newer configuration; ignores an older one.
    pub fn configure(&mut self, now: Time, config: Arc<FleetConfig>) {
        self.now = now;
        if config.version < self.config.version {
            return;
        }
        self.config = config;
        self.queue_limits.learn(&self.config);
        for id in &self.open {
            self.jobs.get_mut(id);
        }
        self.settle_held_jobs();
        self.forget_queues();
        self.reschedule = true;
    }

    /// State of a job as callers see it; `None` if the job is unknown.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        let kept = self.finished.get(&id).map(|k| k.job.state);
        kept.or_else(|| self.jobs.get(&id).map(Job::reported_state))
    }

    /// Team that owns a job; `None` if the job is unknown or has no team.
    pub fn team(&self, id: JobId) -> Option<&TeamName> {
        match self.finished.get(&id) {
            Some(kept) => kept.job.team.as_ref(),
            None => self.jobs.get(&id)?.sub.team.as_ref(),
        }
    }

    /// Number of jobs of a queue of which no task is known to have started.
    pub fn pending_jobs(&self, queue: &QueueName) -> u64 {
        let jobs = self.open.iter().filter_map(|id| self.jobs.get(id));
        let waiting = jobs.filter(|j| j.sub.queue == *queue && !j.started);
        waiting.count() as u64
    }

    /// How long the batch in flight has been waiting for its append; `None` if no batch is in
    /// flight.
    pub fn append_age(&self, now: Time) -> Option<Duration> {
        self.in_flight.as_ref().map(|_| now.since(self.append_sent))
    }

    /// Reports that the ownership was last confirmed `age` ago. Once `age` reaches
    /// [`RENEW_WITHOUT_STORE`], polls stop renewing leases, because a newer owner may rely on
    /// their expiry.
    pub fn set_ownership_age(&mut self, age: Duration) {
        self.renew_leases = age < RENEW_WITHOUT_STORE;
    }

    /// Sets whether start orders are held back, because they would not be sent while the ownership is
    /// not confirmed. An order that is dropped costs a new plan and another append to the journal,
    /// and closes its worker for a while although it says nothing about that worker.
    pub fn hold_starts(&mut self, hold: bool) {
        self.hold_starts = hold;
    }

    /// Sets the limits of the open jobs' state.
    pub fn limit_state(&mut self, limits: StateLimits) {
        self.state_limits = limits;
    }

    /// Size of the open jobs' state, in bytes.
    pub fn state_size(&self) -> u64 {
        self.open_state.used()
    }

    /// Room in the state for a new job of a team.
    pub fn state_room(&self, team: Option<&TeamName>) -> StateRoom {
        let share = self.weight_share(team);
        self.open_state.room(&self.state_limits, team, share)
    }

    /// A team's share of all teams' weight.
    pub(crate) fn weight_share(&self, team: Option<&TeamName>) -> f64 {
        let teams = &self.config.teams;
        let weight = team.and_then(|t| teams.get(t)).map(|t| t.weight.get());
        let all: f64 = teams.values().map(|t| t.weight.get()).sum();
        weight.filter(|_| all > 0.0).map_or(0.0, |w| w / all)
    }

    /// Updates what a job counts with in the state's size.
    pub(crate) fn recount(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut_untracked(&id) {
            let size = job.size();
            let before = std::mem::replace(&mut job.counted, size);
            self.open_state.replace(job.sub.team.as_ref(), before, size);
        }
    }

    /// Takes a removed job out of the state's size.
    pub(crate) fn discount(&mut self, job: &Job) {
        self.open_state
            .replace(job.sub.team.as_ref(), job.counted, 0);
    }

    /// Sets whether start orders are sent without the job's spec.
    pub fn omit_specs(&mut self, omit: bool) {
        self.specs_omitted = omit;
    }

    /// Sets whether the owner's network link is saturated, so that answers may be late.
    pub fn set_link_full(&mut self, full: bool) {
        self.link_full = full;
    }

    /// Updates the indexes for the jobs and workers that changed since the last call.
    pub(crate) fn update_indexes(&mut self) {
        self.workers.update_indexes();
        let due = self.wait_queue.stale(self.now);
        let added = self.workers.roster_mut().take_added();
        let added = added.iter();
        let unblocked: Set<JobId> = added
            .flat_map(|(service, shape)| self.wait_queue.blocked_on(service, shape))
            .collect();
        let touched = self.jobs.take_touched().into_iter();
        for id in touched.chain(due).chain(unblocked) {
            let queued = self.jobs.get(&id).and_then(|job| self.queue_entry(job));
            self.wait_queue.update(id, queued);
        }
    }

    /// Advances the state machine and returns the outputs to carry out. `wall` is in milliseconds
    /// since 1970.
    pub fn poll(&mut self, now: Time, wall: u64) -> Vec<Output> {
        self.now = now;
        self.begin_due_turns(wall);
        self.expire_silent_workers();
        self.reschedule |= self.workers.expire_reservations(now);
        self.reschedule |= self.release_holds();
        self.evacuate();
        self.prune_finished();
        self.reschedule |= self.workers.take_opened(now);
        self.send_held_starts();
        self.expire_tickets();
        if self.in_flight.is_none() {
            if self.reschedule {
                self.reschedule = false;
                self.schedule();
            } else if self.sweeps.next().is_some_and(|due| due <= now) {
                self.continue_sweeps();
            }
            self.write_batch();
        }
        self.drop_submissions();
        self.poll_due_workers();
        self.count_room();
        self.log_backlog();
        std::mem::take(&mut self.outputs)
    }

    /// Latest time for the next [`Self::poll`] if no event arrives before.
    pub fn next_wake(&self) -> Time {
        let soon = self.now.after(Duration::from_millis(100));
        let poll = self.workers.next_poll();
        let reopening = self.workers.next_reopening();
        let held = (!self.unsent.is_empty()).then(|| self.now.after(HELD_START_CHECK));
        let ticket = self.ticket_ends.first().map(|(at, _)| *at);
        let events = [poll, reopening, held, ticket, self.sweeps.next()];
        let events = events.into_iter().flatten();
        events.fold(soon, |earliest, at| earliest.min(at))
    }

    pub(crate) fn worker_mut(&mut self, id: &WorkerId) -> &mut Worker {
        self.workers.get_or_add(id, self.fence, self.now)
    }

    /// Puts a job into a final state: stops its runs and starts no more of its tasks.
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

    /// Stops every run of a job and releases those that were not ordered yet.
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

    /// Abandons the runs of unresponsive workers whose leases have certainly expired, and removes
    /// those of these workers that are no longer registered.
    fn expire_silent_workers(&mut self) {
        let (lease, overlap) = (self.bounds.lease, self.renewal_overlap);
        let now = self.now;
        self.workers.update_indexes();
        let expired: Vec<WorkerId> = self
            .workers
            .silent()
            .filter(|w| w.allocations.is_empty() || w.has_expired(lease, overlap, now))
            .map(|w| w.id.clone())
            .collect();
        for id in expired {
            self.abandon_runs(&id);
            if self.workers.get(&id).is_some_and(|w| w.entry.is_none()) {
                self.workers.remove(&id);
            }
        }
    }

    /// Forgets finished jobs after the retention time.
    fn prune_finished(&mut self) {
        let retention = self.bounds.retention.duration() + RETENTION_MARGIN;
        let now = self.now;
        while let Some(id) = self.finished_order.front() {
            let known = self.finished.get(id);
            let queried = known.is_some_and(|k| now.since(k.ended) <= retention);
            if queried || self.undropped.contains(id) {
                return;
            }
            self.finished.remove(id);
            self.dirty.insert(*id);
            self.finished_order.pop_front();
        }
    }
}
