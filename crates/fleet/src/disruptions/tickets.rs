//! How tickets affect outages, and outages restrict tickets.

use std::collections::BTreeSet;

use cactuswheel_model::{Change, Code, InstanceId, ObjectId, PoolId, Refusal, Ticket};

use super::steps::refuse;
use super::{Budget, Disruptions, Stage};
use crate::Config;

impl Disruptions {
    /// Refuses a ticket that would exceed a disruption budget, given the outages in progress.
    pub(crate) fn check_ticket(
        &self,
        ticket: &Ticket,
        old: &Config,
        next: &Config,
    ) -> Result<(), Refusal> {
        for id in ticket.changes.iter().filter_map(removed_instance) {
            self.check_removable(id)?;
        }
        for pool in affected_pools(ticket, old, next) {
            let before = self.budget(&pool, old);
            let after = self.budget(&pool, next);
            check_pool(&pool, &before, &after)?;
        }
        Ok(())
    }

    /// Ends outages and removes wanted moves that no longer apply after the ticket.
    pub(crate) fn apply_ticket(&mut self, ticket: &Ticket, old: &Config, next: &Config) {
        for change in &ticket.changes {
            match change {
                Change::Remove(ObjectId::Instance(id)) => self.remove_instance(id),
                Change::Instance(x) => {
                    let before = old.instances.get(&x.id).map(|i| &i.pool);
                    let draining = self
                        .outage(&x.id)
                        .is_some_and(|o| matches!(o.stage, Stage::Draining(_)));
                    if before != next.instances.get(&x.id).map(|i| &i.pool) {
                        self.drop_move(&x.id);
                    }
                    // The budget of the old pool granted this drain. From here on its commit is
                    // refused.
                    if draining && before != next.instances.get(&x.id).map(|i| &i.pool) {
                        self.outages.remove(&x.id);
                    }
                }
                _ => {}
            }
        }
    }

    /// Refuses to remove an instance whose reboot is committed.
    ///
    /// Otherwise the outage would be dropped with the instance, and if an instance were added
    /// again under the same name, a driver that was paused could still reboot it: an outage that
    /// no budget counts. The instance has to be seen healthy again first.
    fn check_removable(&self, id: &InstanceId) -> Result<(), Refusal> {
        match self.outage(id).map(|o| &o.stage) {
            Some(Stage::Rebooting(_)) => Err(refuse(
                Code::InstanceHeld,
                format!("{id} is being rebooted"),
            )),
            _ => Ok(()),
        }
    }

    fn remove_instance(&mut self, id: &InstanceId) {
        self.outages.remove(id);
        self.drop_move(id);
        self.incarnations.remove(id);
        self.last_waves.remove(id);
        self.deferred.remove(id);
    }
}

/// Compares a pool before and after the ticket.
///
/// A pool that losses have taken over its limit may stay over it, but its excess must not grow,
/// and its limit must not be lowered while it is exceeded. A pool with members down may not give
/// away more healthy members than its budget allows.
fn check_pool(pool: &PoolId, before: &Budget, after: &Budget) -> Result<(), Refusal> {
    let over = after.excess(0).unwrap_or(0);
    let worse = over > before.excess(0).unwrap_or(0);
    let lowered = over > 0 && after.allowed() < before.allowed();
    let healthy = |b: &Budget| b.members - b.down;
    let leaving = healthy(before).saturating_sub(healthy(after));
    let short = after.down > 0 && leaving > 0 && after.excess(leaving).is_some();
    if !worse && !lowered && !short {
        return Ok(());
    }
    let detail = format!("{}, {leaving} healthy ones leave", after.describe(pool));
    Err(refuse(Code::BudgetFull, detail))
}

fn removed_instance(change: &Change) -> Option<&InstanceId> {
    match change {
        Change::Remove(ObjectId::Instance(id)) => Some(id),
        _ => None,
    }
}

/// Pools whose members or budgets the ticket changes.
fn affected_pools(ticket: &Ticket, old: &Config, next: &Config) -> BTreeSet<PoolId> {
    let mut pools = BTreeSet::new();
    for object in ticket.changes.iter().map(Change::object) {
        for config in [old, next] {
            let pool = match &object {
                ObjectId::Instance(id) => config.instances.get(id).map(|i| &i.pool),
                ObjectId::Service(id) => config.services.get(id).map(|s| &s.pool),
                _ => None,
            };
            pools.extend(pool.cloned());
        }
    }
    pools
}
