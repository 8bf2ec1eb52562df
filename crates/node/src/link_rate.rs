//! Rate of a node's network link.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Deserializer};

/// Bytes per second in 1 Mbit/s.
const BYTES_PER_MEGABIT: f64 = 125_000.0;

/// Rate of a network link, in Mbit/s.
///
/// Invariant: positive and finite.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkRate(f64);

/// Maximum number of bytes assumed to be queued on a link ahead of an answer.
///
/// Timeouts allow for this queue. Otherwise, on a slow link, an answer would queue behind others
/// for longer than its timeout, and a healthy worker or relay would count as lost.
const MAX_QUEUED_BYTES: usize = 128 << 10;

/// The value is not a valid link rate.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a link rate must be a positive number of Mbit/s")]
pub struct InvalidRate;

impl LinkRate {
    /// Creates a rate in Mbit/s.
    pub fn new(megabits: f64) -> Result<Self, InvalidRate> {
        match megabits.is_finite() && megabits > 0.0 {
            true => Ok(Self(megabits)),
            false => Err(InvalidRate),
        }
    }

    /// Time to transfer `bytes` over the link.
    pub fn transfer_time(self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / (self.0 * BYTES_PER_MEGABIT))
    }

    /// Maximum time that an answer is assumed to be queued on the link.
    pub fn queue_time(self) -> Duration {
        self.transfer_time(MAX_QUEUED_BYTES)
    }

    /// Number of bytes that the link transfers in `time`.
    pub fn bytes_in(self, time: Duration) -> usize {
        (time.as_secs_f64() * self.0 * BYTES_PER_MEGABIT) as usize
    }
}

/// 1 Gbit/s.
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
