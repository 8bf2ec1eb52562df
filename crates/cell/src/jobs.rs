//! The jobs of a cell, and which of them changed.

use cactuswheel_model::Map;
use cactuswheel_work::JobId;

use crate::job::Job;

/// The jobs of a cell, and which of them changed since they were last queued.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    all: Map<JobId, Job>,
    touched: Vec<JobId>,
}

impl Jobs {
    pub(crate) fn get(&self, id: &JobId) -> Option<&Job> {
        self.all.get(id)
    }

    /// A job whose state changes.
    pub(crate) fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        let job = self.all.get_mut(id)?;
        if !std::mem::replace(&mut job.touched, true) {
            self.touched.push(*id);
        }
        Some(job)
    }

    /// A job of which something changes that has no part in what waits, nor in its rank.
    pub(crate) fn get_mut_untracked(&mut self, id: &JobId) -> Option<&mut Job> {
        self.all.get_mut(id)
    }

    pub(crate) fn contains(&self, id: &JobId) -> bool {
        self.all.contains_key(id)
    }

    pub(crate) fn insert(&mut self, id: JobId, mut job: Job) {
        job.touched = true;
        self.touched.push(id);
        self.all.insert(id, job);
    }

    pub(crate) fn remove(&mut self, id: &JobId) -> Option<Job> {
        self.all.remove(id)
    }

    /// Those that changed since this was last asked.
    pub(crate) fn take_touched(&mut self) -> Vec<JobId> {
        let touched = std::mem::take(&mut self.touched);
        for id in &touched {
            if let Some(job) = self.all.get_mut(id) {
                job.touched = false;
            }
        }
        touched
    }
}
