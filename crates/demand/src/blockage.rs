//! Why a cell cannot start work.

use std::time::Duration;

/// Why a cell cannot start work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Cause {
    /// A journal batch has been in flight for too long.
    Journal,
    /// The store does not answer.
    Store,
    /// The node does not know whether it still owns the cell.
    Ownership,
    /// No owner ran the cell before this one took it over.
    Takeover,
}

impl Cause {
    /// Label in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Journal => "journal",
            Self::Store => "store",
            Self::Ownership => "ownership",
            Self::Takeover => "takeover",
        }
    }
}

/// A cell that cannot start work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Blockage {
    /// Why the cell cannot start work.
    pub cause: Cause,
    /// For how long it already could not.
    pub age: Duration,
}
