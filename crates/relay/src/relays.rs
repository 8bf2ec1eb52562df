//! The relays of one owner.

use std::net::SocketAddr;
use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::{NodeName, WorkerId, ZoneName};

use crate::{Capacity, Offer, Pending, Reply};

/// Time without a heartbeat after which a relay counts as lost: three of them, and the way.
const SILENCE: Duration = Duration::from_millis(1_300);

/// Times the workers that the relays together have room for, so that the loss of some of them
/// leaves enough.
const ENOUGH: f64 = 1.5;

/// How orders reach a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Way {
    /// From the owner itself.
    Direct,
    /// Through this node.
    Relay(NodeName),
}

/// What was on its way through a relay that is gone, or that has not answered in time: it may be
/// carried out, now or later.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lost {
    /// The worker.
    pub worker: WorkerId,
    /// The order.
    pub order: Pending,
}

/// The relays of one owner, and what is on its way through each.
#[derive(Debug)]
pub struct Relays {
    /// Workers that the owner can do without relays.
    own: Capacity,
    /// Workers that orders go to; `None` until they are known.
    workers: Option<usize>,
    relays: Map<NodeName, Relay>,
    /// The relay of each worker.
    ///
    /// Invariant: it is one of `relays`.
    chosen: Map<WorkerId, NodeName>,
}

#[derive(Debug)]
struct Relay {
    offer: Offer,
    /// When its last heartbeat came.
    heard: Time,
    /// Workers that have it as their relay.
    assigned: usize,
    pending: Map<WorkerId, Vec<(Pending, Time)>>,
}

impl Relay {
    fn room(&self) -> usize {
        let most = self.offer.capacity.workers();
        most.saturating_sub(self.assigned)
    }

    fn takes_more(&self, now: Time) -> bool {
        !self.offer.leaving && now.since(self.heard) < SILENCE
    }
}

impl Relays {
    /// Of an owner that itself carries orders to up to `own` workers.
    pub fn new(own: Capacity) -> Self {
        Self {
            own,
            workers: None,
            relays: Map::default(),
            chosen: Map::default(),
        }
    }

    /// Orders go to so many workers.
    pub fn expect(&mut self, workers: usize) {
        self.workers = Some(workers);
    }

    /// Takes an offer, or a relay's heartbeat.
    pub fn offer(&mut self, now: Time, offer: Offer) -> Reply {
        if let Some(relay) = self.relays.get_mut(&offer.node)
            && relay.offer.life == offer.life
        {
            relay.offer = offer;
            relay.heard = now;
            return Reply::Wanted;
        }
        // Failure: a new owner knows no workers yet, turns every offer away, and carries all orders
        // itself for the seconds in which its callers have waited already.
        let Some(workers) = self.workers else {
            return Reply::NotYet;
        };
        let needed = workers > self.own.workers();
        let there = self.relays.values().map(|r| r.offer.capacity);
        let there = there.sum::<Capacity>().workers() as f64;
        let known = self.relays.contains_key(&offer.node);
        if offer.leaving || known || !needed || there >= workers as f64 * ENOUGH {
            return Reply::Enough;
        }
        log::info!(
            relay:% = offer.node, zone:% = offer.zone, capacity:% = offer.capacity,
            workers = workers as u64, relays = self.relays.len() as u64;
            "relay taken"
        );
        let relay = Relay {
            heard: now,
            assigned: 0,
            pending: Map::default(),
            offer,
        };
        self.relays.insert(relay.offer.node.clone(), relay);
        Reply::Wanted
    }

    /// Where a relay takes orders.
    pub fn addr(&self, node: &NodeName) -> Option<SocketAddr> {
        self.relays.get(node).map(|r| r.offer.addr)
    }

    /// Number of relays.
    pub fn count(&self) -> usize {
        self.relays.len()
    }

    /// How the next order reaches a worker: through the relay that it has, else through one of its
    /// data centre with room, else through any with room, else directly.
    pub fn choose(&mut self, now: Time, worker: &WorkerId, zone: Option<&ZoneName>) -> Way {
        if let Some(node) = self.chosen.get(worker) {
            if self.relays.get(node).is_some_and(|r| r.takes_more(now)) {
                return Way::Relay(node.clone());
            }
            self.forget(worker);
        }
        let fit = self.relays.iter().filter(|(_, r)| r.takes_more(now));
        let fit = fit.filter(|(_, r)| r.room() > 0);
        let best = fit.max_by_key(|(name, r)| {
            let here = Some(&r.offer.zone) == zone;
            (here, r.room(), std::cmp::Reverse((*name).clone()))
        });
        let Some(node) = best.map(|(node, _)| node.clone()) else {
            return Way::Direct;
        };
        if let Some(relay) = self.relays.get_mut(&node) {
            relay.assigned += 1;
        }
        self.chosen.insert(worker.clone(), node.clone());
        Way::Relay(node)
    }

    /// A worker is gone, or has to have another relay.
    pub fn forget(&mut self, worker: &WorkerId) {
        let node = self.chosen.remove(worker);
        if let Some(relay) = node.and_then(|n| self.relays.get_mut(&n)) {
            relay.assigned -= 1;
        }
    }

    /// An order was handed to a relay; `until` is when its answer is overdue.
    pub fn sent(&mut self, node: &NodeName, worker: &WorkerId, order: Pending, until: Time) {
        if let Some(relay) = self.relays.get_mut(node) {
            let waiting = relay.pending.entry(worker.clone()).or_default();
            waiting.retain(|(before, _)| !before.is_settled_by(&order));
            waiting.push((order, until));
        }
    }

    /// A relay tells what became of an order.
    pub fn answered(&mut self, node: &NodeName, worker: &WorkerId, order: &Pending) {
        let Some(relay) = self.relays.get_mut(node) else {
            return;
        };
        let Some(waiting) = relay.pending.get_mut(worker) else {
            return;
        };
        waiting.retain(|(before, _)| !before.is_settled_by(order));
        if waiting.is_empty() {
            relay.pending.remove(worker);
        }
    }

    /// A relay is gone: what was on its way through it may be carried out, now or later.
    pub fn lose(&mut self, node: &NodeName, why: &str) -> Vec<Lost> {
        let Some(relay) = self.relays.remove(node) else {
            return Vec::new();
        };
        self.chosen.retain(|_, n| n != node);
        let lost = relay.pending.into_iter().flat_map(|(worker, orders)| {
            let orders = orders.into_iter();
            orders.map(move |(order, _)| Lost {
                worker: worker.clone(),
                order,
            })
        });
        let lost: Vec<Lost> = lost.collect();
        log::warn!(
            relay:% = node, workers = relay.assigned as u64, orders = lost.len() as u64, why = why;
            "relay lost"
        );
        lost
    }

    /// Orders that are overdue by now, and all that was on its way through relays that are silent.
    pub fn overdue(&mut self, now: Time) -> Vec<Lost> {
        let silent = self.relays.iter();
        let silent = silent.filter(|(_, r)| now.since(r.heard) >= SILENCE);
        let silent: Vec<NodeName> = silent.map(|(node, _)| node.clone()).collect();
        let mut lost = Vec::new();
        for node in silent {
            lost.extend(self.lose(&node, "silent"));
        }
        for relay in self.relays.values_mut() {
            for (worker, waiting) in &mut relay.pending {
                let late = waiting.extract_if(.., |(_, until)| *until <= now);
                lost.extend(late.map(|(order, _)| Lost {
                    worker: worker.clone(),
                    order,
                }));
            }
            relay.pending.retain(|_, waiting| !waiting.is_empty());
        }
        lost
    }

    /// The moment, on a relay's clock, at which the ownership was confirmed `age` ago, at the
    /// latest. The relay gives no order that comes too late after it.
    ///
    /// Failure: a relay is frozen with orders in hand, and wakes when another owner has settled
    /// them; tasks run twice. The two clocks have nothing in common, but the relay's last
    /// heartbeat was sent before it was heard.
    pub fn confirmed(&self, now: Time, node: &NodeName, age: Duration) -> Option<Time> {
        let relay = self.relays.get(node)?;
        let there = relay.offer.clock.after(now.since(relay.heard));
        let age = age.as_millis() as u64;
        Some(Time::new(there.get().saturating_sub(age)))
    }
}
