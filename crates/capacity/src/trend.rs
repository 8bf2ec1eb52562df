//! How much a pool is asked for.

use std::collections::VecDeque;
use std::time::Duration;

use cactuswheel_cell::{Load, SLOT_MS, SLOTS};
use cactuswheel_model::{Map, Millis, Time};
use cactuswheel_work::{QueueName, Room};

use crate::policy::PoolPolicy;
use crate::rate::Rate;

/// Thousandths of a core.
const MILLI: u64 = 1_000;

/// Run time of a task, in milliseconds, where none waits to tell it.
const USUAL_RUN: u64 = 1_000;

/// Times as long as others that instances are kept which chance may ask for again.
const CHANCE_HOLD: u32 = 2;

/// How much one pool is asked for, now and lately.
#[derive(Debug, Default)]
pub(crate) struct Trend {
    rates: Map<QueueName, Rate>,
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
    pub(crate) fn need(
        &mut self,
        now: Time,
        load: &Load,
        unit: Room,
        serving: usize,
        policy: &PoolPolicy,
    ) -> Need {
        let (asked, fell) = self.asked(now, load, unit, serving, policy);
        let busy = !load.waiting.is_empty() || asked[SLOTS - 1] > units(load.lasting, unit);
        let reserve = if busy { policy.reserve } else { 0.0 };
        let instances = |asked: f64| (asked * policy.gaps + reserve).ceil() as usize;
        let arrival = slot(policy.arrival);
        let target = instances(asked[arrival]);
        self.targets.push_back((now, target));
        let long = policy.hold.duration() * CHANCE_HOLD;
        while self.targets.len() > 1 && now.since(self.targets[0].0) > long {
            self.targets.pop_front();
        }
        Need {
            target,
            keep: self.keep(now, policy, fell),
        }
    }

    /// Instances that it does not pay to send away: the highest target of late. A few more than
    /// that, as many as chance explains, are kept for longer.
    ///
    /// Failure: under a steady load the number of jobs at hand rises and falls by chance within
    /// seconds, and one instance or two go to and fro with it; nobody's work is faster for it.
    ///
    /// Where `fell`, fewer jobs come than before, so the highest target of late says nothing.
    fn keep(&self, now: Time, policy: &PoolPolicy, fell: bool) -> usize {
        let within = |time: Duration| {
            let late = self
                .targets
                .iter()
                .filter(move |(at, _)| now.since(*at) <= time);
            late.map(|(_, t)| *t).max().unwrap_or_default()
        };
        let hold = policy.hold.duration();
        let short = match fell {
            true => within(Duration::ZERO),
            false => within(hold),
        };
        let chance = (short as f64).sqrt() as usize;
        within(hold * CHANCE_HOLD).min(short + chance).max(short)
    }

    /// Instances, in fractions, that are asked for in each slot from now on, and whether fewer
    /// jobs come than before.
    fn asked(
        &mut self,
        now: Time,
        load: &Load,
        unit: Room,
        serving: usize,
        policy: &PoolPolicy,
    ) -> ([f64; SLOTS], bool) {
        let mut fell = false;
        let rates = load.arrivals.iter().map(|(queue, arrivals)| {
            let rate = self.rates.entry(queue.clone()).or_default();
            let flow = rate.count(now, arrivals, policy.doubt);
            fell |= flow.fell;
            (flow.rate, &arrivals.profile)
        });
        let rates: Vec<_> = rates.collect();
        // Lasting work keeps its places, and what of it waits asks for its own room only once.
        let lasting = units(load.lasting, unit);
        let room = (serving as f64 / policy.gaps - lasting).max(0.0);
        let arrival = slot(policy.arrival);
        let mut asked = [0.0; SLOTS];
        let mut coming = Room::default();
        let slots = run_slots(load);
        let mut delayed = 0.0;
        for (slot, asked) in asked.iter_mut().enumerate() {
            for (rate, course) in &rates {
                coming += share(course.at(slot), rate * SLOT_MS as f64 / 1_000.0);
            }
            let short = load.forecast.at(slot) + coming;
            // What could not start asks for its room all at once, for as long as its tasks run;
            // those that would be running still are in what is known already.
            let over = (slot as f64 - slots).max(0.0) / slot.max(1) as f64;
            *asked = units(load.lasting + short, unit) + over * delayed / slots;
            delayed = match slot < arrival {
                true => (delayed + units(short, unit) - room).max(0.0),
                false => 0.0,
            };
        }
        (asked, fell)
    }

    /// Instances that hold the lasting work.
    pub(crate) fn for_lasting(&self, load: &Load, unit: Room) -> usize {
        units(load.lasting, unit).ceil() as usize
    }

    /// Instances that work takes which is of no use any more.
    pub(crate) fn for_overdue(&self, load: &Load, unit: Room) -> usize {
        units(load.overdue, unit).ceil() as usize
    }
}

/// Slots that a waiting task runs for.
fn run_slots(load: &Load) -> f64 {
    let cores = load.waiting.cpu / MILLI;
    let time = match cores {
        0 => USUAL_RUN,
        _ => load.work / cores,
    };
    (time as f64 / SLOT_MS as f64).max(1.0)
}

fn slot(time: Millis) -> usize {
    let slot = time.get() / SLOT_MS;
    (slot as usize).min(SLOTS - 1)
}

fn share(room: Room, times: f64) -> Room {
    let share = |amount: u64| (amount as f64 * times) as u64;
    Room {
        cpu: share(room.cpu),
        memory: share(room.memory),
        gpu: share(room.gpu),
    }
}

/// Instances of size `unit` that hold `room`, in fractions.
fn units(room: Room, unit: Room) -> f64 {
    let part = |a: u64, b: u64| match b {
        0 => 0.0,
        _ => a as f64 / b as f64,
    };
    let cpu = part(room.cpu, unit.cpu);
    let memory = part(room.memory, unit.memory);
    cpu.max(memory).max(part(room.gpu, unit.gpu))
}
