//! Finds tasks that crash their workers, and fails their jobs.

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

/// At most one worker in this many of a service's open workers is reserved for suspects; the
/// others continue with other tasks.
const RESERVED_DIVISOR: usize = 2;

/// Number of workers that are compared when placing a suspect, emptiest first.
const MAX_CANDIDATES: usize = 16;

/// How long a suspect avoids the address of a worker that crashed. An instance that crashes by
/// itself would count as evidence against the suspect.
const AVOID_CRASHED_TTL: Duration = Duration::from_secs(30);

/// Maximum number of crashes kept per task. Beyond it, the oldest crash that another start
/// explains is dropped.
const MAX_CRASHES_KEPT: usize = 16;

/// How long an unresponsive worker may take to return for its crash to be retracted.
const RETURN_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs that were abandoned because their worker did not answer.
#[derive(Debug)]
pub(crate) struct AbandonedRuns {
    /// Start time of the worker's incarnation.
    born: u64,
    /// When the runs were abandoned.
    at: Time,
    runs: Vec<(TaskId, u32)>,
}

/// A run that was, or may have been, on a worker that crashed.
struct CrashedRun {
    task: TaskId,
    run: u32,
    /// The run had started so recently that it may have caused the crash.
    fresh: bool,
    /// This owner ordered the run, and it certainly started.
    started: bool,
    /// The run shows that its task does not crash workers, so the task's crashes are forgotten.
    cleared: bool,
}

impl CrashedRun {
    /// The crash to record for this run, given the number of fresh runs on the worker.
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
    /// Records a worker's crash against the tasks of its runs and returns the tasks that are to
    /// blame. For runs in `doubtful` the crash is only noted; it counts once they are known to be
    /// lost.
    pub(crate) fn count_crash(
        &mut self,
        id: &WorkerId,
        runs: &[(TaskId, u32)],
        doubtful: &[(TaskId, u32)],
        proven: bool,
    ) -> Vec<TaskId> {
        let crashed_runs = |runs: &[(TaskId, u32)]| -> Vec<CrashedRun> {
            let runs = runs.iter();
            runs.filter_map(|(task, run)| self.crashed_run(*task, *run, id))
                .collect()
        };
        let (lost, uncertain) = (crashed_runs(runs), crashed_runs(doubtful));
        let fresh = lost.iter().chain(&uncertain).filter(|w| w.fresh).count();
        for crashed in uncertain {
            let crash = crashed.crash(fresh, proven);
            if let Some(attempt) = self.attempt_mut(crashed.task, crashed.run, id) {
                attempt.crash = Some(crash);
            }
        }
        let mut blamed = Vec::new();
        for crashed in lost {
            let crash = crashed.crash(fresh, proven);
            if self.record_crash(crashed.task, crash, crashed.cleared) {
                blamed.push(crashed.task);
            }
        }
        blamed
    }

    /// Called when a run is known to be lost. If a crash was noted for the run, it now counts.
    /// Returns the task if it is to blame.
    pub(crate) fn confirm_crash(
        &mut self,
        task: TaskId,
        run: u32,
        id: &WorkerId,
    ) -> Option<TaskId> {
        let crash = self.attempt_mut(task, run, id)?.crash.take()?;
        self.record_crash(task, crash, false).then_some(task)
    }

    fn crashed_run(&self, task: TaskId, run: u32, id: &WorkerId) -> Option<CrashedRun> {
        let alive = self.workers.get(id)?.last_alive;
        let attempt = self.attempt(task, run, id);
        // A planned run was never ordered.
        let attempt = attempt.filter(|a| a.phase != Phase::Planned)?;
        let job = self.jobs.get(&task.job())?;
        let lasting = job.step(task).is_some_and(|s| s.lasting);
        Some(CrashedRun {
            task,
            run,
            fresh: !attempt.passed_probation(alive),
            started: attempt.is_own() && attempt.start_confirmed,
            cleared: attempt.is_exonerated(alive) || (lasting && attempt.outlived_startup(alive)),
        })
    }

    /// Records a crash against a task; returns whether the task is to blame.
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

    /// Remembers the runs abandoned with an unresponsive worker, which may have crashed or be
    /// partitioned.
    pub(crate) fn remember_abandoned(&mut self, id: &WorkerId, runs: &[(TaskId, u32)]) {
        let Some(worker) = self.workers.get(id).filter(|_| !runs.is_empty()) else {
            return;
        };
        let now = self.now;
        self.abandoned
            .retain(|_, g| now.since(g.at) < RETURN_TIMEOUT);
        let abandoned = AbandonedRuns {
            born: worker.born,
            at: now,
            runs: runs.to_vec(),
        };
        self.abandoned.insert(id.clone(), abandoned);
    }

    /// Takes back the crashes of a worker that answers again in the incarnation in which its runs
    /// were abandoned: it was partitioned and had not crashed.
    pub(crate) fn retract_crashes(&mut self, id: &WorkerId, born: u64) {
        let Some(abandoned) = self.abandoned.remove(id) else {
            return;
        };
        for (id, run) in abandoned.runs {
            let job = self.jobs.get_mut(&id.job());
            let task = job.and_then(|j| j.task_mut(id));
            if let Some(task) = task.filter(|_| abandoned.born == born) {
                task.crashes.retain(|c| c.run != run || c.proven);
            }
        }
    }

    /// Fails the jobs of tasks that crash their workers.
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

    /// Whether the worker has survived the start of every run on it.
    fn has_settled_runs(&self, worker: &Worker) -> bool {
        let runs = worker.allocations.iter();
        let mut attempts = runs.map(|(t, h)| self.attempt(*t, h.run, &worker.id));
        attempts.all(|a| a.is_some_and(|a| a.passed_probation(worker.last_alive)))
    }

    /// Chooses a worker for a suspect, a task that may crash its worker: one that has survived
    /// the start of every run on it.
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
        let fitting: Vec<&Worker> = fitting.take(MAX_CANDIDATES).collect();
        let cost = |w: &&Worker| {
            let crashed = w.addr.is_some_and(|a| self.crashed_recently(a));
            (crashed, is_far(w, constraints), w.used.cpu)
        };
        let settled = fitting.iter().copied().filter(|w| self.has_settled_runs(w));
        if let Some(worker) = settled.min_by_key(cost) {
            return Placement::At(worker.id.clone());
        }
        let limit = (free_index.len() / RESERVED_DIVISOR).max(1);
        let in_use = self.workers.reserved().filter(|w| w.belongs_to(service));
        let free = fitting.into_iter().filter(|w| !w.is_reserved(now));
        match free.min_by_key(cost) {
            Some(worker) if in_use.count() < limit => Placement::Reserve(worker.id.clone()),
            _ => Placement::Wait,
        }
    }

    /// Marks a suspect as about to start on the worker that is reserved for it.
    pub(crate) fn begin_trial(&mut self, id: &WorkerId, task: TaskId) {
        log::info!(task:% = task, worker:% = id; "starting suspect task on a reserved worker");
        if let Some(worker) = self.workers.get_mut(id) {
            worker.trial_task = Some(task);
        }
    }

    /// Ends the reservation of a worker that has survived the start of a suspect; the task is
    /// then no longer a suspect.
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

    /// Remembers the address of a worker that crashed.
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
