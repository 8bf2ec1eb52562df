//! Jobs that come straight to the owner: their submission goes into the journal together with
//! what is planned of them, so that a job starts after one append.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::{JobId, Submission};
use serde::{Deserialize, Serialize};

use crate::cell::Cell;
use crate::job::Job;

/// What became of a job that was handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandIn {
    /// The store holds it already.
    Accepted,
    /// [`crate::Output::Accepted`] names it once the journal holds it.
    Journaling,
    /// A batch is under way: hand it in again after it.
    Busy,
}

/// What an owner knows of a job that a front asks for before it refuses it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// The store holds it: it was accepted.
    Stored,
    /// It may be on its way into the store.
    Pending,
    /// It is not known.
    Unknown,
}

impl Cell {
    /// What is known of a job.
    ///
    /// Failure: an owner that is cut off from the store knows a job that it could not write, a front
    /// takes that for an acceptance, and the job is gone with the owner.
    pub fn standing(&self, id: JobId) -> Standing {
        if self.finished.contains_key(&id) {
            return Standing::Stored;
        }
        match self.jobs.get(&id).map(Job::is_stored) {
            Some(true) => Standing::Stored,
            Some(false) => Standing::Pending,
            None => Standing::Unknown,
        }
    }

    /// Takes a job from a front; `record` is its submission as it was encoded.
    ///
    /// Only between two batches: a job that is refused while one is under way has left no trace.
    pub fn hand_in(&mut self, now: Time, sub: Submission, record: Vec<u8>) -> HandIn {
        self.now = now;
        let id = sub.job;
        if self.finished.contains_key(&id) {
            return HandIn::Accepted;
        }
        if let Some(job) = self.jobs.get(&id) {
            return match job.is_stored() {
                true => HandIn::Accepted,
                false => HandIn::Journaling,
            };
        }
        if self.flying.is_some() {
            return HandIn::Busy;
        }
        self.submit(now, sub, Duration::ZERO);
        if let Some(job) = self.jobs.get_mut_untracked(&id) {
            job.in_intake = false;
        }
        self.handed.insert(id, record);
        self.dirty.insert(id);
        HandIn::Journaling
    }

    /// Takes over a submission that the journal holds.
    pub fn restore_submission(&mut self, now: Time, sub: Submission, age: Duration) {
        let id = sub.job;
        let known = self.jobs.contains(&id);
        self.submit(now, sub, age);
        if let Some(job) = self.jobs.get_mut_untracked(&id) {
            job.in_journal = true;
            job.in_intake &= known;
        }
    }
}

impl Job {
    /// Whether the store holds its submission.
    pub(crate) fn is_stored(&self) -> bool {
        self.in_intake || self.in_journal
    }
}
