//! Resources of workers and jobs.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

use crate::{Cores, Instance, Mebibytes};

/// Resources that a job needs or a worker has: cores, memory and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Room {
    /// Number of processor cores.
    pub cores: Cores,
    /// Memory, in MiB.
    pub memory: Mebibytes,
    /// Number of accelerators.
    #[serde(default)]
    pub accels: u32,
}

impl Room {
    /// All resources of an instance.
    pub fn of(instance: &Instance) -> Self {
        Self {
            cores: instance.cores,
            memory: instance.memory,
            accels: instance.accels,
        }
    }

    /// Whether `space` has enough of every kind of resource for this.
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

/// Subtracts each kind of resource, saturating at zero.
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
