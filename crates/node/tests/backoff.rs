//! Exponential backoff after refused calls.

use cactuswheel_model::Time;
use cactuswheel_node::Backoff;

/// The delay doubles up to its maximum and is reset by an accepted call: a busy store is not called
/// at a constant rate, and a single refusal does not cause a long wait.
#[test]
fn longer_each_time() {
    let mut backoff = Backoff::default();
    let mut now = Time::new(1_000);
    let mut pauses = Vec::new();
    for _ in 0..6 {
        backoff.refused(now, 0.5);
        backoff.refused(now, 0.5);
        let start = now;
        while !backoff.is_elapsed(now) {
            now = now.after(std::time::Duration::from_millis(10));
        }
        pauses.push(now.since(start).as_millis());
    }
    assert_eq!(pauses, [250, 500, 1_000, 2_000, 2_000, 2_000]);
    backoff.accepted();
    backoff.refused(now, 0.5);
    assert!(backoff.is_elapsed(now.after(std::time::Duration::from_millis(250))));
}
