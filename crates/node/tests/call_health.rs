//! When a node counts a service such as the store as unreachable.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_node::CallHealth;

/// A node that cannot reach the store soon stops accepting callers, which would wait for seconds in
/// vain, but a single lost answer does not make it stop.
#[test]
fn lost_and_back() {
    let health = CallHealth::default();
    let at = |ms: u64| Time::new(50_000 + ms);
    assert!(health.failed(at(0)));
    assert!(!health.failed(at(200)), "not the first failure");
    assert!(!health.is_unreachable(at(200)));
    assert!(health.is_unreachable(at(500)));
    assert_eq!(health.answered(at(600)), Some(Duration::from_millis(600)));
    assert!(!health.is_unreachable(at(900)));
    assert_eq!(health.answered(at(900)), None);
    assert!(health.failed(at(1_000)));
    assert!(!health.is_unreachable(at(1_100)), "the time starts again");
}
