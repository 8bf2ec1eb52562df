//! A job's state as the journal holds it: compact binary behind a version byte.

use bincode::Options;
use cactuswheel_model::Time;
use cactuswheel_work::{JobState, Submission, WorkerId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::copy::{Copy, Phase};
use crate::finished::{Finished, Redone};
use crate::job::Job;
use crate::run_state::{StepRun, Task, Turn};

/// First byte of every record. A reader refuses a version that it does not know.
const VERSION: u8 = 4;

/// Largest record that is read, in bytes: a declared length is not to be trusted.
const MAX_RECORD: u64 = 1 << 20;

/// A record that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum BadRecord {
    /// Another version wrote it.
    #[error("record of version {0:?}")]
    Version(Option<u8>),
    /// It is damaged.
    #[error("malformed record: {0}")]
    Malformed(#[from] bincode::Error),
}

/// What a job's owner has to know to go on with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobRecord {
    /// Something is left to do, or a run may still be somewhere. The job's submission is needed
    /// to read it.
    Open(OpenRecord),
    /// Nothing is left to do. It stands by itself: the submission is dropped.
    Finished(Finished),
}

/// Where a job stands of which something is left to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRecord {
    state: JobState,
    turns: Vec<TurnRecord>,
    redone: Vec<Redone>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct TurnRecord {
    number: u32,
    steps: Vec<StepRecord>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StepRecord {
    fails: Vec<u32>,
    tasks: Vec<TaskRecord>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct TaskRecord {
    run: u32,
    fails: Vec<u32>,
    done: bool,
    checkpoint: String,
    copies: Vec<CopyRecord>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct CopyRecord {
    worker: WorkerId,
    born: u64,
    run: u32,
}

/// Encodes a [`JobRecord`] or a [`Submission`].
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    options()
        .serialize_into(&mut bytes, value)
        .expect("a plain value has a binary form, and memory takes it");
    bytes
}

/// Decodes a [`JobRecord`] or a [`Submission`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, BadRecord> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => Ok(options().deserialize(rest)?),
        other => Err(BadRecord::Version(other.map(|(v, _)| *v))),
    }
}

fn options() -> impl Options {
    bincode::DefaultOptions::new().with_limit(MAX_RECORD)
}

impl JobRecord {
    pub(crate) fn new(job: &Job) -> Self {
        match job.finished() {
            Some(finished) => Self::Finished(finished),
            None => Self::Open(OpenRecord::new(job)),
        }
    }
}

impl OpenRecord {
    fn new(job: &Job) -> Self {
        Self {
            state: job.state,
            turns: job.turns.iter().map(TurnRecord::new).collect(),
            redone: job.redone.clone(),
        }
    }

    /// Puts the recorded state into a fresh job.
    ///
    /// Every run in it may be there or not: an earlier owner ordered it, or was about to.
    pub(crate) fn apply(self, job: &mut Job, now: Time) {
        job.state = self.state;
        job.redone = self.redone;
        if self.state.is_final() {
            job.shown = Some(self.state);
            job.ended = Some(now);
        }
        let sub = job.sub.clone();
        job.turns = self.turns.into_iter().map(|t| t.turn(&sub, now)).collect();
        let mut tasks = job
            .turns
            .iter()
            .flat_map(|t| &t.steps)
            .flat_map(|s| &s.tasks);
        job.started = tasks.any(|t| t.run > 0);
    }
}

impl TurnRecord {
    fn new(turn: &Turn) -> Self {
        Self {
            number: turn.number,
            steps: turn.steps.iter().map(StepRecord::new).collect(),
        }
    }

    fn turn(self, sub: &Submission, now: Time) -> Turn {
        let mut turn = Turn::new(self.number, &sub.steps);
        for (run, record) in turn.steps.iter_mut().zip(self.steps) {
            record.fill(run, now);
        }
        turn
    }
}

impl StepRecord {
    fn new(step: &StepRun) -> Self {
        Self {
            fails: step.fails.clone(),
            tasks: step.tasks.iter().map(TaskRecord::new).collect(),
        }
    }

    fn fill(self, step: &mut StepRun, now: Time) {
        step.fails = self.fails;
        for (task, record) in step.tasks.iter_mut().zip(self.tasks) {
            *task = record.task(now);
        }
        step.done = step.tasks.iter().filter(|t| t.done).count() as u32;
    }
}

impl TaskRecord {
    fn new(task: &Task) -> Self {
        Self {
            run: task.run,
            fails: task.fails.clone(),
            done: task.done,
            checkpoint: task.checkpoint.clone(),
            copies: task.copies.iter().map(CopyRecord::new).collect(),
        }
    }

    fn task(self, now: Time) -> Task {
        Task {
            run: self.run,
            fails: self.fails,
            done: self.done,
            started: self.run > 0,
            checkpoint: self.checkpoint,
            copies: self.copies.into_iter().map(|c| c.copy(now)).collect(),
            given_up: false,
            failed_on: None,
        }
    }
}

impl CopyRecord {
    fn new(copy: &Copy) -> Self {
        Self {
            worker: copy.worker.clone(),
            born: copy.born,
            run: copy.run,
        }
    }

    fn copy(self, now: Time) -> Copy {
        Copy::new(self.worker, self.born, self.run, Phase::Unknown, now)
    }
}
