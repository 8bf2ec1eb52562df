//! Short soak runs with fixed seeds, including every seed that has failed before.

use std::time::Duration;

use cactuswheel_soak::soak;

/// How long faults are injected in each run.
const TIME: Duration = Duration::from_secs(6);

/// Seeds of the short runs. Add each failing seed here with a line on its cause.
const SEEDS: [u64; 2] = [1, 2];

#[tokio::test(flavor = "multi_thread")]
async fn short_soak() {
    for seed in SEEDS {
        let report = soak(seed, 3, TIME).await;
        assert!(report.jobs > 0, "seed {seed}: {:#?}", report.faults);
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:#?}\n{:#?}",
            report.violations,
            report.faults
        );
    }
}
