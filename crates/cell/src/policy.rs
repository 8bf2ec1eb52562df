//! Switches of how a cell decides.

use serde::Deserialize;

/// Switches of how a cell decides. Each can be turned off in the settings, so that what it is
/// worth can be measured without another build.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkPolicy {
    /// Short work goes to the fullest worker that has room.
    pub pack: bool,
    /// A job's tasks stay in one data centre and rack, as far as there is room.
    pub home: bool,
    /// Jobs that have begun go before others that can be in time.
    pub begun: bool,
    /// Jobs beyond their team's share wait while the fleet is full.
    pub shares: bool,
    /// Runs that make no progress start elsewhere.
    pub progress: bool,
    /// Workers that fail what they start get no work for a while.
    pub health: bool,
    /// Run times are learnt from tasks that are done.
    pub learn: bool,
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
        }
    }
}
