//! The jobs of callers, and what the callers were told about them.

use cactuswheel_testkit::Rng;

use crate::{AcceptedJob, Exchange, World};

/// Number of newest accepted jobs that callers read and cancel. Nodes forget older jobs in time.
const RECENT: usize = 64;

/// What a caller knows about a new job or a cancel; of several attempts, the greatest counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fate {
    /// It does not take effect.
    Refused,
    /// It may take effect.
    Unknown,
    /// It takes effect.
    Accepted,
}

impl Fate {
    /// What the end of a request tells.
    pub fn of(exchange: &Exchange) -> Self {
        match exchange.status() {
            Some(200) => Self::Accepted,
            _ if exchange.is_refusal() => Self::Refused,
            _ => Self::Unknown,
        }
    }
}

/// A job that a caller has submitted at least once.
#[derive(Debug, Clone)]
struct TrackedJob {
    job: AcceptedJob,
    submit: Fate,
    /// `None` if no cancel was sent.
    cancel: Option<Fate>,
}

/// The jobs of callers, in the order of the first attempt.
#[derive(Debug, Default)]
pub struct JobBook(Vec<TrackedJob>);

impl JobBook {
    /// Records an attempt to submit a job.
    pub fn submitted(&mut self, job: &AcceptedJob, submit: Fate) {
        match self.0.iter_mut().rfind(|t| t.job.id == job.id) {
            Some(tracked) => tracked.submit = tracked.submit.max(submit),
            None => self.0.push(TrackedJob {
                job: job.clone(),
                submit,
                cancel: None,
            }),
        }
    }

    /// Records an attempt to cancel a job.
    pub fn cancelled(&mut self, id: &str, cancel: Fate) {
        if let Some(tracked) = self.0.iter_mut().rfind(|t| t.job.id == id) {
            tracked.cancel = tracked.cancel.max(Some(cancel));
        }
    }

    /// One of the newest accepted jobs.
    pub fn recent(&self, rng: &mut Rng) -> Option<AcceptedJob> {
        let accepted = self.0.iter().rev().filter(|t| t.submit == Fate::Accepted);
        let newest: Vec<&TrackedJob> = accepted.take(RECENT).collect();
        let picked = newest.get(rng.below(newest.len() as u64) as usize)?;
        Some(picked.job.clone())
    }

    /// Number of jobs accepted.
    pub fn accepted(&self) -> usize {
        let accepted = self.0.iter().filter(|t| t.submit == Fate::Accepted);
        accepted.count()
    }

    /// Waits until all accepted jobs have ended; returns what contradicts the responses.
    pub async fn settle(&self, world: &World) -> Vec<String> {
        let mut caller = world.caller(0);
        let mut violations = Vec::new();
        for tracked in self.0.iter().filter(|t| t.submit == Fate::Accepted) {
            let may_be_cancelled = tracked.cancel > Some(Fate::Refused);
            match caller.wait(&tracked.job).await {
                Ok(state) if state == "complete" => {
                    let (path, tasks) = (&tracked.job.path, tracked.job.tasks);
                    let starts = world.platform.ledger(|l| l.start_count(&tracked.job.id));
                    if (starts as usize) < tasks {
                        violations.push(format!("{path}: {starts} starts, {tasks} tasks"));
                    }
                }
                Ok(state) if state == "cancelled" && may_be_cancelled => {}
                Ok(state) => violations.push(format!("{} is {state}", tracked.job.path)),
                Err(e) => violations.push(e),
            }
        }
        for tracked in self.0.iter().filter(|t| t.submit == Fate::Refused) {
            let job = &tracked.job;
            if world.platform.ledger(|l| l.start_count(&job.id)) > 0 {
                let line = format!("{}: started, although refused as not run", job.path);
                violations.push(line);
            }
        }
        violations
    }
}
