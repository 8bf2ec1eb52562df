//! Room used by each team.

use cactuswheel_model::Map;
use cactuswheel_work::{Room, TeamName};

/// Room used by each team's runs, including those that are starting, stopping or in an unknown
/// state.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    teams: Map<TeamName, Room>,
}

impl Usage {
    pub(crate) fn of(&self, team: &TeamName) -> Room {
        self.teams.get(team).copied().unwrap_or_default()
    }

    pub(crate) fn add(&mut self, team: Option<&TeamName>, room: Room) {
        if let Some(team) = team {
            *self.teams.entry(team.clone()).or_default() += room;
        }
    }

    pub(crate) fn remove(&mut self, team: Option<&TeamName>, room: Room) {
        if let Some(used) = team.and_then(|t| self.teams.get_mut(t)) {
            *used -= room;
        }
    }
}
