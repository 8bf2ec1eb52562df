//! Utilisation of a node's network link.

use std::time::Duration;

use cactuswheel_model::Time;
use cactuswheel_node::{LinkLoad, LinkRate};

const NOW: Time = Time::new(50_000);

fn narrow() -> LinkRate {
    LinkRate::new(2.0).expect("a valid rate")
}

/// A burst is detected before its window is complete, so that it cannot fill a slow link first.
#[test]
fn burst_shows() {
    let mut load = LinkLoad::new(NOW, 0, 0.25);
    let soon = NOW.after(Duration::from_millis(10));
    assert!(!load.is_high(soon, 1_000, narrow()));
    assert!(load.is_high(soon, 40_000, narrow()));
}

/// The load follows the current rate up and down: on a link of 250 kB/s, 100 kB/s is high and
/// 20 kB/s is not.
#[test]
fn follows_rate() {
    let mut load = LinkLoad::new(NOW, 0, 0.25);
    let (mut now, mut sent) = (NOW, 0);
    let mut run = |rate: u64, load: &mut LinkLoad| {
        let mut high = false;
        for _ in 0..20 {
            now = now.after(Duration::from_millis(100));
            sent += rate / 10;
            high = load.is_high(now, sent, narrow());
        }
        high
    };
    assert!(run(100_000, &mut load));
    assert!(!run(20_000, &mut load));
    assert!(run(100_000, &mut load));
}
