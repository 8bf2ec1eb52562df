//! Times that the platform sets.

use cactuswheel_model::Millis;

/// Times that the platform sets and every owner of a cell has to agree on.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Longest lease that a worker grants.
    pub lease: Millis,
    /// Longest time that a worker takes to stop a run.
    pub stop: Millis,
    /// Time for which a final state can be asked for.
    pub kept: Millis,
    /// Factor by which work away from its data, or on several racks, takes longer.
    pub remote: f64,
    /// Time for which a serving task may be over its target because of what fills beside it.
    pub harm: Millis,
    /// Time from a throttle order to its effect.
    pub pace: Millis,
}
