//! Units of an entry that is cut off go to others only when nothing can run on them any more.

use crate::world::{TIMING, World};

/// Three entries in each of two data centres, all with callers; entries 0, 2 and 4 share one.
fn busy_world() -> World {
    let mut world = World::new(5, 6);
    world.run_for(6_000).unwrap();
    let held: Vec<_> = (0..6).map(|n| world.occupied(n)).collect();
    assert!(!held.contains(&0), "{held:?} {}", world.rows());
    world
}

#[test]
fn cut_off_pair() {
    // Entries 0 and 2 lose the log and entry 4, not each other, so they go on serving. Entry 4
    // hears neither and wants their units. Its word alone is not enough: entry 2 still renews
    // entry 0. Only once both have been without the log too long are the units free.
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
    // Entry 0 loses its peers, and reads the log until just before they give it up; the record
    // never reaches it. It goes on for its whole fence time from then, and its work for the
    // longest run after that.
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
    // Entry 0 hears only entry 2, and entry 2 hears the log. Once entry 2 has read that entry 4
    // gave entry 0 up, it renews it no more; its word then counts.
    let mut world = busy_world();
    world.isolate_nodes(&[0, 2], true, true);
    world.reconnect(2);
    world.run_for(2 * TIMING.cut).unwrap();
    assert_eq!(world.occupied(0), 0);
    world.check_recovery().unwrap();
}

#[test]
fn all_replaced() {
    // All entries of a data centre are killed at once and replaced. The dead cannot speak for
    // each other; their units are free after the fence time and the longest run, not only
    // when the cut time is over.
    let mut world = busy_world();
    [0, 2, 4].into_iter().for_each(|n| world.kill(n));
    world.run_for(TIMING.fence + TIMING.run + 250).unwrap();
    assert_eq!(world.lives(), 6);
    world.check_recovery().unwrap();
}

#[test]
fn cut_data_centre() {
    // A whole data centre loses the log. Its entries go on with what they hold, and nobody
    // else gets any of it without a word from there, however long it takes.
    let mut world = busy_world();
    let held: Vec<_> = [0, 2, 4].map(|n| world.occupied(n)).into();
    world.isolate_nodes(&[0, 2, 4], true, true);
    world.run_for(20 * TIMING.cut).unwrap();
    assert_eq!([0, 2, 4].map(|n| world.occupied(n)).to_vec(), held);
    world.check_recovery().unwrap();
}
