//! Amounts of resources.

use std::ops::{Add, AddAssign, Mul, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// Amounts of resources, such as the request of a task or the capacity of a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Room {
    /// Processor, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in MiB.
    pub memory: u64,
    /// Number of accelerators.
    pub gpu: u64,
}

impl Room {
    /// Whether every amount fits into that of `space`.
    pub const fn fits(self, space: Self) -> bool {
        self.cpu <= space.cpu && self.memory <= space.memory && self.gpu <= space.gpu
    }

    /// How many times this amount fits into `space`; `u64::MAX` if it is empty.
    pub fn times_in(self, space: Self) -> u64 {
        let times = |need: u64, have: u64| have.checked_div(need).unwrap_or(u64::MAX);
        times(self.cpu, space.cpu)
            .min(times(self.memory, space.memory))
            .min(times(self.gpu, space.gpu))
    }

    /// The larger amount of each resource.
    pub fn max(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            gpu: self.gpu.max(other.gpu),
        }
    }

    /// Whether every amount is zero.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }
}

impl Add for Room {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }
}

impl AddAssign for Room {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

/// Saturates at zero for each resource.
impl Sub for Room {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}

impl SubAssign for Room {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

impl Mul<u64> for Room {
    type Output = Self;

    fn mul(self, times: u64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(times),
            memory: self.memory.saturating_mul(times),
            gpu: self.gpu.saturating_mul(times),
        }
    }
}
