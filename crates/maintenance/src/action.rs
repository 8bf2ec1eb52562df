//! What a driver asks for.

use cactuswheel_model::{Disruption, Incarnation, InstanceId, Offset, Wave};

/// Something for the edge to do; every one may be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append a step of an outage to the log.
    Propose(Disruption),
    /// Append the start of a wave to the log.
    StartWave(Wave),
    /// Give an order to worker control.
    Order(Order),
}

/// An order to worker control.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// What to do.
    pub kind: OrderKind,
    /// The instance.
    pub instance: InstanceId,
    /// The life that it is for.
    pub incarnation: Incarnation,
    /// The grant that allows it.
    pub fence: Offset,
}

/// What worker control is to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OrderKind {
    /// Keep new work away.
    Drain,
    /// Take work again.
    Resume,
    /// Reboot.
    Reboot,
}
