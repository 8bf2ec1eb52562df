//! State of a job.

use std::sync::Arc;

use cactuswheel_model::Time;
use cactuswheel_work::{JobState, Step, Submission, TaskId};

use crate::finished::{Finished, Redone};
use crate::run_state::{StepRun, Task, Turn};

/// State of a job that has not been reduced to a finished record yet.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) sub: Arc<Submission>,
    /// Final state, or `Queued` while the job is not final, also while it runs.
    pub(crate) state: JobState,
    /// Final state that the journal holds, if any; only this one may be reported to callers.
    pub(crate) journaled: Option<JobState>,
    /// Occurrences that have become due, in order.
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
        Self {
            sub,
            state: JobState::Queued,
            journaled: None,
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

    /// When the next occurrence is due, in milliseconds since 1970; `None` if no further one is due
    /// or the job runs once, immediately.
    pub(crate) fn next_turn(&self) -> Option<u64> {
        let next = self.turns.len() as u32;
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
        self.turns.len() == self.sub.turns() as usize && self.turns.iter().all(Turn::is_done)
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
        match self.started {
            true => JobState::Running,
            false => JobState::Queued,
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
