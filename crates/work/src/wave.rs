//! A wave of maintenance.

use cactuswheel_model::Millis;

use crate::InstanceName;

/// Instances that the operators want maintained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// Its instances.
    pub instances: Vec<InstanceName>,
    /// Time in which all have to be done.
    pub within: Millis,
    /// Most instances of the wave that may be down for it at once.
    pub cap: u32,
}
