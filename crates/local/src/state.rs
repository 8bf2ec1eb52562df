//! What the platform holds, behind one lock.

use std::net::SocketAddr;

use cactuswheel_work::Room;
use hyper::StatusCode;
use serde_json::{Value, json};

use crate::instances::{Stock, listed};
use crate::ledger::Ledger;
use crate::store::{Store, Told};
use crate::worker::Worker;

/// What a worker has.
pub(crate) const ROOM: Room = Room {
    cpu: 16_000,
    memory: 32_768,
    gpu: 0,
};

/// Faults that a test switches.
#[derive(Debug, Default, Clone, Copy)]
pub struct Faults {
    /// The store answers 503 and does nothing.
    pub store_down: bool,
    /// One partition of every topic answers 503 and does nothing.
    pub part_down: Option<u64>,
    /// In percent: writes that are done and not answered.
    pub lost_writes: u32,
    /// In percent: orders to workers that are carried out and not answered.
    pub lost_orders: u32,
}

/// What the platform holds.
pub(crate) struct State {
    pub(crate) store: Store,
    pub(crate) workers: Vec<(Worker, SocketAddr)>,
    pub(crate) stock: Vec<Stock>,
    pub(crate) ledger: Ledger,
    pub(crate) faults: Faults,
    pub(crate) rng: u64,
    pub(crate) lives: u64,
    /// Address that is told for a worker in place of its own, such as a proxy's.
    pub(crate) told: Vec<(SocketAddr, SocketAddr)>,
}

impl State {
    pub(crate) fn chance(&mut self, percent: u32) -> bool {
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        self.rng % 100 < u64::from(percent)
    }

    /// The worker on an instance is gone, and its entry with it; gives its name.
    pub(crate) fn end_life(&mut self, place: usize) -> String {
        let Some(number) = self.stock[place].worker.take() else {
            return String::new();
        };
        let (worker, _) = &mut self.workers[number];
        worker.die(&mut self.ledger);
        let id = worker.id.clone();
        self.store.put("keyed.servers", &id, &[]);
        id
    }

    pub(crate) fn list(&self) -> Told {
        let machines = self.stock.iter().map(|s| {
            let worker = s.worker.map(|n| self.workers[n].0.id.as_str());
            listed(s, worker, ROOM)
        });
        let machines: Vec<Value> = machines.collect();
        (
            StatusCode::OK,
            json!({ "machines": machines, "next_token": null }),
        )
    }

    /// Carries an order out; gives the instance that has to start another life.
    pub(crate) fn order(&mut self, path: &str, order: &Value, fence: u64) -> (Told, Option<usize>) {
        let refused = |reason: &str| ((StatusCode::CONFLICT, json!({ "reason": reason })), None);
        let name = order["machine"].as_str().unwrap_or_default();
        let Some(place) = self.stock.iter().position(|s| s.name == name) else {
            return ((StatusCode::BAD_REQUEST, json!({})), None);
        };
        let stock = &mut self.stock[place];
        if fence < stock.fence {
            return refused("fence");
        }
        stock.fence = fence;
        let wave = order["wave"].as_u64();
        let done = match path {
            "/v1/machine-move" => Some(stock.pool.as_str()) == order["pool"].as_str(),
            _ => wave.is_some_and(|w| stock.maintained.contains(&w)),
        };
        if done {
            return ((StatusCode::OK, json!({})), None);
        }
        if stock.state != "up" {
            return refused("busy");
        }
        match wave {
            Some(wave) => {
                stock.maintained.push(wave);
                stock.state = "upkeep";
            }
            None => {
                stock.pool = order["pool"].as_str().unwrap_or_default().to_owned();
                stock.state = "moving";
            }
        }
        self.end_life(place);
        ((StatusCode::OK, json!({})), Some(place))
    }
}
