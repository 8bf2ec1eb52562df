//! Records of silent workers, read by the next owner.

use cactuswheel_capacity::LastOwner;
use cactuswheel_model::Time;
use cactuswheel_node::{CellKey, SilenceRecord};
use cactuswheel_testkit::{Rng, Seed, check};

const EPOCH: u64 = 7;
const LIFE: u64 = 11;

fn record(lease_end: u64) -> SilenceRecord {
    SilenceRecord {
        epoch: EPOCH,
        life: LIFE,
        lease_end: Time::new(lease_end),
    }
}

fn last(clock: u64, last_heard: u64) -> LastOwner {
    LastOwner {
        life: LIFE,
        clock: Time::new(clock),
        last_heard: Time::new(last_heard),
        first_heard: Time::default(),
    }
}

/// Guards against work that runs twice: a new owner must not take a lease for over before it is,
/// whatever the clocks of the two nodes show and however late it heard of the owner before.
#[test]
fn never_too_early() {
    check(3, 2_000, ends_late as fn(Seed) -> bool);
}

fn ends_late(seed: Seed) -> bool {
    let mut rng = Rng::new(seed.0);
    // The offset between the clocks, and when the last ownership record was sent, by this node's.
    let (offset, sent) = (rng.below(1_000_000), 2_000_000 + rng.below(10_000));
    let heard = sent + rng.below(3_000);
    let lease_end = 2_000_000 + rng.below(20_000);
    let last = last(sent - offset, heard);
    let end = record(lease_end - offset).local_end(EPOCH + 1, Some(last));
    end == Some(Time::new(lease_end + heard - sent))
}

/// Guards against a lease that an owner in between has renewed: one that does not know these records
/// leaves them as they are. Only the record of the owner immediately before counts.
#[test]
fn owner_between() {
    let last = last(5_000, 9_000);
    assert!(record(6_000).local_end(EPOCH + 1, Some(last)).is_some());
    assert_eq!(record(6_000).local_end(EPOCH + 2, Some(last)), None);
    assert_eq!(record(6_000).local_end(EPOCH + 1, None), None);
    let other = LastOwner { life: 12, ..last };
    assert_eq!(record(6_000).local_end(EPOCH + 1, Some(other)), None);
}

/// Keys of jobs are not taken for keys of the cell's own records.
#[test]
fn keys() {
    for key in [CellKey::Silent("w1".into()), CellKey::Queue("q/1".into())] {
        assert_eq!(CellKey::parse(&key.to_string()), Some(key));
    }
    assert_eq!(CellKey::parse("s00000000000000a1"), None);
    assert_eq!(CellKey::parse("00000000000000a1"), None);
}
