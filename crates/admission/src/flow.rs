//! The waiting requests of one team in a queue.

use std::collections::VecDeque;

use cactuswheel_model::{Share, Time};

/// The correction factor that leaves a weight unchanged.
pub(crate) const UNIT_FACTOR: u32 = 1 << 10;

/// Number of fraction bits of virtual time.
const FRACTION_BITS: u32 = 16;

/// The waiting requests of one team and its position in virtual time.
#[derive(Debug)]
pub(crate) struct Flow<T> {
    /// Virtual start time of the team's next request.
    pub(crate) start_tag: u64,
    /// The team's share times `factor`, which corrects for the slots that the team uses at other
    /// entries; in units of 1/`UNIT_FACTOR`.
    weight: u64,
    factor: u32,
    /// The last scheduling round in which the team was skipped.
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
    /// Creates an empty flow whose next request starts at `start_tag`.
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

    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.urgent.len() + self.normal.len()
    }

    pub(crate) fn weight(&self) -> u64 {
        self.weight
    }

    /// Sort key: the team with the lowest key is served first.
    pub(crate) fn order_key(&self) -> (bool, u64) {
        (self.urgent.is_empty(), self.start_tag)
    }

    /// Virtual time that `millis` of slot time cost this team.
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
