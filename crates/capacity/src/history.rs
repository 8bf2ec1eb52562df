//! Orders of earlier cell owners, and their age.

use std::time::Duration;

use cactuswheel_model::{Map, Time};
use cactuswheel_work::InstanceName;
use serde::{Deserialize, Serialize};

/// The latest order to an instance, as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Incarnation of the node that sent the order: a number that differs at each start of the
    /// node.
    pub life: u64,
    /// Reading of that node's monotonic clock immediately before it stored the order.
    pub at: Time,
    /// The wave that the order was for; `None` if it was a move.
    pub wave: Option<u64>,
}

/// Longest time for which an owner may still send orders after another node has claimed ownership.
/// The old owner learns of the claim at its next renewal, and it sends nothing once its last
/// renewal is older than this.
pub const MAX_EXPIRY: Duration = Duration::from_millis(2_500);

/// Latest known state of the previous cell owner. It is used to compute the age of the orders which
/// that owner stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LastOwner {
    /// Incarnation of the previous owner's node.
    pub life: u64,
    /// Reading of the previous owner's monotonic clock when it last wrote its ownership record.
    pub clock: Time,
    /// Latest possible time at which this node received that record, on this node's clock.
    pub last_heard: Time,
    /// Latest possible time at which this node first saw that owner, on this node's clock.
    pub first_heard: Time,
}

impl LastOwner {
    /// Latest possible time on this node's clock at which the previous owner's monotonic clock shows
    /// `at`.
    pub fn local_time(self, at: Time) -> Time {
        let later = self.last_heard.after(at.since(self.clock));
        // At least one of the two differences is zero.
        let earlier = self.clock.since(at).as_millis() as u64;
        Time::new(later.get().saturating_sub(earlier))
    }

    /// Minimum time since `order` was stored.
    ///
    /// Monotonic clocks of two nodes are unrelated, and the wall clock may jump. The last ownership
    /// record of the previous owner relates its clock to this node's clock.
    pub fn age(self, now: Time, order: &OrderRecord) -> Duration {
        match order.life == self.life {
            true => {
                let elapsed = now.since(self.last_heard);
                // At least one of the two differences is zero, as the order was stored either
                // before or after the previous owner's last record.
                (elapsed + self.clock.since(order.at)).saturating_sub(order.at.since(self.clock))
            }
            // The order comes from an owner before the previous one, which may have sent orders for
            // up to `MAX_EXPIRY` after the previous owner was first seen.
            false => now.since(self.first_heard).saturating_sub(MAX_EXPIRY),
        }
    }
}

/// Reservation of an instance that an earlier owner ordered recently.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// Until this time, on this node's clock, the instance may get no other order.
    pub until: Time,
    /// The wave that the order was for; `None` if it was a move.
    pub wave: Option<u64>,
}

/// Returns the instances that earlier owners ordered less than `wait` ago.
///
/// Each reservation expires according to the age of its own order. Otherwise, after each change of
/// owners, no instance that was ordered in the last ten seconds would be moved for more than three
/// seconds, while a queue whose load had just risen waited for instances. An order whose age cannot
/// be determined counts as stored now.
pub fn reservations(
    now: Time,
    wait: Duration,
    orders: Vec<(InstanceName, OrderRecord)>,
    last: Option<LastOwner>,
) -> Map<InstanceName, Reservation> {
    let mut active: Map<InstanceName, Reservation> = Map::default();
    for (name, order) in orders {
        let age = last.map_or(Duration::ZERO, |l| l.age(now, &order));
        let remaining = wait.saturating_sub(age);
        if remaining.is_zero() {
            continue;
        }
        let until = now.after(remaining);
        let wave = order.wave;
        // Several owners may have stored an order to this instance; the newest one counts.
        if active.get(&name).is_none_or(|r| r.until < until) {
            active.insert(name, Reservation { until, wave });
        }
    }
    active
}
