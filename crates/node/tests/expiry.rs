//! How long an ownership holds without a renewal.

use std::time::Duration;

use cactuswheel_node::expiry_for;

/// Guards against an ownership that goes from node to node while the store is slow by a factor
/// of a hundred, and against a takeover that waits for seconds after one lost answer.
#[test]
fn follows_the_store() {
    let least = Duration::from_millis(800);
    let of = |ms| expiry_for(least, Duration::from_millis(ms)).as_millis();
    assert_eq!([of(0), of(5), of(240), of(400)], [800, 800, 960, 1_600]);
    assert_eq!(of(3_000), 2_500, "an owner before counts on no more");
    let narrow = Duration::from_millis(2_500);
    assert_eq!(expiry_for(narrow, Duration::ZERO), narrow);
}
