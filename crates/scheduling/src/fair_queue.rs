//! Weighted fair queuing of jobs between teams.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use cactuswheel_model::{JobId, TeamId};

/// Fixed-point scale of a team's running jobs per share. Without it, integer division would make
/// teams with different shares compare equal.
const SCALE: u64 = 1 << 20;

/// The queue of one team.
#[derive(Debug)]
pub(crate) struct TeamQueue {
    /// The team that the jobs belong to.
    pub(crate) team: TeamId,
    /// Queued jobs, oldest first.
    pub(crate) jobs: VecDeque<JobId>,
    /// The team's weight; 0 is treated as 1, the smallest weight.
    pub(crate) share: u32,
    /// Number of placed jobs, including those placed in this round.
    pub(crate) running: u32,
    /// Maximum number of placed jobs.
    pub(crate) limit: u32,
}

/// Selects the next job so that the numbers of placed jobs approach the teams' shares.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    queues: Vec<TeamQueue>,
    /// Placed jobs per share and index into `queues`, as a min-heap.
    heap: BinaryHeap<Reverse<(u64, usize)>>,
}

impl FairQueue {
    /// Adds a team. A team without queued jobs or at its limit is never selected.
    pub(crate) fn push(&mut self, queue: TeamQueue) {
        let i = self.queues.len();
        self.queues.push(queue);
        self.requeue(i);
    }

    /// Removes and returns the next job, with the index of its team's queue.
    pub(crate) fn next(&mut self) -> Option<(usize, JobId)> {
        let Reverse((_, i)) = self.heap.pop()?;
        let job = self.queues[i].jobs.pop_front()?;
        Some((i, job))
    }

    /// Records whether the job returned by [`next`](Self::next) from queue `i` was placed.
    pub(crate) fn record_result(&mut self, i: usize, placed: bool) {
        self.queues[i].running += u32::from(placed);
        self.requeue(i);
    }

    /// The teams' numbers of placed jobs, as the starting point for the next class of jobs.
    pub(crate) fn into_running_counts(self) -> impl Iterator<Item = (TeamId, u32)> {
        self.queues
            .into_iter()
            .map(|queue| (queue.team, queue.running))
    }

    fn requeue(&mut self, i: usize) {
        let queue = &self.queues[i];
        if queue.jobs.is_empty() || queue.running >= queue.limit {
            return;
        }
        let key = u64::from(queue.running) * SCALE / u64::from(queue.share.max(1));
        self.heap.push(Reverse((key, i)));
    }
}
