//! Feature switches of a cell's scheduling policy.

use cactuswheel_preemption::PreemptPolicy;
use serde::Deserialize;

/// Feature switches of a cell's scheduling policy. Each can be turned off in the settings, so that
/// its effect can be measured without another build.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkPolicy {
    /// Bin packing: a short task goes to the fullest worker with enough room, otherwise to the
    /// emptiest.
    pub pack: bool,
    /// The tasks of a job stay in one data centre and rack, as far as there is room.
    pub home: bool,
    /// Jobs that have started go before other jobs of the same class and priority.
    pub begun: bool,
    /// While the fleet is full, jobs beyond their team's share wait for the jobs within theirs.
    pub shares: bool,
    /// Runs that make no progress are stopped and restarted on another worker.
    pub progress: bool,
    /// Workers whose runs fail get no new work for a while.
    pub health: bool,
    /// The caller's run time estimates are corrected by the run times of finished tasks.
    pub learn: bool,
    /// Runs are stopped for waiting work with a better rank.
    pub preempt: PreemptPolicy,
}

impl Default for WorkPolicy {
    fn default() -> Self {
        Self {
            pack: true,
            home: true,
            begun: true,
            shares: true,
            progress: true,
            health: true,
            learn: true,
            preempt: PreemptPolicy::default(),
        }
    }
}
