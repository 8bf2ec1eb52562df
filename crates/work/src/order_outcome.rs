//! Outcomes of orders to workers.

use serde::{Deserialize, Serialize};

/// Outcome of a stop or throttle order to a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// It was carried out.
    Done,
    /// It was refused with this HTTP status and not carried out.
    Refused(u16),
    /// The outcome is unknown: it may be carried out, now or later, or was never sent.
    Unknown,
}
