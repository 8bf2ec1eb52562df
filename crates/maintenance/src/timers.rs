//! Since when a condition has held.

use std::hash::Hash;
use std::time::Duration;

use cactuswheel_model::{Map, Time};

/// Remembers when each condition began to hold without a break.
///
/// A condition that is not named between two sweeps has broken.
#[derive(Debug)]
pub(crate) struct Timers<K> {
    timers: Map<K, Timer>,
}

#[derive(Debug)]
struct Timer {
    started: Time,
    /// When the thing waited for was last done.
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
    /// Names a condition; the time for which it has held.
    pub(crate) fn elapsed(&mut self, key: K, now: Time) -> Duration {
        now.since(self.touch(key, now).started)
    }

    /// Names a condition; whether something is due that is done once it held for `patience`
    /// and repeated every `retry`.
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

    /// Forgets conditions not named since the last sweep.
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
