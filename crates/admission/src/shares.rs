//! How near each team is to its share over all entries.

use cactuswheel_model::{EntryId, Map, Share, TeamId, Time};

/// Fraction bits of a count of slots.
const FRACTION_BITS: u32 = 8;

/// Weight of a new sample, as a shift.
const WEIGHT_SHIFT: u32 = 3;

/// Age from which a peer's digest counts no more, in milliseconds.
const STALE_AFTER_MS: u128 = 10_000;

/// No correction.
const UNIT_FACTOR: u64 = 1024;

/// Bounds of a correction: a team's local weight moves by at most this.
const FACTOR_RANGE: (u64, u64) = (64, 16_384);

/// What one entry gives a team.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TeamUsage {
    /// Slots in use, a moving mean in 1/256.
    pub slots: u32,
    /// Whether requests of the team wait there.
    pub waits: bool,
}

/// Slots that teams use here and elsewhere.
///
/// Failure: each entry gives a team its share of that entry's slots. A team whose callers come
/// to few entries then stays far below its share of the fleet while it waits. So each entry
/// weighs a team by what it lacks over all entries.
#[derive(Debug, Default)]
pub struct Shares {
    own: Map<TeamId, TeamUsage>,
    peers: Map<EntryId, (Time, Vec<(TeamId, TeamUsage)>)>,
    /// Corrections in force, in 1/1024.
    ///
    /// Invariant: only of teams that wait somewhere.
    factors: Map<TeamId, u64>,
}

impl Shares {
    /// Takes a sample of what a team uses here.
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

    /// What this entry tells its peers.
    pub fn digest(&self) -> impl Iterator<Item = (&TeamId, TeamUsage)> {
        let used = self.own.iter().map(|(team, usage)| (team, *usage));
        used.filter(|(_, g)| g.slots > 0 || g.waits)
    }

    /// Takes a peer's digest.
    pub fn record_digest(&mut self, now: Time, entry: EntryId, digest: Vec<(TeamId, TeamUsage)>) {
        self.peers.insert(entry, (now, digest));
    }

    /// Corrections of teams' weights here, in 1/1024, for teams that wait anywhere.
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
        // A little of the whole on both sides: a team that has nothing yet gets no more than
        // the bound, and noise of a few slots moves nothing.
        let smoothing = slots / (16 * all.len().max(1) as u64) + 1;
        let next = |(team, usage): (&TeamId, &TeamUsage)| {
            let due = slots * weight(share(team)) / shares.max(1);
            let ratio = UNIT_FACTOR * (due + smoothing) / (u64::from(usage.slots) + smoothing);
            // What is still missing moves the last correction on, by half: a step that leaves
            // an error is followed by another one, and digests that are late do not swing it.
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
