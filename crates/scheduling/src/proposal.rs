//! The planner's output.

use cactuswheel_model::{Attempt, JobEvent, JobId, Room};

use crate::LiveWorker;

/// A proposed action for one job.
#[derive(Debug, Clone)]
pub enum Proposal {
    /// Place the job's next attempt on a worker.
    Place {
        /// The job to place.
        job: JobId,
        /// The number of the new attempt.
        attempt: Attempt,
        /// The worker that runs the attempt.
        worker: LiveWorker,
        /// Resources to reserve on the worker.
        room: Room,
    },
    /// Stop a resumable job to free resources for an urgent job.
    Preempt {
        /// The job to stop.
        job: JobId,
        /// The attempt to stop.
        attempt: Attempt,
        /// The urgent job that is waiting for resources.
        waiting: JobId,
    },
}

impl Proposal {
    /// The event to append to the log; `None` for a preemption.
    ///
    /// A preemption is a stop order to the worker. The log gets an event only when the worker
    /// reports how the attempt ended.
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
