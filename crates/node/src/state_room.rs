//! Room for new jobs in the state of the open jobs, as known to a front end.

use std::sync::{Mutex, MutexGuard, PoisonError};

use cactuswheel_cell::{StateLimits, StateRoom};
use cactuswheel_model::Map;
use cactuswheel_work::TeamName;

/// Divisor of the room that a front end uses up itself without an answer of an owner, since the
/// other front ends know of the same room and none of them knows what the others store.
const UNCOUNTED_DIVISOR: u64 = 64;

/// Room that the owner last reported, for each team that it reported on.
#[derive(Debug)]
pub struct KnownRoom(Mutex<Known>);

#[derive(Debug)]
struct Known {
    teams: Map<Option<TeamName>, StateRoom>,
    /// Room of a team that the owner has not reported on.
    usual: StateRoom,
    /// Bytes that this front end may still store without an answer of an owner.
    uncounted: u64,
}

impl KnownRoom {
    /// What is known before any owner has answered.
    pub fn new(limits: &StateLimits) -> Self {
        Self(Mutex::new(Known {
            teams: Map::default(),
            usual: StateRoom::new(limits.accept),
            uncounted: limits.accept / UNCOUNTED_DIVISOR,
        }))
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the room that the owner reported for a team.
    pub fn learn(&self, team: Option<&TeamName>, room: StateRoom) {
        let mut known = self.known();
        known.uncounted = room.get() / UNCOUNTED_DIVISOR;
        known.teams.insert(team.cloned(), room);
    }

    /// Whether a job of this size, in bytes, fits as far as known.
    pub fn fits(&self, team: Option<&TeamName>, size: u64) -> bool {
        let known = self.known();
        let room = known.teams.get(&team.cloned()).copied();
        room.unwrap_or(known.usual).fits(size)
    }

    /// Takes the size of a job, in bytes, that this front end is about to store without an answer of
    /// an owner; false if that would exceed what it may store so.
    pub fn take_uncounted(&self, size: u64) -> bool {
        let mut known = self.known();
        let left = known.uncounted.checked_sub(size);
        known.uncounted = left.unwrap_or(known.uncounted);
        left.is_some()
    }
}
