//! Begin and end of a hold, for logs and metrics.

use std::time::Duration;

use crate::blockage::Blockage;

/// The begin or the end of a hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldChange {
    /// The hold has begun.
    Begun(HoldBegin),
    /// The hold has ended.
    Ended(HoldEnd),
}

/// The begin of a hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldBegin {
    /// Why the cell cannot start work.
    pub blockage: Blockage,
}

/// The end of a hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldEnd {
    /// Duration of the hold.
    pub held: Duration,
    /// Time from the begin of the outage until the cell could last not start work.
    pub outage: Duration,
    /// Whether the hold reached its limit.
    pub expired: bool,
}
