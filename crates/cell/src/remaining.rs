//! What waiting work may request of the fleet, beyond what was counted already.

use cactuswheel_model::Map;
use cactuswheel_work::{Room, Step, TeamName};

use crate::cell::Cell;
use crate::inventory::Inventory;
use crate::job::Job;

/// Room that waiting work may still request while the demand of many jobs is summed up.
#[derive(Debug, Default)]
pub(crate) struct Remaining {
    /// Room that is left of each team's quota.
    teams: Map<TeamName, Room>,
    /// Room on the instances with each label.
    labels: Map<String, Room>,
}

impl Remaining {
    /// Takes the room for up to `tasks` of a step from the instances with its label, and returns
    /// the number of tasks that there is room for.
    fn take_labelled(&mut self, step: &Step, tasks: u64, inventory: Option<&Inventory>) -> u64 {
        let (Some(label), Some(inventory)) = (&step.label, inventory) else {
            return tasks;
        };
        let left = self.labels.entry(label.clone());
        let left = left.or_insert_with(|| inventory.room(label));
        let tasks = starting(step, tasks, step.reserved().times_in(*left));
        *left -= step.reserved() * tasks;
        tasks
    }
}

impl Cell {
    /// How many of a step's `free` tasks the instances with its label and the team's quota let
    /// start; of a gang all or none.
    pub(crate) fn startable(&self, job: &Job, step: &Step, free: u64, left: &mut Remaining) -> u64 {
        let free = left.take_labelled(step, free, self.inventory.as_ref());
        let Some(team) = &job.sub.team else {
            return free;
        };
        let Some(cap) = self.config.teams.get(team).map(|t| t.cap.0) else {
            return free;
        };
        if cap.cpu == 0 {
            return free;
        }
        let used = self.usage.of(team);
        let left = left.teams.entry(team.clone()).or_insert(cap - used);
        let tasks = starting(step, free, left.cpu / step.room.cpu.max(1));
        *left -= step.room * tasks;
        tasks
    }
}

/// How many of `tasks` waiting tasks of a step start if `places` could: of a gang all or none.
fn starting(step: &Step, tasks: u64, places: u64) -> u64 {
    match places >= tasks {
        true => tasks,
        false if step.gang => 0,
        false => places,
    }
}

/// How many of `tasks` tasks of a step the instances of the fleet could run if all of them were
/// empty: long-running tasks all at once, a gang as a whole or not at all, others one by one.
/// Without a list of instances, all of them.
pub(crate) fn placeable(inventory: Option<&Inventory>, step: &Step, tasks: u64) -> u64 {
    let Some(inventory) = inventory else {
        return tasks;
    };
    let needed = step.least_at_once();
    match step.lasting && !step.gang {
        true => inventory.places(step, tasks),
        false if inventory.places(step, needed) < needed => 0,
        false => tasks,
    }
}
