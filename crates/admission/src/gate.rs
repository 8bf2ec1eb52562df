//! Running work of each team at this entry.

use cactuswheel_model::{Code, Map, Refusal, Slots, TeamId};

/// Counts what each team has running here.
#[derive(Debug, Default)]
pub struct Gate {
    /// Invariant: no zero counts are kept.
    running: Map<TeamId, u32>,
}

impl Gate {
    /// Takes a unit for `team`, or refuses at its `limit`.
    pub fn enter(&mut self, team: &TeamId, limit: Slots) -> Result<(), Refusal> {
        let running = self.running.get(team).copied().unwrap_or(0);
        if running >= limit.get() {
            return Err(Refusal::new(Code::TeamLimit));
        }
        self.running.insert(team.clone(), running + 1);
        Ok(())
    }

    /// Gives a unit of `team` back.
    pub fn leave(&mut self, team: &TeamId) {
        let Some(running) = self.running.get_mut(team) else {
            return;
        };
        *running -= 1;
        if *running == 0 {
            self.running.remove(team);
        }
    }

    /// What `team` has running here.
    pub fn running(&self, team: &TeamId) -> u32 {
        self.running.get(team).copied().unwrap_or(0)
    }
}
