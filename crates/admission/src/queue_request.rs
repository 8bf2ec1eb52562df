//! The queueing parameters of a request.

use cactuswheel_model::{Share, TeamId, Time};

/// The team, priority and deadline of a request that is queued.
#[derive(Debug, Clone)]
pub struct QueueRequest {
    /// The team that sent the request.
    pub team: TeamId,
    /// The team's weight relative to other teams.
    pub share: Share,
    /// Whether it precedes all requests that are not urgent.
    pub urgent: bool,
    /// Time by which it must have started.
    pub deadline: Time,
}
