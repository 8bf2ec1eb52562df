//! Finds the task that takes its workers down, and gives its job up.

use std::net::SocketAddr;
use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::{JobState, ServiceName, TaskId, WorkerId};

use crate::attempt::Phase;
use crate::cell::Cell;
use crate::crash::{Crash, is_to_blame};
use crate::free_index::Scope;
use crate::place::{Constraints, Placement, fits, is_far};
use crate::worker::Worker;

/// Part of a service's open workers that may be reserved for suspects: the rest goes on with other work.
const RESERVED_DIVISOR: usize = 2;

/// Workers that are compared for a suspect, the emptiest first.
const CANDIDATES: usize = 16;

/// Time for which a suspect avoids the address of a worker that crashed: instances that go down by
/// themselves would speak against it.
const AVOID_CRASHED_TTL: Duration = Duration::from_secs(30);

/// Crashes that are kept of a task; those beyond that other starts explain are dropped.
const MAX_CRASHES_KEPT: usize = 16;

/// Time for which a silent worker's return is waited for.
const RETURN_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs that were given up with their silent worker.
#[derive(Debug)]
pub(crate) struct AbandonedRuns {
    /// The worker's life.
    born: u64,
    at: Time,
    runs: Vec<(TaskId, u32)>,
}

/// A run that was, or may have been, on a worker that ended.
struct CrashedRun {
    task: TaskId,
    run: u32,
    fresh: bool,
    /// This owner ordered it, and it surely started.
    started: bool,
    cleared: bool,
}

impl CrashedRun {
    /// What the worker's end says, with so many fresh runs there.
    fn crash(&self, fresh: usize, proven: bool) -> Crash {
        Crash {
            run: self.run,
            fresh: self.fresh,
            proven,
            alone: proven && self.started && self.fresh && fresh == 1,
            explained: fresh > usize::from(self.fresh),
        }
    }
}

impl Cell {
    /// Counts a worker's end against the tasks of its runs; gives those that are to blame. Of runs in
    /// `doubtful` it is noted, and counts once they are known to be gone.
    pub(crate) fn count_crash(
        &mut self,
        id: &WorkerId,
        runs: &[(TaskId, u32)],
        doubtful: &[(TaskId, u32)],
        proven: bool,
    ) -> Vec<TaskId> {
        let witnesses = |runs: &[(TaskId, u32)]| -> Vec<CrashedRun> {
            let runs = runs.iter();
            runs.filter_map(|(task, run)| self.witness(*task, *run, id))
                .collect()
        };
        let (gone, kept) = (witnesses(runs), witnesses(doubtful));
        let fresh = gone.iter().chain(&kept).filter(|w| w.fresh).count();
        for witness in kept {
            let crash = witness.crash(fresh, proven);
            if let Some(attempt) = self.attempt_mut(witness.task, witness.run, id) {
                attempt.crash = Some(crash);
            }
        }
        let mut blamed = Vec::new();
        for witness in gone {
            let crash = witness.crash(fresh, proven);
            if self.record_crash(witness.task, crash, witness.cleared) {
                blamed.push(witness.task);
            }
        }
        blamed
    }

    /// A run is gone; if it went with its worker, that counts. Gives the task if it is to blame.
    pub(crate) fn confirm_crash(
        &mut self,
        task: TaskId,
        run: u32,
        id: &WorkerId,
    ) -> Option<TaskId> {
        let crash = self.attempt_mut(task, run, id)?.crash.take()?;
        self.record_crash(task, crash, false).then_some(task)
    }

    fn witness(&self, task: TaskId, run: u32, id: &WorkerId) -> Option<CrashedRun> {
        let alive = self.workers.get(id)?.last_alive;
        let attempt = self.attempt(task, run, id);
        // It was never ordered.
        let attempt = attempt.filter(|a| a.phase != Phase::Planned)?;
        Some(CrashedRun {
            task,
            run,
            fresh: !attempt.passed_probation(alive),
            started: attempt.is_own() && attempt.start_confirmed,
            cleared: attempt.is_exonerated(alive),
        })
    }

    /// True if the task is to blame.
    fn record_crash(&mut self, id: TaskId, crash: Crash, cleared: bool) -> bool {
        let Some(job) = self.jobs.get_mut(&id.job()) else {
            return false;
        };
        let lasting = job.step(id).is_some_and(|s| s.lasting);
        let Some(task) = job.task_mut(id) else {
            return false;
        };
        if cleared {
            task.crashes.clear();
            return false;
        }
        if task.done || task.crashes.iter().any(|c| c.run == crash.run) {
            return false;
        }
        if task.crashes.len() >= MAX_CRASHES_KEPT
            && let Some(oldest) = task.crashes.iter().position(|c| c.explained)
        {
            task.crashes.remove(oldest);
        }
        task.crashes.push(crash);
        is_to_blame(&task.crashes, lasting)
    }

    /// Runs on a silent worker are given up: it has crashed, or is cut off.
    pub(crate) fn remember_abandoned(&mut self, id: &WorkerId, runs: &[(TaskId, u32)]) {
        let Some(worker) = self.workers.get(id).filter(|_| !runs.is_empty()) else {
            return;
        };
        let now = self.now;
        self.abandoned
            .retain(|_, g| now.since(g.at) < RETURN_TIMEOUT);
        let given_up = AbandonedRuns {
            born: worker.born,
            at: now,
            runs: runs.to_vec(),
        };
        self.abandoned.insert(id.clone(), given_up);
    }

    /// A worker answers in this life. If its runs were given up in the same one, it was cut off.
    pub(crate) fn retract_crashes(&mut self, id: &WorkerId, born: u64) {
        let Some(given_up) = self.abandoned.remove(id) else {
            return;
        };
        for (id, run) in given_up.runs {
            let job = self.jobs.get_mut(&id.job());
            let task = job.and_then(|j| j.task_mut(id));
            if let Some(task) = task.filter(|_| given_up.born == born) {
                task.crashes.retain(|c| c.run != run || c.proven);
            }
        }
    }

    /// Gives up the jobs of tasks that take their workers down.
    pub(crate) fn fail_crashing_jobs(&mut self, blamed: &[TaskId]) {
        for id in blamed {
            let Some(job) = self.jobs.get(&id.job()).filter(|j| j.is_open()) else {
                continue;
            };
            let crashes = job.task(*id).map_or(0, |t| t.crashes.len()) as u64;
            let took = self.now.since(job.arrived).as_millis() as u64;
            log::warn!(
                job:% = id.job(), task:% = id, crashes = crashes, took_ms = took;
                "job given up: it takes its workers down"
            );
            self.tallies.jobs_given_up += 1;
            self.finish(id.job(), JobState::Failed);
        }
    }

    /// Whether a worker has outlived every start there.
    fn has_settled_runs(&self, worker: &Worker) -> bool {
        let runs = worker.allocations.iter();
        let mut attempts = runs.map(|(t, h)| self.attempt(*t, h.run, &worker.id));
        attempts.all(|a| a.is_some_and(|a| a.passed_probation(worker.last_alive)))
    }

    /// Where a task starts that may take its worker down: where every start was outlived.
    pub(crate) fn place_suspect(
        &self,
        service: &ServiceName,
        constraints: &Constraints<'_>,
    ) -> Placement {
        let now = self.now;
        let Some(free_index) = self.workers.free_index(service) else {
            return Placement::Wait;
        };
        let roomy = free_index.emptiest(Scope::All, constraints.step.reserved().cpu);
        let fitting = roomy.filter_map(|n| self.workers.by_number(n));
        let fitting = fitting.filter(|w| fits(w, constraints, now));
        let fitting: Vec<&Worker> = fitting.take(CANDIDATES).collect();
        let cost = |w: &&Worker| {
            let crashed = w.addr.is_some_and(|a| self.crashed_recently(a));
            (crashed, is_far(w, constraints), w.used.cpu)
        };
        let settled = fitting.iter().copied().filter(|w| self.has_settled_runs(w));
        if let Some(worker) = settled.min_by_key(cost) {
            return Placement::At(worker.id.clone());
        }
        let most = (free_index.len() / RESERVED_DIVISOR).max(1);
        let kept = self.workers.reserved().filter(|w| w.belongs_to(service));
        let free = fitting.into_iter().filter(|w| !w.is_reserved(now));
        match free.min_by_key(cost) {
            Some(worker) if kept.count() < most => Placement::Reserve(worker.id.clone()),
            _ => Placement::Wait,
        }
    }

    /// A suspect is about to start on a worker that is reserved for it.
    pub(crate) fn begin_trial(&mut self, id: &WorkerId, task: TaskId) {
        log::info!(task:% = task, worker:% = id; "suspect starts apart from other starts");
        if let Some(worker) = self.workers.get_mut(id) {
            worker.trial_task = Some(task);
        }
    }

    /// A worker has answered: if it has outlived the start of a suspect, that is one no more.
    pub(crate) fn end_trial(&mut self, id: &WorkerId) {
        let now = self.now;
        let worker = self.workers.get(id).filter(|w| w.is_reserved(now));
        if !worker.is_some_and(|w| self.has_settled_runs(w)) {
            return;
        }
        self.reschedule = true;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(task) = worker.trial_task.take() else {
            return;
        };
        worker.reserved_until = Time::default();
        if !worker.allocations.contains_key(&task) {
            return;
        }
        let job = self.jobs.get_mut(&task.job());
        let last = job.and_then(|j| j.task_mut(task)?.crashes.last_mut());
        if let Some(crash) = last {
            crash.fresh = false;
        }
    }

    /// Notes where a worker has crashed.
    pub(crate) fn record_crash_addr(&mut self, addr: SocketAddr) {
        let now = self.now;
        self.crash_times
            .retain(|_, at| now.since(*at) < AVOID_CRASHED_TTL);
        self.crash_times.insert(addr, now);
    }

    fn crashed_recently(&self, addr: SocketAddr) -> bool {
        let at = self.crash_times.get(&addr);
        at.is_some_and(|at| self.now.since(*at) < AVOID_CRASHED_TTL)
    }
}
