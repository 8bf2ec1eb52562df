//! Lower bound on the duration of a wave.

use std::time::Duration;

use cactuswheel_fleet::State;

/// Lower bound on the duration of a wave in which each outage takes `outage`.
///
/// Each pool can have only as many instances down at once as its budget allows; the slowest pool
/// determines the bound. Returns `None` if the budget of any pool allows no outage at all.
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
