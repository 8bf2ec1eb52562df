//! Which jobs are beyond their team's share.

use std::collections::VecDeque;
use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::{TeamName, TeamWeight};

/// How a team's share is counted: the platform says.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareRule {
    /// Time over which jobs are counted.
    pub window: Duration,
    /// Part of the share that may come on top of it, for bursts.
    pub burst: f64,
    /// Jobs that may come on top in each window, whatever the share.
    pub slack: u32,
}

impl ShareRule {
    /// Jobs that a team of this weight may hand in within one window.
    fn allowed(&self, weight: TeamWeight) -> usize {
        let share = weight.get() * self.window.as_secs_f64() * (1.0 + self.burst);
        share as usize + self.slack as usize
    }
}

/// The jobs of each team within its share of late.
///
/// Answers a team that hands in many times what it usually does while the fleet is full: its jobs
/// beyond its share wait behind those of teams that keep to theirs. Nothing is refused, and with
/// room for all it makes no difference.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    /// When each job within the share was handed in, oldest first.
    admitted: Map<TeamName, VecDeque<Time>>,
}

impl Shares {
    /// Counts a job that was handed in at `at`; true if it is within its team's share.
    pub(crate) fn admit(
        &mut self,
        rule: &ShareRule,
        team: &TeamName,
        weight: TeamWeight,
        at: Time,
    ) -> bool {
        let admitted = self.admitted.entry(team.clone()).or_default();
        while admitted.front().is_some_and(|t| at.since(*t) > rule.window) {
            admitted.pop_front();
        }
        let within = admitted.len() < rule.allowed(weight);
        if within {
            admitted.push_back(at);
        }
        within
    }
}
