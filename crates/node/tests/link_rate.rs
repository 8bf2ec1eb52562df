//! Rates of network links.

use std::time::Duration;

use cactuswheel_node::LinkRate;

#[test]
fn bytes_and_times() {
    let narrow: LinkRate = "2 Mbit/s".parse().expect("a valid rate");
    assert_eq!(narrow.transfer_time(250_000), Duration::from_secs(1));
    assert_eq!(narrow.bytes_in(Duration::from_millis(100)), 25_000);
    assert_eq!(narrow.to_string().parse(), Ok(narrow));
}

#[test]
fn bad_rates() {
    for text in ["", "0", "-3", "NaN", "inf", "fast"] {
        assert!(text.parse::<LinkRate>().is_err(), "{text}");
    }
}
