//! Which faults a world draws by itself.

use std::time::Duration;

/// Faults for every step, each in percent, and their longest durations.
#[derive(Debug, Clone, Copy)]
pub struct Chaos {
    /// A node is paused.
    pub pause: u32,
    /// A node is replaced by an empty one.
    pub replace: u32,
    /// A data centre loses the platform.
    pub platform_cut: u32,
    /// Two data centres lose each other.
    pub cut: u32,
    /// A message is lost.
    pub loss: u32,
    /// A message arrives twice.
    pub duplicate: u32,
    /// Longest pause or cut.
    pub max_duration: Duration,
}

impl Chaos {
    /// No faults.
    pub const NONE: Self = Self {
        pause: 0,
        replace: 0,
        platform_cut: 0,
        cut: 0,
        loss: 0,
        duplicate: 0,
        max_duration: Duration::ZERO,
    };

    /// A bit of everything.
    pub const MIXED: Self = Self {
        pause: 2,
        replace: 1,
        platform_cut: 2,
        cut: 2,
        loss: 5,
        duplicate: 5,
        max_duration: Duration::from_secs(20),
    };
}
