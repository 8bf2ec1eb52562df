//! Attempts that queues allow, also while a configuration lacks them.

use cactuswheel_model::{Map, Set};
use cactuswheel_work::{FleetConfig, JobId, JobState, QueueName};

use crate::cell::Cell;

/// Highest number of attempts of a queue's tasks, by the last configuration that had the queue.
///
/// A queue may be removed and restored while its jobs go on. Nothing is decided for good by a limit
/// that is not in force: a job whose task has no attempts left by the last known limit is held until
/// the queue is back.
#[derive(Debug, Default)]
pub(crate) struct QueueLimits {
    attempts: Map<QueueName, u32>,
    /// Queues whose limit changed since it was last written to the journal.
    unwritten: Set<QueueName>,
    /// Jobs without attempts left whose queue is missing. No task of theirs is started.
    held: Set<JobId>,
}

impl QueueLimits {
    /// Takes over the limits of a configuration.
    pub(crate) fn learn(&mut self, config: &FleetConfig) {
        for (name, queue) in &config.queues {
            if self.attempts.insert(name.clone(), queue.attempts) != Some(queue.attempts) {
                self.unwritten.insert(name.clone());
            }
        }
    }

    /// Highest number of attempts of a queue's tasks. A queue that no owner has ever seen allows
    /// one: a task that has failed is not started again before the queue is known.
    pub(crate) fn attempts(&self, queue: &QueueName) -> usize {
        self.attempts.get(queue).map_or(1, |n| *n as usize)
    }

    /// Whether no task of the job may be started.
    pub(crate) fn is_held(&self, job: JobId) -> bool {
        self.held.contains(&job)
    }

    /// Holds a job until its queue is back.
    pub(crate) fn hold(&mut self, job: JobId) {
        self.held.insert(job);
    }

    /// Returns the limits to write to the journal; `None` removes one.
    pub(crate) fn take_unwritten(&mut self) -> Vec<(QueueName, Option<u32>)> {
        let names = std::mem::take(&mut self.unwritten).into_iter();
        let limits = names.map(|name| {
            let attempts = self.attempts.get(&name).copied();
            (name, attempts)
        });
        limits.collect()
    }
}

impl Cell {
    /// Restores the attempts that a queue allowed by the last configuration that had it.
    pub fn restore_queue(&mut self, name: QueueName, attempts: u32) {
        let limits = &mut self.queue_limits;
        if !self.config.queues.contains_key(&name) {
            limits.attempts.insert(name, attempts);
        } else if limits.attempts.get(&name) == Some(&attempts) {
            limits.unwritten.remove(&name);
        }
    }

    /// Forgets the limits of removed queues that no open job needs.
    pub(crate) fn forget_queues(&mut self) {
        let config = &self.config;
        let mut removed: Set<QueueName> = self.queue_limits.attempts.keys().cloned().collect();
        removed.retain(|name| !config.queues.contains_key(name));
        if removed.is_empty() {
            return;
        }
        for job in self.open.iter().filter_map(|id| self.jobs.get(id)) {
            removed.remove(&job.sub.queue);
        }
        for name in removed {
            self.queue_limits.attempts.remove(&name);
            self.queue_limits.unwritten.insert(name);
        }
    }

    /// Decides on the held jobs whose queue is back.
    pub(crate) fn settle_held_jobs(&mut self) {
        for id in std::mem::take(&mut self.queue_limits.held) {
            let Some(job) = self.jobs.get(&id).filter(|j| j.is_open()) else {
                continue;
            };
            if !self.config.queues.contains_key(&job.sub.queue) {
                self.queue_limits.hold(id);
            } else if job.has_exhausted(self.queue_limits.attempts(&job.sub.queue), false) {
                self.fail_exhausted(id);
            }
        }
    }

    /// Holds or fails a restored job that has a task without a run or an attempt left.
    pub(crate) fn settle_restored(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id).filter(|j| j.is_open()) else {
            return;
        };
        let attempts = self.queue_limits.attempts(&job.sub.queue);
        match self.config.queues.contains_key(&job.sub.queue) {
            false if job.has_exhausted(attempts, false) => self.queue_limits.hold(id),
            true if job.has_exhausted(attempts, true) => self.fail_exhausted(id),
            _ => {}
        }
    }

    fn fail_exhausted(&mut self, id: JobId) {
        log::warn!(job:% = id; "job failed: a task had no attempts left when its queue came back");
        self.finish(id, JobState::Failed);
    }
}
