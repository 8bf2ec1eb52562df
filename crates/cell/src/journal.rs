//! Journal encoding of a job's state: a version byte, followed by a compact binary form.

use bincode::Options;
use cactuswheel_model::Time;
use cactuswheel_work::{JobState, Submission, WorkerId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::attempt::{Attempt, Phase};
use crate::crash::Crash;
use crate::finished::{Finished, Redone};
use crate::job::Job;
use crate::run_state::{StepRun, Task, Turn};
use crate::turn_ranges::TurnRanges;

/// Format version, the first byte of every record. Records of other versions are rejected.
const VERSION: u8 = 8;

/// Largest record that is decoded, in bytes. It limits the allocations for a damaged record, whose
/// declared lengths cannot be trusted. Encoding has no limit: what is too large for the store is
/// refused there, and would otherwise end the owner's task.
const MAX_RECORD: u64 = 1 << 20;

/// Error while decoding a record.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The record has another format version, or is empty (`None`).
    #[error("unsupported record version {0:?}")]
    Version(Option<u8>),
    /// The record is damaged.
    #[error("malformed record: {0}")]
    Malformed(#[from] bincode::Error),
}

/// State of a job that a new owner needs to continue it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobRecord {
    /// The job is not finished, or one of its runs may still exist. Restoring it requires the job's
    /// submission.
    Open(OpenRecord),
    /// The job is finished and none of its runs is left. The record does not depend on the
    /// submission, which is dropped.
    Finished(Finished),
}

/// State of a job that is not finished.
///
/// The record is written each time a task of the job starts or ends, so common task states take few
/// bytes: the tasks of a job share few workers, and most of them have not started, are in their
/// first run or are done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRecord {
    /// Whether a task of an open job is known to have started, else the job's final state.
    state: JobState,
    redone: Vec<Redone>,
    /// Workers that hold runs of the job; task records refer to them by index.
    places: Vec<PlaceRecord>,
    /// Number of occurrences that have begun.
    begun: u32,
    /// Those of them that are done and of which no run is left.
    ended: TurnRanges,
    /// The other begun occurrences.
    turns: Vec<TurnRecord>,
}

/// A worker that holds runs, with its start time in milliseconds since 1970.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct PlaceRecord {
    worker: WorkerId,
    born: u64,
}

/// State of an occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct TurnRecord {
    number: u32,
    steps: Vec<StepRecord>,
}

/// State of a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StepRecord {
    fails: Vec<u32>,
    tasks: Vec<TaskRecord>,
}

/// State of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum TaskRecord {
    /// The task never had a run.
    Fresh,
    /// The task is done and has no attempts.
    Done,
    /// The first run of the task exists, or may exist, on the worker with this index.
    First(u32),
    /// Any other state.
    Other(OtherRecord),
}

/// Complete state of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct OtherRecord {
    run: u32,
    fails: Vec<u32>,
    done: bool,
    checkpoint: String,
    given_up: bool,
    crashes: Vec<Crash>,
    /// Worker index and run number of each attempt.
    attempts: Vec<(u32, u32)>,
}

/// Encodes a [`JobRecord`] or a [`Submission`].
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    bincode::DefaultOptions::new()
        .serialize_into(&mut bytes, value)
        .expect("plain data can be written to memory");
    bytes
}

/// Decodes a [`JobRecord`] or a [`Submission`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    match bytes.split_first() {
        Some((&VERSION, rest)) => Ok(options().deserialize(rest)?),
        other => Err(DecodeError::Version(other.map(|(v, _)| *v))),
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
        let mut places = Vec::new();
        let turns = job.turns.iter();
        let state = match job.is_open() && job.started {
            true => JobState::Running,
            false => job.state,
        };
        Self {
            state,
            redone: job.redone.clone(),
            begun: job.begun,
            ended: job.ended_turns.clone(),
            turns: turns.map(|t| TurnRecord::new(t, &mut places)).collect(),
            places,
        }
    }

    /// Applies the record to a job that was just created from its submission. Each run in the
    /// record may or may not exist, since an earlier owner had sent its start order or was about
    /// to.
    pub(crate) fn apply(self, job: &mut Job, now: Time) {
        job.redone = self.redone;
        job.started = self.state == JobState::Running;
        if self.state.is_final() {
            job.state = self.state;
            job.journaled = Some(self.state);
            job.ended = Some(now);
        }
        if !self.turns.is_empty() && !job.unpack() {
            return;
        }
        let sub = job.sub.clone();
        let places = Places {
            known: &self.places,
            now,
        };
        let turns = self.turns.into_iter();
        job.turns = turns.map(|t| t.into_turn(&sub, &places)).collect();
        let mut tasks = job
            .turns
            .iter()
            .flat_map(|t| &t.steps)
            .flat_map(|s| &s.tasks);
        job.started |= !self.ended.is_empty() || tasks.any(has_run);
        job.begun = self.begun;
        job.ended_turns = self.ended;
    }
}

/// Whether a task's record shows that it has run. A run that was planned may never have started: the
/// journal holds it before its start order is sent.
fn has_run(task: &Task) -> bool {
    task.done || !task.failed_runs.is_empty() || !task.checkpoint.is_empty()
}

/// The workers that a record refers to.
struct Places<'a> {
    known: &'a [PlaceRecord],
    now: Time,
}

impl Places<'_> {
    /// Creates the attempt for a run on the worker with index `place`; `None` if the index is out
    /// of range.
    fn attempt(&self, place: u32, run: u32) -> Option<Attempt> {
        let place = self.known.get(place as usize)?;
        let worker = place.worker.clone();
        Some(Attempt::new(
            worker,
            place.born,
            run,
            Phase::Unknown,
            self.now,
        ))
    }
}

impl TurnRecord {
    fn new(turn: &Turn, places: &mut Vec<PlaceRecord>) -> Self {
        let steps = turn.steps.iter();
        Self {
            number: turn.number,
            steps: steps.map(|s| StepRecord::new(s, places)).collect(),
        }
    }

    fn into_turn(self, sub: &Submission, places: &Places<'_>) -> Turn {
        let mut turn = Turn::new(self.number, &sub.steps);
        for (run, record) in turn.steps.iter_mut().zip(self.steps) {
            record.restore_into(run, places);
        }
        turn
    }
}

impl StepRecord {
    fn new(step: &StepRun, places: &mut Vec<PlaceRecord>) -> Self {
        let tasks = step.tasks.iter();
        Self {
            fails: step.failed_runs.clone(),
            tasks: tasks.map(|t| TaskRecord::new(t, places)).collect(),
        }
    }

    fn restore_into(self, step: &mut StepRun, places: &Places<'_>) {
        step.failed_runs = self.fails;
        for (task, record) in step.tasks.iter_mut().zip(self.tasks) {
            *task = record.into_task(places);
        }
        step.done = step.tasks.iter().filter(|t| t.done).count() as u32;
    }
}

impl TaskRecord {
    fn new(task: &Task, places: &mut Vec<PlaceRecord>) -> Self {
        if task.done && task.attempts.is_empty() {
            return Self::Done;
        }
        let no_failures = task.failed_runs.is_empty() && task.crashes.is_empty();
        let plain = no_failures && task.checkpoint.is_empty() && !task.abandoned;
        match (task.run, task.attempts.as_slice()) {
            (0, []) if plain => Self::Fresh,
            (1, [attempt]) if plain && !task.done => Self::First(place_index(attempt, places)),
            _ => Self::Other(OtherRecord::new(task, places)),
        }
    }

    fn into_task(self, places: &Places<'_>) -> Task {
        match self {
            Self::Fresh => Task::default(),
            Self::Done => Task {
                run: 1,
                done: true,
                started: true,
                ..Task::default()
            },
            Self::First(place) => Task {
                run: 1,
                started: true,
                attempts: places.attempt(place, 1).into_iter().collect(),
                ..Task::default()
            },
            Self::Other(record) => record.into_task(places),
        }
    }
}

impl OtherRecord {
    fn new(task: &Task, places: &mut Vec<PlaceRecord>) -> Self {
        let attempts = task.attempts.iter();
        Self {
            run: task.run,
            fails: task.failed_runs.clone(),
            done: task.done,
            checkpoint: task.checkpoint.clone(),
            given_up: task.abandoned,
            crashes: task.crashes.clone(),
            attempts: attempts.map(|c| (place_index(c, places), c.run)).collect(),
        }
    }

    fn into_task(self, places: &Places<'_>) -> Task {
        let attempts = self.attempts.into_iter();
        Task {
            run: self.run,
            failed_runs: self.fails,
            done: self.done,
            started: self.run > 0,
            checkpoint: self.checkpoint,
            abandoned: self.given_up,
            crashes: self.crashes,
            attempts: attempts
                .filter_map(|(at, run)| places.attempt(at, run))
                .collect(),
            failed_on: None,
            stalls: 0,
            preempted: 0,
        }
    }
}

/// Returns the index of an attempt's worker in `places`, and adds the worker if it is missing.
fn place_index(attempt: &Attempt, places: &mut Vec<PlaceRecord>) -> u32 {
    let mut known = places.iter();
    let at = known.position(|p| p.worker == attempt.worker && p.born == attempt.born);
    let at = at.unwrap_or_else(|| {
        places.push(PlaceRecord {
            worker: attempt.worker.clone(),
            born: attempt.born,
        });
        places.len() - 1
    });
    at as u32
}
