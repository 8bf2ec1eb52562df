//! Throttling of what fills beside what serves users.
//!
//! Answers serving tasks whose tail latency rises with what fills on the same worker. Filling
//! work is cut down in a few quick steps, since a target may be missed for some seconds only,
//! and comes back slowly, since its effect differs by image and cannot be known before.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::{OrderOutcome, PaceOrder, TaskId, WorkerId};

use crate::attempt::Phase;
use crate::cell::Cell;
use crate::output::Output;

/// Share of its target from which a serving task is in danger.
const DANGER: f64 = 0.9;

/// Share of its target below which filling work may come back.
const SAFE: f64 = 0.6;

/// Time over which a worker averages the figures that it shows.
const AVERAGED: Duration = Duration::from_millis(500);

/// Factor by which filling work is cut down: 100, 40, 16, 6, 2, 0 percent.
const CUT: f64 = 0.4;

/// Time between two steps up, and their size in percent.
const RISE_EVERY: Duration = Duration::from_millis(2_000);
const RISE: u32 = 15;

/// How fast filling work may go on one worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Throttle {
    pub(crate) percent: u32,
    /// When it was last changed.
    at: Time,
}

impl Default for Throttle {
    fn default() -> Self {
        Self {
            percent: 100,
            at: Time::default(),
        }
    }
}

impl Throttle {
    /// Takes in the worst tail latency on the worker, as a share of its target.
    pub(crate) fn adjust(&mut self, worst: f64, settle: Duration, now: Time) {
        let passed = now.since(self.at);
        if worst > DANGER && self.percent > 0 && passed >= settle {
            self.percent = (f64::from(self.percent) * CUT) as u32;
            self.at = now;
        } else if worst < SAFE && self.percent < 100 && passed >= RISE_EVERY {
            self.percent = (self.percent + RISE).min(100);
            self.at = now;
        }
    }
}

impl Cell {
    /// Sets the pace of what fills on a worker by what its serving tasks show.
    pub(crate) fn pace_fillers(&mut self, id: &WorkerId) {
        let now = self.now;
        let settle = self.bounds.pace.duration() + AVERAGED;
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let held = worker.held.iter();
        let fillers: Vec<(TaskId, u32)> = held
            .clone()
            .filter(|(_, h)| h.filler)
            .map(|(t, h)| (*t, h.run))
            .collect();
        if fillers.is_empty() {
            return;
        }
        let serving = held.filter(|(_, h)| h.serves);
        let worst = serving
            .filter_map(|(task, h)| self.strain(*task, h.run, id))
            .fold(0.0, f64::max);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.throttle.adjust(worst, settle, now);
        let (percent, fence, addr) = (worker.throttle.percent, worker.fence, worker.addr);
        let Some(addr) = addr else {
            return;
        };
        for (task, run) in fillers {
            let Some(attempt) = self.attempt_mut(task, run, id) else {
                continue;
            };
            // A run starts at full pace, whatever the others beside it were told.
            if attempt.phase != Phase::Running || attempt.pace == Some(percent) {
                continue;
            }
            attempt.pace = Some(percent);
            self.out.push(Output::Pace {
                worker: id.clone(),
                addr,
                order: PaceOrder {
                    task,
                    run,
                    percent,
                    fence,
                },
            });
        }
    }

    /// What became of an order to throttle.
    ///
    /// One without an answer may be carried out after a newer one; a newer fencing token shuts
    /// it out, and the pace is told again.
    pub fn paced(&mut self, now: Time, id: &WorkerId, order: &PaceOrder, outcome: OrderOutcome) {
        self.now = now;
        if outcome == OrderOutcome::Done {
            return;
        }
        if let Some(attempt) = self.attempt_mut(order.task, order.run, id) {
            attempt.pace = None;
        }
        if outcome == OrderOutcome::Unknown {
            self.doubt(id, "throttle order without an answer");
        }
    }

    /// Tail latency of a serving run as a share of its target.
    fn strain(&self, task: TaskId, run: u32, id: &WorkerId) -> Option<f64> {
        let job = self.jobs.get(&task.job())?;
        let target = job.step(task)?.target.get() as f64;
        let tasks = &job.step_run(task)?.tasks;
        let mut attempts = tasks.get(task.index as usize)?.attempts.iter();
        let attempt = attempts.find(|c| c.run == run && c.worker == *id)?;
        Some(attempt.gauge as f64 / target.max(1.0))
    }
}
