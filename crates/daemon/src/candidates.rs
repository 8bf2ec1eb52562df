//! Which instances may take work here.

use cactuswheel_model::{DcId, InstanceId};
use cactuswheel_routing::{Candidate, Life, Nearness, Presences, even_share};

use crate::Settings;
use crate::basis::Basis;

/// Lists the instances that operators describe, the platform has seen, and nobody drains.
///
/// A drain follows the log, whose order settles when it ends; the instance's own word and the
/// roster's hold for the rest of its life.
pub(crate) fn list(basis: &Basis, presences: &Presences, settings: &Settings) -> Vec<Candidate> {
    presences
        .serving()
        .filter(|(id, _)| !basis.drained.contains(*id))
        .filter_map(|(id, life)| candidate(basis, id, life, settings))
        .collect()
}

fn candidate(
    basis: &Basis,
    id: &InstanceId,
    life: &Life,
    settings: &Settings,
) -> Option<Candidate> {
    let instance = basis.instances.get(id)?;
    let entries = settings.peers.len() as u32 + 1;
    Some(Candidate {
        id: id.clone(),
        incarnation: life.incarnation,
        addr: life.addr,
        slots: instance.slots,
        min_slots: even_share(instance.slots.get(), entries),
        conns: even_share(instance.conns, entries),
        pool: instance.pool.clone(),
        nearness: nearness(basis, &settings.dc, &instance.dc),
    })
}

fn nearness(basis: &Basis, here: &DcId, there: &DcId) -> Nearness {
    if here == there {
        return Nearness::SameDc;
    }
    let region = |dc| basis.dcs.get(dc).map(|d| &d.region);
    match (region(here), region(there)) {
        (Some(a), Some(b)) if a == b => Nearness::SameRegion,
        _ => Nearness::OtherRegion,
    }
}
