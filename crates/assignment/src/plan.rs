//! What comes out of planning.

use std::fmt;

use cactuswheel_model::{InstanceId, PoolId};
use serde::Serialize;

/// Moves in the order in which they keep the hard rules, and what they cannot mend.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Plan {
    /// Moves; any prefix may be carried out alone.
    pub moves: Vec<Move>,
    /// Pools whose demand still does not fit.
    pub missing: Vec<Shortage>,
    /// The state after all moves.
    pub cost: Cost,
}

/// One instance to another pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Move {
    /// The instance.
    pub instance: InstanceId,
    /// The pool that it leaves.
    pub from: PoolId,
    /// The pool that it joins.
    pub to: PoolId,
    /// Why.
    pub reason: Reason,
}

/// Why an instance moves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// Demand of the pool that it joins does not fit after the worst loss.
    Demand,
    /// It replaces members that are crowded into one rack.
    Spread,
    /// The pool that it leaves has more than it specs.
    Surplus,
}

/// Demand that does not fit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Shortage {
    /// The pool.
    pub pool: PoolId,
    /// Slots at peak.
    pub demand: u64,
    /// Slots that are left after the worst loss.
    pub safe: u64,
    /// Slots that are missing.
    pub missing: u64,
    /// Whether more rounds may mend it: this one ran into its limit of moves.
    pub more: bool,
}

/// What a state costs, in the units of the goals.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Cost {
    /// Moves.
    pub moves: usize,
    /// Hours for which they wait for work to end.
    pub wait: f64,
    /// Slots above demand, over all pools with demand.
    pub buffer: u64,
    /// Most reboots in a row of any pool in a roll-out.
    pub rollout: usize,
    /// Slots by which the largest racks are above the mean.
    pub crowding: u64,
}

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "pool {}: {} slots missing, {} safe for a demand of {}",
            self.pool, self.missing, self.safe, self.demand
        )
    }
}
