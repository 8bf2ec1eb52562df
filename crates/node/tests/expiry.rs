//! Expiry of an ownership that is not renewed.

use std::time::Duration;

use cactuswheel_node::expiry_for;

/// The expiry grows with the duration of renewals, so that the ownership does not pass from node to
/// node while the store is slower by a factor of 100, but a single lost answer does not delay a
/// takeover by seconds.
#[test]
fn follows_the_store() {
    let least = Duration::from_millis(800);
    let of = |ms| expiry_for(least, Duration::from_millis(ms)).as_millis();
    assert_eq!([of(0), of(5), of(240), of(400)], [800, 800, 960, 1_600]);
    assert_eq!(of(3_000), 2_500, "the next owner relies on this maximum");
    let narrow = Duration::from_millis(2_500);
    assert_eq!(expiry_for(narrow, Duration::ZERO), narrow);
}
