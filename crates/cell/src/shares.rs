//! Determines which jobs exceed their team's share.

use std::collections::VecDeque;
use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::{TeamName, TeamWeight};

/// How a team's share is computed; set by the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareRule {
    /// Length of the sliding window over which jobs are counted.
    pub window: Duration,
    /// Allowance for bursts, as a fraction of the share.
    pub burst: f64,
    /// Number of jobs per window that are allowed in addition, regardless of the share.
    pub slack: u32,
}

impl ShareRule {
    /// Number of jobs that a team of this weight may submit within one window.
    fn allowed(&self, weight: TeamWeight) -> usize {
        let share = weight.get() * self.window.as_secs_f64() * (1.0 + self.burst);
        share as usize + self.slack as usize
    }
}

/// Recent jobs of each team that were within its share.
///
/// Protects other teams when one team submits many times its usual load while the fleet is full:
/// the jobs beyond its share wait behind the jobs of teams that stay within theirs. No job is
/// refused, and while there is room for all jobs the share has no effect.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    /// Submission times of the jobs within the share, oldest first.
    admitted: Map<TeamName, VecDeque<Time>>,
}

impl Shares {
    /// Counts a job that was submitted at `at`; returns true if it is within its team's share.
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
