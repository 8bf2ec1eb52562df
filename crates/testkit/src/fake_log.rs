//! One stream of the platform's log, without I/O.

use std::collections::VecDeque;

use cactuswheel_model::Offset;

use crate::Rng;

/// How often appends go wrong, each in percent.
#[derive(Debug, Clone, Copy, Default)]
pub struct LogFaults {
    /// The append takes effect and its answer is lost.
    pub lost_replies: u32,
    /// The append takes no effect and its answer is lost.
    pub dropped_appends: u32,
    /// The append takes effect twice, as when something on the way sends it again.
    pub duplicated_appends: u32,
}

/// Why a call to the fake log has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FakeLogError {
    /// It took no effect.
    Unavailable,
    /// It may have taken effect.
    Unknown,
    /// Records below this offset are gone.
    Trimmed(Offset),
}

/// Records read, without a gap.
#[derive(Debug, Clone)]
pub struct FakeBatch<R> {
    /// Offset of the first of `records`.
    pub start: Offset,
    /// The oldest offset still kept.
    pub first: Offset,
    /// The offset of the next append.
    pub head: Offset,
    /// What was read; empty if there is nothing new.
    pub records: Vec<R>,
}

/// An append-only stream whose faults are drawn from a seed.
#[derive(Debug, Clone)]
pub struct FakeLog<R> {
    records: VecDeque<R>,
    first: Offset,
    rng: Rng,
    /// What goes wrong with appends.
    pub faults: LogFaults,
    /// Every call is refused without effect.
    pub unavailable: bool,
}

impl<R: Clone> FakeLog<R> {
    /// An empty stream without faults.
    pub fn new(seed: u64) -> Self {
        Self {
            records: VecDeque::new(),
            first: Offset::default(),
            rng: Rng::new(seed),
            faults: LogFaults::default(),
            unavailable: false,
        }
    }

    /// Appends `records` next to each other; the offset of the first.
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

    /// Up to `max` records from `from` on.
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

    /// Drops the oldest records but the last `kept`, as time would.
    pub fn trim(&mut self, kept: usize) {
        let surplus = self.records.len().saturating_sub(kept);
        self.records.drain(..surplus);
        self.first = Offset::new(self.first.get() + surplus as u64);
    }

    /// The oldest offset still kept.
    pub fn first(&self) -> Offset {
        self.first
    }

    /// The offset of the next append.
    pub fn head(&self) -> Offset {
        Offset::new(self.first.get() + self.records.len() as u64)
    }
}
