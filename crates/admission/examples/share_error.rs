//! How closely each team gets its share over all entries, for three queueing policies.
//!
//! Nine entries share a pool of 400 slots. Twelve teams have shares from 1 to 4. Callers of each
//! team use a few entries more than the others. Each of five services in turn gets five times its
//! mean load for 8 s and a twentieth of it otherwise; all teams call all services. For each
//! policy, prints the largest and the mean relative error of the teams' slot time, over all
//! entries and the time in which the team had requests waiting, compared with their shares.
//!
//! cargo run --release -p cactuswheel-admission --example share_error

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use cactuswheel_admission::{Concurrency, Queue, QueueRequest, Shares};
use cactuswheel_model::{Map, Share, TeamId, Time};

const ENTRIES: usize = 9;
const TEAMS: usize = 12;
const SERVICES: usize = 5;
const SLOTS: u32 = 400;
/// Duration of a service's burst, in milliseconds.
const BURST: u64 = 8_000;
const END: u64 = 120_000;
/// Interval between digests, in milliseconds; peers apply them half an interval later.
const DELAY: u64 = 1_000;
const MEAN_RUN: u64 = 100;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    Fifo,
    Local,
    Fleet,
}

struct Rng(u64);

impl Rng {
    fn roll(&mut self, n: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 33) % n
    }
}

struct Entry {
    fair: Queue<u64>,
    fifo: VecDeque<(usize, u64)>,
    running: Vec<u32>,
    slots: u32,
    shares: Shares,
}

impl Entry {
    fn waits(&self, team: usize, id: &TeamId) -> bool {
        self.fair.waiting(id) > 0 || self.fifo.iter().any(|(t, _)| *t == team)
    }
}

fn share(team: usize) -> u32 {
    1 + team as u32 % 4
}

/// The entry that gets a request of a team: in half of the cases one of two entries that the team
/// prefers, otherwise any entry.
fn entry_of(team: usize, rng: &mut Rng) -> usize {
    match rng.roll(2) {
        0 => (team + rng.roll(2) as usize) % ENTRIES,
        _ => rng.roll(ENTRIES as u64) as usize,
    }
}

/// Number of requests that arrive in one millisecond; one service at a time is in its burst.
fn arrivals(now: u64, rng: &mut Rng) -> u64 {
    let bursting = (now / BURST) as usize % SERVICES;
    // On average each service needs half of the slots, so a burst exceeds the pool.
    let mean = u64::from(SLOTS) * 1_000 / MEAN_RUN / 2;
    let rate = |s: usize| if s == bursting { 5 * mean } else { mean / 20 };
    let millionths: u64 = (0..SERVICES).map(|s| rate(s) * 1_000).sum();
    millionths / 1_000_000 + u64::from(rng.roll(1_000_000) < millionths % 1_000_000)
}

/// The end of a running request: end time, entry, team, run time and the time charged to the team.
type End = Reverse<(u64, usize, usize, u64, u64)>;

struct Fleet {
    policy: Policy,
    rng: Rng,
    ids: Vec<TeamId>,
    index: Map<TeamId, usize>,
    entries: Vec<Entry>,
    ends: BinaryHeap<End>,
}

impl Fleet {
    fn new(policy: Policy) -> Self {
        let name = |t: usize| format!("team{t}").parse().unwrap();
        let ids: Vec<TeamId> = (0..TEAMS).map(name).collect();
        let entry = |n: usize| Entry {
            fair: Queue::default(),
            fifo: VecDeque::new(),
            running: vec![0; TEAMS],
            slots: SLOTS / ENTRIES as u32 + u32::from((n as u32) < SLOTS % ENTRIES as u32),
            shares: Shares::default(),
        };
        Self {
            policy,
            rng: Rng(9),
            index: ids.iter().cloned().zip(0..).collect(),
            ids,
            entries: (0..ENTRIES).map(entry).collect(),
            ends: BinaryHeap::new(),
        }
    }

    fn arrive(&mut self, now: u64) {
        for _ in 0..arrivals(now, &mut self.rng) {
            let team = self.rng.roll(TEAMS as u64) as usize;
            let n = entry_of(team, &mut self.rng);
            // The mean run time differs between teams.
            let took = MEAN_RUN / 2 + self.rng.roll(MEAN_RUN) * (1 + team as u64 % 3) / 2;
            push(
                &mut self.entries[n],
                self.policy,
                now,
                team,
                &self.ids,
                took,
            );
        }
    }

    fn end(&mut self, now: u64) {
        while let Some(Reverse((at, ..))) = self.ends.peek()
            && *at <= now
            && let Some(Reverse((_, n, team, took, paid))) = self.ends.pop()
        {
            let entry = &mut self.entries[n];
            entry.running[team] -= 1;
            let millis = Duration::from_millis;
            entry
                .fair
                .settle_charge(&self.ids[team], millis(paid), millis(took));
        }
    }

    fn start(&mut self, now: u64) {
        for (n, entry) in self.entries.iter_mut().enumerate() {
            entry.fair.begin_round(Time::new(now));
            while entry.running.iter().sum::<u32>() < entry.slots {
                let fair = |(t, took): (TeamId, u64)| (self.index[&t], took);
                let next = match self.policy {
                    Policy::Fifo => entry.fifo.pop_front(),
                    _ => entry.fair.pop(|_| true).map(fair),
                };
                let Some((team, took)) = next else { break };
                let share = Share::new(share(team));
                let paid = entry.fair.charge_start(&self.ids[team], share).as_millis() as u64;
                entry.running[team] += 1;
                self.ends.push(Reverse((now + took, n, team, took, paid)));
            }
        }
    }
}

fn run(policy: Policy) -> (f64, f64, u64) {
    let mut fleet = Fleet::new(policy);
    let mut given = vec![0u64; TEAMS];
    let mut due = vec![0f64; TEAMS];
    for now in 0..END {
        fleet.arrive(now);
        fleet.end(now);
        fleet.start(now);
        if policy == Policy::Fleet && now.is_multiple_of(250) {
            exchange(&mut fleet.entries, now, &fleet.ids, &fleet.index);
        }
        account(&fleet.entries, &fleet.ids, &mut given, &mut due);
    }
    let errors = (0..TEAMS).map(|t| (given[t] as f64 - due[t]).abs() / due[t]);
    let worst = errors.clone().fold(0.0, f64::max);
    let mean = errors.sum::<f64>() / TEAMS as f64;
    (worst, mean, given.iter().sum::<u64>() / END)
}

fn push(entry: &mut Entry, policy: Policy, now: u64, team: usize, ids: &[TeamId], took: u64) {
    if policy == Policy::Fifo {
        // The fair queue has the same bound.
        if entry.fifo.len() < 4_096 {
            entry.fifo.push_back((team, took));
        }
        return;
    }
    let request = QueueRequest {
        team: ids[team].clone(),
        share: Share::new(share(team)),
        urgent: false,
        deadline: Time::new(now + 60_000),
    };
    let concurrency = Concurrency {
        slots: entry.slots,
        units: SLOTS,
    };
    // A full queue refuses the request; this is part of the policy.
    let _ = entry.fair.push(Time::new(now), request, concurrency, took);
}

/// Samples usage, sends digests to all other entries once a second, and updates the correction
/// factors half a second later.
fn exchange(entries: &mut [Entry], now: u64, ids: &[TeamId], index: &Map<TeamId, usize>) {
    for entry in entries.iter_mut() {
        for (team, id) in ids.iter().enumerate() {
            let waits = entry.waits(team, id);
            entry.shares.sample(id, entry.running[team], waits);
        }
    }
    if now.is_multiple_of(DELAY) {
        let digests: Vec<Vec<_>> = entries
            .iter()
            .map(|e| e.shares.digest().map(|(t, g)| (t.clone(), g)).collect())
            .collect();
        for (n, entry) in entries.iter_mut().enumerate() {
            for (m, digest) in digests.iter().enumerate().filter(|(m, _)| *m != n) {
                let name = format!("e{m}").parse().unwrap();
                entry
                    .shares
                    .record_digest(Time::new(now), name, digest.clone());
            }
        }
    }
    if now % DELAY == DELAY / 2 {
        for entry in entries.iter_mut() {
            let of = |t: &TeamId| Share::new(share(index[t]));
            let factors = entry.shares.update_factors(Time::new(now), of);
            let factor = |t: &TeamId| factors.get(t).copied().unwrap_or(1_024);
            entry.fair.set_factors(factor);
        }
    }
}

/// Adds up the slot time of teams with waiting requests, and the part of it that is due to each.
fn account(entries: &[Entry], ids: &[TeamId], given: &mut [u64], due: &mut [f64]) {
    let waits: Vec<bool> = (0..TEAMS)
        .map(|t| entries.iter().any(|e| e.waits(t, &ids[t])))
        .collect();
    // Shares apply only while all slots are in use.
    if entries
        .iter()
        .any(|e| e.running.iter().sum::<u32>() < e.slots)
    {
        return;
    }
    let used = |t: usize| -> u64 { entries.iter().map(|e| u64::from(e.running[t])).sum() };
    let waiting: Vec<usize> = (0..TEAMS).filter(|t| waits[*t]).collect();
    let slots: u64 = waiting.iter().map(|t| used(*t)).sum();
    let shares: u32 = waiting.iter().map(|t| share(*t)).sum();
    for &t in &waiting {
        given[t] += used(t);
        due[t] += slots as f64 * f64::from(share(t)) / f64::from(shares);
    }
}

fn main() {
    for policy in [Policy::Fifo, Policy::Local, Policy::Fleet] {
        let (worst, mean, slots) = run(policy);
        println!(
            "{policy:?}: largest error {:.1}%, mean {:.1}%, {slots} slots in use on average",
            100.0 * worst,
            100.0 * mean
        );
    }
}
