//! Orders of earlier owners, and how long they reserve an instance.

use std::time::Duration;

use cactuswheel_capacity::{LastOwner, OrderRecord, reservations};
use cactuswheel_model::Time;
use cactuswheel_work::InstanceName;

const WAIT: Duration = Duration::from_millis(4_000);

/// This node's clock at the change of owners; it is unrelated to the clocks of other nodes.
const NOW: Time = Time::new(50_000);

fn last() -> LastOwner {
    LastOwner {
        life: 7,
        clock: Time::new(900_000),
        last_heard: Time::new(48_900),
        first_heard: Time::new(40_000),
    }
}

fn order(life: u64, at: u64) -> Vec<(InstanceName, OrderRecord)> {
    let record = OrderRecord {
        life,
        at: Time::new(at),
        wave: Some(3),
    };
    vec![("one".into(), record)]
}

/// Returns when the instance may be ordered again; `None` if immediately.
fn until(life: u64, at: u64, last: Option<LastOwner>) -> Option<u64> {
    let found = reservations(NOW, WAIT, order(life, at), last);
    let found = found.get(&InstanceName::from("one"));
    assert!(found.is_none_or(|r| r.wave == Some(3)));
    found.map(|r| r.until.get())
}

/// Guards against a queue that waits for instances after a load increase, because the owner changed
/// and every instance that the previous owner moved recently stays reserved as if it had been moved
/// just now. A reservation counts from its order.
#[test]
fn counts_from_order() {
    // The order was stored one second before the owner's last record, which makes it 2.1 s old.
    assert_eq!(until(7, 899_000, Some(last())), Some(50_000 + 1_900));
    assert_eq!(until(7, 896_900, Some(last())), None);
}

/// Guards against two owners that order one instance within seconds. An order that was stored after
/// the previous owner's last record, or by a node whose clock cannot be related to this node's,
/// counts as stored at the latest possible time.
#[test]
fn never_too_early() {
    assert_eq!(until(7, 900_400, Some(last())), Some(49_300 + 4_000));
    assert_eq!(
        until(6, 899_000, Some(last())),
        None,
        "by the owner before the previous one, 10 s ago"
    );
    let mut recent = last();
    recent.first_heard = Time::new(49_500);
    assert_eq!(until(6, 1, Some(recent)), Some(50_000 + 4_000));
    assert_eq!(until(7, 899_000, None), Some(50_000 + 4_000));
}

/// Guards against two owners that order one instance within seconds. Orders of two earlier owners
/// are stored for the instance, and the older one is read last. The newer one counts.
#[test]
fn newest_of_two() {
    let mut orders = order(7, 899_000);
    orders.extend(order(7, 898_000));
    let found = reservations(NOW, WAIT, orders, Some(last()));
    let until = found[&InstanceName::from("one")].until;
    assert_eq!(until.get(), 50_000 + 1_900);
}
