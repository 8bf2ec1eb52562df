//! What a request holds until its answer is out.

use std::sync::Arc;

use cactuswheel_model::{Code, Refusal, Team, TeamId};

use crate::shared::Shared;

/// A unit of a team's limit; dropping it gives the unit back.
#[derive(Debug)]
pub(super) struct Permit {
    shared: Arc<Shared>,
    team: TeamId,
}

impl Permit {
    /// Takes a unit, or refuses at the team's limit.
    pub(super) fn take(shared: &Arc<Shared>, team: &Team) -> Result<Self, Refusal> {
        if !shared.gate().enter(&team.id, team.limit.get()) {
            return Err(Refusal::new(Code::TeamLimit));
        }
        Ok(Self {
            shared: shared.clone(),
            team: team.id.clone(),
        })
    }

    /// The team.
    pub(super) fn team(&self) -> &TeamId {
        &self.team
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.shared.gate().leave(&self.team);
    }
}
