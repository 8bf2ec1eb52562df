//! Room on a worker.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

use crate::{Cores, Instance, Mebibytes};

/// What a job takes up or a worker has: cores, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Room {
    /// Processor cores.
    pub cores: Cores,
    /// Memory.
    pub memory: Mebibytes,
    /// Accelerators.
    #[serde(default)]
    pub accels: u32,
}

impl Room {
    /// All that an instance has.
    pub fn of(instance: &Instance) -> Self {
        Self {
            cores: instance.cores,
            memory: instance.memory,
            accels: instance.accels,
        }
    }

    /// Whether this fits into `space`, in every kind of resource.
    pub fn fits(self, space: Self) -> bool {
        self.cores <= space.cores && self.memory <= space.memory && self.accels <= space.accels
    }
}

impl Add for Room {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cores: Cores::new(self.cores.get() + other.cores.get()),
            memory: Mebibytes::new(self.memory.get() + other.memory.get()),
            accels: self.accels + other.accels,
        }
    }
}

/// Never below nothing in any kind of resource.
impl Sub for Room {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self {
            cores: Cores::new(self.cores.get().saturating_sub(other.cores.get())),
            memory: Mebibytes::new(self.memory.get().saturating_sub(other.memory.get())),
            accels: self.accels.saturating_sub(other.accels),
        }
    }
}
