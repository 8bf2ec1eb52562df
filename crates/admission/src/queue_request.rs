//! What a waiting request asks for.

use cactuswheel_model::{Share, TeamId, Time};

/// Whose request waits, how urgently and until when.
#[derive(Debug, Clone)]
pub struct QueueRequest {
    /// The team.
    pub team: TeamId,
    /// Its weight against other teams.
    pub share: Share,
    /// Whether it goes before all that are not.
    pub urgent: bool,
    /// When it has to have started.
    pub deadline: Time,
}
