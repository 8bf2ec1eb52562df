//! Index of the registered workers by what they offer, whatever is free on them.

use std::collections::BTreeSet;

use cactuswheel_model::{Map, Set};
use cactuswheel_work::{Presence, Room, ServiceName, Step, WorkerEntry};

use crate::shape::{Shape, places};

/// Numbers of the workers that offer a label, by their room.
type Offers = Map<Room, BTreeSet<u32>>;

/// Index of the registered workers that accept new work, by service, label and room.
///
/// Whether any worker of a pool could ever run a step is found without a walk over the pool.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    pools: Map<ServiceName, Map<Option<String>, Offers>>,
    /// What was offered by the workers that were added since the last [`Self::take_added`].
    added: Set<(ServiceName, Shape)>,
}

impl Roster {
    /// Replaces a worker's entry.
    pub(crate) fn update(
        &mut self,
        number: u32,
        before: Option<&WorkerEntry>,
        entry: Option<&WorkerEntry>,
    ) {
        if let Some(before) = before {
            self.remove(number, before);
        }
        if let Some(entry) = entry {
            self.insert(number, entry);
        }
    }

    fn insert(&mut self, number: u32, entry: &WorkerEntry) {
        let pool = self.pools.entry(entry.service.clone()).or_default();
        for shape in Shape::offers(entry.room, &entry.labels) {
            let offers = pool.entry(shape.label.clone()).or_default();
            offers.entry(shape.room).or_default().insert(number);
            self.added.insert((entry.service.clone(), shape));
        }
    }

    fn remove(&mut self, number: u32, entry: &WorkerEntry) {
        let Some(pool) = self.pools.get_mut(&entry.service) else {
            return;
        };
        for shape in Shape::offers(entry.room, &entry.labels) {
            let Some(offers) = pool.get_mut(&shape.label) else {
                continue;
            };
            if let Some(numbers) = offers.get_mut(&shape.room) {
                numbers.remove(&number);
            }
            offers.retain(|_, numbers| !numbers.is_empty());
            if offers.is_empty() {
                pool.remove(&shape.label);
            }
        }
        if pool.is_empty() {
            self.pools.remove(&entry.service);
        }
    }

    /// Whether no worker of a service is registered.
    pub(crate) fn is_empty(&self, service: &ServiceName) -> bool {
        !self.pools.contains_key(service)
    }

    /// Numbers of the workers with the label and the size for a step.
    pub(crate) fn suited(&self, service: &ServiceName, step: &Step) -> impl Iterator<Item = u32> {
        let need = step.reserved();
        let offers = self.pools.get(service).and_then(|p| p.get(&step.label));
        let offers = offers.into_iter().flatten();
        let large = offers.filter(move |(room, _)| need.fits(**room));
        large.flat_map(|(_, numbers)| numbers.iter().copied())
    }

    /// Number of a step's tasks that the workers with its label could run at once if they were
    /// empty, up to `most`.
    pub(crate) fn places(&self, service: &ServiceName, step: &Step, most: u64) -> u64 {
        let offers = self.pools.get(service).and_then(|p| p.get(&step.label));
        let offers = offers.into_iter().flatten();
        let offers = offers.map(|(room, numbers)| (*room, numbers.len() as u64));
        places(offers, step, most)
    }

    /// Returns what was offered by the workers that were added since the last call.
    pub(crate) fn take_added(&mut self) -> Set<(ServiceName, Shape)> {
        std::mem::take(&mut self.added)
    }
}

/// Whether two entries offer the same to steps.
pub(crate) fn offers_same(a: Option<&WorkerEntry>, b: Option<&WorkerEntry>) -> bool {
    let offer = |e: &'_ WorkerEntry| (e.service.clone(), e.room);
    a.map(offer) == b.map(offer) && a.map(|e| &e.labels) == b.map(|e| &e.labels)
}

/// The entry, if its worker accepts new work.
pub(crate) fn accepting(entry: Option<&WorkerEntry>) -> Option<&WorkerEntry> {
    entry.filter(|e| e.presence == Presence::Ready)
}
