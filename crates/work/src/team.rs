//! Teams (customers' workspaces).

use crate::{Room, TeamName, TeamWeight};

/// Maximum amounts of resources that the running tasks of a team may use on all workers together; 0
/// for no limit of a resource.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cap(pub Room);

/// A team (a customer's workspace).
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// Its weight for fair sharing when the fleet is full.
    pub weight: TeamWeight,
    /// Its limit on resources.
    pub cap: Cap,
}

impl Cap {
    /// Whether a task that needs `more` may start while the running tasks use `running`.
    pub fn admits(self, running: Room, more: Room) -> bool {
        let after = running + more;
        let within = |cap: u64, used: u64| cap == 0 || used <= cap;
        within(self.0.cpu, after.cpu)
            && within(self.0.memory, after.memory)
            && within(self.0.gpu, after.gpu)
    }
}
