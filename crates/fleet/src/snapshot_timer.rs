//! When a snapshot is to be written.

use std::time::Duration;

use cactuswheel_model::{Offset, Time};

use crate::State;

/// Shortest time between two tries of one node.
const RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// How much of the log a fresh node may have to read after a snapshot.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotPolicy {
    /// Most records since the last snapshot.
    pub records: u64,
    /// Longest time since the last snapshot was seen.
    pub age: Duration,
}

/// How pressing a snapshot is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Need {
    /// The last one is good for a while.
    None,
    /// Some time soon.
    Due,
    /// The log no longer keeps, or will not keep for long, what follows the last snapshot.
    Urgent,
}

/// Decides for one node when it writes a snapshot.
///
/// Every node may. The jitter before writing is drawn by the caller, so mostly one writes and
/// the others see its mark in time; two at once are harmless.
#[derive(Debug)]
pub struct SnapshotTimer {
    policy: SnapshotPolicy,
    /// Head of the last snapshot that was seen.
    last: Option<Offset>,
    /// When it was seen.
    since: Time,
    /// When to write, once a snapshot is due, and how pressing it was when that was drawn.
    planned: Option<(Need, Time)>,
}

impl Default for SnapshotPolicy {
    fn default() -> Self {
        Self {
            records: 2_000,
            age: Duration::from_secs(4 * 3600),
        }
    }
}

impl SnapshotTimer {
    /// A timer that has seen no snapshot by `now`.
    pub fn new(policy: SnapshotPolicy, now: Time) -> Self {
        Self {
            policy,
            last: None,
            since: now,
            planned: None,
        }
    }

    /// Whether to write a snapshot of `state` now.
    ///
    /// `first` is the oldest record that the log keeps. `jitter` is a fresh draw from the time
    /// over which nodes are to be spread.
    pub fn step(&mut self, now: Time, state: &State, first: Offset, jitter: Duration) -> bool {
        let last = state.snapshot().map(|s| s.head);
        if last != self.last {
            self.last = last;
            self.since = now;
            self.planned = None;
        }
        let need = self.need(now, state, first);
        let jitter = match need {
            Need::None => Duration::ZERO,
            Need::Due => jitter,
            Need::Urgent => jitter / 10,
        };
        // Drawn once for each degree of need; drawn anew at each step it would be the
        // shortest of many draws, and all nodes would write.
        match self.planned {
            _ if need == Need::None => self.planned = None,
            Some((planned, at)) if planned >= need => {
                return self.start(need, now, at, jitter);
            }
            _ => self.planned = Some((need, now.after(jitter))),
        }
        false
    }

    fn start(&mut self, need: Need, now: Time, at: Time, jitter: Duration) -> bool {
        if now < at {
            return false;
        }
        // If it fails no mark comes, and the next try is due then.
        self.planned = Some((need, now.after(RETRY_INTERVAL + jitter)));
        true
    }

    fn need(&self, now: Time, state: &State, first: Offset) -> Need {
        let next = state.next();
        if next == Offset::default() {
            return Need::None;
        }
        let last = self.last.unwrap_or_default();
        let retained = next.get().saturating_sub(first.get());
        let trimmed = first > Offset::default();
        // Well inside retention: before the half of what is kept has passed over it.
        if trimmed && last.get() < first.get() + retained / 2 && last < next {
            return Need::Urgent;
        }
        // The mark itself is a record; a snapshot just before it is as good as new.
        let new_records = next.get() - last.get().min(next.get());
        let many = new_records >= self.policy.records;
        let old = now.since(self.since) >= self.policy.age;
        if many || old { Need::Due } else { Need::None }
    }
}
