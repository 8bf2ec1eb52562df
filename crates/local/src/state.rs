//! State of the platform, guarded by one lock.

use std::net::SocketAddr;

use cactuswheel_work::Room;
use hyper::StatusCode;
use serde_json::{Value, json};

use crate::instances::{Instance, instance_json};
use crate::ledger::Ledger;
use crate::store::{JsonResponse, Store};
use crate::worker::Worker;

/// Capacity of each worker.
pub(crate) const WORKER_ROOM: Room = Room {
    cpu: 16_000,
    memory: 32_768,
    gpu: 0,
};

/// Faults that a test can switch on.
#[derive(Debug, Default, Clone, Copy)]
pub struct Faults {
    /// The store responds with 503 to every request and executes none.
    pub store_down: bool,
    /// The store responds with 503 to every request for the partition with this number of any
    /// topic, and executes none.
    pub part_down: Option<u64>,
    /// Percentage of appends that are executed, but whose response is held back for 5 s.
    pub lost_writes: u32,
    /// Percentage of orders to workers that are executed, but whose response is held back for 5 s.
    pub lost_orders: u32,
}

/// State of the platform.
pub(crate) struct State {
    pub(crate) store: Store,
    /// All workers that have been started, dead ones included, with their addresses.
    pub(crate) workers: Vec<(Worker, SocketAddr)>,
    pub(crate) instances: Vec<Instance>,
    pub(crate) ledger: Ledger,
    pub(crate) faults: Faults,
    /// State of the random number generator.
    pub(crate) rng: u64,
    /// Number in the newest worker id.
    pub(crate) last_id: u64,
    /// Addresses that workers write into their entries instead of their own, as `(own,
    /// advertised)`.
    pub(crate) advertised: Vec<(SocketAddr, SocketAddr)>,
}

impl State {
    /// Returns true with a probability of `percent`.
    pub(crate) fn chance(&mut self, percent: u32) -> bool {
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        self.rng % 100 < u64::from(percent)
    }

    /// Kills the worker on an instance and removes its entry. Returns its id, or an empty one if no
    /// worker runs there.
    pub(crate) fn kill_worker(&mut self, index: usize) -> String {
        let Some(worker_index) = self.instances[index].worker.take() else {
            return String::new();
        };
        let (worker, _) = &mut self.workers[worker_index];
        worker.kill(&mut self.ledger);
        let id = worker.id.clone();
        self.store.put("keyed.servers", &id, &[]);
        id
    }

    pub(crate) fn list(&self) -> JsonResponse {
        let machines = self.instances.iter().map(|i| {
            let worker = i.worker.map(|n| self.workers[n].0.id.as_str());
            instance_json(i, worker, WORKER_ROOM)
        });
        let machines: Vec<Value> = machines.collect();
        (
            StatusCode::OK,
            json!({ "machines": machines, "next_token": null }),
        )
    }

    /// Executes an order to an instance. Returns the response and, if the move or maintenance begins
    /// now, the index of the instance, on which a new worker has to start afterwards.
    pub(crate) fn order(
        &mut self,
        path: &str,
        order: &Value,
        fence: u64,
    ) -> (JsonResponse, Option<usize>) {
        let conflict = |reason: &str| ((StatusCode::CONFLICT, json!({ "reason": reason })), None);
        let name = order["machine"].as_str().unwrap_or_default();
        let Some(index) = self.instances.iter().position(|i| i.name == name) else {
            return ((StatusCode::BAD_REQUEST, json!({})), None);
        };
        let instance = &mut self.instances[index];
        if fence < instance.fence {
            return conflict("fence");
        }
        instance.fence = fence;
        let wave = order["wave"].as_u64();
        let done = match path {
            "/v1/machine-move" => Some(instance.pool.as_str()) == order["pool"].as_str(),
            _ => wave.is_some_and(|w| instance.maintained.contains(&w)),
        };
        if done {
            return ((StatusCode::OK, json!({})), None);
        }
        if instance.state != "up" {
            return conflict("busy");
        }
        match wave {
            Some(wave) => {
                instance.maintained.push(wave);
                instance.state = "upkeep";
            }
            None => {
                instance.pool = order["pool"].as_str().unwrap_or_default().to_owned();
                instance.state = "moving";
            }
        }
        self.kill_worker(index);
        ((StatusCode::OK, json!({})), Some(index))
    }
}
