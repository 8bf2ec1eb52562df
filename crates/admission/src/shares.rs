//! Correction of the teams' local weights towards their shares of the whole fleet.

use cactuswheel_model::{EntryId, Map, Share, TeamId, Time};

/// Number of fraction bits of a slot count.
const FRACTION_BITS: u32 = 8;

/// A new sample has a weight of 1/2^`WEIGHT_SHIFT`.
const WEIGHT_SHIFT: u32 = 3;

/// Age at which a peer's digest is discarded, in milliseconds.
const STALE_AFTER_MS: u128 = 10_000;

/// The factor that leaves a weight unchanged.
const UNIT_FACTOR: u64 = 1024;

/// Lowest and highest correction factor of a team's local weight.
const FACTOR_RANGE: (u64, u64) = (64, 16_384);

/// The slots of one entry that a team uses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TeamUsage {
    /// Slots in use, a moving average in 1/256 of a slot.
    pub slots: u32,
    /// Whether requests of the team are waiting at that entry.
    pub waits: bool,
}

/// Slots that teams use at this entry and at its peers.
///
/// If each entry only gave a team its share of that entry's own slots, a team whose callers use
/// few entries would stay far below its share of the fleet while its requests wait. So each entry
/// corrects a team's weight by what the team lacks over all entries.
#[derive(Debug, Default)]
pub struct Shares {
    own: Map<TeamId, TeamUsage>,
    peers: Map<EntryId, (Time, Vec<(TeamId, TeamUsage)>)>,
    /// Current correction factors, in 1/1024.
    ///
    /// Invariant: only teams with requests waiting at some entry have one.
    factors: Map<TeamId, u64>,
}

impl Shares {
    /// Adds a sample of the slots that a team uses at this entry.
    pub fn sample(&mut self, team: &TeamId, used: u32, waits: bool) {
        if used == 0 && !waits && !self.own.contains_key(team) {
            return;
        }
        let usage = self.own.entry(team.clone()).or_default();
        let slots = i64::from(usage.slots);
        let step = ((i64::from(used) << FRACTION_BITS) - slots) / (1 << WEIGHT_SHIFT);
        usage.slots = (slots + step).max(0) as u32;
        usage.waits = waits;
    }

    /// The usage at this entry, to be sent to its peers.
    pub fn digest(&self) -> impl Iterator<Item = (&TeamId, TeamUsage)> {
        let used = self.own.iter().map(|(team, usage)| (team, *usage));
        used.filter(|(_, g)| g.slots > 0 || g.waits)
    }

    /// Stores the digest received from a peer, replacing its previous one.
    pub fn record_digest(&mut self, now: Time, entry: EntryId, digest: Vec<(TeamId, TeamUsage)>) {
        self.peers.insert(entry, (now, digest));
    }

    /// Recomputes the correction factors of the teams' local weights, in 1/1024.
    ///
    /// Only teams with requests waiting at some entry get one.
    pub fn update_factors(
        &mut self,
        now: Time,
        share: impl Fn(&TeamId) -> Share,
    ) -> Map<TeamId, u32> {
        self.peers
            .retain(|_, (at, _)| now.since(*at).as_millis() < STALE_AFTER_MS);
        let all = self.fleet_usage();
        let waiting = || all.iter().filter(|(_, g)| g.waits);
        let slots: u64 = waiting().map(|(_, g)| u64::from(g.slots)).sum();
        let shares: u64 = waiting().map(|(t, _)| weight(share(t))).sum();
        // Added to both sides of the ratio: it bounds the ratio of a team that has no slots yet,
        // and noise of a few slots has no effect.
        let smoothing = slots / (16 * all.len().max(1) as u64) + 1;
        let next = |(team, usage): (&TeamId, &TeamUsage)| {
            let due = slots * weight(share(team)) / shares.max(1);
            let ratio = UNIT_FACTOR * (due + smoothing) / (u64::from(usage.slots) + smoothing);
            // Each update applies half of the remaining error to the previous factor: an error
            // that is left is corrected by the next updates, and late digests cause no
            // oscillation.
            let last = self.factors.get(team).copied().unwrap_or(UNIT_FACTOR);
            let factor = last * (UNIT_FACTOR + ratio.min(4 * UNIT_FACTOR)) / (2 * UNIT_FACTOR);
            (team.clone(), factor.clamp(FACTOR_RANGE.0, FACTOR_RANGE.1))
        };
        self.factors = waiting().map(next).collect();
        let factors = self.factors.iter();
        factors.map(|(t, f)| (t.clone(), *f as u32)).collect()
    }

    fn fleet_usage(&self) -> Map<TeamId, TeamUsage> {
        let mut all = self.own.clone();
        for (team, usage) in self.peers.values().flat_map(|(_, digest)| digest) {
            let total = all.entry(team.clone()).or_default();
            total.slots = total.slots.saturating_add(usage.slots);
            total.waits |= usage.waits;
        }
        all
    }
}

fn weight(share: Share) -> u64 {
    u64::from(share.get().max(1))
}
