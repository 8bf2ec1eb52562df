//! The scheduling cycle: assigns pending tasks to workers with enough free room.

use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::{Cap, JobId, Room, ServiceName, Step, StepId, WorkerId};

use crate::advice::Permitted;
use crate::attempt::{Attempt, Phase};
use crate::batch::PlannedStart;
use crate::cell::Cell;
use crate::choices::{Choice, Choices};
use crate::finished::Redone;
use crate::health::Trial;
use crate::job::Job;
use crate::learned::QueueStats;
use crate::misses::Misses;
use crate::place::{Affinity, Constraints, Placement, pick_redeemable, pick_worker};
use crate::rank::{Rank, rank};
use crate::run_state::StepRun;
use crate::sweep::Position;
use crate::wait_queue::QueuedJob;
use crate::worker::Allocation;

/// Longest time for which a rank is cached: new statistics on run times change it.
const RANK_TTL: Duration = Duration::from_millis(500);

/// A step with tasks that wait for a worker.
pub(crate) struct PendingStep {
    pub(crate) id: StepId,
    /// Index of the occurrence in `Job::turns`.
    turn: usize,
    /// Indices of the tasks without an attempt.
    pub(crate) free: Vec<usize>,
}

impl Cell {
    /// Assigns pending tasks to workers, jobs with the best rank first.
    pub(crate) fn schedule(&mut self) {
        self.update_indexes();
        let swept = self.sweeps.is_due(self.now);
        for service in self.wait_queue.services() {
            if self.workers.free_index(&service).is_some() {
                self.schedule_held(&service);
                self.schedule_service(&service, swept);
                self.preempt(&service);
            }
        }
        if swept {
            self.sweeps.record(self.now);
        }
    }

    /// Goes on through the queues that earlier cycles did not complete.
    pub(crate) fn continue_sweeps(&mut self) {
        self.update_indexes();
        for service in self.sweeps.services() {
            self.sweep(&service, &mut Misses::default());
        }
        self.sweeps.record(self.now);
    }

    /// Assigns the pending tasks of one service to its workers: those at the front of its queue, and
    /// if `swept` is set a part of those behind.
    fn schedule_service(&mut self, service: &ServiceName, swept: bool) {
        let mut misses = Misses::default();
        match self.place_jobs(service, None, &mut misses, Misses::ends_front) {
            None => self.sweeps.remove(service),
            Some(front) => {
                self.sweeps.begin(service, front);
                if swept {
                    self.sweep(service, &mut misses);
                }
            }
        }
    }

    /// Examines the next part of a service's queue behind the front.
    fn sweep(&mut self, service: &ServiceName, misses: &mut Misses) {
        let Some(sweep) = self.sweeps.get(service) else {
            return;
        };
        misses.idle_steps = 0;
        let stopped = self.place_jobs(service, Some(sweep.last), misses, Misses::ends_sweep);
        self.sweeps.advance(service, stopped);
    }

    /// Assigns the tasks of the jobs behind `last` until `ends` tells to stop; returns the job that
    /// was examined last, or `None` at the end of the queue.
    fn place_jobs(
        &mut self,
        service: &ServiceName,
        mut last: Option<Position>,
        misses: &mut Misses,
        ends: impl Fn(&Misses) -> bool,
    ) -> Option<Position> {
        while let Some(next) = self.wait_queue.next(service, last) {
            last = Some(next);
            self.place_job(next.1, service, misses);
            if ends(misses) {
                return last;
            }
        }
        None
    }

    /// The current rank of a job, and the time until which that rank is valid.
    pub(crate) fn rank(&self, job: &Job) -> (Rank, Time) {
        let queue = self.config.queues.get(&job.sub.queue);
        let learned = self.queue_stats.get(&job.sub.queue);
        let factor = learned.map_or(1.0, QueueStats::slowdown);
        let (rank, until) = rank(job, queue, factor, self.now);
        match self.policy.begun {
            true => (rank, until),
            false => (rank.ignoring_started(), until),
        }
    }

    /// The entry of a job in the wait queue; `None` if none of its tasks waits for a worker.
    pub(crate) fn queue_entry(&self, job: &Job) -> Option<QueuedJob> {
        let held = self.queue_limits.is_held(job.sub.job);
        if !job.is_open() || held || !has_free_task(job) {
            return None;
        }
        let (rank, until) = self.rank(job);
        let service = self.service_of(job);
        let waiting = self.waiting(job, &service);
        Some(QueuedJob {
            service,
            team: job.sub.team.clone(),
            rank,
            valid_until: until.min(self.now.after(RANK_TTL)),
            work: waiting.work,
            tasks: waiting.tasks,
            blocked: waiting.blocked,
        })
    }

    /// Service whose workers run a job's tasks: the current service of its queue, or the one at
    /// submission if the queue was removed.
    pub(crate) fn service_of(&self, job: &Job) -> ServiceName {
        let queue = self.config.queues.get(&job.sub.queue);
        queue.map_or_else(|| job.sub.service.clone(), |q| q.service.clone())
    }

    /// Places the jobs for which runs were stopped and the room is free now. They go first: no other
    /// job may use that room, so the misses of others say nothing about theirs.
    fn schedule_held(&mut self, service: &ServiceName) {
        for job in self.ready_holds(service) {
            self.place_job(job, service, &mut Misses::default());
        }
    }

    /// Assigns as many tasks of a job as possible to workers.
    fn place_job(&mut self, id: JobId, service: &ServiceName, misses: &mut Misses) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (sub, turns) = (job.sub.clone(), job.turns.len());
        for turn in 0..turns {
            for (number, step) in sub.steps.iter().enumerate() {
                self.place_step((id, turn, number), step, service, misses);
            }
        }
    }

    fn place_step(
        &mut self,
        (id, turn, number): (JobId, usize, usize),
        step: &Step,
        service: &ServiceName,
        misses: &mut Misses,
    ) {
        let Some(pending) = self.pending_step(id, turn, number, step) else {
            return;
        };
        misses.idle_steps += 1;
        let allowed = match self.permitted(pending.id, step, service) {
            Permitted::Any => None,
            Permitted::Only(workers) => Some(workers),
            Permitted::Pending => return,
        };
        let choices = self.pick_workers(&pending, step, service, allowed.as_deref(), misses);
        if step.gang && choices.len() < step.count as usize {
            for choice in &choices {
                self.workers
                    .cancel_allocation(&choice.worker, choice.task, choice.run);
            }
            return;
        }
        if step.gang
            && let Some(job) = self.jobs.get_mut(&id)
        {
            // The tasks' records in the journal hold the value before any member starts.
            job.turns[turn].steps[number].share_checkpoint();
        }
        if !choices.is_empty() {
            misses.idle_steps -= 1;
        }
        for choice in choices {
            self.plan(choice, step);
        }
    }

    /// The tasks of a step that wait for a worker; `None` if there are none, or if an earlier step
    /// has to be done first.
    pub(crate) fn pending_step(
        &self,
        id: JobId,
        turn: usize,
        number: usize,
        step: &Step,
    ) -> Option<PendingStep> {
        let job = self.jobs.get(&id)?;
        let at = &job.turns[turn];
        if !at.is_ready(step) || at.steps[number].is_done() {
            return None;
        }
        let free = free_tasks(&at.steps[number], step);
        let id = job.step_id(at.number, number);
        (!free.is_empty()).then_some(PendingStep { id, turn, free })
    }

    /// Picks workers for the step's tasks and allocates the room there; stops at the first task
    /// that no worker can run.
    fn pick_workers(
        &mut self,
        pending: &PendingStep,
        step: &Step,
        service: &ServiceName,
        allowed: Option<&[WorkerId]>,
        misses: &mut Misses,
    ) -> Vec<Choice> {
        let Some(job) = self.jobs.get(&pending.id.job) else {
            return Vec::new();
        };
        let run = &job.turns[pending.turn].steps[pending.id.step as usize];
        let mut chosen = self.new_choices(job, run, step);
        // Without further constraints, room that no worker has for one task is missing for the other
        // tasks of the step too.
        let unconstrained = allowed.is_none() && step.spread == 0;
        for &index in &pending.free {
            if !chosen.cap.admits(chosen.used, step.room) {
                // The team's quota is used up. This is not counted as a miss, because tasks of
                // other teams may still fit.
                break;
            }
            // A gang is not isolated as a suspect, because it starts on several workers at once.
            let suspect = run.tasks[index].is_suspect() && !step.gang;
            if !suspect && misses.covers(step) {
                if !self.is_blocked(pending.id, run, step, service) {
                    misses.add();
                }
                break;
            }
            let constraints = Constraints {
                step,
                id: pending.id,
                per_worker: &chosen.per_worker,
                suspect,
                avoid: run.tasks[index].failed_on.as_ref(),
                rack: chosen.rack.as_deref(),
                affinity: chosen.affinity.as_ref().filter(|_| self.policy.home),
                allowed,
                maintenance: &self.maintenance_due,
                pack: self.policy.pack,
            };
            let worker = match self.place(service, &constraints) {
                Placement::At(worker) => worker,
                // `Wait` and `Reserve` say nothing about the room for other tasks.
                Placement::Wait => continue,
                Placement::Reserve(worker) => {
                    self.workers.reserve(&worker, self.now);
                    continue;
                }
                Placement::NoFit => {
                    // A blocked step says nothing about the room for other tasks.
                    if !self.is_blocked(pending.id, run, step, service) {
                        misses.record(step, unconstrained, chosen.made.len());
                    }
                    break;
                }
            };
            if suspect {
                self.workers.reserve(&worker, self.now);
            }
            let choice = Choice::new(pending.id, index, &run.tasks[index], worker);
            self.workers
                .allocate(&choice.worker, choice.task, held(choice.run, step));
            let place = self.workers.get(&choice.worker);
            chosen.add(choice, step, place.and_then(|w| w.entry.as_ref()));
        }
        chosen.made
    }

    fn new_choices(&self, job: &Job, run: &StepRun, step: &Step) -> Choices {
        let (used, cap) = self.quota(job);
        Choices {
            made: Vec::new(),
            per_worker: match step.spread {
                0 => Map::default(),
                _ => attempts_by_worker(run),
            },
            rack: self.current_rack(run, step),
            affinity: self.affinity(job),
            used,
            cap,
        }
    }

    fn place(&self, service: &ServiceName, constraints: &Constraints<'_>) -> Placement {
        if constraints.suspect {
            return self.place_suspect(service, constraints);
        }
        let worker = pick_worker(&self.workers, service, constraints, self.now)
            .or_else(|| pick_redeemable(&self.workers, service, constraints, self.now));
        worker.map_or(Placement::NoFit, Placement::At)
    }

    /// Room used by the runs of a job's team, and the team's quota.
    pub(crate) fn quota(&self, job: &Job) -> (Room, Cap) {
        let team = job.sub.team.as_ref();
        let used = team.map(|t| self.usage.of(t)).unwrap_or_default();
        let cap = team.and_then(|t| self.config.teams.get(t));
        (used, cap.map(|t| t.cap).unwrap_or_default())
    }

    /// Data centre and rack of the job's first attempt; `None` if it has none.
    fn affinity(&self, job: &Job) -> Option<Affinity> {
        let (_, attempt) = job.attempts().next()?;
        let entry = self.workers.get(&attempt.worker)?.entry.as_ref()?;
        Some(Affinity::of(entry))
    }

    /// Rack on which a step already has an attempt; `None` if there is none or the step need not
    /// stay on a single rack.
    fn current_rack(&self, run: &StepRun, step: &Step) -> Option<String> {
        if !step.tight {
            return None;
        }
        let attempt = run.tasks.iter().flat_map(|t| &t.attempts).next()?;
        let entry = self.workers.get(&attempt.worker)?.entry.as_ref()?;
        entry.rack().map(str::to_owned)
    }

    /// Plans a run. Its start order is sent once the journal holds the run.
    fn plan(&mut self, choice: Choice, step: &Step) {
        let now = self.now;
        let Choice { task, run, worker } = choice;
        let Some(place) = self.workers.get(&worker) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job()) else {
            return;
        };
        if !std::mem::replace(&mut job.ever_planned, true) {
            let waited = now.since(job.arrived).as_millis() as u64;
            log::info!(
                job:% = task.job(), queue:% = job.sub.queue, waited_ms = waited,
                worker:% = worker, version = self.config.version;
                "first run of job planned"
            );
        }
        let sub = job.sub.clone();
        let Some(state) = job.task_mut(task) else {
            return;
        };
        state.run = run;
        let given_up = std::mem::take(&mut state.abandoned);
        let suspect = state.is_suspect() && !step.gang;
        let mut attempt = Attempt::new(worker.clone(), place.born, run, Phase::Planned, now);
        attempt.fence = place.fence;
        state.attempts.push(attempt);
        if given_up {
            job.redone.push(Redone { task, run });
        }
        if suspect {
            self.begin_trial(&worker, task);
        }
        self.usage.add(sub.team.as_ref(), step.room);
        self.release_hold(&worker, task.step);
        self.dirty.insert(task.job());
        self.planned.push(PlannedStart { task, run, worker });
    }
}

/// The allocation for a run of a step on its worker.
pub(crate) fn held(run: u32, step: &Step) -> Allocation {
    Allocation {
        run,
        room: step.reserved(),
        lasting: step.lasting,
        serves: step.serves(),
        filler: step.filler,
        trial: Trial::Open,
    }
}

fn has_free_task(job: &Job) -> bool {
    job.turns.iter().any(|turn| {
        let steps = turn.steps.iter().zip(job.sub.steps.iter());
        let mut open = steps.filter(|(run, step)| !run.is_done() && turn.is_ready(step));
        open.any(|(run, _)| run.tasks.iter().any(|t| t.is_pending()))
    })
}

pub(crate) fn free_tasks(run: &StepRun, step: &Step) -> Vec<usize> {
    let free = run.tasks.iter().enumerate().filter(|(_, t)| t.is_pending());
    let free: Vec<usize> = free.map(|(i, _)| i).collect();
    match step.gang && free.len() < run.tasks.len() {
        // A gang starts as a whole, so all attempts of its previous run have to be over.
        true => Vec::new(),
        false => free,
    }
}

/// Number of attempts of a step on each worker.
pub(crate) fn attempts_by_worker(run: &StepRun) -> Map<WorkerId, u32> {
    let mut found: Map<WorkerId, u32> = Map::default();
    for attempt in run.tasks.iter().flat_map(|t| &t.attempts) {
        *found.entry(attempt.worker.clone()).or_default() += 1;
    }
    found
}
