//! Size of the open jobs' state, as a resource with limits.
//!
//! A node that takes the cell over has to hold the state of all open jobs in its memory. What is
//! accepted beyond that is lost with its owner, since no other node can take it over.

use cactuswheel_model::Map;
use cactuswheel_work::TeamName;
use serde::{Deserialize, Serialize};

/// Part of the node's memory, as a fraction, that the state may take up for jobs to be accepted.
const ACCEPT_SHARE: (u64, u64) = (1, 3);

/// Part of the node's memory up to which accepted jobs may grow. Above [`ACCEPT_SHARE`], so that
/// occurrences of accepted jobs can begin.
const GROW_SHARE: (u64, u64) = (1, 2);

/// Part of the node's memory up to which a cell is taken over. Above [`GROW_SHARE`] by what front
/// ends may store at once while no owner counts it.
const TAKEOVER_SHARE: (u64, u64) = (3, 5);

/// Part of the limit that is kept for teams within their share, as a fraction.
const RESERVE: (u64, u64) = (1, 4);

/// Limits of the state's size on a node, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StateLimits {
    /// Largest size with which a job is still accepted.
    pub accept: u64,
    /// Largest size with which an occurrence of an accepted job still begins.
    pub grow: u64,
    /// Largest size that a node takes over.
    pub takeover: u64,
}

impl StateLimits {
    /// The limits of a node with this much memory, in bytes.
    pub fn of_memory(memory: u64) -> Self {
        let part = |(over, under): (u64, u64)| memory / under * over;
        Self {
            accept: part(ACCEPT_SHARE),
            grow: part(GROW_SHARE),
            takeover: part(TAKEOVER_SHARE),
        }
    }
}

/// No limits.
impl Default for StateLimits {
    fn default() -> Self {
        Self {
            accept: u64::MAX,
            grow: u64::MAX,
            takeover: u64::MAX,
        }
    }
}

/// Largest size, in bytes, of a new job that a team may hand in now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StateRoom(u64);

impl StateRoom {
    /// The room `bytes`.
    pub const fn new(bytes: u64) -> Self {
        Self(bytes)
    }

    /// The room, in bytes.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Whether a job of this size, in bytes, fits.
    pub const fn fits(self, size: u64) -> bool {
        size <= self.0
    }
}

/// Size of the open jobs' state, by team; changed by events only.
#[derive(Debug, Default)]
pub struct OpenState {
    /// Invariant: the sum over `teams`.
    used: u64,
    /// Jobs of queues that need no key have no team.
    teams: Map<Option<TeamName>, u64>,
}

impl OpenState {
    /// Size of the state, in bytes.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Replaces the size of a job, in bytes; 0 stands for a job that isn't open.
    pub fn replace(&mut self, team: Option<&TeamName>, before: u64, after: u64) {
        if before == after {
            return;
        }
        self.used = (self.used + after).saturating_sub(before);
        let key = team.cloned();
        let used = self.teams.entry(key).or_default();
        *used = (*used + after).saturating_sub(before);
        if *used == 0 {
            self.teams.remove(&team.cloned());
        }
    }

    /// Room for a new job of a team that has `share` of all teams' weight.
    ///
    /// A part of the limit is kept for teams within their share. Without it, one team
    /// could use the limit up, and all others would be refused. Jobs without a team have no share.
    pub fn room(&self, limits: &StateLimits, team: Option<&TeamName>, share: f64) -> StateRoom {
        self.room_below(limits.accept, team, share)
    }

    /// Like [`Self::room`], for an occurrence of an accepted job.
    pub fn growth_room(
        &self,
        limits: &StateLimits,
        team: Option<&TeamName>,
        share: f64,
    ) -> StateRoom {
        self.room_below(limits.grow, team, share)
    }

    fn room_below(&self, limit: u64, team: Option<&TeamName>, share: f64) -> StateRoom {
        let (over, under) = RESERVE;
        let common = (limit - limit / under * over).saturating_sub(self.used);
        let own = self.teams.get(&team.cloned()).copied().unwrap_or_default();
        let own = ((limit as f64 * share) as u64).saturating_sub(own);
        let left = limit.saturating_sub(self.used);
        StateRoom(common.max(own.min(left)))
    }
}
