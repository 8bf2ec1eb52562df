//! The list of instances and orders to them.

use cactuswheel_work::Room;
use serde_json::{Value, json};

/// An instance of the instance.
#[derive(Debug, Clone)]
pub(crate) struct Instance {
    pub(crate) name: String,
    pub(crate) pool: String,
    pub(crate) state: &'static str,
    /// Place of its worker among all that ever lived; `None` while it has none.
    pub(crate) worker: Option<usize>,
    /// Highest token of an order.
    pub(crate) fence: u64,
    /// Waves that it had its maintenance for.
    pub(crate) maintained: Vec<u64>,
}

pub(crate) fn instance_json(instance: &Instance, worker: Option<&str>, room: Room) -> Value {
    json!({
        "machine": instance.name, "pool": instance.pool, "state": instance.state, "zone": "local",
        "labels": ["a", "r1"], "id": worker,
        "capacity": { "cpu": room.cpu, "mem_mb": room.memory, "gpu": room.gpu },
    })
}
