//! Demand of a pool, in instances.

use std::collections::VecDeque;
use std::time::Duration;

use cactuswheel_cell::{Load, SLOT_MS, SLOTS};
use cactuswheel_demand::HoldTarget;
use cactuswheel_model::{Map, Millis, Time};
use cactuswheel_work::{QueueName, Room};

use crate::policy::PoolPolicy;
use crate::rate::RateEstimator;

/// Millicores per core.
const MILLICORES: u64 = 1_000;

/// Run time assumed for a task, in milliseconds, if no task is waiting to derive it from.
const DEFAULT_RUN_MS: u64 = 1_000;

/// Factor by which instances that random variation may require again are kept longer than others.
const NOISE_HOLD_FACTOR: u32 = 2;

/// Current and recent demand of one pool.
#[derive(Debug, Default)]
pub(crate) struct Trend {
    rates: Map<QueueName, RateEstimator>,
    /// Recent targets.
    targets: VecDeque<(Time, usize)>,
    /// Lower limit of the target while pools are held and their targets are frozen.
    frozen: Option<usize>,
}

/// Number of instances that a pool needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Need {
    /// Instances needed at the time when those ordered now arrive.
    pub(crate) target: usize,
    /// Instances to retain, as releasing them does not pay: the highest recent target.
    pub(crate) keep: usize,
}

/// How a pool's need is derived from its load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rules<'a> {
    pub(crate) policy: &'a PoolPolicy,
    /// Begin of the outage for which pools are held; `None` if they are not held.
    pub(crate) outage: Option<Time>,
    /// What the target is at least during a hold.
    pub(crate) target: HoldTarget,
}

impl Trend {
    /// Adds a load, and returns how many instances of size `unit` it needs. The pool has `serving`
    /// instances.
    ///
    /// The demand at the time when an instance ordered now can serve consists of the runs that last
    /// until then, the later steps of jobs that have started, the tasks that wait for capacity by
    /// then, and the jobs that arrive in the meantime. This follows a queue that asks for several
    /// times its mean for some seconds. Work that is over by then needs no instance now, and
    /// instances for later demand can be ordered later.
    pub(crate) fn update(
        &mut self,
        now: Time,
        load: &Load,
        unit: Room,
        serving: usize,
        rules: Rules<'_>,
    ) -> Need {
        let policy = rules.policy;
        let (demand, declining) = self.demand(now, load, unit, serving, rules);
        let busy =
            !load.waiting.is_empty() || demand[SLOTS - 1] > instances_for(load.lasting, unit);
        let reserve = if busy { policy.reserve } else { 0.0 };
        let instances = |demand: f64| (demand * policy.headroom + reserve).ceil() as usize;
        let lead = slot_of(policy.lead_time);
        let target = instances(demand[lead]).max(self.frozen_target(rules));
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

    /// Number of instances that it does not pay to release: the highest recent target. A few more
    /// than that, as many as chance explains, are kept for longer.
    ///
    /// If these were released as early as the others, one or two instances would move back and
    /// forth under a steady load, as the number of concurrent jobs rises and falls by chance within
    /// seconds. No job would run faster for it.
    ///
    /// With `declining`, fewer jobs arrive than before, so past targets are no indication.
    fn keep(&self, now: Time, policy: &PoolPolicy, declining: bool) -> usize {
        let peak = |time: Duration| {
            let recent = self
                .targets
                .iter()
                .filter(move |(at, _)| now.since(*at) <= time);
            recent.map(|(_, t)| *t).max().unwrap_or_default()
        };
        let hold = policy.hold_time.duration();
        let base = match declining {
            true => peak(Duration::ZERO),
            false => peak(hold),
        };
        let noise = (base as f64).sqrt() as usize;
        peak(hold * NOISE_HOLD_FACTOR).min(base + noise).max(base)
    }

    /// Lower limit of the target: the highest one of the last second before an outage, if targets
    /// are frozen.
    fn frozen_target(&mut self, rules: Rules<'_>) -> usize {
        if rules.outage.is_none() || rules.target != HoldTarget::Frozen {
            self.frozen = None;
            return 0;
        }
        let recent = self.targets.iter().map(|(_, t)| *t);
        *self
            .frozen
            .get_or_insert_with(|| recent.max().unwrap_or_default())
    }

    /// Returns the demand in each slot from now on, in fractions of instances, and whether fewer
    /// jobs arrive than before.
    fn demand(
        &mut self,
        now: Time,
        load: &Load,
        unit: Room,
        serving: usize,
        rules: Rules<'_>,
    ) -> ([f64; SLOTS], bool) {
        let policy = rules.policy;
        let mut declining = false;
        let rates = load.arrivals.iter().map(|(queue, arrivals)| {
            let rate = self.rates.entry(queue.clone()).or_default();
            let estimate = rate.update(now, arrivals, policy.sigmas, rules.outage);
            declining |= estimate.declining;
            (estimate.rate, &arrivals.profile)
        });
        let rates: Vec<_> = rates.collect();
        // Running long-running tasks keep their capacity, and waiting ones request theirs only
        // once.
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
            // Tasks that could not start request their capacity all at once, for as long as they
            // run. Those of them that would still be running in this slot are part of the known
            // demand already.
            let finished = (slot as f64 - run_time).max(0.0) / slot.max(1) as f64;
            *demand = instances_for(load.lasting + transient, unit) + finished * backlog / run_time;
            backlog = match slot < lead {
                true => (backlog + instances_for(transient, unit) - room).max(0.0),
                false => 0.0,
            };
        }
        (demand, declining)
    }

    /// Number of instances that hold the long-running work.
    pub(crate) fn lasting_instances(&self, load: &Load, unit: Room) -> usize {
        instances_for(load.lasting, unit).ceil() as usize
    }

    /// Number of instances that overdue work would occupy.
    pub(crate) fn overdue_instances(&self, load: &Load, unit: Room) -> usize {
        instances_for(load.overdue, unit).ceil() as usize
    }
}

/// Mean run time of the waiting tasks, in slots.
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

/// Number of instances of size `unit` that hold `room`, as a fraction.
fn instances_for(room: Room, unit: Room) -> f64 {
    let ratio = |a: u64, b: u64| match b {
        0 => 0.0,
        _ => a as f64 / b as f64,
    };
    let cpu = ratio(room.cpu, unit.cpu);
    let memory = ratio(room.memory, unit.memory);
    cpu.max(memory).max(ratio(room.gpu, unit.gpu))
}
