//! Tests of instances that are leaving.

use cactuswheel_model::{Incarnation, InstanceId};
use cactuswheel_routing::{Life, Presences};
use cactuswheel_testkit::check;

fn id() -> InstanceId {
    "w1".parse().unwrap()
}

fn life(incarnation: u64, leaving: bool) -> Life {
    Life {
        incarnation: Incarnation::new(incarnation),
        addr: ([127, 0, 0, 1], 9000).into(),
        leaving,
    }
}

#[test]
fn stays_leaving() {
    // The roster lags: it lists an instance as leaving, then an outdated copy lists it as live, and
    // the instance's own announcement arrives in between. Once any of them reports that a life is
    // leaving, this life must not serve again; only a newer one may.
    fn property(news: Vec<(u8, bool, bool)>) -> bool {
        let mut presences = Presences::default();
        let mut newest = 0;
        let mut left = false;
        for (incarnation, leaving, own) in news {
            let n = u64::from(incarnation % 4);
            if own {
                presences.mark_leaving(&id(), Incarnation::new(n));
                left |= n == newest && presences.get(&id()).is_some();
            } else {
                presences.update(&id(), life(n, leaving));
                left = leaving && n >= newest || left && n <= newest;
                newest = newest.max(n);
            }
            let serves = presences
                .serving()
                .any(|(_, l)| l.incarnation.get() == newest);
            if presences.get(&id()).is_some() && serves == left {
                return false;
            }
        }
        true
    }
    check(31, 5_000, property as fn(Vec<(u8, bool, bool)>) -> bool);
}

#[test]
fn news_only() {
    let mut presences = Presences::default();
    assert!(presences.update(&id(), life(2, false)));
    assert!(!presences.update(&id(), life(2, false)));
    assert!(!presences.update(&id(), life(1, true)));
    assert!(!presences.mark_leaving(&id(), Incarnation::new(1)));
    assert!(presences.mark_leaving(&id(), Incarnation::new(2)));
    assert!(!presences.mark_leaving(&id(), Incarnation::new(2)));
    assert!(!presences.update(&id(), life(2, false)));
    assert!(presences.update(&id(), life(3, false)));
    assert_eq!(presences.serving().count(), 1);
}
