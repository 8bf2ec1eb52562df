//! A job as it was accepted.

use std::sync::Arc;

use cactuswheel_model::Millis;
use serde::{Deserialize, Serialize};

use crate::{JobId, QueueName, ServiceName, Step, TeamName};

/// A job as a caller handed it in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// The caller's identifier, which makes a repeat harmless.
    pub job: JobId,
    /// Team whose key came with it; `None` on a queue that takes no key.
    pub team: Option<TeamName>,
    /// Queue it came in by.
    pub queue: QueueName,
    /// Service of the queue at that time, for when the queue is removed.
    pub service: ServiceName,
    /// What to run, passed on as it came.
    pub spec: Arc<str>,
    /// The steps.
    ///
    /// Invariant: not empty.
    pub steps: Arc<[Step]>,
    /// When the first occurrence is due, in milliseconds since 1970; 0 for at once.
    pub begin: u64,
    /// Time between occurrences.
    pub interval: Millis,
    /// Number of occurrences; 0 for a job that runs once, at once.
    pub times: u32,
    /// When it was accepted, in milliseconds since 1970 by the accepting node.
    pub accepted: u64,
}

impl Submission {
    /// Whether it runs until it is cancelled.
    pub fn lasting(&self) -> bool {
        self.steps.iter().any(|s| s.lasting)
    }

    /// Longest chain of work from each step on, in milliseconds by the caller's estimates.
    pub fn tails(&self) -> Vec<u64> {
        let mut tails: Vec<u64> = self.steps.iter().map(|s| s.estimate.get()).collect();
        // A step waits for lower ones only, so going down sees every successor first.
        for later in (0..self.steps.len()).rev() {
            for &earlier in &self.steps[later].after {
                let earlier = earlier as usize;
                let through = self.steps[earlier].estimate.get() + tails[later];
                tails[earlier] = tails[earlier].max(through);
            }
        }
        tails
    }

    /// Longest chain of work of an occurrence, in milliseconds by the caller's estimates.
    pub fn chain(&self) -> u64 {
        self.tails().into_iter().max().unwrap_or_default()
    }

    /// Number of occurrences.
    pub fn turns(&self) -> u32 {
        self.times.max(1)
    }
}
