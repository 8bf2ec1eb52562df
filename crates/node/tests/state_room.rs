//! Room for new jobs, as known to a front end.

use cactuswheel_cell::{StateLimits, StateRoom};
use cactuswheel_node::KnownRoom;
use cactuswheel_work::TeamName;

const MIB: u64 = 1 << 20;

fn known() -> KnownRoom {
    KnownRoom::new(&StateLimits::of_memory(192 * MIB))
}

/// Guards against a front end that stores jobs without an owner although the owner had reported
/// that there is no room for them; other teams are still served.
#[test]
fn last_report_holds() {
    let known = known();
    let (full, other): (TeamName, TeamName) = ("full".into(), "other".into());
    assert!(known.fits(Some(&full), MIB));
    known.learn(Some(&full), StateRoom::new(1_000));
    assert!(!known.fits(Some(&full), 1_001));
    assert!(known.fits(Some(&full), 1_000));
    assert!(known.fits(Some(&other), MIB));
    assert!(known.fits(None, MIB));
}

/// Guards against front ends that together store more than a node takes over while no owner counts
/// it: each stores a small part of the room, until an owner answers again.
#[test]
fn uncounted_is_bounded() {
    let known = known();
    assert!(known.take_uncounted(MIB));
    assert!(!known.take_uncounted(1));
    known.learn(None, StateRoom::new(32 * MIB));
    assert!(known.take_uncounted(MIB / 4));
    assert!(known.take_uncounted(MIB / 4));
    assert!(!known.take_uncounted(1));
}
