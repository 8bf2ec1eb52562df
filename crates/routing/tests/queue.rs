//! Requests that wait for a slot.

use std::time::Duration;

use cactuswheel_model::{Code, Time};
use cactuswheel_routing::SlotQueue;
use cactuswheel_testkit::check;

#[test]
fn late_ones_refused() {
    // Slots become free every 10 ms and everyone may wait for a second. About a hundred get
    // in; the rest is told at once, and when to come back.
    let mut queue = SlotQueue::default();
    queue.join(Time::new(0), Time::new(1_000)).unwrap();
    (1..100).for_each(|n| queue.freed(Time::new(n * 10)));
    let now = Time::new(1_000);
    let refused = (0..200).filter_map(|_| queue.join(now, Time::new(2_000)).err());
    let refused: Vec<_> = refused.collect();
    assert!((95..=105).contains(&refused.len()), "{}", refused.len());
    let retry = refused[0].retry.unwrap();
    assert!(retry >= Duration::from_millis(950), "{retry:?}");
    assert!(refused.iter().all(|r| r.code == Code::Deadline));
}

#[test]
fn quiet_hours() {
    // An hour without anyone waiting is not an hour between two slots.
    let mut queue = SlotQueue::default();
    queue.join(Time::new(0), Time::new(100)).unwrap();
    queue.freed(Time::new(10));
    queue.leave();
    queue.freed(Time::new(20));
    queue
        .join(Time::new(3_600_000), Time::new(3_601_000))
        .unwrap();
    queue.freed(Time::new(3_600_010));
    assert!(queue.wait() <= Duration::from_millis(20));
}

#[test]
fn bounded() {
    fn property(steps: Vec<(u8, u16)>) -> bool {
        let mut queue = SlotQueue::default();
        let (mut now, mut waiting) = (0, 0);
        for (kind, time) in steps {
            now += u64::from(time % 50);
            let until = Time::new(now + u64::from(time));
            match kind % 3 {
                0 => waiting += u32::from(queue.join(Time::new(now), until).is_ok()),
                1 if waiting > 0 => {
                    queue.leave();
                    waiting -= 1;
                }
                _ => queue.freed(Time::new(now)),
            }
            if queue.is_empty() != (waiting == 0) {
                return false;
            }
        }
        true
    }
    check(41, 2_000, property as fn(Vec<(u8, u16)>) -> bool);
}
