//! Free room of one pool, ordered for best fit.

use std::collections::BTreeSet;

use cactuswheel_model::{Cores, InstanceId, Room};

use crate::Candidate;

/// Workers looked at for one job beyond the first that has the cores.
const MAX_CANDIDATES: usize = 64;

/// Workers by free cores.
#[derive(Debug, Default)]
pub(crate) struct PoolCapacity {
    candidates: Vec<Candidate>,
    /// Free cores and index into `candidates`.
    ///
    /// Invariant: holds exactly the candidates that still take work.
    order: BTreeSet<(Cores, usize)>,
    /// The largest worker's size in each kind of resource.
    largest: Room,
    /// Rooms that were not found; free room only shrinks, so nothing as large is either.
    ///
    /// Failure: without it a long queue of large jobs is looked up one by one each round, and
    /// a bound on those looks lets them hide the small jobs behind them for good.
    unavailable: Vec<Room>,
}

impl PoolCapacity {
    /// Adds a worker.
    pub(crate) fn push(&mut self, candidate: Candidate) {
        self.order
            .insert((candidate.free.cores, self.candidates.len()));
        self.largest.cores = self.largest.cores.max(candidate.total.cores);
        self.largest.memory = self.largest.memory.max(candidate.total.memory);
        self.candidates.push(candidate);
    }

    /// The largest worker's cores and memory.
    pub(crate) fn largest(&self) -> Room {
        self.largest
    }

    /// Whether any worker is large enough when empty.
    pub(crate) fn fits_empty(&self, room: Room) -> bool {
        self.candidates.iter().any(|s| room.fits(s.total))
    }

    /// Takes room on the worker with the fewest cores to spare, none of `avoid`.
    ///
    /// A job with accelerators and a job with much memory may have to look further than the
    /// workers that fit by cores; the look is bounded, the rest is looked at next round.
    pub(crate) fn reserve(&mut self, room: Room, avoid: &[InstanceId]) -> Option<&Candidate> {
        if self.unavailable.iter().any(|u| u.fits(room)) {
            return None;
        }
        let from = (room.cores, 0);
        let fits = |i: usize| {
            let candidate = &self.candidates[i];
            room.fits(candidate.free) && !avoid.contains(&candidate.live_worker.id)
        };
        let best_fit = self
            .order
            .range(from..)
            .take(MAX_CANDIDATES)
            .find(|(_, i)| fits(*i));
        let worst_fit = || {
            self.order
                .range(from..)
                .rev()
                .take(MAX_CANDIDATES)
                .find(|(_, i)| fits(*i))
        };
        let Some(&(cores, i)) = best_fit.or_else(worst_fit) else {
            if avoid.is_empty() {
                self.unavailable.push(room);
            }
            return None;
        };
        self.order.remove(&(cores, i));
        let candidate = &mut self.candidates[i];
        candidate.free = candidate.free - room;
        if !candidate.probe {
            self.order.insert((candidate.free.cores, i));
        }
        Some(&self.candidates[i])
    }
}
