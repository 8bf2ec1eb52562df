//! A service and its pool of instances.

use crate::ServiceName;

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name, which is also its pool's.
    pub name: ServiceName,
    /// Its workers refuse what does not fit. If not, they start whatever they are told to.
    pub guarded: bool,
    /// Its instances are off and cost nothing until they are moved to another pool.
    pub spare: bool,
}
