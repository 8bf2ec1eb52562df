//! Execution state of a request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// What is known about the execution of a request when its response is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// The request never reached an upstream, or the upstream reported that it did not run it.
    NotRun,
    /// The complete response of the upstream arrived.
    Ran,
    /// The request was handed to a connection, and nothing proves whether it ran.
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
