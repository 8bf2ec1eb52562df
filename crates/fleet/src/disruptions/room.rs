//! Whether a pool can still meet its demand after the loss of a rack.

use cactuswheel_model::{Code, DcId, InstanceId, Map, PoolId, RackId, Refusal};

use super::Disruptions;
use crate::Config;

/// Refuses to remove the instance `leaving` from `pool` if the rest would be too small: too few
/// instances for the disruption budget of a service, or too few slots for the demand if the
/// largest rack were lost as well.
///
/// Two plans may be valid on their own and race with each other; this check on each record keeps
/// their sum within the limits.
pub(super) fn check_leaving(
    leaving: &InstanceId,
    pool: &PoolId,
    config: &Config,
    disruptions: &Disruptions,
) -> Result<(), Refusal> {
    let services = || config.services.values().filter(|s| s.pool == *pool);
    let demand: u64 = services().map(|s| u64::from(s.demand.get())).sum();
    let stay = config.pool_size(pool).saturating_sub(1);
    if let Some(service) = services().find(|s| s.max_down as usize >= stay) {
        let (id, max) = (&service.id, service.max_down);
        let detail = format!("pool {pool}: {stay} stay, service {id} allows {max} to be down");
        return Err(Refusal::new(Code::BudgetImpossible).with_detail(detail));
    }
    let mut total = 0;
    let mut racks: Map<(&DcId, &RackId), u64> = Map::default();
    for instance in config.instances.values().filter(|i| i.pool == *pool) {
        if instance.id == *leaving || disruptions.outage(&instance.id).is_some() {
            continue;
        }
        let slots = u64::from(instance.slots.get());
        total += slots;
        *racks.entry((&instance.dc, &instance.rack)).or_default() += slots;
    }
    let largest = racks.values().copied().max().unwrap_or(0);
    if total - largest >= demand {
        return Ok(());
    }
    let detail = format!(
        "pool {pool}: {total} slots stay, {largest} of them in one rack, demand is {demand}"
    );
    Err(Refusal::new(Code::NoRoom).with_detail(detail))
}
