//! Whether a request ran.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known of a request's execution when its answer goes out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// It never reached an upstream, or the upstream itself said that it did not run it.
    NotRun,
    /// The upstream's whole answer arrived.
    Ran,
    /// It was handed to a connection and no proof either way came back.
    Unknown,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        })
    }
}
