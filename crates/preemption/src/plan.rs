//! Chooses the runs to stop.

use cactuswheel_model::Set;
use cactuswheel_work::{Room, StepId, WorkerId};

use crate::budget::Budget;
use crate::snapshot::{Candidate, Demand, Snapshot, Victim, VictimClass};

/// Runs to stop on one worker for one task of a waiting step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Preemption {
    /// Step that gets the room.
    pub step: StepId,
    /// Room that one of its tasks requests.
    pub room: Room,
    /// Worker on which the room becomes free.
    pub worker: WorkerId,
    /// Runs to stop.
    pub victims: Vec<Victim>,
}

impl Preemption {
    /// Work thrown away, in thousandths of a core times milliseconds.
    pub fn lost(&self) -> u64 {
        self.victims.iter().map(|v| v.lost).sum()
    }
}

/// Returns the runs to stop.
///
/// A step is served as a whole or not at all: a job is in time only if its last task is. The work
/// thrown away for a step stays below the work of the tasks that it lets start. A worker is chosen
/// once, since room is reserved for one task on a worker.
pub fn preempt(snapshot: &Snapshot, budget: &mut Budget) -> Vec<Preemption> {
    let mut chosen = Vec::new();
    let mut taken = Set::default();
    let mut ahead = Room::default();
    for demand in &snapshot.demands {
        let missing = missing(demand, &mut ahead, snapshot);
        if missing == 0 || demand.slack_ms < snapshot.stop_ms {
            continue;
        }
        let Some(plan) = serve(demand, missing, snapshot, &taken) else {
            continue;
        };
        let lost: u64 = plan.iter().map(Preemption::lost).sum();
        let stops = plan.iter().map(|p| p.victims.len()).sum();
        let helped = demand.room.cpu * demand.run_ms * missing;
        if lost < helped && budget.take(lost, stops) {
            taken.extend(plan.iter().map(|p| p.worker.clone()));
            chosen.extend(plan);
        }
    }
    chosen
}

/// Number of a step's tasks that do not start in time in room that returns by itself, after the
/// steps before it took their part of that room (`ahead`).
fn missing(demand: &Demand, ahead: &mut Room, snapshot: &Snapshot) -> u64 {
    let returned = snapshot.returns.by(demand.slack_ms);
    let started = (0..demand.tasks)
        .take_while(|n| (*ahead + demand.room * (n + 1)).fits(returned))
        .count() as u64;
    *ahead += demand.room * started;
    demand.tasks - started
}

/// One preemption for each missing task, or `None` if the workers do not allow that many.
fn serve(
    demand: &Demand,
    missing: u64,
    snapshot: &Snapshot,
    taken: &Set<WorkerId>,
) -> Option<Vec<Preemption>> {
    let open = snapshot
        .candidates
        .iter()
        .filter(|c| !taken.contains(&c.worker));
    let mut plans: Vec<Preemption> = open.filter_map(|c| free_up(demand, c, snapshot)).collect();
    plans.sort_by_key(|p| (p.victims.iter().map(|v| v.class).max(), p.lost()));
    plans.truncate(missing as usize);
    (plans.len() as u64 == missing).then_some(plans)
}

/// Stops on one worker that make room for one task; `None` if there is not enough to stop.
fn free_up(demand: &Demand, candidate: &Candidate, snapshot: &Snapshot) -> Option<Preemption> {
    let eligible = candidate.victims.iter();
    let eligible = eligible.filter(|v| may_stop(demand, v, snapshot.stop_ms));
    let mut eligible: Vec<&Victim> = eligible.collect();
    eligible.sort_by_key(|v| (v.class, v.lost, v.task));
    let mut free = candidate.free;
    let mut victims = Vec::new();
    for victim in eligible {
        if demand.room.fits(free) {
            break;
        }
        free += victim.room;
        victims.push(victim.clone());
    }
    if !demand.room.fits(free) {
        return None;
    }
    spare_unneeded(demand.room, &mut free, &mut victims);
    Some(Preemption {
        step: demand.step,
        room: demand.room,
        worker: candidate.worker.clone(),
        victims,
    })
}

/// Leaves out the victims without which the room is enough too, the greatest loss first.
fn spare_unneeded(room: Room, free: &mut Room, victims: &mut Vec<Victim>) {
    for index in (0..victims.len()).rev() {
        let without = *free - victims[index].room;
        if room.fits(without) {
            *free = without;
            victims.remove(index);
        }
    }
}

/// Whether a run gives way to a step: it would not end by itself before a stop takes effect, and
/// its class ranks below the step.
fn may_stop(demand: &Demand, victim: &Victim, stop_ms: u64) -> bool {
    let ranks_lower = match victim.class {
        VictimClass::LowerPriority => demand.priority == 0 && victim.priority > 0,
        _ => true,
    };
    ranks_lower && victim.left_ms > stop_ms
}
