//! One team's line in a queue.

use std::collections::VecDeque;

use cactuswheel_model::{Share, Time};

/// Unit of a correction factor.
pub(crate) const UNIT_FACTOR: u32 = 1 << 10;

/// Fraction bits of virtual time.
const FRACTION_BITS: u32 = 16;

/// Waiting requests of one team, and how far it has come in virtual time.
#[derive(Debug)]
pub(crate) struct Flow<T> {
    /// Where its next request starts in virtual time.
    pub(crate) start_tag: u64,
    /// Its weight, corrected by what the fleet gave it elsewhere, in units of `UNIT_FACTOR`.
    weight: u64,
    factor: u32,
    /// The round in which it was last passed over.
    pub(crate) skipped_round: u64,
    pub(crate) urgent: VecDeque<Item<T>>,
    pub(crate) normal: VecDeque<Item<T>>,
}

#[derive(Debug)]
pub(crate) struct Item<T> {
    pub(crate) id: u64,
    pub(crate) deadline: Time,
    pub(crate) value: T,
}

impl<T> Flow<T> {
    /// A line that starts at `start_tag`.
    pub(crate) fn new(start_tag: u64) -> Self {
        Self {
            start_tag,
            weight: u64::from(UNIT_FACTOR),
            factor: UNIT_FACTOR,
            skipped_round: 0,
            urgent: VecDeque::new(),
            normal: VecDeque::new(),
        }
    }

    pub(crate) fn set_share(&mut self, share: Share) {
        let share = u64::from(share.get().max(1));
        self.weight = (share * u64::from(self.factor)).max(1);
    }

    pub(crate) fn set_factor(&mut self, factor: u32) {
        let share = self.weight / u64::from(self.factor.max(1));
        self.factor = factor.max(1);
        self.weight = share.max(1) * u64::from(self.factor);
    }

    /// Requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.urgent.len() + self.normal.len()
    }

    pub(crate) fn weight(&self) -> u64 {
        self.weight
    }

    /// The lowest goes first.
    pub(crate) fn order_key(&self) -> (bool, u64) {
        (self.urgent.is_empty(), self.start_tag)
    }

    /// Virtual time that `millis` of a slot cost this team.
    pub(crate) fn cost(&self, millis: u64) -> u64 {
        (millis << FRACTION_BITS) * u64::from(UNIT_FACTOR) / self.weight
    }

    pub(crate) fn lane(&mut self, urgent: bool) -> &mut VecDeque<Item<T>> {
        if urgent {
            return &mut self.urgent;
        }
        &mut self.normal
    }
}
