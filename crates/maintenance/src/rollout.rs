//! The shortest time that a wave can take.

use std::time::Duration;

use cactuswheel_fleet::State;

/// Lower bound of a wave's time: no pool can go faster than its budget, one outage after the
/// other, each as long as `outage`.
///
/// `None` if a pool's budget allows no outage at all.
pub fn min_wave_duration(state: &State, outage: Duration) -> Option<Duration> {
    let budgets = state.disruptions().budgets(state.config());
    let mut longest = Duration::ZERO;
    for budget in budgets.values() {
        let parallel = budget.allowed().min(budget.members);
        if parallel == 0 {
            return None;
        }
        longest = longest.max(outage * budget.members.div_ceil(parallel));
    }
    Some(longest)
}
