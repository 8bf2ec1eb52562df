//! Claims of the ownership whose answers are lost.

use std::time::Duration;

use cactuswheel_capacity::{LastOwner, OrderRecord, reservations};
use cactuswheel_model::Time;
use cactuswheel_node::{Claim, Claims};

/// Guards against four seconds without moves of instances that had no recent orders. The store
/// applies a claim but its answer comes too late, and the node learns from the record it reads back
/// that it won. Its knowledge of the previous owner must still date that owner's orders.
#[test]
fn answer_lost() {
    let last_heard = Time::new(50_000);
    let before = LastOwner {
        life: 7,
        clock: Time::new(90_000),
        last_heard,
        first_heard: Time::new(1_000),
    };
    let mut claims = Claims::default();
    claims.track(Claim {
        epoch: 2,
        sent_at: Time::new(51_200),
        exclusive: false,
        predecessor: Some(before),
    });
    // The answer is lost; the record with epoch 2 is read back.
    let won = claims.for_epoch(2).expect("it is this node's claim");
    let order = OrderRecord {
        life: 7,
        at: Time::new(85_000),
        wave: None,
    };
    let orders = vec![("m1".into(), order)];
    let wait = Duration::from_millis(4_300);
    let kept = reservations(Time::new(52_000), wait, orders, won.predecessor);
    assert!(kept.is_empty(), "the order is seven seconds old");
}

/// A claim that lost must not be taken for the one behind another node's ownership.
#[test]
fn lost_claim() {
    let mut claims = Claims::default();
    claims.track(Claim {
        epoch: 2,
        sent_at: Time::new(51_200),
        exclusive: true,
        predecessor: None,
    });
    assert_eq!(claims.for_epoch(3), None);
}

fn claim(epoch: u64) -> Claim {
    Claim {
        epoch,
        sent_at: Time::new(51_200 + epoch),
        exclusive: true,
        predecessor: None,
    }
}

/// Guards against a cell that runs twice under one epoch, with poll numbers and fencing tokens that
/// begin anew. A node that stopped its cell claims again, the store refuses the claim, and the node
/// renews the ownership that it still has: its role must be the same as before.
#[test]
fn refused_claim() {
    let mut claims = Claims::default();
    claims.track(claim(2));
    let before = claims.for_epoch(2);
    claims.track(claim(3));
    assert_eq!(claims.for_epoch(2), before);
}

/// Guards against a cell that nobody runs: the claim of a node that stopped its cell is refused, and
/// the node must claim again instead of renewing the epoch that it holds.
#[test]
fn claimed_again() {
    let mut claims = Claims::default();
    assert!(!claims.is_open(0));
    claims.track(claim(2));
    assert!(!claims.is_open(2), "the claim won");
    claims.track(claim(3));
    assert!(claims.is_open(2), "epoch 3 was not reached");
    claims.track(claim(3));
    assert!(!claims.is_open(3));
    assert_eq!(claims.for_epoch(2), Some(claim(2)));
}
