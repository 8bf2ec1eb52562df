//! Times of a planned stop.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_node::StopSchedule;
use cactuswheel_testkit::check;

const BEGAN: Time = Time::new(10_000);

/// Time that a request needs at a store that usually answers within 200 ms, and its response.
const USUAL_REQUEST: Duration = Duration::from_millis(400);

/// Guards against a schedule that passes the grace time, or closes connections before a request on
/// them can be answered, whatever the grace time.
#[test]
fn within_grace() {
    fn ordered(grace_ms: u16) -> bool {
        let grace = Duration::from_millis(grace_ms.into());
        let stop = StopSchedule::new(BEGAN, grace);
        let times = [
            stop.began(),
            stop.refuses_connections(),
            stop.closes_idle(),
            stop.answers_all(),
            stop.exits(),
            BEGAN.after(grace),
        ];
        times.is_sorted()
    }
    check(1, 1_000, ordered as fn(u16) -> bool);
}

/// Guards against a node that still gets new callers when it stops accepting them: the balancer
/// needs two probes, a second apart, to notice that it is not ready.
#[test]
fn balancer_notices() {
    let stop = StopSchedule::new(BEGAN, Duration::from_secs(6));
    assert!(stop.refuses_connections().since(BEGAN) >= Duration::from_secs(2));
    let last = stop.answers_all().since(stop.closes_idle());
    assert!(last >= USUAL_REQUEST, "{last:?}");
}
