//! Begin of the occurrences of recurring jobs.

use std::time::Duration;

use cactuswheel_model::Set;
use cactuswheel_work::{JobId, TeamName};

use crate::cell::Cell;

/// Interval between attempts to begin occurrences for which the state had no room.
const HELD_INTERVAL: Duration = Duration::from_millis(100);

impl Cell {
    /// Starts the occurrences of recurring jobs that are due.
    pub(crate) fn begin_due_turns(&mut self, wall: u64) {
        self.begin_held_turns();
        while let Some(&next) = self.due_turns.first()
            && next.0 <= wall
        {
            self.due_turns.pop_first();
            if !self.try_begin(next) {
                let (_, id) = next;
                let size = self.state_size();
                log::warn!(job:% = id, state_bytes = size; "occurrence waits: too many open jobs");
                self.held_turns.insert(next);
            }
        }
    }

    /// Starts the occurrences that were due and for which the state has room now. One that has to
    /// wait on holds up those of its own team only.
    fn begin_held_turns(&mut self) {
        if self.held_turns.is_empty() || self.now.since(self.held_checked) < HELD_INTERVAL {
            return;
        }
        self.held_checked = self.now;
        let mut full: Set<Option<TeamName>> = Set::default();
        for held in self.held_turns.clone() {
            let team = self.jobs.get(&held.1).and_then(|j| j.sub.team.clone());
            if full.contains(&team) {
                continue;
            }
            match self.try_begin(held) {
                true => drop(self.held_turns.remove(&held)),
                false => drop(full.insert(team)),
            }
        }
    }

    /// Starts an occurrence that is due, unless it is obsolete; false if the state has no room for
    /// it. Without this limit, jobs that become due together could exceed the memory of every node
    /// that may own the cell.
    fn try_begin(&mut self, (due, id): (u64, JobId)) -> bool {
        let job = self.jobs.get(&id).filter(|j| j.is_open());
        // A journal record of an earlier owner may already contain this occurrence.
        let Some(job) = job.filter(|j| j.next_turn() == Some(due)) else {
            return true;
        };
        if !job.record_has_room() {
            // The job's next ended occurrence makes it due again.
            return true;
        }
        let (team, growth) = (job.sub.team.as_ref(), job.turn_growth());
        let share = self.weight_share(team);
        let room = self.open_state.growth_room(&self.state_limits, team, share);
        if !room.fits(growth) {
            return false;
        }
        if let Some(job) = self.jobs.get_mut(&id)
            && job.begin_turn()
        {
            self.due_turns.extend(job.next_turn().map(|due| (due, id)));
        }
        self.recount(id);
        self.reschedule = true;
        true
    }
}
