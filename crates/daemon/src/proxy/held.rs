//! What a request holds until its answer is out.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_model::{Code, PoolId, Refusal, TeamId, Time};

use crate::shared::Shared;

/// A unit of a team's limit; dropping it gives the unit back.
#[derive(Debug)]
pub(super) struct Permit {
    shared: Arc<Shared>,
    team: TeamId,
    /// None for a further attempt: its time is counted with the first one's.
    charge: Option<Charge>,
}

/// What a team was charged for a request.
#[derive(Debug)]
pub(super) struct Charge {
    /// The pool whose queue it came from.
    pub(super) pool: PoolId,
    /// Slot time charged at the start.
    pub(super) paid: Duration,
    /// When it started.
    pub(super) start: Time,
}

impl Permit {
    /// A unit that was taken already.
    pub(super) fn new(shared: &Arc<Shared>, team: &TeamId, charge: Charge) -> Self {
        Self {
            shared: shared.clone(),
            team: team.clone(),
            charge: Some(charge),
        }
    }

    /// Takes one more unit, for an attempt beside one that may still run.
    pub(super) fn another(shared: &Arc<Shared>, team: &TeamId) -> Result<Self, Refusal> {
        shared.enter(team)?;
        Ok(Self {
            shared: shared.clone(),
            team: team.clone(),
            charge: None,
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
        self.shared.holder().release(&self.team);
        if let Some(charge) = &self.charge {
            let took = self.shared.now().since(charge.start);
            self.shared.lines.ended(&self.team, charge, took);
        }
    }
}
