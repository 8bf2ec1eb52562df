//! Identifiers of jobs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Number of digits of an identifier.
const DIGITS: usize = 16;

/// Identifier of a job, chosen by the caller: 16 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(u64);

/// Error for a text that is not a job identifier.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a job id has {DIGITS} lower-case hexadecimal digits")]
pub struct ParseJobIdError;

impl JobId {
    /// The identifier with this numeric value.
    pub const fn new(n: u64) -> Self {
        Self(n)
    }

    /// The numeric value.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = ParseJobIdError;

    fn from_str(s: &str) -> Result<Self, Self::Err> {
        // `from_str_radix` also accepts a sign and upper-case digits, but formatting the result
        // would not give the same text.
        let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if s.len() != DIGITS || !s.bytes().all(hex) {
            return Err(ParseJobIdError);
        }
        u64::from_str_radix(s, 16)
            .map(Self)
            .map_err(|_| ParseJobIdError)
    }
}
