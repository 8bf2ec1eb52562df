//! The rules for accepting a ticket.

use std::collections::BTreeSet;

use cactuswheel_model::{Change, Code, Instance, KeyGrant, ObjectId, PoolId, Refusal, Ticket};

use crate::{Config, Ledger};

/// Maximum number of changes in one ticket.
const MAX_CHANGES: usize = 10_000;

/// Refuses a ticket that changes an object twice, or an object that a ticket with a higher number
/// has changed.
pub(crate) fn check_order(ticket: &Ticket, ledger: &Ledger) -> Result<(), Refusal> {
    if ticket.changes.is_empty() || ticket.changes.len() > MAX_CHANGES {
        let detail = format!("{} changes, takes 1 to {MAX_CHANGES}", ticket.changes.len());
        return Err(Refusal::new(Code::BadTicket).with_detail(detail));
    }
    let mut seen = BTreeSet::new();
    for object in ticket.changes.iter().map(Change::object) {
        if let Some(by) = ledger.last_ticket(&object).filter(|by| *by > ticket.ticket) {
            let detail = format!("{object} was set by ticket {by}");
            return Err(Refusal::new(Code::TicketStale).with_detail(detail));
        }
        if let Some(twice) = seen.replace(object) {
            let detail = format!("{twice} is named twice");
            return Err(Refusal::new(Code::BadTicket).with_detail(detail));
        }
    }
    Ok(())
}

/// Refuses a ticket that leaves a reference to a missing object or a disruption budget that
/// protects nothing.
///
/// Checks only what the ticket changes: the rest followed these rules before.
pub(crate) fn check_consistency(
    ticket: &Ticket,
    old: &Config,
    next: &Config,
) -> Result<(), Refusal> {
    ticket
        .changes
        .iter()
        .try_for_each(|change| check_change(change, old, next))
}

fn check_change(change: &Change, old: &Config, next: &Config) -> Result<(), Refusal> {
    match change {
        Change::Dc(_) | Change::Pool(_) | Change::Team(_) => Ok(()),
        Change::Service(x) => {
            require(next, ObjectId::Pool(x.pool.clone()))?;
            check_budget(&x.pool, next)
        }
        Change::Key(x) => check_key(x, old, next),
        Change::Instance(x) => check_instance(x, old, next),
        Change::Remove(id) => check_removal(id, old, next),
    }
}

fn check_key(key: &KeyGrant, old: &Config, next: &Config) -> Result<(), Refusal> {
    require(next, ObjectId::Team(key.team.clone()))?;
    let before = old.keys.get(&key.digest);
    if before.is_some_and(|k| k.withdrawn) && !key.withdrawn {
        let detail = "a withdrawn key stays withdrawn: grant a new one";
        return Err(Refusal::new(Code::BadTicket).with_detail(detail));
    }
    Ok(())
}

fn check_instance(instance: &Instance, old: &Config, next: &Config) -> Result<(), Refusal> {
    require(next, ObjectId::Pool(instance.pool.clone()))?;
    require(next, ObjectId::Dc(instance.dc.clone()))?;
    match old.instances.get(&instance.id) {
        Some(before) if before.pool != instance.pool => check_budget(&before.pool, next),
        _ => Ok(()),
    }
}

fn check_removal(id: &ObjectId, old: &Config, next: &Config) -> Result<(), Refusal> {
    if !old.contains(id) {
        let detail = format!("{id} to be removed");
        return Err(Refusal::new(Code::MissingReference).with_detail(detail));
    }
    if let Some(user) = referrer(id, next) {
        let detail = format!("{user} refers to {id}");
        return Err(Refusal::new(Code::StillUsed).with_detail(detail));
    }
    match id {
        ObjectId::Instance(id) => match old.instances.get(id) {
            Some(before) => check_budget(&before.pool, next),
            None => Ok(()),
        },
        _ => Ok(()),
    }
}

fn referrer(id: &ObjectId, next: &Config) -> Option<ObjectId> {
    match id {
        ObjectId::Dc(id) => next
            .instances
            .values()
            .find(|i| i.dc == *id)
            .map(|i| ObjectId::Instance(i.id.clone())),
        ObjectId::Pool(id) => {
            let instance = next.instances.values().find(|i| i.pool == *id);
            let service = next.services.values().find(|s| s.pool == *id);
            instance
                .map(|i| ObjectId::Instance(i.id.clone()))
                .or(service.map(|s| ObjectId::Service(s.id.clone())))
        }
        ObjectId::Team(id) => next
            .keys
            .values()
            .find(|k| k.team == *id)
            .map(|k| ObjectId::Key(k.digest)),
        ObjectId::Service(_) | ObjectId::Key(_) | ObjectId::Instance(_) => None,
    }
}

/// Refuses a disruption budget that allows all instances of a pool to be down.
fn check_budget(pool: &PoolId, next: &Config) -> Result<(), Refusal> {
    let size = next.pool_size(pool);
    if size == 0 {
        return Ok(());
    }
    for service in next.services.values().filter(|s| s.pool == *pool) {
        if service.max_down as usize >= size {
            let detail = format!(
                "service {} allows {} of {size} instances of pool {pool} to be down",
                service.id, service.max_down
            );
            return Err(Refusal::new(Code::BudgetImpossible).with_detail(detail));
        }
    }
    Ok(())
}

fn require(next: &Config, id: ObjectId) -> Result<(), Refusal> {
    if next.contains(&id) {
        return Ok(());
    }
    Err(Refusal::new(Code::MissingReference).with_detail(id.to_string()))
}
