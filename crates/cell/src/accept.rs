//! Accepts jobs from callers, and restores those of an earlier owner.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::{JobId, JobState, Submission};

use crate::cell::Cell;
use crate::finished::{Finished, FinishedJob};
use crate::job::Job;
use crate::journal::JobRecord;
use crate::schedule::held;

impl Cell {
    /// Restores a job from its journal record; its submission has to be restored before.
    ///
    /// Each run in the record may or may not exist. Polls under the new owner's fencing token
    /// determine which of them do.
    pub fn restore(&mut self, now: Time, id: JobId, record: JobRecord) {
        self.now = now;
        let record = match record {
            JobRecord::Finished(job) => return self.restore_finished(id, job),
            JobRecord::Open(record) => record,
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            log::warn!(job:% = id; "journal record of a job without a submission; ignored");
            return;
        };
        record.apply(job, now);
        let attempts: Vec<_> = job.attempts().map(|(t, c)| (t, c.clone())).collect();
        for (task, attempt) in attempts {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let (sub, index) = (job.sub.clone(), task.step.step as usize);
            let Some(step) = sub.steps.get(index) else {
                continue;
            };
            let worker = self.worker_mut(&attempt.worker);
            worker.allocate(task, held(attempt.run, step));
            self.usage.add(sub.team.as_ref(), step.room);
        }
        let job = self.jobs.get(&id);
        self.due_turns
            .extend(job.and_then(|j| Some((j.next_turn()?, id))));
        if job.is_some_and(|j| !j.is_open()) {
            self.open.remove(&id);
            self.stop_all(id);
        }
        self.recount(id);
        self.reschedule = true;
    }

    /// Restores a finished job. Its submission may still be stored; in that case it is dropped.
    fn restore_finished(&mut self, id: JobId, job: Finished) {
        if let Some(known) = self.jobs.remove(&id) {
            self.discount(&known);
            self.drop_later(id);
        }
        self.open.remove(&id);
        self.cancelled.remove(&id);
        let ended = self.now;
        self.insert_finished(id, FinishedJob { job, ended });
    }

    /// Adds a job that was accepted `waited` ago. Repeated calls for one job have no effect.
    pub fn submit(&mut self, now: Time, sub: Submission, waited: Duration) {
        self.now = now;
        let id = sub.job;
        if let Some(job) = self.jobs.get_mut_untracked(&id) {
            job.in_intake = true;
            return;
        }
        if self.finished.contains_key(&id) {
            // A repeated submission, which the intake holds again.
            self.drop_later(id);
            return;
        }
        let arrived = Time::new(now.get().saturating_sub(waited.as_millis() as u64));
        let mut job = Job::new(Arc::new(sub), arrived);
        if job.sub.times == 0 {
            job.begin_turn();
        }
        job.over_share = self.is_over_share(&job);
        if !self.restoring {
            log_accepted(&job);
        }
        self.count_arrival(&job);
        job.pack();
        self.due_turns.extend(job.next_turn().map(|due| (due, id)));
        self.jobs.insert(id, job);
        self.recount(id);
        self.open.insert(id);
        if self.cancelled.remove(&id) {
            self.cancel(now, id);
        }
        self.reschedule = true;
    }

    /// Counts the job towards its team's share; true if it exceeds the share.
    fn is_over_share(&mut self, job: &Job) -> bool {
        let Some(team) = job.sub.team.as_ref().filter(|_| self.policy.shares) else {
            return false;
        };
        let Some(weight) = self.config.teams.get(team).map(|t| t.weight) else {
            return false;
        };
        let rule = &self.bounds.share;
        !self.shares.admit(rule, team, weight, job.arrived)
    }

    /// Cancels a job at its caller's request. If the job is not known yet, it is cancelled once it
    /// is submitted.
    pub fn cancel(&mut self, now: Time, id: JobId) {
        self.now = now;
        if self.finished.contains_key(&id) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            self.cancelled.insert(id);
            return;
        };
        if job.is_open() {
            if !self.restoring {
                let waited = now.since(job.arrived).as_millis() as u64;
                log::info!(job:% = id, waited_ms = waited; "cancelled");
            }
            self.finish(id, JobState::Cancelled);
        }
    }
}

fn log_accepted(job: &Job) {
    let sub = &job.sub;
    let tasks: u32 = sub.steps.iter().map(|s| s.count).sum();
    let first = &sub.steps[0];
    let team = sub.team.as_ref().map_or("", |t| t.as_str());
    log::info!(
        job:% = sub.job, queue:% = sub.queue, team = team, tasks = tasks,
        steps = sub.steps.len() as u64, cpu = first.room.cpu, memory = first.room.memory,
        chain_ms = job.chain(), lasting = sub.lasting(), filler = first.filler,
        over_share = job.over_share, target_ms = first.target.get(), spread = first.spread, budget:? = first.budget;
        "job accepted"
    );
}
