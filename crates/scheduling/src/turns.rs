//! Whose job is next.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use cactuswheel_model::{JobId, TeamId};

/// Scale of a team's running work per share, so that whole numbers tell shares apart.
const SCALE: u64 = 1 << 20;

/// One team's waiting jobs.
#[derive(Debug)]
pub(crate) struct Line {
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
pub(crate) struct Turns {
    lines: Vec<Line>,
    /// Running per share, and index into `lines`; the smallest has the next turn.
    heap: BinaryHeap<Reverse<(u64, usize)>>,
}

impl Turns {
    /// Adds a team; one that waits for nothing or is at its limit gets no turn.
    pub(crate) fn push(&mut self, line: Line) {
        let i = self.lines.len();
        self.lines.push(line);
        self.queue(i);
    }

    /// The next job, with the index of its line.
    pub(crate) fn next(&mut self) -> Option<(usize, JobId)> {
        let Reverse((_, i)) = self.heap.pop()?;
        let job = self.lines[i].jobs.pop_front()?;
        Some((i, job))
    }

    /// Tells whether the job of the last turn was placed.
    pub(crate) fn settle(&mut self, i: usize, placed: bool) {
        self.lines[i].running += u32::from(placed);
        self.queue(i);
    }

    /// Takes the lines apart again, for a next class of jobs.
    pub(crate) fn into_running(self) -> impl Iterator<Item = (TeamId, u32)> {
        self.lines.into_iter().map(|line| (line.team, line.running))
    }

    fn queue(&mut self, i: usize) {
        let line = &self.lines[i];
        if line.jobs.is_empty() || line.running >= line.limit {
            return;
        }
        let key = u64::from(line.running) * SCALE / u64::from(line.share.max(1));
        self.heap.push(Reverse((key, i)));
    }
}
