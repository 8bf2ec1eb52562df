//! The disruption budget of a pool.

use cactuswheel_model::{Map, PoolId, Service, ServiceId};
use serde::{Deserialize, Serialize};

use super::{Disruptions, Outage};
use crate::Config;

/// The strictest disruption budget among the services of a pool, and its use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    /// Number of instances in the pool, without those that still have to arrive there.
    pub members: u32,
    /// Number of members that are unavailable or about to be, by plan or by loss.
    pub down: u32,
    /// Maximum number of members that may be unavailable, and the service that sets it.
    ///
    /// Invariant: below `members` if there are members. `None` if no service uses the pool.
    pub limit: Option<(u32, ServiceId)>,
}

impl Budget {
    /// Computes the budget of one pool.
    pub(super) fn of(pool: &PoolId, config: &Config, disruptions: &Disruptions) -> Self {
        let mut budget = Self::new(config.pool_size(pool) as u32);
        for outage in disruptions.outages() {
            let instance = config.instances.get(&outage.instance);
            if instance.is_some_and(|i| i.pool == *pool) {
                budget.add_outage(outage);
            }
        }
        for service in config.services.values().filter(|s| s.pool == *pool) {
            budget.apply_limit(service);
        }
        budget
    }

    /// Computes the budgets of all pools in one pass.
    pub(super) fn all(config: &Config, disruptions: &Disruptions) -> Map<PoolId, Self> {
        let mut budgets: Map<PoolId, Self> = Map::default();
        for instance in config.instances.values() {
            match budgets.get_mut(&instance.pool) {
                Some(budget) => budget.members += 1,
                None => drop(budgets.insert(instance.pool.clone(), Self::new(1))),
            }
        }
        for outage in disruptions.outages() {
            let pool = config.instances.get(&outage.instance).map(|i| &i.pool);
            if let Some(budget) = pool.and_then(|pool| budgets.get_mut(pool)) {
                budget.add_outage(outage);
            }
        }
        for service in config.services.values() {
            if let Some(budget) = budgets.get_mut(&service.pool) {
                budget.apply_limit(service);
            }
        }
        budgets
    }

    fn new(members: u32) -> Self {
        Self {
            members,
            down: 0,
            limit: None,
        }
    }

    fn add_outage(&mut self, outage: &Outage) {
        match outage.uses_budget() {
            true => self.down += 1,
            false => self.members -= 1,
        }
    }

    /// Applies the limit of a service if it is the strictest so far; requires that all outages
    /// were added before.
    ///
    /// At least one member has to stay available whatever the service allows: while some instances
    /// are still arriving, a valid `max_down` can be as large as the number of members that serve.
    fn apply_limit(&mut self, service: &Service) {
        let allowed = service.max_down.min(self.members.saturating_sub(1));
        if allowed < self.allowed() || self.limit.is_none() {
            self.limit = Some((allowed, service.id.clone()));
        }
    }

    /// Whether one more member may become unavailable.
    pub fn has_room(&self) -> bool {
        self.excess(1).is_none()
    }

    /// Maximum number of members that may be unavailable; `u32::MAX` if no service uses the pool.
    pub fn allowed(&self) -> u32 {
        self.limit
            .as_ref()
            .map_or(u32::MAX, |(allowed, _)| *allowed)
    }

    /// By how much the limit would be exceeded with `more` additional outages; `None` if it would
    /// not be exceeded.
    pub fn excess(&self, more: u32) -> Option<u32> {
        let (limit, _) = self.limit.as_ref()?;
        let excess = (self.down + more).saturating_sub(*limit);
        (excess > 0).then_some(excess)
    }

    /// One line with the numbers, for operators.
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
