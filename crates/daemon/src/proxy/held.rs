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
        shared.enter(&team.id)?;
        Ok(Self {
            shared: shared.clone(),
            team: team.id.clone(),
        })
    }

    /// The team.
    pub(super) fn team(&self) -> &TeamId {
        &self.team
    }

    /// Refuses if the unit may no longer be used for something new.
    ///
    /// Failure: the entry is paused, or a body takes long to come, between taking the unit and
    /// handing the request over; by then others have taken the entry's units over and the team
    /// runs over its limit. Looked at last thing before the hand-over.
    pub(super) fn check(&self) -> Result<(), Refusal> {
        if self.shared.is_open() {
            return Ok(());
        }
        Err(Refusal::new(Code::Fenced))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.shared.holder().leave(&self.team);
    }
}
