//! What the instances of the whole fleet offer, whatever runs on them and whichever pool they are
//! in.

use cactuswheel_model::{Map, Set};
use cactuswheel_work::{Instance, InstanceState, Room, Step, ZoneName};

use crate::shape::{Shape, places};

/// The usable instances of the fleet by label and room.
///
/// Any of them may be moved to a pool, so work that they all together cannot run is work that
/// nobody can do, while work that merely the workers of its pool cannot run may wait for more of
/// them.
#[derive(Debug, Default)]
pub(crate) struct Inventory {
    offers: Map<Option<String>, Map<Room, u64>>,
}

impl Inventory {
    /// Counts the instances that are not down and not in one of the `evacuated` data centres.
    pub(crate) fn new(instances: &[Instance], evacuated: &Set<ZoneName>) -> Self {
        let mut inventory = Self::default();
        let usable = instances.iter().filter(|i| i.state != InstanceState::Down);
        for instance in usable.filter(|i| !evacuated.contains(&i.zone)) {
            for shape in Shape::offers(instance.room, &instance.labels) {
                let rooms = inventory.offers.entry(shape.label).or_default();
                *rooms.entry(shape.room).or_default() += 1;
            }
        }
        inventory
    }

    /// Number of a step's tasks that all instances with its label could run at once, up to `most`.
    pub(crate) fn places(&self, step: &Step, most: u64) -> u64 {
        places(self.offers_of(step.label.as_deref()), step, most)
    }

    /// Room of all instances with a label.
    pub(crate) fn room(&self, label: &str) -> Room {
        let offers = self.offers_of(Some(label));
        offers.fold(Room::default(), |sum, (room, count)| sum + room * count)
    }

    fn offers_of(&self, label: Option<&str>) -> impl Iterator<Item = (Room, u64)> {
        let rooms = self
            .offers
            .get(&label.map(str::to_owned))
            .into_iter()
            .flatten();
        rooms.map(|(room, count)| (*room, *count))
    }
}
