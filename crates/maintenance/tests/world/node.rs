//! One entry.

use std::time::Duration;

use cactuswheel_fleet::State;
use cactuswheel_maintenance::{Action, Driver, View};
use cactuswheel_model::{Map, Offset, Time};

use super::{Workers, entry, settings};

/// An entry's fold and driver, and its faults.
pub struct Node {
    state: State,
    driver: Driver,
    name: usize,
    /// When the platform last answered it.
    heard: Time,
    /// It does nothing until then.
    pub asleep: Time,
    /// It stops for so long between its next decisions and their effect.
    pub pause: Duration,
    /// Its actions take effect a second time after so long.
    pub echo: Duration,
    /// It has not read so many of the newest records.
    pub behind: usize,
    /// It sees the workers as they were so many steps ago.
    pub lag: usize,
    /// It hears no other entry and takes itself for the first in rank.
    pub alone: bool,
}

impl Node {
    /// An entry that knows nothing.
    pub fn new(name: usize) -> Self {
        Self {
            state: State::default(),
            driver: Driver::new(settings()),
            name,
            heard: Time::default(),
            asleep: Time::default(),
            pause: Duration::ZERO,
            echo: Duration::ZERO,
            behind: 0,
            lag: 0,
            alone: false,
        }
    }

    /// Reads what it can and decides.
    pub fn step(
        &mut self,
        now: Time,
        dark: bool,
        log: &[String],
        workers: &Workers,
        rank: u32,
    ) -> Vec<Action> {
        let mut looks = Map::default();
        if !dark {
            self.heard = now;
            let from = self.state.next().get() as usize;
            let head = log.len().saturating_sub(self.behind);
            for (at, body) in log.iter().enumerate().take(head).skip(from) {
                self.state.apply(Offset::new(at as u64), body);
            }
            let watched = self.driver.watched(&self.state);
            looks.extend(watched.into_iter().map(|id| {
                let look = workers.look(now, &id);
                (id, look)
            }));
        }
        self.driver.step(&View {
            now,
            wall: 0,
            entry: &entry(self.name),
            rank: if self.alone { 0 } else { rank },
            state: &self.state,
            age: now.since(self.heard),
            seen: &workers.roster(),
            looks: &looks,
        })
    }

    /// Why the wave waits, as it tells an operator.
    pub fn reasons(&self, now: Time, workers: &Workers) -> Vec<String> {
        let view = View {
            now,
            wall: 0,
            entry: &entry(self.name),
            rank: 0,
            state: &self.state,
            age: Duration::ZERO,
            seen: &workers.roster(),
            looks: &Map::default(),
        };
        let reasons = self.driver.reasons(&view);
        reasons.iter().map(ToString::to_string).collect()
    }
}
