//! The relays of one owner.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use cactuswheel_model::{Map, Set, Time};
use cactuswheel_work::{NodeName, WorkerId};

use crate::{Capacity, Offer, Pending, Reply, Site};

/// Time without a heartbeat after which a relay counts as lost: three of them, and the way.
const SILENCE: Duration = Duration::from_millis(1_300);

/// Times the workers that the relays together have room for, so that the loss of some of them
/// leaves enough.
const ENOUGH: f64 = 1.5;

/// How orders reach a worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Route {
    /// From the owner itself.
    Direct,
    /// Through this node.
    Relay(NodeName),
}

/// What was on its way through a relay that is gone, or that has not answered in time: it may be
/// carried out, now or later.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostOrder {
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
    /// The relay of each worker, and the worker's rack.
    ///
    /// Invariant: it is one of `relays`.
    chosen: Map<WorkerId, Chosen>,
    /// Workers that the owner sends orders to itself.
    direct: Set<WorkerId>,
}

#[derive(Debug)]
struct Chosen {
    node: NodeName,
    rack: Option<String>,
}

#[derive(Debug)]
struct Relay {
    offer: Offer,
    /// When its last heartbeat came.
    heard: Time,
    /// Workers that have it as their relay.
    assigned: usize,
    /// The same by rack.
    racks: Map<String, usize>,
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

    /// Share of its capacity in use with one more worker.
    fn load(&self) -> f64 {
        self.offer.capacity.load(self.assigned + 1)
    }

    fn has_rack(&self, rack: Option<&String>) -> bool {
        rack.is_some_and(|r| self.racks.contains_key(r))
    }

    fn assign(&mut self, rack: Option<&String>) {
        self.assigned += 1;
        if let Some(rack) = rack {
            *self.racks.entry(rack.clone()).or_default() += 1;
        }
    }

    fn unassign(&mut self, rack: Option<&String>) {
        self.assigned -= 1;
        let Some(count) = rack.and_then(|r| self.racks.get_mut(r)) else {
            return;
        };
        *count -= 1;
        self.racks.retain(|_, count| *count > 0);
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
            direct: Set::default(),
        }
    }

    /// Orders go to so many workers.
    pub fn set_worker_count(&mut self, workers: usize) {
        self.workers = Some(workers);
    }

    /// Takes an offer, or a relay's heartbeat.
    pub fn handle_offer(&mut self, now: Time, offer: Offer) -> Reply {
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
            racks: Map::default(),
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

    /// How the next order reaches a worker: through the relay that it has, else through one with
    /// room, else by whoever is the least loaded for its capacity, the owner included.
    ///
    /// A relay that has a worker of the same rack goes first, then one of the same data centre:
    /// tasks of one job start in one rack where they can, and what the job runs goes to each of its
    /// relays once.
    pub fn choose(&mut self, now: Time, worker: &WorkerId, site: Option<&Site>) -> Route {
        if let Some(chosen) = self.chosen.get(worker) {
            let node = &chosen.node;
            if self.relays.get(node).is_some_and(|r| r.takes_more(now)) {
                return Route::Relay(node.clone());
            }
            self.forget(worker);
        }
        let rack = site.and_then(|s| s.rack.as_ref());
        let roomy = self.roomy(now, site);
        let Some(node) = roomy.or_else(|| self.least_loaded(now, worker)) else {
            self.direct.insert(worker.clone());
            return Route::Direct;
        };
        if let Some(relay) = self.relays.get_mut(&node) {
            relay.assign(rack);
        }
        self.direct.remove(worker);
        let chosen = Chosen {
            node: node.clone(),
            rack: rack.cloned(),
        };
        self.chosen.insert(worker.clone(), chosen);
        Route::Relay(node)
    }

    /// The best relay with room for one more worker.
    fn roomy(&self, now: Time, site: Option<&Site>) -> Option<NodeName> {
        let fit = self.relays.iter().filter(|(_, r)| r.takes_more(now));
        let fit = fit.filter(|(_, r)| r.room() > 0);
        let best = fit.max_by_key(|(name, r)| {
            let same_rack = r.has_rack(site.and_then(|s| s.rack.as_ref()));
            let same_zone = site.is_some_and(|s| r.offer.zone == s.zone);
            (same_rack, same_zone, r.room(), Reverse((*name).clone()))
        });
        best.map(|(node, _)| node.clone())
    }

    /// The relay that is the least loaded for its capacity; `None` if the owner is less loaded.
    ///
    /// Failure: relays together have room for three workers in four, the owner takes all the
    /// others itself, and their start orders fill its link while the relays' are idle.
    fn least_loaded(&self, now: Time, worker: &WorkerId) -> Option<NodeName> {
        let others = self.direct.len() - usize::from(self.direct.contains(worker));
        let own = self.own.load(others + 1);
        let relays = self.relays.iter().filter(|(_, r)| r.takes_more(now));
        let least = relays.min_by(|(a, x), (b, y)| x.load().total_cmp(&y.load()).then(a.cmp(b)));
        let (node, _) = least.filter(|(_, r)| r.load() < own)?;
        Some(node.clone())
    }

    /// A worker is gone, or has to have another relay.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.direct.remove(worker);
        let Some(chosen) = self.chosen.remove(worker) else {
            return;
        };
        if let Some(relay) = self.relays.get_mut(&chosen.node) {
            relay.unassign(chosen.rack.as_ref());
        }
    }

    /// An order was handed to a relay; `until` is when its answer is overdue.
    pub fn record_sent(&mut self, node: &NodeName, worker: &WorkerId, order: Pending, until: Time) {
        if let Some(relay) = self.relays.get_mut(node) {
            let waiting = relay.pending.entry(worker.clone()).or_default();
            waiting.retain(|(before, _)| !before.is_settled_by(&order));
            waiting.push((order, until));
        }
    }

    /// A relay tells what became of an order.
    pub fn record_answer(&mut self, node: &NodeName, worker: &WorkerId, order: &Pending) {
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
    pub fn remove_relay(&mut self, node: &NodeName, why: &str) -> Vec<LostOrder> {
        let Some(relay) = self.relays.remove(node) else {
            return Vec::new();
        };
        self.chosen.retain(|_, chosen| chosen.node != *node);
        let lost = relay.pending.into_iter().flat_map(|(worker, orders)| {
            let orders = orders.into_iter();
            orders.map(move |(order, _)| LostOrder {
                worker: worker.clone(),
                order,
            })
        });
        let lost: Vec<LostOrder> = lost.collect();
        log::warn!(
            relay:% = node, workers = relay.assigned as u64, orders = lost.len() as u64, why = why;
            "relay lost"
        );
        lost
    }

    /// Orders that are overdue by now, and all that was on its way through relays that are silent.
    pub fn take_overdue(&mut self, now: Time) -> Vec<LostOrder> {
        let silent = self.relays.iter();
        let silent = silent.filter(|(_, r)| now.since(r.heard) >= SILENCE);
        let silent: Vec<NodeName> = silent.map(|(node, _)| node.clone()).collect();
        let mut lost = Vec::new();
        for node in silent {
            lost.extend(self.remove_relay(&node, "silent"));
        }
        for relay in self.relays.values_mut() {
            for (worker, waiting) in &mut relay.pending {
                let late = waiting.extract_if(.., |(_, until)| *until <= now);
                lost.extend(late.map(|(order, _)| LostOrder {
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
    pub fn confirmation_time(&self, now: Time, node: &NodeName, age: Duration) -> Option<Time> {
        let relay = self.relays.get(node)?;
        let there = relay.offer.clock.after(now.since(relay.heard));
        let age = age.as_millis() as u64;
        Some(Time::new(there.get().saturating_sub(age)))
    }
}
