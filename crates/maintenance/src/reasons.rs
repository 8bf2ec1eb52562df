//! Reasons why a wave does not start more outages.

use std::fmt;
use std::time::Duration;

use cactuswheel_model::{InstanceId, Map, OperatorId, PoolId};

use crate::starts::pending_instances;
use crate::{Driver, View};

/// A reason why outages of a wave do not start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitReason {
    /// The wave is paused, by the named operator if known.
    Paused(Option<OperatorId>),
    /// The platform has not answered for this long.
    PlatformUnavailable(Duration),
    /// Too many instances are lost: the number lost, and the number below which the wave
    /// continues.
    TooManyLosses(usize, usize),
    /// Too many instances are overdue from their reboot; lists all of them.
    TooManyOverdue(Vec<InstanceId>),
    /// This instance is overdue from its reboot and still counts against its pool's budget.
    Overdue(InstanceId),
    /// The budget of a pool is used up: a description of the budget, and the number of instances
    /// that wait for it.
    BudgetExhausted(String, usize),
    /// Number of instances that are postponed because their work did not end within the drain
    /// timeout.
    Postponed(usize),
}

impl Driver {
    /// All reasons why the newest wave does not start more outages.
    pub fn wait_reasons(&self, view: &View<'_>) -> Vec<WaitReason> {
        let Some(wave) = view.state.disruptions().wave() else {
            return Vec::new();
        };
        let mut reasons: Vec<_> = self.wave_blocker(view).into_iter().collect();
        reasons.extend(self.overdue.iter().cloned().map(WaitReason::Overdue));
        let pending = pending_instances(view, wave);
        let disruptions = view.state.disruptions();
        let mut budgets: Vec<_> = disruptions
            .budgets(view.state.config())
            .into_iter()
            .filter(|(_, budget)| !budget.has_room())
            .collect();
        budgets.sort_by(|a, b| a.0.cmp(&b.0));
        let mut waiting: Map<&PoolId, usize> = Map::default();
        for instance in &pending {
            *waiting.entry(&instance.pool).or_default() += 1;
        }
        for (pool, budget) in budgets {
            if let Some(count) = waiting.get(&pool) {
                reasons.push(WaitReason::BudgetExhausted(budget.describe(&pool), *count));
            }
        }
        let postponed = pending
            .iter()
            .filter(|i| disruptions.deferred(&i.id).is_some())
            .count();
        if postponed > 0 {
            reasons.push(WaitReason::Postponed(postponed));
        }
        reasons
    }
}

impl fmt::Display for WaitReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Paused(Some(who)) => write!(f, "paused by {who}"),
            Self::Paused(None) => f.write_str("paused"),
            Self::PlatformUnavailable(age) => {
                write!(f, "platform has not answered for {} s", age.as_secs())
            }
            Self::TooManyLosses(lost, limit) => {
                write!(f, "{lost} instances lost, goes on below {limit}")
            }
            Self::TooManyOverdue(ids) => write!(f, "{} reboots did not come back", ids.len()),
            Self::Overdue(id) => write!(f, "{id} is not back from its reboot"),
            Self::BudgetExhausted(numbers, waiting) => write!(f, "{waiting} wait: {numbers}"),
            Self::Postponed(count) => write!(f, "{count} postponed: their work ran too long"),
        }
    }
}
