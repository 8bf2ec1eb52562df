//! Numbers of a job's occurrences, as ranges.

use serde::{Deserialize, Serialize};

/// A set of occurrence numbers. Occurrences mostly end in order, so the set has few ranges.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TurnRanges {
    /// First number of each range and the number after its last, in ascending order.
    ///
    /// Invariant: the ranges are not empty and do not touch each other.
    ranges: Vec<(u32, u32)>,
}

impl TurnRanges {
    /// Adds a number that is not in the set.
    pub(crate) fn insert(&mut self, number: u32) {
        let at = self.ranges.partition_point(|(_, end)| *end < number);
        match self.ranges.get_mut(at) {
            Some((_, end)) if *end == number => *end += 1,
            Some((start, _)) if *start == number + 1 => *start = number,
            _ => self.ranges.insert(at, (number, number + 1)),
        }
        if let Some(&(next, end)) = self.ranges.get(at + 1)
            && self.ranges[at].1 == next
        {
            self.ranges[at].1 = end;
            self.ranges.remove(at + 1);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// How many numbers the set has.
    pub(crate) fn count(&self) -> u32 {
        self.ranges.iter().map(|(start, end)| end - start).sum()
    }
}
