//! Units of a cut-off entry are reallocated only when no request can still be using them.

use crate::world::{TIMING, World};

/// Three entries in each of two data centres, all serving callers; 0, 2 and 4 are in the same one.
fn busy_world() -> World {
    let mut world = World::new(5, 6);
    world.run_for(6_000).unwrap();
    let held: Vec<_> = (0..6).map(|n| world.occupied(n)).collect();
    assert!(!held.contains(&0), "{held:?} {}", world.rows());
    world
}

#[test]
fn cut_off_pair() {
    // Entries 0 and 2 lose contact with the log and entry 4, but not with each other, so they
    // continue to serve. Entry 4 gets no heartbeats from either and revokes both. Its witness
    // record alone must not free the units, since entry 2 still renews entry 0. The units are
    // free only once both have been without the log for longer than the cut-off time.
    let mut world = busy_world();
    world.isolate_nodes(&[0, 2], true, true);
    let held = world.occupied(0);
    world.run_for(TIMING.cut - 50).unwrap();
    assert_eq!(world.occupied(0), held);
    world.run_for(3 * TIMING.cut).unwrap();
    assert_eq!(world.occupied(0), 0);
    world.check_recovery().unwrap();
}

#[test]
fn late_contact() {
    // Entry 0 loses its peers and reads the log until just before they revoke it, so it never
    // reads the revocation. From then on it admits requests for the whole fence time, and these
    // run for up to the longest run time after that.
    let mut world = busy_world();
    world.isolate_nodes(&[0], false, true);
    world.run_for(TIMING.fence - 30).unwrap();
    world.isolate_nodes(&[0], true, true);
    world.run_for(2 * TIMING.cut).unwrap();
    assert_eq!(world.occupied(0), 0);
    world.check_recovery().unwrap();
}

#[test]
fn told_peer() {
    // Entry 0 reaches only entry 2, and entry 2 reads the log. Once entry 2 has read that entry 4
    // revoked entry 0, it no longer renews entry 0, and its witness record counts.
    let mut world = busy_world();
    world.isolate_nodes(&[0, 2], true, true);
    world.reconnect(2);
    world.run_for(2 * TIMING.cut).unwrap();
    assert_eq!(world.occupied(0), 0);
    world.check_recovery().unwrap();
}

#[test]
fn all_replaced() {
    // All entries of a data centre are killed at once and replaced. The killed ones cannot write
    // witness records for each other; their units must nevertheless be free after the fence time
    // and the longest run time, not only after the cut-off time.
    let mut world = busy_world();
    [0, 2, 4].into_iter().for_each(|n| world.kill(n));
    world.run_for(TIMING.fence + TIMING.run + 250).unwrap();
    assert_eq!(world.lives(), 6);
    world.check_recovery().unwrap();
}

#[test]
fn cut_data_centre() {
    // A whole data centre loses the log. Its entries continue to use the units that they hold, and
    // no other entry gets any of them without a witness record from there, however long it takes.
    let mut world = busy_world();
    let held: Vec<_> = [0, 2, 4].map(|n| world.occupied(n)).into();
    world.isolate_nodes(&[0, 2, 4], true, true);
    world.run_for(20 * TIMING.cut).unwrap();
    assert_eq!([0, 2, 4].map(|n| world.occupied(n)).to_vec(), held);
    world.check_recovery().unwrap();
}
