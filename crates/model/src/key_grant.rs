//! Keys of teams.

use serde::{Deserialize, Serialize};

use crate::{Digest, TeamId};

/// One key of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyGrant {
    /// Digest of the key; the key itself is never stored.
    pub digest: Digest,
    /// The team that the key speaks for.
    pub team: TeamId,
    /// Whether the key was withdrawn.
    ///
    /// Invariant: never goes back to `false`; a team gets a new key instead.
    #[serde(default)]
    pub withdrawn: bool,
}
