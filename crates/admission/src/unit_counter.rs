//! Running work of each team at this entry.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use cactuswheel_model::{Map, TeamId, Time};

/// Counts what each team has running here.
#[derive(Debug, Default)]
pub struct UnitCounter {
    teams: Map<TeamId, TeamUnits>,
    /// Units of requests whose end is unknown, by the time at which they surely have ended.
    ///
    /// Invariant: each is counted in `teams` too.
    unresolved: BinaryHeap<Reverse<(Time, TeamId)>>,
    /// Units in use over all teams.
    total: u32,
}

#[derive(Debug, Default)]
struct TeamUnits {
    used: u32,
    /// Most that were or could have been in use at once, in this window and the one before.
    peaks: [u32; 2],
    /// Turned away at the cap since the last look.
    rejected: u32,
}

/// Growth of a team's demand that one look can show, beside doubling.
const EXTRA_GROWTH: u32 = 4;

impl UnitCounter {
    /// Takes a unit for `team` if fewer than `cap` are in use.
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

    /// Gives a unit of `team` back.
    pub fn release(&mut self, team: &TeamId) {
        if let Some(count) = self.teams.get_mut(team) {
            count.used -= 1;
            self.total -= 1;
        }
    }

    /// Gives a unit of `team` back at `at`, when its request has surely ended.
    pub fn release_at(&mut self, team: &TeamId, at: Time) {
        self.unresolved.push(Reverse((at, team.clone())));
    }

    /// Gives back the units of requests that have surely ended by `now`.
    pub fn expire(&mut self, now: Time) {
        while let Some(Reverse((at, _))) = self.unresolved.peek()
            && *at <= now
            && let Some(Reverse((_, team))) = self.unresolved.pop()
        {
            self.release(&team);
        }
    }

    /// Units of `team` in use here.
    pub fn used(&self, team: &TeamId) -> u32 {
        self.teams.get(team).map_or(0, |c| c.used)
    }

    /// Whether nothing is in use.
    pub fn is_idle(&self) -> bool {
        self.total == 0
    }

    /// Units that the demand of this window and the last could have used.
    ///
    /// Callers that come again and again are counted each time, so what was turned away adds no
    /// more than doubles the demand at one look.
    pub fn demand(&mut self, team: &TeamId) -> u32 {
        let Some(count) = self.teams.get_mut(team) else {
            return 0;
        };
        let growth = count.rejected.min(count.used + EXTRA_GROWTH);
        count.rejected = 0;
        count.peaks[0] = count.peaks[0].max(count.used + growth);
        count.peaks[0].max(count.peaks[1])
    }

    /// Begins a new window of demand.
    pub fn rotate_window(&mut self) {
        for count in self.teams.values_mut() {
            count.peaks = [count.used, count.peaks[0]];
        }
    }
}
