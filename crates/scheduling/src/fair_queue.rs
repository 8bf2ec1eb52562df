//! Whose job is next.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use cactuswheel_model::{JobId, TeamId};

/// Scale of a team's running work per share, so that whole numbers tell shares apart.
const SCALE: u64 = 1 << 20;

/// One team's waiting jobs.
#[derive(Debug)]
pub(crate) struct TeamQueue {
    /// The team.
    pub(crate) team: TeamId,
    /// Jobs that wait, oldest first.
    pub(crate) jobs: VecDeque<JobId>,
    /// Weight; 0 counts as the smallest there is.
    pub(crate) share: u32,
    /// Jobs that run.
    pub(crate) running: u32,
    /// Most jobs that may run.
    pub(crate) limit: u32,
}

/// Gives turns so that running jobs come close to the teams' shares.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    queues: Vec<TeamQueue>,
    /// Running per share, and index into `queues`; the smallest has the next turn.
    heap: BinaryHeap<Reverse<(u64, usize)>>,
}

impl FairQueue {
    /// Adds a team; one that waits for nothing or is at its limit gets no turn.
    pub(crate) fn push(&mut self, queue: TeamQueue) {
        let i = self.queues.len();
        self.queues.push(queue);
        self.requeue(i);
    }

    /// The next job, with the index of its queue.
    pub(crate) fn next(&mut self) -> Option<(usize, JobId)> {
        let Reverse((_, i)) = self.heap.pop()?;
        let job = self.queues[i].jobs.pop_front()?;
        Some((i, job))
    }

    /// Tells whether the job of the last turn was placed.
    pub(crate) fn record_result(&mut self, i: usize, placed: bool) {
        self.queues[i].running += u32::from(placed);
        self.requeue(i);
    }

    /// Takes the queues apart again, for a next class of jobs.
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
