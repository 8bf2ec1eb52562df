//! How much a pool is asked for.

use std::collections::VecDeque;
use std::time::Duration;

use cactuswheel_cell::{Load, SLOT_MS, SLOTS};
use cactuswheel_model::{Map, Millis, Time};
use cactuswheel_work::{QueueName, Room};

use crate::policy::PoolPolicy;
use crate::rate::RateEstimator;

/// Thousandths of a core.
const MILLICORES: u64 = 1_000;

/// Run time of a task, in milliseconds, where none waits to tell it.
const DEFAULT_RUN_MS: u64 = 1_000;

/// Times as long as others that instances are kept which chance may ask for again.
const NOISE_HOLD_FACTOR: u32 = 2;

/// How much one pool is asked for, now and lately.
#[derive(Debug, Default)]
pub(crate) struct Trend {
    rates: Map<QueueName, RateEstimator>,
    /// Targets of late.
    targets: VecDeque<(Time, usize)>,
}

/// Instances that a pool needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Need {
    /// When those that are ordered now arrive.
    pub(crate) target: usize,
    /// Before it pays to send one away: the highest target of late.
    pub(crate) keep: usize,
}

impl Trend {
    /// Takes in a load; says how many instances of size `unit` answer it. The pool has `serving`.
    ///
    /// Answers a queue that asks for several times its mean for some seconds: what it will ask
    /// for when an instance can be there is the runs that go on until then, the later steps of
    /// jobs that have begun, what waits by then for want of room, and what comes in meanwhile. What is
    /// over by then needs no instance now, and what is asked for later can be ordered later.
    pub(crate) fn update(
        &mut self,
        now: Time,
        load: &Load,
        unit: Room,
        serving: usize,
        policy: &PoolPolicy,
    ) -> Need {
        let (demand, declining) = self.demand(now, load, unit, serving, policy);
        let busy =
            !load.waiting.is_empty() || demand[SLOTS - 1] > instances_for(load.lasting, unit);
        let reserve = if busy { policy.reserve } else { 0.0 };
        let instances = |demand: f64| (demand * policy.headroom + reserve).ceil() as usize;
        let lead = slot_of(policy.lead_time);
        let target = instances(demand[lead]);
        self.targets.push_back((now, target));
        let window = policy.hold_time.duration() * NOISE_HOLD_FACTOR;
        while self.targets.len() > 1 && now.since(self.targets[0].0) > window {
            self.targets.pop_front();
        }
        Need {
            target,
            keep: self.keep(now, policy, declining),
        }
    }

    /// Instances that it does not pay to send away: the highest target of late. A few more than
    /// that, as many as chance explains, are kept for longer.
    ///
    /// Failure: under a steady load the number of jobs at hand rises and falls by chance within
    /// seconds, and one instance or two go to and fro with it; nobody's work is faster for it.
    ///
    /// Where `fell`, fewer jobs come than before, so the highest target of late says nothing.
    fn keep(&self, now: Time, policy: &PoolPolicy, declining: bool) -> usize {
        let peak = |time: Duration| {
            let recent = self
                .targets
                .iter()
                .filter(move |(at, _)| now.since(*at) <= time);
            recent.map(|(_, t)| *t).max().unwrap_or_default()
        };
        let hold = policy.hold_time.duration();
        let short = match declining {
            true => peak(Duration::ZERO),
            false => peak(hold),
        };
        let noise = (short as f64).sqrt() as usize;
        peak(hold * NOISE_HOLD_FACTOR).min(short + noise).max(short)
    }

    /// Instances, in fractions, that are asked for in each slot from now on, and whether fewer
    /// jobs come than before.
    fn demand(
        &mut self,
        now: Time,
        load: &Load,
        unit: Room,
        serving: usize,
        policy: &PoolPolicy,
    ) -> ([f64; SLOTS], bool) {
        let mut declining = false;
        let rates = load.arrivals.iter().map(|(queue, arrivals)| {
            let rate = self.rates.entry(queue.clone()).or_default();
            let estimate = rate.update(now, arrivals, policy.sigmas);
            declining |= estimate.declining;
            (estimate.rate, &arrivals.course)
        });
        let rates: Vec<_> = rates.collect();
        // Lasting work keeps its places, and what of it waits asks for its own room only once.
        let lasting = instances_for(load.lasting, unit);
        let room = (serving as f64 / policy.headroom - lasting).max(0.0);
        let lead = slot_of(policy.lead_time);
        let mut demand = [0.0; SLOTS];
        let mut incoming = Room::default();
        let run_time = run_slots(load);
        let mut backlog = 0.0;
        for (slot, demand) in demand.iter_mut().enumerate() {
            for (rate, course) in &rates {
                incoming += scale(course.at(slot), rate * SLOT_MS as f64 / 1_000.0);
            }
            let transient = load.forecast.at(slot) + incoming;
            // What could not start asks for its room all at once, for as long as its tasks run;
            // those that would be running still are in what is known already.
            let finished = (slot as f64 - run_time).max(0.0) / slot.max(1) as f64;
            *demand = instances_for(load.lasting + transient, unit) + finished * backlog / run_time;
            backlog = match slot < lead {
                true => (backlog + instances_for(transient, unit) - room).max(0.0),
                false => 0.0,
            };
        }
        (demand, declining)
    }

    /// Instances that hold the lasting work.
    pub(crate) fn lasting_instances(&self, load: &Load, unit: Room) -> usize {
        instances_for(load.lasting, unit).ceil() as usize
    }

    /// Instances that work takes which is of no use any more.
    pub(crate) fn overdue_instances(&self, load: &Load, unit: Room) -> usize {
        instances_for(load.overdue, unit).ceil() as usize
    }
}

/// Slots that a waiting task runs for.
fn run_slots(load: &Load) -> f64 {
    let cores = load.waiting.cpu / MILLICORES;
    let time = match cores {
        0 => DEFAULT_RUN_MS,
        _ => load.work / cores,
    };
    (time as f64 / SLOT_MS as f64).max(1.0)
}

fn slot_of(time: Millis) -> usize {
    let slot = time.get() / SLOT_MS;
    (slot as usize).min(SLOTS - 1)
}

fn scale(room: Room, times: f64) -> Room {
    let scaled = |amount: u64| (amount as f64 * times) as u64;
    Room {
        cpu: scaled(room.cpu),
        memory: scaled(room.memory),
        gpu: scaled(room.gpu),
    }
}

/// Instances of size `unit` that hold `room`, in fractions.
fn instances_for(room: Room, unit: Room) -> f64 {
    let ratio = |a: u64, b: u64| match b {
        0 => 0.0,
        _ => a as f64 / b as f64,
    };
    let cpu = ratio(room.cpu, unit.cpu);
    let memory = ratio(room.memory, unit.memory);
    cpu.max(memory).max(ratio(room.gpu, unit.gpu))
}
