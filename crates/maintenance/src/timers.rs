//! Since when a condition has held.

use std::hash::Hash;
use std::time::Duration;

use cactuswheel_model::{Map, Time};

/// Remembers when each condition began to hold without a break.
///
/// A condition that is not named between two sweeps has broken.
#[derive(Debug)]
pub(crate) struct Timers<K> {
    since: Map<K, Mark>,
}

#[derive(Debug)]
struct Mark {
    began: Time,
    /// When the thing waited for was last done.
    done: Option<Time>,
    named: bool,
}

impl<K> Default for Timers<K> {
    fn default() -> Self {
        Self {
            since: Map::default(),
        }
    }
}

impl<K: Hash + Eq> Timers<K> {
    /// Names a condition; the time for which it has held.
    pub(crate) fn held(&mut self, key: K, now: Time) -> Duration {
        now.since(self.mark(key, now).began)
    }

    /// Names a condition; whether something is due that is done once it held for `patience`
    /// and repeated every `retry`.
    pub(crate) fn due(&mut self, key: K, now: Time, patience: Duration, retry: Duration) -> bool {
        let mark = self.mark(key, now);
        let due = match mark.done {
            None => now.since(mark.began) >= patience,
            Some(last) => now.since(last) >= retry,
        };
        if due {
            mark.done = Some(now);
        }
        due
    }

    /// Forgets conditions not named since the last sweep.
    pub(crate) fn sweep(&mut self) {
        self.since
            .retain(|_, mark| std::mem::replace(&mut mark.named, false));
    }

    fn mark(&mut self, key: K, now: Time) -> &mut Mark {
        let mark = self.since.entry(key).or_insert(Mark {
            began: now,
            done: None,
            named: true,
        });
        mark.named = true;
        mark
    }
}
