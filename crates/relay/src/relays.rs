//! The relays of an owner.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use cactuswheel_model::{Map, Set, Time};
use cactuswheel_work::{NodeName, WorkerId};

use crate::{Capacity, Offer, Pending, RelayTerm, Reply, Site};

/// Time without a heartbeat after which a relay counts as lost: three heartbeat intervals and some
/// time for transmission.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Total capacity of the relays at which no more are accepted, as a multiple of the number of
/// workers. The excess makes up for the loss of some relays.
const CAPACITY_FACTOR: f64 = 1.5;

/// How orders reach a worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Route {
    /// Sent by the owner itself.
    Direct,
    /// Sent by this relay.
    Relay(NodeName),
}

/// An order that was in flight at a relay that is lost or did not answer in time. Its outcome is
/// unknown: it may still be carried out, now or later.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostOrder {
    /// The worker that the order is for.
    pub worker: WorkerId,
    /// The order.
    pub order: Pending,
}

/// The relays of an owner, the workers assigned to each, and the orders in flight there.
#[derive(Debug)]
pub struct Relays {
    /// How many workers the owner can send orders to without relays.
    own_capacity: Capacity,
    /// Number of workers in the cell; `None` until it is known.
    workers: Option<usize>,
    relays: Map<NodeName, Relay>,
    /// Number of times that a node was taken as a relay.
    taken: u64,
    /// The relay that each worker is assigned to.
    ///
    /// Invariant: every assigned relay is in `relays`.
    assignments: Map<WorkerId, Assignment>,
    /// Workers that the owner sends orders to directly.
    direct: Set<WorkerId>,
}

#[derive(Debug)]
struct Assignment {
    node: NodeName,
    rack: Option<String>,
}

#[derive(Debug)]
struct Relay {
    offer: Offer,
    term: RelayTerm,
    /// When its last heartbeat was received.
    last_heartbeat: Time,
    /// Number of workers assigned to it.
    assigned: usize,
    /// Number of workers assigned to it in each rack.
    racks: Map<String, usize>,
    /// Orders in flight to each worker, and when their answers are overdue.
    pending: Map<WorkerId, Vec<(Pending, Time)>>,
}

impl Relay {
    fn free_capacity(&self) -> usize {
        let max_workers = self.offer.capacity.workers();
        max_workers.saturating_sub(self.assigned)
    }

    fn is_available(&self, now: Time) -> bool {
        !self.offer.leaving && now.since(self.last_heartbeat) < HEARTBEAT_TIMEOUT
    }

    /// Share of the capacity that is used after one more worker is assigned.
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
    /// The relays of a new owner, which can send orders to `own_capacity` workers directly.
    pub fn new(own_capacity: Capacity) -> Self {
        Self {
            own_capacity,
            workers: None,
            relays: Map::default(),
            taken: 0,
            assignments: Map::default(),
            direct: Set::default(),
        }
    }

    /// Sets the number of workers in the cell.
    pub fn set_worker_count(&mut self, workers: usize) {
        self.workers = Some(workers);
    }

    /// Handles the offer of a node to become a relay, or the heartbeat of a relay.
    pub fn handle_offer(&mut self, now: Time, offer: Offer) -> Reply {
        if let Some(relay) = self.relays.get_mut(&offer.node)
            && relay.offer.life == offer.life
        {
            relay.offer = offer;
            relay.last_heartbeat = now;
            return Reply::Wanted;
        }
        // If a new owner replied `Enough` before it knows the number of workers, the nodes would
        // wait for seconds before they offer again. Until then the owner would send all orders
        // itself, while callers have already waited for the takeover.
        let Some(workers) = self.workers else {
            return Reply::NotYet;
        };
        let needed = workers > self.own_capacity.workers();
        // A relay that is about to stop is replaced before it exits.
        let staying = self.relays.values().filter(|r| !r.offer.leaving);
        let offered = staying.map(|r| r.offer.capacity);
        let offered = offered.sum::<Capacity>().workers() as f64;
        let registered = self.relays.contains_key(&offer.node);
        if offer.leaving || registered || !needed || offered >= workers as f64 * CAPACITY_FACTOR {
            return Reply::Enough;
        }
        log::info!(
            relay:% = offer.node, zone:% = offer.zone, capacity:% = offer.capacity,
            workers = workers as u64, relays = self.relays.len() as u64;
            "relay taken"
        );
        self.taken += 1;
        let relay = Relay {
            term: RelayTerm(self.taken),
            last_heartbeat: now,
            assigned: 0,
            racks: Map::default(),
            pending: Map::default(),
            offer,
        };
        self.relays.insert(relay.offer.node.clone(), relay);
        Reply::Wanted
    }

    /// The address at which a relay accepts orders.
    pub fn addr(&self, node: &NodeName) -> Option<SocketAddr> {
        self.relays.get(node).map(|r| r.offer.addr)
    }

    /// The current term of a relay.
    pub fn term(&self, node: &NodeName) -> Option<RelayTerm> {
        self.relays.get(node).map(|r| r.term)
    }

    /// The number of relays.
    pub fn count(&self) -> usize {
        self.relays.len()
    }

    /// Chooses the route for the next order to a worker: the relay that the worker is assigned to,
    /// otherwise a relay with free capacity, otherwise the relay or owner with the lowest load
    /// relative to its capacity.
    ///
    /// Among relays with free capacity, those with a worker in the same rack are preferred, then
    /// those in the same data centre. The tasks of a job start in one rack where possible, so fewer
    /// relays need the job's spec, which is sent once to each relay.
    pub fn choose(&mut self, now: Time, worker: &WorkerId, site: Option<&Site>) -> Route {
        if let Some(assignment) = self.assignments.get(worker) {
            let node = &assignment.node;
            if self.relays.get(node).is_some_and(|r| r.is_available(now)) {
                return Route::Relay(node.clone());
            }
            self.forget(worker);
        }
        let rack = site.and_then(|s| s.rack.as_ref());
        let preferred = self.relay_with_capacity(now, site);
        let Some(node) = preferred.or_else(|| self.least_loaded(now, worker)) else {
            self.direct.insert(worker.clone());
            return Route::Direct;
        };
        if let Some(relay) = self.relays.get_mut(&node) {
            relay.assign(rack);
        }
        self.direct.remove(worker);
        let assignment = Assignment {
            node: node.clone(),
            rack: rack.cloned(),
        };
        self.assignments.insert(worker.clone(), assignment);
        Route::Relay(node)
    }

    /// The preferred relay among those with free capacity for one more worker.
    fn relay_with_capacity(&self, now: Time, site: Option<&Site>) -> Option<NodeName> {
        let candidates = self.relays.iter().filter(|(_, r)| r.is_available(now));
        let candidates = candidates.filter(|(_, r)| r.free_capacity() > 0);
        let best = candidates.max_by_key(|(name, r)| {
            let same_rack = r.has_rack(site.and_then(|s| s.rack.as_ref()));
            let same_zone = site.is_some_and(|s| r.offer.zone == s.zone);
            (
                same_rack,
                same_zone,
                r.free_capacity(),
                Reverse((*name).clone()),
            )
        });
        best.map(|(node, _)| node.clone())
    }

    /// The relay with the lowest load relative to its capacity; `None` if no relay has a lower load
    /// than the owner.
    ///
    /// Without this, if the relays together have capacity for three in four workers, the owner
    /// would send orders to all the others directly, and the start orders would saturate its link
    /// while the links of the relays are idle.
    fn least_loaded(&self, now: Time, worker: &WorkerId) -> Option<NodeName> {
        let others = self.direct.len() - usize::from(self.direct.contains(worker));
        let own_load = self.own_capacity.load(others + 1);
        let relays = self.relays.iter().filter(|(_, r)| r.is_available(now));
        let least = relays.min_by(|(a, x), (b, y)| x.load().total_cmp(&y.load()).then(a.cmp(b)));
        let (node, _) = least.filter(|(_, r)| r.load() < own_load)?;
        Some(node.clone())
    }

    /// Removes the assignment of a worker that is no longer listed or needs another relay.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.direct.remove(worker);
        let Some(assignment) = self.assignments.remove(worker) else {
            return;
        };
        if let Some(relay) = self.relays.get_mut(&assignment.node) {
            relay.unassign(assignment.rack.as_ref());
        }
    }

    /// Records an order that was sent to a relay. Its answer is overdue at `deadline`.
    pub fn record_sent(
        &mut self,
        node: &NodeName,
        worker: &WorkerId,
        order: Pending,
        deadline: Time,
    ) {
        if let Some(relay) = self.relays.get_mut(node) {
            let in_flight = relay.pending.entry(worker.clone()).or_default();
            in_flight.retain(|(earlier, _)| !earlier.is_settled_by(&order));
            in_flight.push((order, deadline));
        }
    }

    /// Records that a relay has reported the outcome of an order.
    pub fn record_answer(&mut self, node: &NodeName, worker: &WorkerId, order: &Pending) {
        let Some(relay) = self.relays.get_mut(node) else {
            return;
        };
        let Some(in_flight) = relay.pending.get_mut(worker) else {
            return;
        };
        in_flight.retain(|(earlier, _)| !earlier.is_settled_by(order));
        if in_flight.is_empty() {
            relay.pending.remove(worker);
        }
    }

    /// Removes a relay that was found to be lost in its term `term` and returns the orders in flight
    /// there. Does nothing if the node was taken again since.
    ///
    /// Messages of the earlier term may time out after that. If they removed the relay again, all
    /// orders of the new term would count as unanswered while the relay is reachable.
    pub fn remove_term(&mut self, node: &NodeName, term: RelayTerm, why: &str) -> Vec<LostOrder> {
        match self.term(node) == Some(term) {
            true => self.remove_relay(node, why),
            false => Vec::new(),
        }
    }

    /// Removes a relay that is lost and returns the orders in flight there.
    pub fn remove_relay(&mut self, node: &NodeName, why: &str) -> Vec<LostOrder> {
        let Some(relay) = self.relays.remove(node) else {
            return Vec::new();
        };
        self.assignments
            .retain(|_, assignment| assignment.node != *node);
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

    /// Removes the relays whose heartbeat timed out, and returns the orders in flight there and the
    /// overdue orders of the other relays.
    pub fn take_overdue(&mut self, now: Time) -> Vec<LostOrder> {
        let silent = self.relays.iter();
        let silent = silent.filter(|(_, r)| now.since(r.last_heartbeat) >= HEARTBEAT_TIMEOUT);
        let silent: Vec<NodeName> = silent.map(|(node, _)| node.clone()).collect();
        let mut lost = Vec::new();
        for node in silent {
            lost.extend(self.remove_relay(&node, "silent"));
        }
        for relay in self.relays.values_mut() {
            for (worker, in_flight) in &mut relay.pending {
                let late = in_flight.extract_if(.., |(_, deadline)| *deadline <= now);
                lost.extend(late.map(|(order, _)| LostOrder {
                    worker: worker.clone(),
                    order,
                }));
            }
            relay.pending.retain(|_, in_flight| !in_flight.is_empty());
        }
        lost
    }

    /// The time on a relay's clock at which the ownership was last confirmed, `age` ago; never later
    /// than the actual time. A relay sends an order only within a limited time after it.
    ///
    /// Otherwise a relay could be suspended with orders in its queue, resume after another owner
    /// has settled their runs, and send them; tasks would run twice. The clocks of owner and relay
    /// are unrelated, but the relay read its clock for its last heartbeat before the owner received
    /// it, so the time that has passed since then gives a lower bound of the relay's clock.
    pub fn confirmation_time(&self, now: Time, node: &NodeName, age: Duration) -> Option<Time> {
        let relay = self.relays.get(node)?;
        let relay_now = relay.offer.clock.after(now.since(relay.last_heartbeat));
        let age = age.as_millis() as u64;
        Some(Time::new(relay_now.get().saturating_sub(age)))
    }
}
