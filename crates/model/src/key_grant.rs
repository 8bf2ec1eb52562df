//! API keys of teams.

use serde::{Deserialize, Serialize};

use crate::{Digest, TeamId};

/// An API key of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyGrant {
    /// Digest of the key; the key itself is never stored.
    pub digest: Digest,
    /// Team that the key authenticates.
    pub team: TeamId,
    /// Whether the key was withdrawn.
    ///
    /// Invariant: once `true`, it stays `true`; the team gets a new key instead.
    #[serde(default)]
    pub withdrawn: bool,
}
