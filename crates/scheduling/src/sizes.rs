//! What jobs really take up.

use cactuswheel_model::{Cores, JobSpec, Map, Mebibytes, Room, TeamId};

/// Weight of the newest report, in percent.
const NEWEST: u64 = 20;

/// Smallest and largest correction of a declared size, in percent.
const BOUNDS: (u64, u64) = (25, 400);

/// Corrects declared sizes by each team's experience.
///
/// Lost when the entry is replaced, and learnt again: a wrong size costs room or speed, not
/// correctness.
#[derive(Debug, Default)]
pub struct Sizes {
    teams: Map<TeamId, Factor>,
}

/// Used per declared, in percent.
#[derive(Debug, Clone, Copy)]
struct Factor {
    cores: u64,
    memory: u64,
}

impl Sizes {
    /// Learns from the most that an attempt took up.
    pub fn learn(&mut self, team: &TeamId, declared: Room, used: Room) {
        let factor = self.teams.entry(team.clone()).or_insert(Factor {
            cores: 100,
            memory: 100,
        });
        let cores = (declared.cores.get().into(), used.cores.get().into());
        factor.cores = blend(factor.cores, cores.0, cores.1);
        factor.memory = blend(factor.memory, declared.memory.get(), used.memory.get());
    }

    /// The room to set aside for a job: at most `whole`, so that a correction never makes a
    /// job that fits look as if it did not.
    pub fn room(&self, team: &TeamId, spec: &JobSpec, whole: Room) -> Room {
        let declared = spec.room;
        let Some(factor) = self.teams.get(team) else {
            return declared;
        };
        let cores = scale(declared.cores.get().into(), factor.cores).max(1);
        let cores = (cores as u32).min(whole.cores.get().max(declared.cores.get()));
        let memory = scale(declared.memory.get(), factor.memory);
        let memory = memory.min(whole.memory.get().max(declared.memory.get()));
        Room {
            cores: Cores::new(cores),
            memory: Mebibytes::new(memory),
            ..declared
        }
    }
}

fn blend(old: u64, declared: u64, used: u64) -> u64 {
    let seen = (used * 100).checked_div(declared).unwrap_or(100);
    let new = (old * (100 - NEWEST) + seen * NEWEST) / 100;
    new.clamp(BOUNDS.0, BOUNDS.1)
}

fn scale(n: u64, percent: u64) -> u64 {
    (n * percent).div_ceil(100)
}
