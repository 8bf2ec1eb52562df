//! The jobs of a cell, with change tracking.

use cactuswheel_model::Map;
use cactuswheel_work::JobId;

use crate::job::Job;

/// The jobs of a cell. Tracks which of them changed since their entries in the wait queue were last
/// updated.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    all: Map<JobId, Job>,
    touched: Vec<JobId>,
}

impl Jobs {
    pub(crate) fn get(&self, id: &JobId) -> Option<&Job> {
        self.all.get(id)
    }

    /// Returns a job for modification and marks it as changed.
    pub(crate) fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        let job = self.all.get_mut(id)?;
        if !std::mem::replace(&mut job.touched, true) {
            self.touched.push(*id);
        }
        Some(job)
    }

    /// Returns a job for a modification that affects neither its waiting tasks nor its rank; the
    /// job is not marked as changed.
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

    /// Returns the jobs that changed since the last call.
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
