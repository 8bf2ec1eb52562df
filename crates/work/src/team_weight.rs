//! Weights of teams.

use std::fmt;
use std::str::FromStr;

/// Weight of a team, in jobs per second. When the fleet is full, teams get shares in proportion to
/// their weights.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamWeight(f64);

/// Error for a text that is not a weight.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a weight is a number from 0 on")]
pub struct ParseTeamWeightError;

impl TeamWeight {
    /// The weight `weight`; 0 if it is negative, infinite or not a number.
    pub fn new(weight: f64) -> Self {
        Self(if weight.is_finite() {
            weight.max(0.0)
        } else {
            0.0
        })
    }

    /// The weight, in jobs per second.
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl fmt::Display for TeamWeight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for TeamWeight {
    type Err = ParseTeamWeightError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let weight: f64 = s.parse().map_err(|_| ParseTeamWeightError)?;
        let valid = weight.is_finite() && weight >= 0.0;
        valid.then_some(Self(weight)).ok_or(ParseTeamWeightError)
    }
}
