//! An in-memory fake of one stream of the platform's log.

use std::collections::VecDeque;

use cactuswheel_model::Offset;

use crate::Rng;

/// Probabilities of faults in appends, in percent.
#[derive(Debug, Clone, Copy, Default)]
pub struct LogFaults {
    /// The append takes effect, but its reply is lost.
    pub lost_replies: u32,
    /// The append takes no effect, and its reply is lost.
    pub dropped_appends: u32,
    /// The append takes effect twice, as after a retry by an intermediary.
    pub duplicated_appends: u32,
}

/// Why a call to the fake log failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FakeLogError {
    /// The log is unavailable; the call took no effect.
    Unavailable,
    /// The reply was lost; the call may have taken effect.
    Unknown,
    /// Records below this offset have been trimmed.
    Trimmed(Offset),
}

/// Consecutive records read from the log.
#[derive(Debug, Clone)]
pub struct FakeBatch<R> {
    /// Offset of the first record in `records`.
    pub start: Offset,
    /// Offset of the oldest record retained.
    pub first: Offset,
    /// Offset that the next append will get.
    pub head: Offset,
    /// The records; empty if none exist from `start` on.
    pub records: Vec<R>,
}

/// An append-only stream with random faults drawn from a seed.
#[derive(Debug, Clone)]
pub struct FakeLog<R> {
    records: VecDeque<R>,
    first: Offset,
    rng: Rng,
    /// Probabilities of faults in appends.
    pub faults: LogFaults,
    /// Whether every call fails with [`FakeLogError::Unavailable`].
    pub unavailable: bool,
}

impl<R: Clone> FakeLog<R> {
    /// Creates an empty stream without faults.
    pub fn new(seed: u64) -> Self {
        Self {
            records: VecDeque::new(),
            first: Offset::default(),
            rng: Rng::new(seed),
            faults: LogFaults::default(),
            unavailable: false,
        }
    }

    /// Appends `records` consecutively and returns the offset of the first one.
    pub fn append(&mut self, records: &[R]) -> Result<Offset, FakeLogError> {
        if self.unavailable {
            return Err(FakeLogError::Unavailable);
        }
        if self.rng.chance(self.faults.dropped_appends) {
            return Err(FakeLogError::Unknown);
        }
        let offset = self.head();
        self.records.extend(records.iter().cloned());
        if self.rng.chance(self.faults.duplicated_appends) {
            self.records.extend(records.iter().cloned());
        }
        if self.rng.chance(self.faults.lost_replies) {
            return Err(FakeLogError::Unknown);
        }
        Ok(offset)
    }

    /// Reads up to `max` records from offset `from` on.
    pub fn read(&self, from: Offset, max: usize) -> Result<FakeBatch<R>, FakeLogError> {
        if self.unavailable {
            return Err(FakeLogError::Unavailable);
        }
        if from < self.first {
            return Err(FakeLogError::Trimmed(self.first));
        }
        let skip = (from.get() - self.first.get()) as usize;
        Ok(FakeBatch {
            start: from,
            first: self.first,
            head: self.head(),
            records: self.records.iter().skip(skip).take(max).cloned().collect(),
        })
    }

    /// Trims all but the newest `kept` records, as the platform does after its retention period.
    pub fn trim(&mut self, kept: usize) {
        let surplus = self.records.len().saturating_sub(kept);
        self.records.drain(..surplus);
        self.first = Offset::new(self.first.get() + surplus as u64);
    }

    /// Offset of the oldest record retained.
    pub fn first(&self) -> Offset {
        self.first
    }

    /// Offset that the next append will get.
    pub fn head(&self) -> Offset {
        Offset::new(self.first.get() + self.records.len() as u64)
    }
}
