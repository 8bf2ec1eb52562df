//! When a front end refuses jobs because no owner takes them.

use std::time::Duration;

use cactuswheel_cell::Slack;
use cactuswheel_model::Time;
use cactuswheel_node::{Outlook, OwnerOutage};

const USUAL: Duration = Duration::from_millis(2_300);

/// The outlook of a job that may wait two seconds, at `ms`.
fn outlook(outage: &OwnerOutage, ms: u64) -> Outlook {
    let slack = Slack {
        timely: Duration::from_secs(2),
        useful: Duration::from_secs(4),
    };
    outage.outlook(Time::new(ms), USUAL, slack)
}

/// Guards against a refusal of the first jobs after a quiet time, although there is an owner: the
/// last job was not taken, and none was handed in since. The owner is asked first.
#[test]
fn quiet_time() {
    let outage = OwnerOutage::default();
    outage.failed(Time::new(1_000));
    assert_eq!(outlook(&outage, 2_000), Outlook::InTime);
    let excess = Duration::from_millis(60_000 - 4_300);
    assert_eq!(outlook(&outage, 61_000), Outlook::Unsure(excess));
    outage.probed(Time::new(61_000));
    outage.answered(Time::new(61_010));
    assert_eq!(outlook(&outage, 61_020), Outlook::InTime);
}

/// Guards against a probe for each job while there is no owner: one probe counts for all jobs of a
/// short time, and then the owner is probed again.
#[test]
fn one_probe_for_many() {
    let outage = OwnerOutage::default();
    outage.failed(Time::new(1_000));
    outage.probed(Time::new(11_000));
    for now in [11_000, 11_100, 11_250] {
        assert!(
            matches!(outlook(&outage, now), Outlook::TooLate(_)),
            "{now}"
        );
    }
    assert!(matches!(outlook(&outage, 11_400), Outlook::Unsure(_)));
}
