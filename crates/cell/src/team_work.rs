//! Waiting work by team.

use std::time::Duration;

use cactuswheel_model::Map;
use cactuswheel_work::TeamName;

/// Number of steps in which the time of [`TeamWork::drain_time`] is approximated from above.
const ROUNDS: usize = 8;

/// Waiting work by team, in thousandths of a core times milliseconds.
#[derive(Debug, Default)]
pub(crate) struct TeamWork {
    /// Invariant: no amount is 0. Jobs of queues that need no key have no team.
    teams: Map<Option<TeamName>, u64>,
}

impl TeamWork {
    /// Adds work of a team.
    pub(crate) fn add(&mut self, team: Option<&TeamName>, work: u64) {
        if work > 0 {
            *self.teams.entry(team.cloned()).or_default() += work;
        }
    }

    /// Takes back what was added.
    pub(crate) fn remove(&mut self, team: Option<&TeamName>, work: u64) {
        let team = team.cloned();
        if let Some(left) = self.teams.get_mut(&team) {
            *left -= work;
            if *left == 0 {
                self.teams.remove(&team);
            }
        }
    }

    /// Work of one team.
    pub(crate) fn of(&self, team: &TeamName) -> u64 {
        let team = Some(team.clone());
        self.teams.get(&team).copied().unwrap_or_default()
    }

    /// Time after which the work leaves room on workers with `cpu` thousandths of a core, if each
    /// team has no more running than `cap_of` says, in thousandths of a core; `None` if `cpu` is 0.
    ///
    /// A team whose quota is used up waits for its own runs, not for workers, so what it has
    /// waiting beyond what its quota lets run by then is not counted.
    pub(crate) fn drain_time(
        &self,
        cpu: u64,
        cap_of: impl Fn(&TeamName) -> Option<u64>,
    ) -> Option<Duration> {
        if cpu == 0 {
            return None;
        }
        let waiting = self.teams.iter().map(|(team, work)| {
            let cap = team.as_ref().and_then(&cap_of);
            (*work as f64, cap.map_or(f64::INFINITY, |c| c as f64))
        });
        let waiting: Vec<(f64, f64)> = waiting.collect();
        let total: f64 = waiting.iter().map(|(work, _)| work).sum();
        let mut time = total / cpu as f64;
        for _ in 0..ROUNDS {
            let done = waiting.iter().map(|(work, cap)| work.min(cap * time));
            time = done.sum::<f64>() / cpu as f64;
        }
        Some(Duration::from_millis(time as u64))
    }
}
