//! Estimates of the memory that a job's state takes up.

use cactuswheel_work::{Step, Submission};

use crate::job::Job;
use crate::run_state::{StepRun, Task};

/// Memory of an allocation beyond its contents, in bytes.
const ALLOCATION: usize = 16;

/// Memory of a job beside its submission and its occurrences: its entries in the cell's indexes.
const JOB_BYTES: usize = 512;

/// Size from which the submission of a job that isn't due yet is kept in its encoded form, which is
/// several times smaller.
const MIN_PACKED: u64 = 32 << 10;

/// Memory that a job's submission takes up, and each occurrence of it, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Footprint {
    pub(crate) submission: u64,
    pub(crate) turn: u64,
}

impl Footprint {
    pub(crate) fn of(sub: &Submission) -> Self {
        let steps = sub.steps.iter();
        let submission: usize = steps.clone().map(step_size).sum();
        let turn: usize = steps.map(turn_size).sum();
        Self {
            submission: (JOB_BYTES + size_of::<Job>() + sub.spec.len() + submission) as u64,
            turn: (turn + ALLOCATION) as u64,
        }
    }

    /// Whether the submission is kept encoded until its first occurrence begins.
    pub(crate) fn is_packed_until_due(&self, sub: &Submission) -> bool {
        sub.times > 0 && self.submission >= MIN_PACKED
    }
}

/// Size of a new job's state, in bytes; `encoded` is the size of its encoded submission.
pub fn new_job_size(sub: &Submission, encoded: usize) -> u64 {
    let footprint = Footprint::of(sub);
    match footprint.is_packed_until_due(sub) {
        true => packed_size(encoded),
        false => footprint.submission + footprint.turn,
    }
}

/// Memory of a job whose submission is kept encoded, in bytes.
pub(crate) fn packed_size(encoded: usize) -> u64 {
    (JOB_BYTES + size_of::<Job>() + encoded + ALLOCATION) as u64
}

/// Memory of a step and its entry among the lengths of chains.
fn step_size(step: &Step) -> usize {
    let texts = [&step.label, &step.near, &step.image];
    let texts: usize = texts
        .into_iter()
        .flatten()
        .map(|t| allocated(t.len()))
        .sum();
    size_of::<Step>() + size_of::<u64>() + texts + allocated(size_of_val(&step.after[..]))
}

/// Memory of a step's state in one occurrence.
fn turn_size(step: &Step) -> usize {
    size_of::<StepRun>() + allocated(step.count as usize * size_of::<Task>())
}

/// Memory of an allocation of `bytes`; none for an empty one.
fn allocated(bytes: usize) -> usize {
    match bytes {
        0 => 0,
        some => some.next_multiple_of(ALLOCATION) + ALLOCATION,
    }
}
