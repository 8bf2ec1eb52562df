//! Rates of the random faults in a simulated world.

use std::time::Duration;

/// Probabilities of random faults, in percent, and the maximum duration of the faults that last.
/// Message faults are drawn for each message, all others once for each step of the world.
#[derive(Debug, Clone, Copy)]
pub struct Chaos {
    /// A node is paused, like a frozen process.
    pub pause: u32,
    /// A node is replaced by a new one without state.
    pub replace: u32,
    /// A data centre is cut off from the platform.
    pub platform_cut: u32,
    /// Two data centres are cut off from each other (a network partition).
    pub cut: u32,
    /// A message is lost.
    pub loss: u32,
    /// A message is delivered twice.
    pub duplicate: u32,
    /// Maximum duration of a pause or cut.
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

    /// All kinds of faults at moderate rates.
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
