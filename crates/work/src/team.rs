//! A team: a customer's workspace.

use crate::{Room, TeamName, TeamWeight};

/// Most that a team may have running over all workers; 0 in a field for no limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cap(pub Room);

/// A team.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// Its share when the fleet is full.
    pub weight: TeamWeight,
    /// Its upper limit.
    pub cap: Cap,
}

impl Cap {
    /// Whether `more` may start beside what is running.
    pub fn admits(self, running: Room, more: Room) -> bool {
        let after = running + more;
        let within = |cap: u64, used: u64| cap == 0 || used <= cap;
        within(self.0.cpu, after.cpu)
            && within(self.0.memory, after.memory)
            && within(self.0.gpu, after.gpu)
    }
}
