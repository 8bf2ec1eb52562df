//! Runs that are lost without an end record, because their worker ended or could not be reached
//! for longer than any lease.

use cactuswheel_work::{TaskId, WorkerId};

use crate::cell::Cell;

impl Cell {
    /// Abandons the runs of a worker that does not answer and whose leases have all expired. The
    /// worker may later still report that they completed before the expiry.
    pub(crate) fn abandon_runs(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let runs: Vec<(TaskId, u32)> = worker
            .allocations
            .iter()
            .map(|(t, h)| (*t, h.run))
            .collect();
        for (task, _) in &runs {
            let job = self.jobs.get_mut(&task.job());
            if let Some(state) = job.and_then(|j| j.task_mut(*task)) {
                state.abandoned = true;
            }
        }
        let blamed = self.count_crash(id, &runs, &[], false);
        self.remember_abandoned(id, &runs);
        self.lose_runs(id, runs, "lease expired");
        self.fail_crashing_jobs(&blamed);
    }

    /// Declares all runs of a worker lost.
    pub(crate) fn lose_all(&mut self, id: &WorkerId, why: &str) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let runs = worker
            .allocations
            .iter()
            .map(|(t, h)| (*t, h.run))
            .collect();
        self.lose_runs(id, runs, why);
    }

    /// Handles the end of a worker's incarnation: `runs` are lost, while those in `doubtful` may
    /// be running in the next incarnation.
    pub(crate) fn worker_ended(
        &mut self,
        id: &WorkerId,
        runs: Vec<(TaskId, u32)>,
        doubtful: &[(TaskId, u32)],
        why: &str,
    ) {
        if runs.is_empty() && doubtful.is_empty() {
            return;
        }
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let alive = worker.last_alive;
        // A worker that is merely closed keeps running until its instance is ordered to move
        // away.
        let planned = self.removing.contains(id) || worker.is_draining();
        let silent = self.now.since(alive).as_millis() as u64;
        let affected = runs.iter().chain(doubtful);
        let attempts = affected.filter_map(|(t, run)| self.attempt(*t, *run, id));
        let unproven = attempts.filter(|a| !a.passed_probation(alive)).count() as u64;
        log::warn!(
            worker:% = id, why:% = why, runs = runs.len() as u64,
            doubtful = doubtful.len() as u64, unproven = unproven, silent_ms = silent,
            planned = planned;
            "worker ended"
        );
        if !planned {
            self.tallies.workers_ended += 1;
            self.tallies.runs_lost += runs.len() as u64;
            if let Some(addr) = worker.addr {
                self.record_crash_addr(addr);
            }
        }
        let blamed = match planned {
            true => Vec::new(),
            false => self.count_crash(id, &runs, doubtful, true),
        };
        self.lose_runs(id, runs, why);
        self.fail_crashing_jobs(&blamed);
    }

    /// Declares runs of a worker lost and releases them.
    fn lose_runs(&mut self, id: &WorkerId, runs: Vec<(TaskId, u32)>, why: &str) {
        let alive = self
            .workers
            .get(id)
            .map(|w| w.last_alive)
            .unwrap_or_default();
        for (task, run) in runs {
            if let Some(attempt) = self.attempt(task, run, id) {
                let age = self.now.since(attempt.started).as_millis() as u64;
                log::info!(
                    task:% = task, run = run, worker:% = id, why:% = why, age_ms = age,
                    proven = attempt.passed_probation(alive);
                    "run lost"
                );
            }
            self.release(task, run, id);
            if let Some(worker) = self.workers.get_mut(id) {
                worker.deallocate(task, run);
            }
        }
    }

    /// Handles a new incarnation of a worker: runs that were listed in an earlier one are lost.
    ///
    /// When a worker restarts under the same name, orders meant for the earlier incarnation may be
    /// carried out by the new one. If such a run were declared lost, its task would start a second
    /// time beside it. A run that was never listed may therefore be in the new incarnation, and is
    /// treated as such until the worker's lists or the answer to its start order show otherwise.
    pub(crate) fn lose_older_runs(&mut self, id: &WorkerId, born: u64) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let runs: Vec<(TaskId, u32)> = worker
            .allocations
            .iter()
            .map(|(t, h)| (*t, h.run))
            .collect();
        let (mut lost, mut doubtful) = (Vec::new(), Vec::new());
        for (task, run) in runs {
            if let Some(attempt) = self.attempt_mut(task, run, id).filter(|c| !c.listed) {
                if std::mem::replace(&mut attempt.born, born) != born {
                    doubtful.push((task, run));
                }
                continue;
            }
            if self
                .attempt_mut(task, run, id)
                .is_some_and(|c| c.born == born)
            {
                continue;
            }
            lost.push((task, run));
        }
        self.worker_ended(id, lost, &doubtful, "new incarnation under its name");
    }

    /// Stops the long-running runs of a worker that is draining.
    pub(crate) fn stop_lasting(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let lasting = worker.allocations.iter().filter(|(_, h)| h.lasting);
        let lasting: Vec<(TaskId, u32)> = lasting.map(|(t, h)| (*t, h.run)).collect();
        for (task, run) in lasting {
            log::info!(task:% = task, run = run, worker:% = id; "stopping long-running run on draining worker");
            self.stop(task, run, id);
        }
    }
}
