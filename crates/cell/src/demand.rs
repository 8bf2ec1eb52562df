//! Forecasts the room that known jobs will request in the next seconds.

use std::time::Duration;

use cactuswheel_work::Step;

use crate::attempt::{Attempt, Phase};
use crate::cell::Cell;
use crate::forecast::{Forecast, SLOT_MS, SLOTS};
use crate::job::Job;
use crate::learned::QueueStats;
use crate::remaining::{Remaining, placeable};
use crate::run_state::Turn;
use crate::view::Load;

/// Greatest age of a job that counts as an arrival. An older job waited for its owner, and says
/// nothing about the current arrival rate.
const MAX_ARRIVAL_AGE: Duration = Duration::from_millis(1_000);

/// Greatest age of a job that counts as an arrival if an earlier owner accepted it. Most jobs that
/// arrived earlier are done and no longer known, so they cannot be counted.
pub(crate) const MAX_RESTORED_AGE: Duration = Duration::from_millis(1_500);

/// Progress in percent from which a run's progress predicts its run time better than the estimate.
const MIN_PROGRESS_PERCENT: u64 = 10;

/// Thousandths in one core.
const MILLI: u64 = 1_000;

/// End of the last forecast slot, in milliseconds from now.
const HORIZON_MS: u64 = SLOTS as u64 * SLOT_MS;

impl Cell {
    /// Counts the arrival of a short job, and updates its queue's mean demand profile.
    pub(crate) fn count_arrival(&mut self, job: &Job) {
        let max_age = match self.restoring {
            true => self.restored_age,
            false => MAX_ARRIVAL_AGE,
        };
        if job.sub.lasting() || self.now.since(job.arrived) > max_age {
            return;
        }
        let inventory = self.inventory.as_ref();
        let learned = self.queue_stats.entry(job.sub.queue.clone()).or_default();
        let mut profile = Forecast::default();
        for turn in &job.turns {
            let mut demand = Demand::new(&mut profile, learned);
            demand.add_turn(job, turn, |step, free, _| placeable(inventory, step, free));
        }
        learned.record_arrival(&profile);
        if self.restoring {
            learned.arrivals.restored.push(job.arrived);
        }
    }

    /// Adds the current and future demand of a short job that is not finished. Waiting tasks count
    /// only as far as the fleet's instances could run them and the team's quota lets them start,
    /// and are added to `overdue` if the job can no longer meet its objective.
    pub(crate) fn add_forecast(&self, job: &Job, load: &mut Load, remaining: &mut Remaining) {
        let overdue = self.rank(job).0.is_late();
        let untrained = QueueStats::default();
        let learned = self.queue_stats.get(&job.sub.queue).unwrap_or(&untrained);
        for turn in &job.turns {
            let mut demand = Demand::new(&mut load.forecast, learned);
            demand.now = self.now.get();
            demand.add_turn(job, turn, |step, free, ready| {
                let possible = placeable(self.inventory.as_ref(), step, free);
                if !ready {
                    return possible;
                }
                load.unplaceable += step.reserved() * (free - possible);
                let free = self.startable(job, step, possible, remaining);
                if overdue {
                    load.overdue += step.reserved() * free;
                    return 0;
                }
                let room = step.reserved() * free;
                load.waiting += room;
                load.work += room.cpu / MILLI * learned.run_time(step.estimate);
                free
            });
        }
    }
}

/// Adds the demand of an occurrence's steps to a forecast, in step order.
struct Demand<'a> {
    forecast: &'a mut Forecast,
    learned: &'a QueueStats,
    /// Current time in milliseconds.
    now: u64,
    /// Expected end of each step, in milliseconds from now.
    ends: Vec<u64>,
}

impl<'a> Demand<'a> {
    fn new(forecast: &'a mut Forecast, learned: &'a QueueStats) -> Self {
        Self {
            forecast,
            learned,
            now: 0,
            ends: Vec::new(),
        }
    }

    /// Adds the demand of an occurrence. `startable` returns how many of a step's tasks without an
    /// attempt may start, now if the step is ready or later.
    fn add_turn<F>(&mut self, job: &Job, turn: &Turn, mut startable: F)
    where
        F: FnMut(&Step, u64, bool) -> u64,
    {
        for (run, step) in turn.steps.iter().zip(job.sub.steps.iter()) {
            let after = step.after.iter().map(|&s| self.ends[s as usize]);
            let begin = after.max().unwrap_or_default();
            if run.is_done() || begin >= HORIZON_MS {
                self.ends.push(begin);
                continue;
            }
            let expected = self.learned.run_time(step.estimate);
            let mut end = begin;
            for attempt in run.tasks.iter().flat_map(|t| &t.attempts) {
                let remaining = self.remaining(attempt, expected);
                self.forecast.add(step.reserved(), 0, remaining);
                end = end.max(remaining);
            }
            let free = run.tasks.iter().filter(|t| t.is_pending()).count() as u64;
            let starting = match free {
                0 => 0,
                _ => startable(step, free, turn.is_ready(step)),
            };
            self.forecast
                .add(step.reserved() * starting, begin, begin + expected);
            end = match starting < free {
                true => HORIZON_MS,
                false if free > 0 => end.max(begin + expected),
                false => end,
            };
            self.ends.push(end);
        }
    }

    /// Returns the expected remaining time of a run, in milliseconds. `run_time` is the estimated
    /// total run time of the task.
    fn remaining(&self, attempt: &Attempt, run_time: u64) -> u64 {
        remaining(attempt, run_time, self.now)
    }
}

/// Returns the expected remaining time of a run, in milliseconds; `run_time` is the estimated total
/// run time of the task, and `now` the current time in milliseconds.
pub(crate) fn remaining(attempt: &Attempt, run_time: u64, now: u64) -> u64 {
    if attempt.phase == Phase::Stopping {
        return SLOT_MS;
    }
    let start = attempt.started.get();
    let percent = u64::from(attempt.progress.percent);
    let run_time = match shows_pace(attempt) {
        true => attempt.progress.last_increase.get().saturating_sub(start) * 100 / percent,
        false => run_time,
    };
    let elapsed = now.saturating_sub(start);
    // An overdue run is expected to need at least another eighth of its run time.
    run_time.saturating_sub(elapsed).max(run_time / 8)
}

/// Whether a run has progressed far enough for its progress to predict its end.
pub(crate) fn shows_pace(attempt: &Attempt) -> bool {
    let percent = u64::from(attempt.progress.percent);
    percent >= MIN_PROGRESS_PERCENT && attempt.phase == Phase::Running
}
