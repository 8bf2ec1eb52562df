//! When a node writes a snapshot.

use std::time::Duration;

use cactuswheel_model::{Offset, Time};

use crate::State;

/// Minimum time between two attempts of one node.
const RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// How much of the log a new node may have to read after the last snapshot.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotPolicy {
    /// Number of records since the last snapshot after which a snapshot is due.
    pub records: u64,
    /// Time since the last snapshot was seen after which a snapshot is due.
    pub age: Duration,
}

/// How urgently a snapshot is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Need {
    /// The last snapshot is recent enough.
    None,
    /// A snapshot is due, without urgency.
    Due,
    /// The log has trimmed records that follow the last snapshot, or will soon do so.
    Urgent,
}

/// Decides when a node writes a snapshot.
///
/// Every node may write snapshots. The caller passes a random delay, so usually one node writes
/// and the others see its mark before their own delay is over; two snapshots at once do no harm.
#[derive(Debug)]
pub struct SnapshotTimer {
    policy: SnapshotPolicy,
    /// Head of the last snapshot seen.
    last: Option<Offset>,
    /// When the last snapshot was seen, or when the timer was created.
    since: Time,
    /// When to write the snapshot that is needed, and how urgent it was when the delay was drawn.
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
    /// Creates a timer that has seen no snapshot by `now`.
    pub fn new(policy: SnapshotPolicy, now: Time) -> Self {
        Self {
            policy,
            last: None,
            since: now,
            planned: None,
        }
    }

    /// Returns whether to write a snapshot of `state` now.
    ///
    /// `first` is the offset of the oldest record that the log retains. `jitter` is a new random
    /// delay, drawn from the time over which the attempts of the nodes are to be spread.
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
        // Uses one random delay per level of need. With a new delay at each step, the shortest of
        // many would decide, and all nodes would write.
        match self.planned {
            _ if need == Need::None => self.planned = None,
            Some((planned, at)) if planned >= need => return self.start(need, now, at, jitter),
            _ => self.planned = Some((need, now.after(jitter))),
        }
        false
    }

    fn start(&mut self, need: Need, now: Time, at: Time, jitter: Duration) -> bool {
        if now < at {
            return false;
        }
        // If the attempt fails, no mark appears in the log, and the next attempt is made at this
        // time.
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
        // Urgent once the last snapshot is older than the middle of the retained records, well
        // before the log trims the records after it.
        if trimmed && last.get() < first.get() + retained / 2 && last < next {
            return Need::Urgent;
        }
        // The mark is itself a record, so even right after a snapshot there is one new record.
        let new_records = next.get() - last.get().min(next.get());
        let many = new_records >= self.policy.records;
        let old = now.since(self.since) >= self.policy.age;
        if many || old { Need::Due } else { Need::None }
    }
}
