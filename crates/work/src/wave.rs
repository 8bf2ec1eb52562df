//! Maintenance waves.

use cactuswheel_model::Millis;

use crate::InstanceName;

/// A maintenance wave: instances that the operators want to be maintained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// Its instances.
    pub instances: Vec<InstanceName>,
    /// Time within which the maintenance of all instances has to be done.
    pub within: Millis,
    /// Maximum number of instances that may be down for the wave at a time.
    pub cap: u32,
}
