//! What a planner proposes.

use cactuswheel_model::{Attempt, JobEvent, JobId, Room};

use crate::LiveWorker;

/// One step for one job.
#[derive(Debug, Clone)]
pub enum Proposal {
    /// Place the job's next attempt.
    Place {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: Attempt,
        /// Where.
        worker: LiveWorker,
        /// What is set aside.
        room: Room,
    },
    /// Stop a job that can be resumed, so that an urgent one finds room.
    Preempt {
        /// The job to stop.
        job: JobId,
        /// Its attempt.
        attempt: Attempt,
        /// The urgent job.
        waiting: JobId,
    },
}

impl Proposal {
    /// The event to append, if the proposal is one for the log.
    ///
    /// A preemption is carried out at the worker first; the log hears how it ended.
    pub fn event(&self) -> Option<JobEvent> {
        let Self::Place {
            job,
            attempt,
            worker,
            room,
        } = self
        else {
            return None;
        };
        Some(JobEvent::Place {
            job: job.clone(),
            attempt: *attempt,
            worker: worker.id.clone(),
            incarnation: worker.incarnation,
            room: *room,
        })
    }
}
