//! Free resources of one pool, indexed for best-fit placement.

use std::collections::BTreeSet;

use cactuswheel_model::{Cores, InstanceId, Room};

use crate::Candidate;

/// Maximum number of workers with enough free cores that a search examines in each direction.
const MAX_CANDIDATES: usize = 64;

/// The workers of a pool, ordered by free cores.
#[derive(Debug, Default)]
pub(crate) struct PoolCapacity {
    candidates: Vec<Candidate>,
    /// Free cores and index into `candidates`.
    ///
    /// Invariant: contains exactly the candidates that still accept jobs.
    order: BTreeSet<(Cores, usize)>,
    /// The maximum cores and the maximum memory of any worker, not necessarily of the same one.
    largest: Room,
    /// Requests for which no worker was found, except those that excluded workers. Free resources
    /// only shrink during a round, so a request that is at least as large fails too.
    ///
    /// Without this list, every job in a long queue of large jobs would be searched for in each
    /// round. Limiting the number of searches instead would let large jobs block the small jobs
    /// behind them permanently.
    unavailable: Vec<Room>,
}

impl PoolCapacity {
    /// Adds a worker to the pool.
    pub(crate) fn push(&mut self, candidate: Candidate) {
        self.order
            .insert((candidate.free.cores, self.candidates.len()));
        self.largest.cores = self.largest.cores.max(candidate.total.cores);
        self.largest.memory = self.largest.memory.max(candidate.total.memory);
        self.candidates.push(candidate);
    }

    /// The maximum cores and the maximum memory of any worker in the pool.
    pub(crate) fn largest(&self) -> Room {
        self.largest
    }

    /// Whether any worker could run a job of this size if no other job were placed on it.
    pub(crate) fn fits_empty(&self, room: Room) -> bool {
        self.candidates.iter().any(|s| room.fits(s.total))
    }

    /// Reserves resources on the worker with the fewest free cores that fits the job and is not
    /// in `avoid`.
    ///
    /// Workers with enough cores may lack the memory or accelerators. The search therefore
    /// continues past them: first from the fewest free cores upwards, then from the most free
    /// cores downwards, each for at most [`MAX_CANDIDATES`] workers. A job for which neither
    /// direction finds a worker is tried again in the next round.
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
