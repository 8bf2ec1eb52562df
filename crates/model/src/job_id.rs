//! Identifiers of jobs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::{JobName, ParseIdError, TeamId};

/// Identifier of a job: its team and the idempotency key that the submitter chose.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId {
    /// Team that submitted the job.
    pub team: TeamId,
    /// The submitter's idempotency key, unique within the team.
    pub name: JobName,
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.name)
    }
}

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(s: &str) -> Result<Self, ParseIdError> {
        let (team, name) = s.split_once('/').unwrap_or((s, ""));
        Ok(Self {
            team: team.parse()?,
            name: name.parse()?,
        })
    }
}

impl Serialize for JobId {
    fn serialize<S: Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        out.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for JobId {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        let text = String::deserialize(input)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
