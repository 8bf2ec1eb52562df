//! Limits that are the same for all owners of a cell.

use cactuswheel_model::Millis;

use crate::shares::ShareRule;

/// Limits on which all owners of a cell have to agree, mostly set by the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Longest lease that a worker grants.
    pub lease: Millis,
    /// How long the final state of a job can be queried.
    pub retention: Millis,
    /// Time from a throttle order until it takes effect.
    pub pace_delay: Millis,
    /// Time beyond the requested wait after which a poll without an outcome counts as lost.
    ///
    /// Invariant: longer than whoever sends the polls takes to report that one had no answer. A
    /// lease bounds it all the same: once that is over, the poll renews nothing.
    pub poll_limit: Millis,
    /// Longest time until a stop order takes effect.
    pub stop_time: Millis,
    /// Maximum size of a journal batch in bytes; a single larger record is still written.
    pub max_batch: usize,
    /// How a team's share is calculated.
    pub share: ShareRule,
}
