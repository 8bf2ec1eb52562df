//! Jobs as submitted by callers.

use std::sync::Arc;

use cactuswheel_model::Millis;
use serde::{Deserialize, Serialize};

use crate::{JobId, QueueName, ServiceName, Step, TeamName};

/// A job as submitted by a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Identifier chosen by the caller; makes a repeated submission harmless.
    pub job: JobId,
    /// The team whose key was in the request; `None` on a queue that needs no key.
    pub team: Option<TeamName>,
    /// The queue that it was submitted to.
    pub queue: QueueName,
    /// The service of the queue at the time of submission, in case the queue is removed.
    pub service: ServiceName,
    /// Spec that tells workers what to run; passed on unchanged.
    pub spec: Arc<str>,
    /// The steps.
    ///
    /// Invariant: not empty.
    pub steps: Arc<[Step]>,
    /// When the first occurrence is due, in milliseconds since 1970; 0 for immediately.
    pub begin: u64,
    /// Time between occurrences.
    pub interval: Millis,
    /// Number of occurrences; 0 for a job that runs once, immediately.
    pub times: u32,
    /// When it was accepted, in milliseconds since 1970 on the clock of the accepting node.
    pub accepted: u64,
}

impl Submission {
    /// Whether the job is long-running: it has a step that runs until the job is cancelled.
    pub fn lasting(&self) -> bool {
        self.steps.iter().any(|s| s.lasting)
    }

    /// For each step, the length of the longest chain of dependent steps that starts with it, in
    /// milliseconds according to the caller's estimates.
    pub fn tails(&self) -> Vec<u64> {
        let mut tails: Vec<u64> = self.steps.iter().map(|s| s.estimate.get()).collect();
        // A step depends only on steps with a lower index, so in descending order the successors of
        // a step are handled before it.
        for later in (0..self.steps.len()).rev() {
            for &earlier in &self.steps[later].after {
                let earlier = earlier as usize;
                let through = self.steps[earlier].estimate.get() + tails[later];
                tails[earlier] = tails[earlier].max(through);
            }
        }
        tails
    }

    /// Critical path of an occurrence: the length of its longest chain of dependent steps, in
    /// milliseconds according to the caller's estimates.
    pub fn chain(&self) -> u64 {
        self.tails().into_iter().max().unwrap_or_default()
    }

    /// Number of occurrences.
    pub fn turns(&self) -> u32 {
        self.times.max(1)
    }
}
