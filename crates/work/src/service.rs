//! Services and their pools of instances.

use crate::ServiceName;

/// A service: a pool of instances and the queues whose tasks run there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name, which is also the name of its pool.
    pub name: ServiceName,
    /// Its workers refuse tasks that do not fit (admission control). Otherwise they carry out every
    /// start order.
    pub guarded: bool,
    /// Its pool is the spare pool: its instances are off, and cost nothing until they are moved to
    /// another pool.
    pub spare: bool,
}
