//! Index of a service's workers by free processor capacity.

use std::collections::BTreeSet;
use std::ops::RangeFrom;
use std::sync::Arc;

use cactuswheel_model::Map;
use cactuswheel_work::ZoneName;

/// Free processor capacity of a worker, and its number within the cell.
type Slot = (u64, u32);

/// Location and free processor capacity of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) zone: ZoneName,
    pub(crate) rack: Option<Arc<str>>,
    /// Free processor capacity in thousandths of a core.
    pub(crate) free: u64,
}

/// Selects workers of a service by location.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Scope<'a> {
    /// Workers in one rack of a data centre.
    Rack(&'a ZoneName, &'a str),
    /// Workers in all racks of this name.
    RackName(&'a str),
    /// Workers in one data centre.
    Zone(&'a ZoneName),
    All,
}

/// Index of the workers of one service that may take tasks, by free processor capacity.
///
/// The cost of finding the fullest worker with enough room is the same with fifty workers as with
/// thousands.
#[derive(Debug, Default)]
pub(crate) struct FreeIndex {
    all: BTreeSet<Slot>,
    zones: Map<ZoneName, Zone>,
}

#[derive(Debug, Default)]
struct Zone {
    all: BTreeSet<Slot>,
    racks: Map<Arc<str>, BTreeSet<Slot>>,
}

impl FreeIndex {
    pub(crate) fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.all.len()
    }

    pub(crate) fn insert(&mut self, number: u32, place: &Place) {
        let slot = (place.free, number);
        self.all.insert(slot);
        let zone = self.zones.entry(place.zone.clone()).or_default();
        zone.all.insert(slot);
        if let Some(rack) = &place.rack {
            zone.racks.entry(rack.clone()).or_default().insert(slot);
        }
    }

    pub(crate) fn remove(&mut self, number: u32, place: &Place) {
        let slot = (place.free, number);
        self.all.remove(&slot);
        let Some(zone) = self.zones.get_mut(&place.zone) else {
            return;
        };
        zone.all.remove(&slot);
        let rack = place.rack.as_ref().and_then(|r| zone.racks.get_mut(r));
        if let Some(rack) = rack {
            rack.remove(&slot);
        }
    }

    /// Numbers of the workers with at least `need` processor capacity free, fullest first.
    pub(crate) fn fullest(&self, scope: Scope<'_>, need: u64) -> impl Iterator<Item = u32> {
        let from: RangeFrom<Slot> = (need, 0)..;
        let sets = self.sets(scope).into_iter();
        sets.flat_map(move |set| set.range(from.clone()))
            .map(|(_, number)| *number)
    }

    /// Numbers of the workers with at least `need` processor capacity free, emptiest first.
    pub(crate) fn emptiest(&self, scope: Scope<'_>, need: u64) -> impl Iterator<Item = u32> {
        let sets = self.sets(scope).into_iter();
        sets.flat_map(move |set| set.iter().rev().take_while(move |(free, _)| *free >= need))
            .map(|(_, number)| *number)
    }

    fn sets(&self, scope: Scope<'_>) -> Vec<&BTreeSet<Slot>> {
        let rack = |zone: &'_ ZoneName, name: &str| self.zones.get(zone)?.racks.get(name);
        match scope {
            Scope::All => vec![&self.all],
            Scope::Zone(zone) => self.zones.get(zone).map(|z| &z.all).into_iter().collect(),
            Scope::Rack(zone, name) => rack(zone, name).into_iter().collect(),
            Scope::RackName(name) => {
                let zones = self.zones.values();
                zones.filter_map(|z| z.racks.get(name)).collect()
            }
        }
    }
}
