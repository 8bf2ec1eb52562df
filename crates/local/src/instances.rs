//! Instances as the platform lists them.

use cactuswheel_work::Room;
use serde_json::{Value, json};

/// An instance of the platform.
#[derive(Debug, Clone)]
pub(crate) struct Instance {
    pub(crate) name: String,
    pub(crate) pool: String,
    pub(crate) state: &'static str,
    /// Index in `State::workers` of the worker that runs on it; `None` while none runs.
    pub(crate) worker: Option<usize>,
    /// Highest fencing token of the orders to it.
    pub(crate) fence: u64,
    /// Numbers of the maintenance waves that it has been ordered to maintenance for.
    pub(crate) maintained: Vec<u64>,
}

/// JSON form of an instance in the list of instances.
pub(crate) fn instance_json(instance: &Instance, worker: Option<&str>, room: Room) -> Value {
    json!({
        "machine": instance.name, "pool": instance.pool, "state": instance.state, "zone": "local",
        "labels": ["a", "r1"], "id": worker,
        "capacity": { "cpu": room.cpu, "mem_mb": room.memory, "gpu": room.gpu },
    })
}
