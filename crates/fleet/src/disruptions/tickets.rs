//! How tickets and outages bind each other.

use std::collections::BTreeSet;

use cactuswheel_model::{Change, Code, InstanceId, ObjectId, PoolId, Refusal, Ticket};

use super::steps::refuse;
use super::{Budget, Disruptions, Stage};
use crate::Config;

impl Disruptions {
    /// Refuses a ticket that would break a budget with the outages under way.
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

    /// Ends outages that the ticket has made pointless.
    pub(crate) fn apply_ticket(&mut self, ticket: &Ticket, old: &Config, next: &Config) {
        for change in &ticket.changes {
            match change {
                Change::Remove(ObjectId::Instance(id)) => self.remove_instance(id),
                Change::Instance(x) => {
                    let before = old.instances.get(&x.id).map(|i| &i.pool);
                    let draining = self
                        .outage(&x.id)
                        .is_some_and(|h| matches!(h.stage, Stage::Draining(_)));
                    if before != next.instances.get(&x.id).map(|i| &i.pool) {
                        self.drop_move(&x.id);
                    }
                    // A drain for another pool's sake; its commit will be refused.
                    if draining && before != next.instances.get(&x.id).map(|i| &i.pool) {
                        self.outages.remove(&x.id);
                    }
                }
                _ => {}
            }
        }
    }

    /// Failure: a committed reboot is forgotten with its instance, the same name is added
    /// again, and a paused driver still reboots it; symptom: an outage that no budget counts.
    /// Committed instances therefore stay until they are back.
    fn check_removable(&self, id: &InstanceId) -> Result<(), Refusal> {
        match self.outage(id).map(|h| &h.stage) {
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

/// Judges one pool before and after.
///
/// What was over its limit before, by losses, may stay over it but not get worse, nor may the
/// limit sink further below what is down. A pool that is short of members by outages gives no
/// healthy one away beyond its budget.
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

/// Pools whose members or budgets the ticket touches.
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
