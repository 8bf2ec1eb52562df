//! Dating the owner's newest record on nodes that don't read every renewal.

use cactuswheel_model::Time;
use cactuswheel_node::OwnerClock;

/// How far this node's clock is ahead of the owner's, in milliseconds.
const CLOCK_OFFSET: u64 = 90_000;

/// When the owner was last heard from, after records read and sent at these times of this node's
/// clock.
fn heard_at(reads: &[(u64, u64)]) -> u64 {
    let mut owner_clock = OwnerClock::new(Time::default());
    for (now, sent) in reads {
        owner_clock.observe(Time::new(*now), sent - CLOCK_OFFSET);
    }
    owner_clock.last_heard().get()
}

/// Guards against a late takeover: the owner is killed right after a renewal, and a node that reads
/// the record a second later takes it for fresh and claims the ownership a second late, while jobs
/// wait. Earlier records give the clock offset, and with it the age of the newest record.
#[test]
fn dates_late_reads() {
    // One record read 4 ms after it was sent, then one read a second after it was sent.
    assert_eq!(heard_at(&[(100_004, 100_000), (102_000, 101_000)]), 101_004);
}

/// Guards against two owners at a time: a node that dates the owner's record too early claims the
/// ownership while the owner is alive. A record is never dated before it was sent.
#[test]
fn never_too_early() {
    for late in [0, 3, 250, 1_400] {
        let at = heard_at(&[(100_000 + late, 100_000), (100_700, 100_300)]);
        assert!(at >= 100_300, "{at}");
    }
}

/// Guards against a claim right after a store outage, when the newest record is old although the
/// owner is alive. Time without the store does not count.
#[test]
fn store_away() {
    let mut owner_clock = OwnerClock::new(Time::new(100_000));
    owner_clock.observe(Time::new(100_000), 10_000);
    owner_clock.skip_outage(Time::new(108_000));
    owner_clock.observe(Time::new(108_010), 10_000);
    assert_eq!(owner_clock.last_heard(), Time::new(108_000));
}
