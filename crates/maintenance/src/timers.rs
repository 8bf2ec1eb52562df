//! Timers that track how long conditions have held.

use std::hash::Hash;
use std::time::Duration;

use cactuswheel_model::{Map, Time};

/// Tracks since when each condition has held without interruption.
///
/// A condition that is not marked between two sweeps no longer holds, and its timer is dropped.
#[derive(Debug)]
pub(crate) struct Timers<K> {
    timers: Map<K, Timer>,
}

#[derive(Debug)]
struct Timer {
    started: Time,
    /// Time when `due` last returned `true`.
    last_fired: Option<Time>,
    touched: bool,
}

impl<K> Default for Timers<K> {
    fn default() -> Self {
        Self {
            timers: Map::default(),
        }
    }
}

impl<K: Hash + Eq> Timers<K> {
    /// Marks a condition as true now and returns how long it has held.
    pub(crate) fn elapsed(&mut self, key: K, now: Time) -> Duration {
        now.since(self.touch(key, now).started)
    }

    /// Marks a condition as true now and returns whether its action is due: first once the
    /// condition has held for `delay`, then again every `retry`.
    pub(crate) fn due(&mut self, key: K, now: Time, delay: Duration, retry: Duration) -> bool {
        let timer = self.touch(key, now);
        let due = match timer.last_fired {
            None => now.since(timer.started) >= delay,
            Some(last) => now.since(last) >= retry,
        };
        if due {
            timer.last_fired = Some(now);
        }
        due
    }

    /// Drops the timers of conditions that have not been marked since the last sweep.
    pub(crate) fn sweep(&mut self) {
        self.timers
            .retain(|_, timer| std::mem::replace(&mut timer.touched, false));
    }

    fn touch(&mut self, key: K, now: Time) -> &mut Timer {
        let timer = self.timers.entry(key).or_insert(Timer {
            started: now,
            last_fired: None,
            touched: true,
        });
        timer.touched = true;
        timer
    }
}
