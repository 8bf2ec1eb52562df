//! Which instances may take work here.

use cactuswheel_fleet::Config;
use cactuswheel_model::{DcId, InstanceId, Set};
use cactuswheel_routing::{Candidate, Life, Nearness, Presences, share};

use crate::Settings;

/// Lists the instances that operators describe, the platform has seen, and nobody drains.
///
/// A drain follows the log, whose order settles when it ends; the instance's own word and the
/// roster's hold for the rest of its life.
pub(crate) fn list(
    config: &Config,
    presences: &Presences,
    drained: &Set<InstanceId>,
    settings: &Settings,
) -> Vec<Candidate> {
    presences
        .serving()
        .filter(|(id, _)| !drained.contains(*id))
        .filter_map(|(id, life)| candidate(config, id, life, settings))
        .collect()
}

fn candidate(
    config: &Config,
    id: &InstanceId,
    life: &Life,
    settings: &Settings,
) -> Option<Candidate> {
    let instance = config.instances.get(id)?;
    let entries = settings.peers.len() as u32 + 1;
    Some(Candidate {
        id: id.clone(),
        incarnation: life.incarnation,
        addr: life.addr,
        slots: instance.slots,
        part: share(instance.slots.get(), entries),
        conns: share(instance.conns, entries),
        pool: instance.pool.clone(),
        nearness: nearness(config, &settings.dc, &instance.dc),
    })
}

fn nearness(config: &Config, here: &DcId, there: &DcId) -> Nearness {
    if here == there {
        return Nearness::SameDc;
    }
    let region = |dc| config.dcs.get(dc).map(|d| &d.region);
    match (region(here), region(there)) {
        (Some(a), Some(b)) if a == b => Nearness::SameRegion,
        _ => Nearness::Far,
    }
}
