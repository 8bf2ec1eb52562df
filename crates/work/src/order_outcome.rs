//! What becomes of an order.

use serde::{Deserialize, Serialize};

/// What became of any other order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// Carried out.
    Done,
    /// Refused; nothing was done.
    Refused(u16),
    /// It may be carried out, now or later, or was never sent.
    Unknown,
}
