//! What a stage consists of.

/// Numbers of instances.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shape {
    /// Entries.
    pub(crate) entries: usize,
    /// Services, each with a pool of its own.
    pub(crate) services: usize,
    /// Upstreams of each pool.
    pub(crate) upstreams: usize,
    /// Data centres over which entries and upstreams are spread in turn.
    pub(crate) dcs: usize,
}

impl Shape {
    /// One entry and one pool.
    pub(crate) const SMALL: Self = Self {
        entries: 1,
        services: 1,
        upstreams: 8,
        dcs: 1,
    };

    /// What each customer runs today.
    pub(crate) const TODAY: Self = Self {
        entries: 6,
        services: 5,
        upstreams: 10,
        dcs: 3,
    };

    /// Upstreams of all pools.
    pub(crate) fn all(self) -> usize {
        self.services * self.upstreams
    }
}
