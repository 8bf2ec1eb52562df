//! The rate of a node's network link.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Deserializer};

/// Bytes a second in a megabit a second.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Rate of a network link, in megabits a second.
///
/// Invariant: positive and finite.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkRate(f64);

/// Bytes that may be queued on a link ahead of an answer.
///
/// Failure: on a narrow link an answer queues behind others for longer than its time limit, and a
/// sound worker or relay counts as lost.
const MAX_QUEUED_BYTES: usize = 128 << 10;

/// A number that is no rate.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a link's rate is a positive number of megabits a second")]
pub struct InvalidRate;

impl LinkRate {
    /// A rate in megabits a second.
    pub fn new(megabits: f64) -> Result<Self, InvalidRate> {
        match megabits.is_finite() && megabits > 0.0 {
            true => Ok(Self(megabits)),
            false => Err(InvalidRate),
        }
    }

    /// Time that so many bytes take.
    pub fn transfer_time(self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / (self.0 * BYTES_PER_MEGABIT))
    }

    /// Time for which an answer may be queued on the link.
    pub fn queue_time(self) -> Duration {
        self.transfer_time(MAX_QUEUED_BYTES)
    }

    /// Bytes that go through in a time.
    pub fn bytes_in(self, time: Duration) -> usize {
        (time.as_secs_f64() * self.0 * BYTES_PER_MEGABIT) as usize
    }
}

/// A gigabit a second.
impl Default for LinkRate {
    fn default() -> Self {
        Self(1_000.0)
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} Mbit/s", self.0)
    }
}

impl FromStr for LinkRate {
    type Err = InvalidRate;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let number = s.strip_suffix(" Mbit/s").unwrap_or(s);
        Self::new(number.parse().map_err(|_| InvalidRate)?)
    }
}

impl<'de> Deserialize<'de> for LinkRate {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        Self::new(f64::deserialize(input)?).map_err(serde::de::Error::custom)
    }
}
