//! A job in its cell.

use std::sync::Arc;

use cactuswheel_model::Time;
use cactuswheel_work::{JobState, Step, Submission, TaskId};

use crate::finished::{Finished, Redone};
use crate::run_state::{StepRun, Task, Turn};

/// A job in its cell.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) sub: Arc<Submission>,
    /// Where it stands, queued and running not told apart.
    pub(crate) state: JobState,
    /// The final state that the journal holds, if any: what may be shown.
    pub(crate) journaled: Option<JobState>,
    /// Occurrences that were due, in order.
    pub(crate) turns: Vec<Turn>,
    /// When its caller handed it in.
    pub(crate) arrived: Time,
    /// When it reached its final state.
    pub(crate) ended: Option<Time>,
    /// Longest chain of work from each step on, in milliseconds by the caller's estimates.
    pub(crate) tails: Vec<u64>,
    /// Whether any task was ever seen to start.
    pub(crate) started: bool,
    /// Whether it is beyond its team's share: with the fleet full it waits for the others.
    pub(crate) over_share: bool,
    /// Whether this owner has planned a run of it.
    pub(crate) ever_planned: bool,
    /// Tasks that were started anew after a run had been given up unseen.
    pub(crate) redone: Vec<Redone>,
    /// The intake holds its submission.
    pub(crate) in_intake: bool,
    /// The journal holds its submission.
    pub(crate) in_journal: bool,
    /// It changed since it was last queued.
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

    /// What is kept of it once it is in a final state and no run of it is left.
    pub(crate) fn finished(&self) -> Option<Finished> {
        let over = self.state.is_final() && self.attempts().next().is_none();
        over.then(|| Finished {
            state: self.state,
            team: self.sub.team.clone(),
            queue: self.sub.queue.clone(),
            redone: self.redone.clone(),
        })
    }

    /// When its next occurrence is due, in milliseconds since 1970; `None` if there is none, or
    /// if it runs once, at once.
    pub(crate) fn next_turn(&self) -> Option<u64> {
        let next = self.turns.len() as u32;
        let due = self.sub.begin + u64::from(next) * self.sub.interval.get();
        (next < self.sub.times).then_some(due)
    }

    pub(crate) fn is_open(&self) -> bool {
        !self.state.is_final()
    }

    /// Longest chain of work of an occurrence.
    pub(crate) fn chain(&self) -> u64 {
        self.tails.iter().copied().max().unwrap_or_default()
    }

    /// Whether every occurrence was due and is done.
    pub(crate) fn is_done(&self) -> bool {
        self.turns.len() == self.sub.turns() as usize && self.turns.iter().all(Turn::is_done)
    }

    /// The state that callers see.
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

    /// Tasks with a run somewhere, with the run's worker.
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
