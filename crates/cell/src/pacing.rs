//! Throttling of filler tasks beside serving tasks.
//!
//! Reacts when the tail latency of a serving task rises because of filler tasks on the same
//! worker. Filler tasks are slowed down in a few quick steps, because a latency target may be
//! missed for a few seconds only. They are sped up again slowly, because their effect differs
//! between images and cannot be known in advance.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_work::{PaceOrder, PlainOutcome, TaskId, WorkerId};

use crate::attempt::Phase;
use crate::cell::Cell;
use crate::output::Output;

/// Share of a serving task's latency target above which filler tasks are slowed down.
const CUT_THRESHOLD: f64 = 0.9;

/// Share of a serving task's latency target below which filler tasks may be sped up again.
const RAISE_THRESHOLD: f64 = 0.6;

/// Time window over which a worker averages the gauges it reports.
const GAUGE_WINDOW: Duration = Duration::from_millis(500);

/// Factor by which filler tasks are slowed down: 100, 40, 16, 6, 2, 0 percent.
const CUT_FACTOR: f64 = 0.4;

/// Interval between steps up, and their size in percent.
const RAISE_INTERVAL: Duration = Duration::from_millis(2_000);
const RAISE_STEP: u32 = 15;

/// Pace of the filler tasks on one worker, in percent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Throttle {
    pub(crate) percent: u32,
    /// When the pace was last changed.
    changed_at: Time,
}

impl Default for Throttle {
    fn default() -> Self {
        Self {
            percent: 100,
            changed_at: Time::default(),
        }
    }
}

impl Throttle {
    /// Adjusts the pace to the worst tail latency on the worker, given as a share of the latency
    /// target.
    pub(crate) fn adjust(&mut self, worst: f64, settle: Duration, now: Time) {
        let elapsed = now.since(self.changed_at);
        if worst > CUT_THRESHOLD && self.percent > 0 && elapsed >= settle {
            self.percent = (f64::from(self.percent) * CUT_FACTOR) as u32;
            self.changed_at = now;
        } else if worst < RAISE_THRESHOLD && self.percent < 100 && elapsed >= RAISE_INTERVAL {
            self.percent = (self.percent + RAISE_STEP).min(100);
            self.changed_at = now;
        }
    }
}

impl Cell {
    /// Sets the pace of a worker's filler tasks by the tail latency of its serving tasks.
    pub(crate) fn pace_fillers(&mut self, id: &WorkerId) {
        let now = self.now;
        let settle = self.bounds.pace_delay.duration() + GAUGE_WINDOW;
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let allocations = worker.allocations.iter();
        let fillers: Vec<(TaskId, u32)> = allocations
            .clone()
            .filter(|(_, h)| h.filler)
            .map(|(t, h)| (*t, h.run))
            .collect();
        if fillers.is_empty() {
            return;
        }
        let serving = allocations.filter(|(_, h)| h.serves);
        let worst = serving
            .filter_map(|(task, h)| self.latency_ratio(*task, h.run, id))
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
            // A new run starts at full pace, whatever pace was ordered for the other runs.
            if attempt.phase != Phase::Running || attempt.pace == Some(percent) {
                continue;
            }
            attempt.pace = Some(percent);
            self.outputs.push(Output::Pace {
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

    /// Processes the answer to a throttle order.
    ///
    /// An unanswered order may be carried out after a newer one. A newer fencing token prevents
    /// that, and the pace is ordered again.
    pub fn pace_answered(
        &mut self,
        now: Time,
        id: &WorkerId,
        order: &PaceOrder,
        outcome: PlainOutcome,
    ) {
        self.now = now;
        if outcome == PlainOutcome::Done {
            return;
        }
        if let Some(attempt) = self.attempt_mut(order.task, order.run, id) {
            attempt.pace = None;
        }
        if outcome == PlainOutcome::Unknown {
            self.fence_off(id, "throttle order not answered");
        }
    }

    /// Tail latency of a serving run as a share of its target.
    fn latency_ratio(&self, task: TaskId, run: u32, id: &WorkerId) -> Option<f64> {
        let job = self.jobs.get(&task.job())?;
        let target = job.step(task)?.target.get() as f64;
        let tasks = &job.step_run(task)?.tasks;
        let mut attempts = tasks.get(task.index as usize)?.attempts.iter();
        let attempt = attempts.find(|c| c.run == run && c.worker == *id)?;
        Some(attempt.gauge as f64 / target.max(1.0))
    }
}
