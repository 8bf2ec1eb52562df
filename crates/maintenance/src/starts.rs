//! Starts outages for wanted moves and for the current wave, and starts the next wave.

use cactuswheel_fleet::{Budget, Stage};
use cactuswheel_model::{Disruption, Instance, Map, Offset, PoolId, Purpose, Wave, WaveNo};

use crate::driver::{Condition, Step};
use crate::{Action, Driver, View, WaitReason};

impl Driver {
    /// Proposes as many outages as budgets allow: wanted moves first, then the wave.
    pub(crate) fn start_outages(&mut self, view: &View<'_>) {
        let disruptions = view.state.disruptions();
        let wave = disruptions.wave();
        let left = wave.map(|w| pending_instances(view, w)).unwrap_or_default();
        if left.is_empty() && disruptions.wanted_moves().is_empty() {
            return wave.map_or((), |wave| self.start_next_wave(view, wave));
        }
        let mut headroom = Headroom {
            budgets: disruptions.budgets(view.state.config()),
            outages_left: self.settings.parallel.saturating_sub(count_planned(view)),
        };
        self.start_moves(view, &mut headroom);
        if let Some(wave) = wave.filter(|_| self.wave_blocker(view).is_none()) {
            self.start_reboots(view, wave.number, left, &mut headroom);
        }
    }

    /// Proposes outages for wanted moves, in list order.
    ///
    /// Unplanned losses do not block moves, because moves may replace the lost instances. The
    /// replicated state checks each move again when it applies the record.
    fn start_moves(&mut self, view: &View<'_>, headroom: &mut Headroom) {
        let (state, config) = (view.state, view.state.config());
        for wanted in state.disruptions().wanted_moves() {
            let Some(instance) = config.instances.get(&wanted.instance) else {
                continue;
            };
            let disruptions = state.disruptions();
            let in_outage = disruptions.outage(&wanted.instance).is_some();
            let leaves = disruptions.check_leaving(&wanted.instance, &wanted.from, config);
            if in_outage || leaves.is_err() || self.is_postponed(view, instance) {
                continue;
            }
            if headroom.reserve(&instance.pool) {
                let purpose = Purpose::Move {
                    from: wanted.from.clone(),
                    to: wanted.to.clone(),
                };
                self.propose_outage(view, instance, purpose);
            }
        }
    }

    /// Proposes outages for the wave, one failure domain after the other.
    ///
    /// A pool may proceed to the next rack while other pools are still in the previous one: only
    /// budgets limit the pace. The order keeps the outages of a pool within few racks, so that
    /// the loss of a rack under maintenance takes down few instances that were still serving.
    fn start_reboots<'a>(
        &mut self,
        view: &View<'a>,
        wave: WaveNo,
        left: Vec<&'a Instance>,
        headroom: &mut Headroom,
    ) {
        for instance in sort_for_wave(view, left, |pool| headroom.allows(pool)) {
            if !self.is_postponed(view, instance) && headroom.reserve(&instance.pool) {
                self.propose_outage(view, instance, Purpose::Reboot(wave));
            }
        }
    }

    /// The reason why the wave starts no outage in any pool, if there is one.
    pub(crate) fn wave_blocker(&self, view: &View<'_>) -> Option<WaitReason> {
        let disruptions = view.state.disruptions();
        let wave = disruptions.wave()?;
        if wave.paused {
            return Some(WaitReason::Paused(wave.author.clone()));
        }
        if view.staleness > self.settings.max_staleness {
            return Some(WaitReason::PlatformUnavailable(view.staleness));
        }
        let lost = disruptions.outages().filter(|o| o.stage == Stage::Lost);
        let lost = lost.count();
        let limit = view.state.config().instances.len() * self.settings.loss_permille / 1_000;
        let limit = limit.max(4);
        if lost >= limit {
            return Some(WaitReason::TooManyLosses(lost, limit));
        }
        if self.overdue.len() >= self.settings.overdue_limit {
            return Some(WaitReason::TooManyOverdue(self.overdue.clone()));
        }
        None
    }

    fn is_postponed(&mut self, view: &View<'_>, instance: &Instance) -> bool {
        let Some(offset) = view.state.disruptions().deferred(&instance.id) else {
            return false;
        };
        let waited = self.held_for(view, &instance.id, Condition::Postponed(offset));
        waited < self.settings.postpone_time
    }

    fn propose_outage(&mut self, view: &View<'_>, instance: &Instance, purpose: Purpose) {
        let Some(seen) = view.roster.get(&instance.id).filter(|s| s.live) else {
            return;
        };
        let take = Disruption::Take {
            instance: instance.id.clone(),
            incarnation: seen.incarnation,
            purpose,
            holder: view.entry.clone(),
        };
        self.propose(view, Offset::default(), Step::Take, take);
    }

    fn start_next_wave(&mut self, view: &View<'_>, wave: &Wave) {
        let due = wave
            .began
            .saturating_add(self.settings.wave_interval.as_secs());
        if wave.paused || wave.began == 0 || view.unix_time < due {
            return;
        }
        self.actions.push(Action::StartWave(Wave {
            number: WaveNo::new(wave.number.get() + 1),
            paused: false,
            order: wave.order.clone(),
            author: None,
            began: view.unix_time,
        }));
    }
}

/// Remaining capacity for new outages.
struct Headroom {
    budgets: Map<PoolId, Budget>,
    /// Number of outages that may still start, over all pools.
    outages_left: usize,
}

impl Headroom {
    fn allows(&self, pool: &PoolId) -> bool {
        self.outages_left > 0 && self.budgets.get(pool).is_some_and(Budget::has_room)
    }

    /// Reserves one outage in the pool's budget; returns `false` if there is no headroom.
    fn reserve(&mut self, pool: &PoolId) -> bool {
        if !self.allows(pool) {
            return false;
        }
        let Some(budget) = self.budgets.get_mut(pool) else {
            return false;
        };
        budget.down += 1;
        self.outages_left -= 1;
        true
    }
}

/// Instances that this wave has not processed yet and that have no outage.
pub(crate) fn pending_instances<'a>(view: &View<'a>, wave: &Wave) -> Vec<&'a Instance> {
    let disruptions = view.state.disruptions();
    let instances = view.state.config().instances.values().map(|i| &**i);
    instances
        .filter(|i| disruptions.last_wave(&i.id).is_none_or(|n| n < wave.number))
        .filter(|i| disruptions.outage(&i.id).is_none())
        .collect()
}

/// Instances of the pools with headroom, in the order of the wave; postponed instances last.
///
/// Filters before sorting: at most steps, most pools have no headroom, and sorting is the most
/// expensive part of a step.
fn sort_for_wave<'a>(
    view: &View<'a>,
    left: Vec<&'a Instance>,
    has_room: impl Fn(&PoolId) -> bool,
) -> Vec<&'a Instance> {
    let disruptions = view.state.disruptions();
    let order = disruptions.wave().map_or(&[][..], |w| &w.order);
    let place = |i: &Instance| order.iter().position(|dc| *dc == i.dc);
    let mut left: Vec<_> = left.into_iter().filter(|i| has_room(&i.pool)).collect();
    left.sort_by_cached_key(|i| {
        let postponed = disruptions.deferred(&i.id).is_some();
        let place = place(i).unwrap_or(usize::MAX);
        (postponed, place, i.dc.clone(), i.rack.clone(), i.id.clone())
    });
    left
}

fn count_planned(view: &View<'_>) -> usize {
    let active = view.state.disruptions().outages();
    let planned = active.filter(|o| matches!(o.stage, Stage::Draining(_) | Stage::Rebooting(_)));
    planned.count()
}
