//! Units of the teams' limits in use at this entry.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cactuswheel_model::{Map, TeamId, Time};

/// Counts the units that each team has in use at this entry; each running request uses one.
#[derive(Debug, Default)]
pub struct UnitCounter {
    teams: Map<TeamId, TeamUnits>,
    /// Units of requests whose end was not observed, by the time at which the request has
    /// certainly ended.
    ///
    /// Invariant: each of these units is also counted in `teams`.
    unresolved: BinaryHeap<Reverse<(Time, TeamId)>>,
    /// Units in use by all teams together.
    total: u32,
}

#[derive(Debug, Default)]
struct TeamUnits {
    used: u32,
    /// Peak concurrent demand in units, rejected requests included: in the current window and in
    /// the previous one.
    peaks: [u32; 2],
    /// Requests rejected at the cap since the last call of `demand`.
    rejected: u32,
}

/// Units by which one call of `demand` may raise a team's demand beyond doubling it.
const EXTRA_GROWTH: u32 = 4;

impl UnitCounter {
    /// Acquires a unit for `team` if it has fewer than `cap` in use; returns whether it did.
    pub fn acquire(&mut self, team: &TeamId, cap: u32) -> bool {
        let count = match self.teams.get_mut(team) {
            Some(count) => count,
            None => self.teams.entry(team.clone()).or_default(),
        };
        if count.used >= cap {
            count.rejected = count.rejected.saturating_add(1);
            return false;
        }
        count.used += 1;
        count.peaks[0] = count.peaks[0].max(count.used);
        self.total += 1;
        true
    }

    /// Releases a unit of `team`.
    pub fn release(&mut self, team: &TeamId) {
        if let Some(count) = self.teams.get_mut(team) {
            count.used -= 1;
            self.total -= 1;
        }
    }

    /// Releases a unit of `team` at `at`, when its request has certainly ended.
    pub fn release_at(&mut self, team: &TeamId, at: Time) {
        self.unresolved.push(Reverse((at, team.clone())));
    }

    /// Releases the units whose `release_at` time has been reached at `now`.
    pub fn expire(&mut self, now: Time) {
        while let Some(Reverse((at, _))) = self.unresolved.peek()
            && *at <= now
            && let Some(Reverse((_, team))) = self.unresolved.pop()
        {
            self.release(&team);
        }
    }

    /// Units of `team` in use at this entry.
    pub fn used(&self, team: &TeamId) -> u32 {
        self.teams.get(team).map_or(0, |c| c.used)
    }

    /// Whether no unit is in use.
    pub fn is_idle(&self) -> bool {
        self.total == 0
    }

    /// Returns the peak demand of `team` in the current and the previous window, in units.
    ///
    /// Callers that retry are counted each time they are rejected, so one call lets rejected
    /// requests at most double the units in use, plus `EXTRA_GROWTH`.
    pub fn demand(&mut self, team: &TeamId) -> u32 {
        let Some(count) = self.teams.get_mut(team) else {
            return 0;
        };
        let growth = count.rejected.min(count.used + EXTRA_GROWTH);
        count.rejected = 0;
        count.peaks[0] = count.peaks[0].max(count.used + growth);
        count.peaks[0].max(count.peaks[1])
    }

    /// Starts a new demand window; the current one becomes the previous one.
    pub fn rotate_window(&mut self) {
        for count in self.teams.values_mut() {
            count.peaks = [count.used, count.peaks[0]];
        }
    }
}
