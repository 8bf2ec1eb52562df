//! Times that the platform sets.

use cactuswheel_model::Millis;

use crate::shares::ShareRule;

/// Times that the platform sets and every owner of a cell has to agree on.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Longest lease that a worker grants.
    pub lease: Millis,
    /// Time for which a final state can be asked for.
    pub retention: Millis,
    /// Time from a throttle order to its effect.
    pub pace_delay: Millis,
    /// Longest time that a stop takes.
    pub stop_time: Millis,
    /// Most bytes of records in one batch for the journal; one record may be larger.
    pub max_batch: usize,
    /// How a team's share is counted.
    pub share: ShareRule,
}
