//! Actions that a driver returns to its caller.

use cactuswheel_model::{Disruption, Incarnation, InstanceId, Offset, Wave};

/// An action for the caller to carry out. Every action is safe to repeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append a state change of an outage to the log.
    Propose(Disruption),
    /// Append the start of a wave to the log.
    StartWave(Wave),
    /// Send an order to worker control, the platform service that manages workers.
    Order(Order),
}

/// An order to worker control about one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The operation.
    pub kind: OrderKind,
    /// The instance that the order applies to.
    pub instance: InstanceId,
    /// The incarnation of the instance that the order applies to.
    pub incarnation: Incarnation,
    /// Fencing token: the log offset of the outage grant that allows the order.
    pub fence: Offset,
}

/// The operation that worker control performs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OrderKind {
    /// Stop sending new work to the instance.
    Drain,
    /// End the drain, so that the instance receives work again.
    Resume,
    /// Reboot the instance.
    Reboot,
}
