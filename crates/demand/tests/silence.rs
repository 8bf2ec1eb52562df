//! Silence in the arrivals that earlier owners recorded.

use cactuswheel_demand::longest_silence;
use cactuswheel_model::Time;

fn begin(arrivals: &[u64], now: u64) -> Option<u64> {
    let times = arrivals.iter().map(|t| Time::new(*t));
    longest_silence(times, Time::new(now)).map(Time::get)
}

/// Guards against a new owner that takes the jobs stored in the moment of the store's return for
/// the demand of its queue: the outage is the time without arrivals before them.
#[test]
fn before_the_return() {
    let arrivals = [1_050, 1_000, 950, 5_800, 5_820, 5_900];
    assert_eq!(begin(&arrivals, 5_910), Some(1_050));
}

#[test]
fn until_now() {
    assert_eq!(begin(&[1_000, 1_200], 2_500), Some(1_200));
}

/// Guards against a hold without an outage, which pays for idle instances.
#[test]
fn calm() {
    assert_eq!(begin(&[], 2_500), None);
    assert_eq!(begin(&[2_000, 2_200, 2_400], 2_500), None);
}
