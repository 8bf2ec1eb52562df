//! A simulated entry.

use std::time::Duration;

use cactuswheel_fleet::State;
use cactuswheel_maintenance::{Action, Driver, View};
use cactuswheel_model::{Map, Offset, Time};

use super::{Workers, entry, settings};

/// A simulated entry with its replicated state, its driver and its injected faults.
pub struct Node {
    state: State,
    driver: Driver,
    name: usize,
    /// When the platform last answered this entry.
    last_contact: Time,
    /// The entry is paused until this time.
    pub paused_until: Time,
    /// If positive, the entry pauses for this long between its next decisions and their effect.
    pub pause: Duration,
    /// If positive, each action takes effect a second time after this delay.
    pub repeat_delay: Duration,
    /// Number of newest log records that the entry has not read.
    pub unread_records: usize,
    /// Age of the worker data that the entry sees, in ticks.
    pub status_lag: usize,
    /// The entry reaches no other entry and therefore assumes rank 0.
    pub isolated: bool,
}

impl Node {
    /// Creates an entry without any state.
    pub fn new(name: usize) -> Self {
        Self {
            state: State::default(),
            driver: Driver::new(settings()),
            name,
            last_contact: Time::default(),
            paused_until: Time::default(),
            pause: Duration::ZERO,
            repeat_delay: Duration::ZERO,
            unread_records: 0,
            status_lag: 0,
            isolated: false,
        }
    }

    /// Reads new log records if the platform is available, then runs a driver step.
    pub fn step(
        &mut self,
        now: Time,
        platform_down: bool,
        log: &[String],
        workers: &Workers,
        rank: u32,
    ) -> Vec<Action> {
        let mut statuses = Map::default();
        if !platform_down {
            self.last_contact = now;
            let from = self.state.next().get() as usize;
            let head = log.len().saturating_sub(self.unread_records);
            for (at, body) in log.iter().enumerate().take(head).skip(from) {
                self.state.apply(Offset::new(at as u64), body);
            }
            let watched = self.driver.instances_to_poll(&self.state);
            statuses.extend(watched.into_iter().map(|id| {
                let status = workers.status(now, &id);
                (id, status)
            }));
        }
        self.driver.step(&View {
            now,
            unix_time: 0,
            entry: &entry(self.name),
            rank: if self.isolated { 0 } else { rank },
            state: &self.state,
            staleness: now.since(self.last_contact),
            roster: &workers.roster(),
            statuses: &statuses,
        })
    }

    /// Reasons why the wave waits, as shown to an operator.
    pub fn wait_reasons(&self, now: Time, workers: &Workers) -> Vec<String> {
        let view = View {
            now,
            unix_time: 0,
            entry: &entry(self.name),
            rank: 0,
            state: &self.state,
            staleness: Duration::ZERO,
            roster: &workers.roster(),
            statuses: &Map::default(),
        };
        let reasons = self.driver.wait_reasons(&view);
        reasons.iter().map(ToString::to_string).collect()
    }
}
