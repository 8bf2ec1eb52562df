//! Demand during an outage of the control plane.
//!
//! While a cell cannot accept or start work, the arrivals that its owner counts are fewer than the
//! jobs that callers have. [`OutageHold`] tells a capacity planner during which time that is so,
//! and since when. It is a pure state machine: it has no clock and does no I/O.

mod blockage;
mod change;
mod hold;
mod policy;
mod silence;

pub use blockage::{Blockage, Cause};
pub use change::{HoldBegin, HoldChange, HoldEnd};
pub use hold::OutageHold;
pub use policy::{HoldPolicy, HoldTarget};
pub use silence::longest_silence;
