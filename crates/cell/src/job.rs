//! State of a job.

use std::sync::Arc;

use cactuswheel_model::Time;
use cactuswheel_work::{JobState, Step, StepId, Submission, TaskId};

use crate::attempt::Phase;
use crate::finished::{Finished, Redone};
use crate::footprint::{Footprint, packed_size};
use crate::journal::{decode, encode};
use crate::run_state::{StepRun, Task, Turn};
use crate::turn_ranges::TurnRanges;

/// Estimate of what a task takes up in a job's record after failed runs, in bytes.
const TASK_BYTES: u64 = 40;

/// Estimate of what an occurrence takes up in a job's record beside its tasks, in bytes.
const TURN_BYTES: u64 = 16;

/// What the open occurrences may take up in a job's record, in bytes; well below what the store
/// accepts.
const MAX_TURNS_BYTES: u64 = 128 << 10;

/// State of a job that has not been reduced to a finished record yet.
#[derive(Debug)]
pub(crate) struct Job {
    /// The submission; without its spec and steps while they are in `packed`.
    pub(crate) sub: Arc<Submission>,
    /// The encoded submission of a large job of which no occurrence has begun.
    ///
    /// Invariant: `None` if there are occurrences.
    packed: Option<Box<[u8]>>,
    footprint: Footprint,
    /// Size of the job's last journal record, in bytes.
    pub(crate) record_size: u64,
    /// Size that the job counts with in the cell's state, in bytes.
    pub(crate) counted: u64,
    /// Final state, or `Queued` while the job is not final, also while it runs.
    pub(crate) state: JobState,
    /// Final state that the journal holds, if any; only this one may be reported to callers.
    pub(crate) journaled: Option<JobState>,
    /// Number of occurrences that have begun.
    pub(crate) begun: u32,
    /// Begun occurrences that are done and of which no run is left.
    pub(crate) ended_turns: TurnRanges,
    /// The other begun occurrences, in order.
    pub(crate) turns: Vec<Turn>,
    /// When the caller submitted the job.
    pub(crate) arrived: Time,
    /// When the job reached its final state.
    pub(crate) ended: Option<Time>,
    /// Longest chain of work from each step onwards, in milliseconds by the caller's estimates.
    pub(crate) tails: Vec<u64>,
    /// Whether any task is known to have started.
    pub(crate) started: bool,
    /// Whether the job exceeds its team's share; while the fleet is full, such a job waits for jobs
    /// within their team's share.
    pub(crate) over_share: bool,
    /// Whether this owner has ever planned a run of the job.
    pub(crate) ever_planned: bool,
    /// Tasks that were restarted after a run was abandoned because its worker did not answer.
    pub(crate) redone: Vec<Redone>,
    /// Whether the intake holds the job's submission.
    pub(crate) in_intake: bool,
    /// Whether the journal holds the job's submission.
    pub(crate) in_journal: bool,
    /// Whether the job changed since its entry in the wait queue was last updated.
    pub(crate) touched: bool,
}

impl Job {
    pub(crate) fn new(sub: Arc<Submission>, arrived: Time) -> Self {
        let tails = sub.tails();
        let footprint = Footprint::of(&sub);
        Self {
            sub,
            packed: None,
            footprint,
            record_size: 0,
            counted: 0,
            state: JobState::Queued,
            journaled: None,
            begun: 0,
            ended_turns: TurnRanges::default(),
            turns: Vec::new(),
            arrived,
            ended: None,
            tails,
            started: false,
            over_share: false,
            ever_planned: false,
            redone: Vec::new(),
            in_intake: true,
            in_journal: false,
            touched: false,
        }
    }

    /// Replaces the spec and the steps by the encoded submission if the job is large and no
    /// occurrence has begun.
    pub(crate) fn pack(&mut self) {
        if !self.turns.is_empty() || !self.footprint.is_packed_until_due(&self.sub) {
            return;
        }
        self.packed = Some(encode(&*self.sub).into_boxed_slice());
        self.tails = vec![self.chain()];
        self.sub = Arc::new(Submission {
            spec: "".into(),
            steps: Arc::new([]),
            team: self.sub.team.clone(),
            queue: self.sub.queue.clone(),
            service: self.sub.service.clone(),
            ..*self.sub
        });
    }

    /// Restores the spec and the steps, before an occurrence begins; false if they cannot be read.
    pub(crate) fn unpack(&mut self) -> bool {
        let Some(packed) = &self.packed else {
            return true;
        };
        match decode::<Submission>(packed) {
            Ok(sub) => {
                self.tails = sub.tails();
                self.sub = Arc::new(sub);
                self.packed = None;
                true
            }
            Err(e) => {
                log::error!(job:% = self.sub.job, error:% = e; "cannot decode the submission");
                false
            }
        }
    }

    /// Size of the job's state, in bytes.
    pub(crate) fn size(&self) -> u64 {
        let submission = match &self.packed {
            Some(packed) => packed_size(packed.len()),
            None => self.footprint.submission,
        };
        submission + self.turns.len() as u64 * self.footprint.turn + self.record_size
    }

    /// By how much the job's state grows when its next occurrence begins, in bytes.
    pub(crate) fn turn_growth(&self) -> u64 {
        let unpacked = self
            .packed
            .as_ref()
            .map_or(0, |_| self.footprint.submission);
        unpacked + self.footprint.turn
    }

    /// The record to keep of the job. `None` until the job is in a final state and none of its runs
    /// is left.
    pub(crate) fn finished(&self) -> Option<Finished> {
        let over = self.state.is_final() && self.attempts().next().is_none();
        over.then(|| Finished {
            state: self.state,
            team: self.sub.team.clone(),
            queue: self.sub.queue.clone(),
            redone: self.redone.clone(),
        })
    }

    /// Begins the next occurrence; false if the job's steps cannot be read.
    pub(crate) fn begin_turn(&mut self) -> bool {
        if !self.unpack() {
            return false;
        }
        self.turns.push(Turn::new(self.begun, &self.sub.steps));
        self.begun += 1;
        true
    }

    /// Whether the journal record surely has room for one more occurrence. A record that the store
    /// refuses would hold up the journal for all jobs.
    pub(crate) fn record_has_room(&self) -> bool {
        let tasks: u64 = self.sub.steps.iter().map(|s| u64::from(s.count)).sum();
        let open = self.turns.len() as u64;
        self.turns.is_empty() || (open + 1) * (tasks * TASK_BYTES + TURN_BYTES) <= MAX_TURNS_BYTES
    }

    /// Reduces the occurrences that are done, and of which no run is left, to their numbers; true if
    /// there were any.
    ///
    /// If their tasks were kept, the record of a job with many occurrences would outgrow what the
    /// store accepts.
    pub(crate) fn retire_turns(&mut self) -> bool {
        let over = |t: &Turn| t.is_done() && t.has_no_attempts();
        let before = self.turns.len();
        for turn in self.turns.extract_if(.., |t| over(t)) {
            self.ended_turns.insert(turn.number);
        }
        self.turns.len() < before
    }

    /// When the next occurrence is due, in milliseconds since 1970; `None` if no further one is due
    /// or the job runs once, immediately.
    pub(crate) fn next_turn(&self) -> Option<u64> {
        let next = self.begun;
        let due = self.sub.begin + u64::from(next) * self.sub.interval.get();
        (next < self.sub.times).then_some(due)
    }

    /// Whether the job is not in a final state.
    pub(crate) fn is_open(&self) -> bool {
        !self.state.is_final()
    }

    /// Longest chain of work of an occurrence, in milliseconds by the caller's estimates.
    pub(crate) fn chain(&self) -> u64 {
        self.tails.iter().copied().max().unwrap_or_default()
    }

    /// Whether all occurrences have become due and are done.
    pub(crate) fn is_done(&self) -> bool {
        self.begun == self.sub.turns() && self.turns.iter().all(Turn::is_done)
    }

    /// Whether a task that is not done has failed `attempts` times; with `pending`, only tasks
    /// without a run count.
    pub(crate) fn has_exhausted(&self, attempts: usize, pending: bool) -> bool {
        let steps = self.turns.iter();
        let steps = steps.flat_map(|turn| turn.steps.iter().zip(self.sub.steps.iter()));
        let mut steps = steps.filter(|(run, step)| !step.lasting && !run.is_done());
        steps.any(|(run, step)| {
            let mut tasks = run.tasks.iter().filter(|t| !t.done);
            tasks.any(|t| {
                let fails = match step.gang {
                    true => run.failed_runs.len(),
                    false => t.failed_runs.len(),
                };
                fails >= attempts && (t.is_pending() || !pending)
            })
        })
    }

    /// The state that is reported to callers.
    pub(crate) fn reported_state(&self) -> JobState {
        if let Some(journaled) = self.journaled {
            return journaled;
        }
        match self.may_have_started() {
            true => JobState::Running,
            false => JobState::Queued,
        }
    }

    /// Whether a task has started, or an earlier owner may have started one. Nobody knows the latter
    /// until the worker answers, and the state that callers see does not go back meanwhile.
    pub(crate) fn may_have_started(&self) -> bool {
        let mut attempts = self.attempts();
        self.started || attempts.any(|(_, a)| a.phase == Phase::Unknown && !a.is_own())
    }

    /// Identifier of a step of an occurrence.
    pub(crate) fn step_id(&self, turn: u32, number: usize) -> StepId {
        StepId {
            job: self.sub.job,
            turn,
            step: number as u32,
        }
    }

    pub(crate) fn step(&self, id: TaskId) -> Option<&Step> {
        self.sub.steps.get(id.step.step as usize)
    }

    pub(crate) fn step_run(&self, id: TaskId) -> Option<&StepRun> {
        let turn = self.turns.iter().find(|t| t.number == id.step.turn)?;
        turn.steps.get(id.step.step as usize)
    }

    pub(crate) fn step_run_mut(&mut self, id: TaskId) -> Option<&mut StepRun> {
        let mut turns = self.turns.iter_mut();
        let turn = turns.find(|t| t.number == id.step.turn)?;
        turn.steps.get_mut(id.step.step as usize)
    }

    pub(crate) fn task(&self, id: TaskId) -> Option<&Task> {
        self.step_run(id)?.tasks.get(id.index as usize)
    }

    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let step = self.step_run_mut(id)?;
        step.tasks.get_mut(id.index as usize)
    }

    /// All attempts of the job, each with its task.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = (TaskId, &crate::attempt::Attempt)> {
        let job = self.sub.job;
        self.turns.iter().flat_map(move |turn| {
            turn.steps.iter().enumerate().flat_map(move |(s, step)| {
                let tasks = step.tasks.iter().enumerate();
                tasks.flat_map(move |(i, task)| {
                    let id = task_id(job, turn.number, s, i);
                    task.attempts.iter().map(move |c| (id, c))
                })
            })
        })
    }
}

pub(crate) fn task_id(
    job: cactuswheel_work::JobId,
    turn: u32,
    step: usize,
    index: usize,
) -> TaskId {
    let step = cactuswheel_work::StepId {
        job,
        turn,
        step: step as u32,
    };
    TaskId {
        step,
        index: index as u32,
    }
}
