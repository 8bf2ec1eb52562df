//! Jobs that are submitted directly to the owner. Their submissions are written to the journal
//! together with their first planned runs, so that a job starts after a single append.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::{JobId, Submission};
use serde::{Deserialize, Serialize};

use crate::cell::Cell;
use crate::job::Job;

/// Result of handing in a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandIn {
    /// The store already holds the job.
    Accepted,
    /// The job is being journaled; [`crate::Output::Accepted`] lists it once the journal holds it.
    Journaling,
    /// A batch is in flight; the caller has to retry after its append.
    Busy,
}

/// What the owner knows about a job; a front end queries it before it refuses the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// The store holds the job: it was accepted.
    Stored,
    /// The owner knows the job, but the store may not hold its submission yet.
    Pending,
    /// The owner does not know the job.
    Unknown,
}

impl Cell {
    /// Returns what the owner knows about a job.
    ///
    /// A job in memory counts as stored only if the intake or the journal holds its submission.
    /// Otherwise an owner that cannot reach the store would report a job that it could not write, a
    /// front end would take this for an acceptance, and the job would be lost with the owner.
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

    /// Takes a job from a front end; `record` is its encoded submission.
    ///
    /// A job is taken only while no batch is in flight, so that a job that is refused during an
    /// append leaves no state behind.
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
        if self.in_flight.is_some() {
            return HandIn::Busy;
        }
        self.submit(now, sub, Duration::ZERO);
        if let Some(job) = self.jobs.get_mut_untracked(&id) {
            job.in_intake = false;
        }
        self.encoded_submissions.insert(id, record);
        self.dirty.insert(id);
        HandIn::Journaling
    }

    /// Restores a submission that the journal holds; `age` is the time since its acceptance.
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
    /// Whether the store (intake or journal) holds the job's submission.
    pub(crate) fn is_stored(&self) -> bool {
        self.in_intake || self.in_journal
    }
}
