//! Estimates of the resources that jobs actually use.

use cactuswheel_model::{Cores, JobSpec, Map, Mebibytes, Room, TeamId};

/// Weight of the newest usage report in the moving average, in percent.
const NEWEST_WEIGHT: u64 = 20;

/// Lower and upper bound of the ratio of used to declared resources, in percent.
const RATIO_BOUNDS: (u64, u64) = (25, 400);

/// Corrects declared job sizes by the usage that was observed for each team.
///
/// The estimates are kept in memory only and are learned again after the entry is replaced. A
/// wrong estimate wastes resources or slows jobs down, but does not affect correctness.
#[derive(Debug, Default)]
pub struct SizeEstimates {
    teams: Map<TeamId, Ratios>,
}

/// Moving averages of a team's used resources relative to the declared ones, in percent.
#[derive(Debug, Clone, Copy)]
struct Ratios {
    cores: u64,
    memory: u64,
}

impl SizeEstimates {
    /// Updates the team's estimate with the peak usage of an attempt.
    pub fn record_usage(&mut self, team: &TeamId, declared: Room, used: Room) {
        let ratios = self.teams.entry(team.clone()).or_insert(Ratios {
            cores: 100,
            memory: 100,
        });
        let cores = (declared.cores.get().into(), used.cores.get().into());
        ratios.cores = blend(ratios.cores, cores.0, cores.1);
        ratios.memory = blend(ratios.memory, declared.memory.get(), used.memory.get());
    }

    /// The resources to reserve for a job.
    ///
    /// A correction raises the reservation to at most the size of the `largest` worker, so that
    /// a job whose declared size fits a worker still fits after the correction.
    pub fn estimate(&self, team: &TeamId, spec: &JobSpec, largest: Room) -> Room {
        let declared = spec.room;
        let Some(ratios) = self.teams.get(team) else {
            return declared;
        };
        let cores = scale(declared.cores.get().into(), ratios.cores).max(1);
        let cores = (cores as u32).min(largest.cores.get().max(declared.cores.get()));
        let memory = scale(declared.memory.get(), ratios.memory);
        let memory = memory.min(largest.memory.get().max(declared.memory.get()));
        Room {
            cores: Cores::new(cores),
            memory: Mebibytes::new(memory),
            ..declared
        }
    }
}

fn blend(old: u64, declared: u64, used: u64) -> u64 {
    let measured = (used * 100).checked_div(declared).unwrap_or(100);
    let new = (old * (100 - NEWEST_WEIGHT) + measured * NEWEST_WEIGHT) / 100;
    new.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1)
}

fn scale(n: u64, percent: u64) -> u64 {
    (n * percent).div_ceil(100)
}
