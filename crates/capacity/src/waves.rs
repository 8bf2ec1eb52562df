//! Maintenance waves: each instance is maintained before the wave's deadline, within the limit on
//! concurrent maintenance, and at the lowest cost.
//!
//! Instances that are powered off or run no tasks go first, since their maintenance interrupts
//! nothing. Of the others, a few at a time are drained: they get no new work, and long-running
//! tasks leave them within their eviction budget. The closer the deadline of the wave, the more
//! instances are drained.

use std::time::Duration;

use cactuswheel_cell::WorkerView;
use cactuswheel_model::{Map, Set, Time};
use cactuswheel_work::{InstanceName, InstanceOrder, InstanceState, ServiceName, Wave, WorkerId};

use crate::action::Action;
use crate::fleet::{Eligibility, Member, PendingOrder};
use crate::snapshot::Snapshot;

/// Time from closing a worker to the end of its instance's maintenance, without the maintenance
/// itself: short tasks end, and long-running tasks start elsewhere, one after the other.
const DRAIN_TIME: Duration = Duration::from_millis(4_000);

/// Time without the end of any run after which a worker is no longer drained while others wait for
/// their turn.
const STUCK_TIME: Duration = Duration::from_millis(8_000);

/// Number of instances of one wave that are drained at a time while the deadline is far.
const MIN_DRAINING: usize = 2;

/// Time between the maintenance of two instances, in which orders and instance lists are
/// transferred.
const TURNAROUND: Duration = Duration::from_millis(700);

/// Factor on the time that a wave needs, below which it becomes urgent: under load, draining
/// workers takes longer.
const URGENCY_FACTOR: f64 = 1.6;

/// Maximum number of a wave's instances that a log line names.
const MAX_LOGGED: usize = 4;

/// State from which a wave is planned.
pub(crate) struct WaveContext<'a> {
    pub(crate) now: Time,
    /// Duration of an instance's maintenance.
    pub(crate) maintenance: Duration,
    pub(crate) pending_orders: &'a Map<InstanceName, PendingOrder>,
    /// Instances that an earlier owner ordered recently, with the wave if the order was for
    /// maintenance.
    pub(crate) reserved: &'a Map<InstanceName, Option<u64>>,
    /// Pools below their target.
    pub(crate) short_pools: &'a Set<&'a ServiceName>,
}

impl WaveContext<'_> {
    /// Whether an instance's pool is below its target.
    fn is_pool_short(&self, member: &Member<'_>) -> bool {
        self.short_pools.contains(&member.instance.pool)
    }
}

/// A wave and its instances in one planning cycle.
pub(crate) struct WaveMembers<'a> {
    pub(crate) wave: &'a Wave,
    members: Vec<&'a Member<'a>>,
    /// Instances that have not had their maintenance.
    pub(crate) remaining: Vec<&'a Member<'a>>,
}

impl WaveMembers<'_> {
    /// Time that the maintenance of the remaining instances takes, as many at a time as the wave
    /// allows.
    fn maintenance_time(&self, context: &WaveContext<'_>) -> Duration {
        let cap = self.wave.cap.max(1) as usize;
        let rounds = self.remaining.len().div_ceil(cap) as u32;
        (context.maintenance + TURNAROUND) * rounds
    }

    /// Number of instances that an earlier owner may have sent into maintenance.
    ///
    /// A new owner that counted only its own orders would exceed the wave's limit, as the instances
    /// ordered by the earlier owner are down at the same time.
    fn earlier_orders(&self, context: &WaveContext<'_>) -> usize {
        let members = self.members.iter().map(|m| m.instance);
        let others = members.filter(|i| !context.pending_orders.contains_key(&i.name));
        let down = others.filter(|i| {
            let for_wave = context.reserved.get(&i.name) == Some(&Some(self.wave.number));
            i.state == InstanceState::Maintained || for_wave
        });
        down.count()
    }
}

/// Progress of all waves.
#[derive(Debug, Default)]
pub(crate) struct Waves {
    /// Instances that had their maintenance, by wave.
    pub(crate) done: Map<u64, Set<InstanceName>>,
    /// When each wave was first seen.
    started: Map<u64, Time>,
    /// Waves reported to the operators, and whether they were reported as complete.
    reported: Map<u64, bool>,
    /// Workers that are being drained for a wave.
    pub(crate) draining: Map<WorkerId, Drain>,
    /// How often the draining of each worker was given up.
    given_up: Map<WorkerId, u32>,
    /// Closed workers that were told when they have to be empty.
    pub(crate) vacating: Set<WorkerId>,
}

/// Progress of draining a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Drain {
    /// Number of runs on the worker.
    runs: usize,
    /// When that number last fell, or the draining began.
    since: Time,
}

impl Waves {
    /// Records that an instance had its maintenance.
    pub(crate) fn mark_done(&mut self, wave: u64, instance: InstanceName) {
        self.done.entry(wave).or_default().insert(instance);
    }

    /// Records that a wave was first seen at `at`; returns false if the wave is known already.
    pub(crate) fn record_start(&mut self, wave: u64, at: Time) -> bool {
        match self.started.contains_key(&wave) {
            true => false,
            false => self.started.insert(wave, at).is_none(),
        }
    }

    /// Records the start of waves that were not seen before.
    pub(crate) fn start_new_waves(&mut self, snapshot: &Snapshot<'_>) -> Vec<Action> {
        let numbers = snapshot.waves.iter().map(|w| w.number);
        let fresh = numbers.filter(|n| self.record_start(*n, snapshot.now));
        fresh.map(|wave| Action::RecordWaveStart { wave }).collect()
    }

    /// Returns the instances of each wave.
    pub(crate) fn members<'a>(
        &self,
        waves: &'a [Wave],
        all: &'a [Member<'a>],
    ) -> Vec<WaveMembers<'a>> {
        let select = |wave: &'a Wave| {
            let names: Set<&InstanceName> = wave.instances.iter().collect();
            let members = all.iter().filter(|m| names.contains(&m.instance.name));
            let members: Vec<&Member<'a>> = members.collect();
            let done = self.done.get(&wave.number);
            let outstanding = |m: &&&Member<'a>| done.is_none_or(|d| !d.contains(&m.instance.name));
            let remaining = members.iter().filter(outstanding).copied().collect();
            WaveMembers {
                wave,
                members,
                remaining,
            }
        };
        waves.iter().map(select).collect()
    }

    /// Whether so little time is left for a wave that it takes precedence over the pools' demand.
    pub(crate) fn is_urgent(&self, members: &WaveMembers<'_>, context: &WaveContext<'_>) -> bool {
        let needed = members.maintenance_time(context) + DRAIN_TIME;
        let left = self.time_left(members.wave, context.now);
        !members.remaining.is_empty() && left < needed.mul_f64(URGENCY_FACTOR)
    }

    /// Returns the actions that a wave needs now.
    pub(crate) fn plan(
        &mut self,
        members: &WaveMembers<'_>,
        context: &WaveContext<'_>,
        urgent: bool,
        claimed: &Set<InstanceName>,
    ) -> Vec<Action> {
        let (wave, remaining) = (members.wave, &members.remaining);
        let mut actions = self.report_status(wave, remaining.is_empty());
        let of_wave = |o: &&PendingOrder| match &o.order {
            InstanceOrder::Maintain { wave: number, .. } => *number == wave.number,
            InstanceOrder::Move { .. } => false,
        };
        let in_progress = context.pending_orders.values().filter(of_wave).count();
        let in_progress = in_progress + members.earlier_orders(context);
        let mut free_slots = (wave.cap as usize).saturating_sub(in_progress);
        for member in remaining {
            if free_slots == 0 {
                return actions;
            }
            if claimed.contains(&member.instance.name) {
                continue;
            }
            let worker = match &member.eligibility {
                Eligibility::Spare => None,
                Eligibility::Serving(_) if !urgent && context.is_pool_short(member) => continue,
                Eligibility::Serving(view) | Eligibility::Closing(view) if view.runs == 0 => {
                    Some(view.worker.clone())
                }
                _ => continue,
            };
            free_slots -= 1;
            let order = InstanceOrder::Maintain {
                instance: member.instance.name.clone(),
                wave: wave.number,
            };
            actions.push(Action::Order { order, worker });
        }
        let time = self.time_left(wave, context.now);
        actions.extend(self.give_up_stuck(remaining, context.now, urgent));
        actions.extend(self.drain_workers(wave, context, time, remaining, urgent));
        actions.extend(self.vacate_workers(members, context));
        actions
    }

    /// Time until the wave's deadline.
    fn time_left(&self, wave: &Wave, now: Time) -> Duration {
        let start = self.started.get(&wave.number).copied().unwrap_or(now);
        wave.within.duration().saturating_sub(now.since(start))
    }

    /// Workers on instances that a wave has yet to maintain.
    pub(crate) fn workers_due(wave: &WaveMembers<'_>) -> Vec<WorkerId> {
        let workers = wave.remaining.iter().filter_map(|m| match &m.eligibility {
            Eligibility::Serving(view) | Eligibility::Closing(view) => Some(view.worker.clone()),
            _ => None,
        });
        workers.collect()
    }

    /// Logs the remaining instances of a wave by eligibility, which shows why they wait.
    pub(crate) fn log(&self, members: &WaveMembers<'_>, now: Time) {
        let (wave, remaining) = (members.wave, &members.remaining);
        if remaining.is_empty() {
            return;
        }
        let count = |test: fn(&Eligibility<'_>) -> bool| {
            let found = remaining.iter().filter(|m| test(&m.eligibility));
            found.count() as u64
        };
        let first = remaining.iter().map(|m| m.instance.name.as_str());
        let first: Vec<&str> = first.take(MAX_LOGGED).collect();
        log::info!(
            wave = wave.number, left = remaining.len() as u64,
            ms = self.time_left(wave, now).as_millis() as u64,
            spare = count(|s| matches!(s, Eligibility::Spare)),
            serving = count(|s| matches!(s, Eligibility::Serving(_))),
            closing = count(|s| matches!(s, Eligibility::Closing(_))),
            coming = count(|s| matches!(s, Eligibility::Arriving(_) | Eligibility::Unavailable)),
            dark = count(|s| matches!(s, Eligibility::Unreachable)), first:? = first;
            "wave"
        );
    }

    /// Reports to the operators when a wave begins and when it is complete.
    fn report_status(&mut self, wave: &Wave, complete: bool) -> Vec<Action> {
        if self.reported.insert(wave.number, complete) == Some(complete) {
            return Vec::new();
        }
        vec![Action::ReportStatus {
            wave: wave.number,
            complete,
        }]
    }

    /// Sets the time by which closed workers have to be empty for their instances to have their
    /// maintenance before the wave's deadline.
    fn vacate_workers(
        &mut self,
        members: &WaveMembers<'_>,
        context: &WaveContext<'_>,
    ) -> Vec<Action> {
        let left = self.time_left(members.wave, context.now);
        let by = context
            .now
            .after(left.saturating_sub(members.maintenance_time(context)));
        let mut actions = Vec::new();
        for member in &members.remaining {
            let Eligibility::Closing(view) = &member.eligibility else {
                continue;
            };
            if view.runs > 0 && self.vacating.insert(view.worker.clone()) {
                let worker = view.worker.clone();
                actions.push(Action::Vacate { worker, by });
            }
        }
        actions
    }

    /// Reopens workers that are not emptied although they are drained, if others wait for their
    /// turn; they are drained again after those.
    ///
    /// A long-running task that has no other place never leaves. Without this limit, a few such
    /// workers would keep all other instances of their wave from being drained.
    fn give_up_stuck(&mut self, remaining: &[&Member<'_>], now: Time, urgent: bool) -> Vec<Action> {
        let waits = remaining.iter().any(|m| match &m.eligibility {
            Eligibility::Serving(view) => needs_drain(view, urgent),
            _ => false,
        });
        let mut actions = Vec::new();
        for member in remaining {
            let Eligibility::Closing(view) = &member.eligibility else {
                continue;
            };
            let Some(drain) = self.draining.get_mut(&view.worker) else {
                continue;
            };
            if view.runs < drain.runs {
                *drain = Drain {
                    runs: view.runs,
                    since: now,
                };
            }
            if !waits || view.runs == 0 || now.since(drain.since) < STUCK_TIME {
                continue;
            }
            log::info!(
                worker:% = view.worker, runs = view.runs as u64, lasting = view.lasting as u64;
                "draining given up: other instances of the wave wait"
            );
            self.draining.remove(&view.worker);
            self.vacating.remove(&view.worker);
            *self.given_up.entry(view.worker.clone()).or_default() += 1;
            actions.push(Action::Reopen(view.worker.clone()));
        }
        actions
    }

    /// Closes workers so that their instances can have their maintenance.
    fn drain_workers(
        &mut self,
        wave: &Wave,
        context: &WaveContext<'_>,
        time: Duration,
        remaining: &[&Member<'_>],
        urgent: bool,
    ) -> Vec<Action> {
        let draining = remaining.iter().filter(|m| match &m.eligibility {
            Eligibility::Closing(view) => self.draining.contains_key(&view.worker),
            _ => false,
        });
        let draining = draining.count();
        let needs_drain = |m: &&&Member<'_>| match &m.eligibility {
            Eligibility::Serving(view) | Eligibility::Closing(view) => needs_drain(view, urgent),
            _ => false,
        };
        let round = (DRAIN_TIME + context.maintenance).as_millis() as f64;
        let rounds = (time.as_millis() as f64 / round).max(1.0);
        let pace = (remaining.iter().filter(needs_drain).count() as f64 / rounds).ceil() as usize;
        // Long-running tasks take seconds to leave. Draining therefore starts regardless of how
        // many instances are under maintenance now, and also in a pool below its target, as a
        // worker with long-running tasks has little capacity for other work.
        let target = pace.max(MIN_DRAINING).min(wave.cap as usize);
        let busy = remaining.iter().filter(needs_drain);
        let mut busy: Vec<_> = busy
            .filter_map(|m| match &m.eligibility {
                Eligibility::Serving(view) => Some(*view),
                _ => None,
            })
            .collect();
        // The eviction budget lets the tasks of a step leave one after the other, so workers with
        // the most of them take the longest.
        busy.sort_by_key(|v| {
            let given_up = self.given_up.get(&v.worker).copied().unwrap_or_default();
            (given_up, std::cmp::Reverse(v.lasting), v.used.cpu)
        });
        let chosen = busy.into_iter().take(target.saturating_sub(draining));
        let chosen: Vec<(WorkerId, usize)> = chosen.map(|v| (v.worker.clone(), v.runs)).collect();
        let since = context.now;
        let actions = chosen.into_iter().map(|(worker, runs)| {
            self.draining.insert(worker.clone(), Drain { runs, since });
            Action::Close {
                worker,
                evict: true,
            }
        });
        actions.collect()
    }
}

/// Whether a worker has to be drained for its instance to have its maintenance.
///
/// Workers without long-running tasks stay with their pools unless the wave is urgent: most of them
/// run out of tasks before the deadline, and their maintenance then interrupts no work.
fn needs_drain(view: &WorkerView, urgent: bool) -> bool {
    urgent || view.lasting > 0
}
