//! What outages leave of a pool's budget.

use cactuswheel_model::{PoolId, ServiceId};
use serde::{Deserialize, Serialize};

use super::Disruptions;
use crate::Config;

/// The strictest disruption budget over a pool, and its use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Instances that belong to the pool and have arrived.
    pub members: u32,
    /// Members that are unavailable: granted or lost.
    pub down: u32,
    /// Most that may be unavailable, and the service that says so.
    ///
    /// Invariant: below `members` if there are members. `None` if no service needs the pool.
    pub limit: Option<(u32, ServiceId)>,
}

impl Budget {
    /// Counts over the whole pool.
    pub(super) fn of(pool: &PoolId, config: &Config, disruptions: &Disruptions) -> Self {
        let mut budget = Self {
            members: config.pool_size(pool) as u32,
            down: 0,
            limit: None,
        };
        for hold in disruptions.holds() {
            let instance = config.instances.get(&hold.instance);
            if instance.is_none_or(|i| i.pool != *pool) {
                continue;
            }
            match hold.counts() {
                true => budget.down += 1,
                false => budget.members -= 1,
            }
        }
        let services = config.services.values().filter(|s| s.pool == *pool);
        let strictest = services.min_by_key(|s| s.max_down);
        // One member has to stay whatever the number says: arrivals may have made a sensible
        // budget as large as the members that really serve.
        let most = budget.members.saturating_sub(1);
        budget.limit = strictest.map(|s| (s.max_down.min(most), s.id.clone()));
        budget
    }

    /// Whether one more member may become unavailable.
    pub fn has_room(&self) -> bool {
        self.excess(1).is_none()
    }

    /// Most that may be unavailable; all if no service needs the pool.
    pub fn most(&self) -> u32 {
        self.limit.as_ref().map_or(u32::MAX, |(most, _)| *most)
    }

    /// How far `more` outages on top would exceed the limit.
    pub fn excess(&self, more: u32) -> Option<u32> {
        let (limit, _) = self.limit.as_ref()?;
        let excess = (self.down + more).saturating_sub(*limit);
        (excess > 0).then_some(excess)
    }

    /// One line with the numbers, for people.
    pub fn describe(&self, pool: &PoolId) -> String {
        match &self.limit {
            Some((limit, service)) => format!(
                "pool {pool}: {} of {} down, service {service} allows {limit}",
                self.down, self.members
            ),
            None => format!("pool {pool}: {} of {} down", self.down, self.members),
        }
    }
}
