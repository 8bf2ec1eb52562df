//! The planner's result.

use std::fmt;

use cactuswheel_model::{InstanceId, PoolId};
use serde::Serialize;

/// Moves in an order that keeps the hard constraints, and the shortages that remain.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Plan {
    /// The moves. Any prefix of them may be carried out on its own.
    pub moves: Vec<Move>,
    /// Pools whose demand does not fit even after all moves.
    pub missing: Vec<Shortage>,
    /// The cost of the state after all moves.
    pub cost: Cost,
}

/// A move of one instance to another pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Move {
    /// The instance to move.
    pub instance: InstanceId,
    /// The pool that the instance leaves.
    pub from: PoolId,
    /// The pool that the instance joins.
    pub to: PoolId,
    /// The reason for the move.
    pub reason: Reason,
}

/// The reason for a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The demand of the joined pool does not fit after the worst failure.
    Demand,
    /// The instance replaces a member in one of the largest racks of the joined pool.
    Spread,
    /// The pool that the instance leaves has more capacity than it needs.
    Surplus,
}

/// A pool whose demand does not fit after the worst failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Shortage {
    /// The pool with the shortage.
    pub pool: PoolId,
    /// Peak demand, in slots.
    pub demand: u64,
    /// Capacity that remains after the worst failure, in slots.
    pub safe: u64,
    /// Demand above the remaining capacity, in slots.
    pub missing: u64,
    /// Whether further planning rounds may resolve the shortage, because this round reached its
    /// limit of moves.
    pub more: bool,
}

/// The cost of a state, with one unweighted term per soft goal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Cost {
    /// Number of moves.
    pub moves: usize,
    /// Total time that the moves wait for instances to drain, in hours.
    pub wait: f64,
    /// Capacity above demand, summed over all pools with demand, in slots.
    pub buffer: u64,
    /// Number of sequential reboot steps of a roll-out, in the pool that needs the most.
    pub rollout: usize,
    /// Sum over the pools with demand of how far the largest rack is above the pool's mean rack,
    /// in slots.
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
