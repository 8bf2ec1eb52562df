//! What the known jobs will ask for in the seconds to come.

use std::time::Duration;

use cactuswheel_model::Map;
use cactuswheel_work::{Room, Step, TeamName};

use crate::attempt::{Attempt, Phase};
use crate::cell::Cell;
use crate::forecast::{Forecast, SLOT_MS, SLOTS};
use crate::job::Job;
use crate::learned::Learned;
use crate::run_state::Turn;
use crate::view::Load;

/// A job that waited for longer than this for its owner says nothing of how many come now.
const RECENT: Duration = Duration::from_millis(1_000);

/// The same of a job that an earlier owner has taken in. Most of those that came before are done,
/// and are not known any more.
const RECENT_BEFORE: Duration = Duration::from_millis(1_500);

/// Share of its work, in percent, from which a run's progress tells more than a guess.
const TELLING: u64 = 10;

/// Thousandths of a core.
const MILLI: u64 = 1_000;

/// Beyond the last slot, in milliseconds.
const NEVER: u64 = SLOTS as u64 * SLOT_MS;

impl Cell {
    /// Counts a short job that has arrived, and learns from what it asks for.
    pub(crate) fn count_arrival(&mut self, job: &Job) {
        let recent = match self.restoring {
            true => RECENT_BEFORE,
            false => RECENT,
        };
        if job.sub.lasting() || self.now.since(job.arrived) > recent {
            return;
        }
        let learned = self.learned.entry(job.sub.queue.clone()).or_default();
        let mut course = Forecast::default();
        for turn in &job.turns {
            let mut demand = Demand::new(&mut course, learned);
            demand.add_turn(job, turn, |_, free| free);
        }
        learned.arrive(&course);
        if self.restoring {
            learned.arrivals.earlier.push(job.arrived);
        }
    }

    /// Adds what an open short job asks for now and later; what waits only as far as its team's
    /// limit lets it start, and apart from the rest if it is of no use any more.
    pub(crate) fn add_forecast(&self, job: &Job, load: &mut Load, left: &mut Map<TeamName, Room>) {
        let overdue = self.rank(job).0.is_late();
        let nothing = Learned::default();
        let learned = self.learned.get(&job.sub.queue).unwrap_or(&nothing);
        for turn in &job.turns {
            let mut demand = Demand::new(&mut load.forecast, learned);
            demand.now = self.now.get();
            demand.add_turn(job, turn, |step, free| {
                let free = self.startable(job, step, free, left);
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

/// Adds up what the steps of an occurrence ask for, one after the other.
struct Demand<'a> {
    forecast: &'a mut Forecast,
    learned: &'a Learned,
    now: u64,
    /// When each step is done, in milliseconds from now.
    ends: Vec<u64>,
}

impl<'a> Demand<'a> {
    fn new(forecast: &'a mut Forecast, learned: &'a Learned) -> Self {
        Self {
            forecast,
            learned,
            now: 0,
            ends: Vec::new(),
        }
    }

    /// `startable` says how many of a step's free tasks may start.
    fn add_turn<F>(&mut self, job: &Job, turn: &Turn, mut startable: F)
    where
        F: FnMut(&Step, u64) -> u64,
    {
        for (run, step) in turn.steps.iter().zip(job.sub.steps.iter()) {
            let after = step.after.iter().map(|&s| self.ends[s as usize]);
            let begin = after.max().unwrap_or_default();
            if run.is_done() || begin >= NEVER {
                self.ends.push(begin);
                continue;
            }
            let whole = self.learned.run_time(step.estimate);
            let mut end = begin;
            for attempt in run.tasks.iter().flat_map(|t| &t.attempts) {
                let left = self.left(attempt, whole);
                self.forecast.add(step.reserved(), 0, left);
                end = end.max(left);
            }
            let free = run.tasks.iter().filter(|t| t.is_pending()).count() as u64;
            let starting = match free > 0 && turn.is_ready(step) {
                true => startable(step, free),
                false => free,
            };
            self.forecast
                .add(step.reserved() * starting, begin, begin + whole);
            end = match starting < free {
                true => NEVER,
                false if free > 0 => end.max(begin + whole),
                false => end,
            };
            self.ends.push(end);
        }
    }

    /// Time, in milliseconds, that a run has left of a task that takes `whole`.
    fn left(&self, attempt: &Attempt, whole: u64) -> u64 {
        if attempt.phase == Phase::Stopping {
            return SLOT_MS;
        }
        let begun = attempt.started.get();
        let percent = u64::from(attempt.percent);
        let whole = match percent >= TELLING && attempt.phase == Phase::Running {
            true => attempt.last_progress.get().saturating_sub(begun) * 100 / percent,
            false => whole,
        };
        let gone = self.now.saturating_sub(begun);
        // What should be over has a little left still.
        whole.saturating_sub(gone).max(whole / 8)
    }
}
