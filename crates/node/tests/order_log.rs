//! The log of orders to instances while a partition of the store is down.

use std::net::{IpAddr, Ipv4Addr};

use cactuswheel_adapter::{Keyed, Store};
use cactuswheel_local::{Faults, Platform};
use cactuswheel_node::OrderLog;

const PARTS: u32 = 4;

/// A platform on loopback.
async fn platform() -> Platform {
    let host = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let started = Platform::start(host, &[], 1).await;
    started.expect("the platform starts on loopback")
}

/// Faults with one partition of the store down.
fn down(part: u64) -> Faults {
    Faults {
        part_down: Some(part),
        ..Faults::default()
    }
}

/// Guards against jobs that are accepted but wait for instances: one partition of the store is
/// down, and orders to instances that go to this partition only are never issued. They are recorded
/// in the next partition instead, where the next owner finds them.
#[tokio::test]
async fn next_partition() {
    let platform = platform().await;
    let store = Store::new(platform.store());
    let log = OrderLog::new(PARTS);
    platform.set_faults(down(0));
    let written = log.write(&store, &[Keyed::new("m1", vec![1])]).await;
    written.expect("another partition takes it");
    platform.set_faults(Faults::default());
    let read = OrderLog::new(PARTS).read(&store).await;
    let read = read.expect("every partition answers");
    let names: Vec<&str> = read.iter().map(|i| i.key.as_str()).collect();
    assert_eq!(names, ["m1"]);
}

/// Guards against two owners that order the same instance within seconds: a new owner can read only
/// three of four partitions and takes their records for all there are. The read fails instead.
#[tokio::test]
async fn unread_is_unknown() {
    let platform = platform().await;
    let store = Store::new(platform.store());
    platform.set_faults(down(3));
    assert!(OrderLog::new(PARTS).read(&store).await.is_none());
}

/// With every partition down the write fails, so the order is not issued.
#[tokio::test]
async fn all_down() {
    let platform = platform().await;
    let store = Store::new(platform.store());
    platform.set_faults(Faults {
        store_down: true,
        ..Faults::default()
    });
    let log = OrderLog::new(PARTS);
    assert!(
        log.write(&store, &[Keyed::new("m1", vec![1])])
            .await
            .is_err()
    );
}
