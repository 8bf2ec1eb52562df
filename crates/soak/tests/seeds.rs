//! Short soak runs with fixed seeds, including every seed that has failed before.

use std::time::Duration;

use cactuswheel_soak::{Report, rolling, soak};

/// How long faults are injected in each run.
const TIME: Duration = Duration::from_secs(6);

/// Seeds of the short runs. Add each failing seed here with a line on its cause.
const SEEDS: [u64; 2] = [1, 2];

/// Seeds of the short rolling runs.
const ROLLING_SEEDS: [u64; 2] = [3, 4];

#[tokio::test(flavor = "multi_thread")]
async fn short_soak() {
    for seed in SEEDS {
        check(seed, &soak(seed, 3, TIME).await);
    }
}

/// Guards against planned stops that cut or refuse requests of callers that keep connections open.
/// Both runs go on side by side.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_stops() {
    let [first, second] = ROLLING_SEEDS;
    let reports = tokio::join!(rolling(first, 4, TIME), rolling(second, 4, TIME));
    check(first, &reports.0);
    check(second, &reports.1);
}

fn check(seed: u64, report: &Report) {
    let (violations, faults) = (&report.violations, &report.faults);
    assert!(report.jobs > 0, "seed {seed}: {faults:#?}");
    assert!(
        violations.is_empty(),
        "seed {seed}: {violations:#?}\n{faults:#?}"
    );
}
