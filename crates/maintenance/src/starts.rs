//! Starting new outages of a wave.

use cactuswheel_fleet::{Budget, Stage};
use cactuswheel_model::{Disruption, Instance, Map, Offset, PoolId, Purpose, Wave, WaveNo};

use crate::driver::{Mark, Step};
use crate::{Action, Driver, Reason, View};

impl Driver {
    /// Takes as many instances as budgets allow: wanted moves first, then the wave.
    pub(crate) fn start(&mut self, view: &View<'_>) {
        let disruptions = view.state.disruptions();
        let wave = disruptions.wave();
        let left = wave.map(|w| remaining(view, w)).unwrap_or_default();
        if left.is_empty() && disruptions.wanted_moves().is_empty() {
            return wave.map_or((), |wave| self.start_next(view, wave));
        }
        let mut room = Room {
            budgets: disruptions.budgets(view.state.config()),
            left: self.settings.parallel.saturating_sub(planned(view)),
        };
        self.start_moves(view, &mut room);
        if let Some(wave) = wave.filter(|_| self.wait_reason(view).is_none()) {
            self.start_reboots(view, wave.number, left, &mut room);
        }
    }

    /// Takes instances for wanted moves, in the order of the list.
    ///
    /// Losses do not hold moves up: moves may be what mends them. The fold judges each again.
    fn start_moves(&mut self, view: &View<'_>, room: &mut Room) {
        let (state, config) = (view.state, view.state.config());
        for wish in state.disruptions().wanted_moves() {
            let Some(instance) = config.instances.get(&wish.instance) else {
                continue;
            };
            let disruptions = state.disruptions();
            let held = disruptions.outage(&wish.instance).is_some();
            let leaves = disruptions.check_leaving(&wish.instance, &wish.from, config);
            if held || leaves.is_err() || self.is_postponed(view, instance) {
                continue;
            }
            if room.take(&instance.pool) {
                let purpose = Purpose::Move {
                    from: wish.from.clone(),
                    to: wish.to.clone(),
                };
                self.take(view, instance, purpose);
            }
        }
    }

    /// Takes instances for the wave, failure domain by failure domain.
    ///
    /// A pool goes on into the next rack while others are still in the one before: budgets
    /// alone bound the pace, and order keeps the outages of a pool together, so that the loss
    /// of a rack under maintenance costs few others.
    fn start_reboots<'a>(
        &mut self,
        view: &View<'a>,
        wave: WaveNo,
        left: Vec<&'a Instance>,
        room: &mut Room,
    ) {
        for instance in in_order(view, left, |pool| room.has(pool)) {
            if !self.is_postponed(view, instance) && room.take(&instance.pool) {
                self.take(view, instance, Purpose::Reboot(wave));
            }
        }
    }

    /// Why nothing of the wave starts just now, whatever the pool.
    pub(crate) fn wait_reason(&self, view: &View<'_>) -> Option<Reason> {
        let disruptions = view.state.disruptions();
        let wave = disruptions.wave()?;
        if wave.paused {
            return Some(Reason::Paused(wave.author.clone()));
        }
        if view.age > self.settings.fresh {
            return Some(Reason::PlatformSilent(view.age));
        }
        let lost = disruptions.outages().filter(|h| h.stage == Stage::Lost);
        let lost = lost.count();
        let most = view.state.config().instances.len() * self.settings.burst / 1_000;
        let most = most.max(4);
        if lost >= most {
            return Some(Reason::Losses(lost, most));
        }
        if self.overdue.len() >= self.settings.failures {
            return Some(Reason::Failures(self.overdue.clone()));
        }
        None
    }

    fn is_postponed(&mut self, view: &View<'_>, instance: &Instance) -> bool {
        let Some(offset) = view.state.disruptions().deferred(&instance.id) else {
            return false;
        };
        let waited = self.held(view, &instance.id, Mark::Postponed(offset));
        waited < self.settings.postpone
    }

    fn take(&mut self, view: &View<'_>, instance: &Instance, purpose: Purpose) {
        let Some(seen) = view.seen.get(&instance.id).filter(|s| s.live) else {
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

    fn start_next(&mut self, view: &View<'_>, wave: &Wave) {
        let due = wave.began.saturating_add(self.settings.cycle.as_secs());
        if wave.paused || wave.began == 0 || view.wall < due {
            return;
        }
        self.actions.push(Action::Start(Wave {
            number: WaveNo::new(wave.number.get() + 1),
            paused: false,
            order: wave.order.clone(),
            author: None,
            began: view.wall,
        }));
    }
}

/// What is left for more outages.
struct Room {
    budgets: Map<PoolId, Budget>,
    /// Outages that may still start, over all pools.
    left: usize,
}

impl Room {
    fn has(&self, pool: &PoolId) -> bool {
        self.left > 0 && self.budgets.get(pool).is_some_and(Budget::has_room)
    }

    /// Takes one from a pool's budget if there is room.
    fn take(&mut self, pool: &PoolId) -> bool {
        if !self.has(pool) {
            return false;
        }
        let Some(budget) = self.budgets.get_mut(pool) else {
            return false;
        };
        budget.down += 1;
        self.left -= 1;
        true
    }
}

/// Instances that have not had their turn and are not held.
pub(crate) fn remaining<'a>(view: &View<'a>, wave: &Wave) -> Vec<&'a Instance> {
    let disruptions = view.state.disruptions();
    let instances = view.state.config().instances.values().map(|i| &**i);
    instances
        .filter(|i| disruptions.last_wave(&i.id).is_none_or(|n| n < wave.number))
        .filter(|i| disruptions.outage(&i.id).is_none())
        .collect()
}

/// Those of the pools that have room, in the order of the wave.
///
/// Most pools have none at most steps, and sorting costs more than all else.
fn in_order<'a>(
    view: &View<'a>,
    left: Vec<&'a Instance>,
    has_room: impl Fn(&PoolId) -> bool,
) -> Vec<&'a Instance> {
    let disruptions = view.state.disruptions();
    let order = disruptions.wave().map_or(&[][..], |w| &w.order);
    let place = |i: &Instance| order.iter().position(|dc| *dc == i.dc);
    let mut left: Vec<_> = left.into_iter().filter(|i| has_room(&i.pool)).collect();
    left.sort_by_cached_key(|i| {
        let late = disruptions.deferred(&i.id).is_some();
        let place = place(i).unwrap_or(usize::MAX);
        (late, place, i.dc.clone(), i.rack.clone(), i.id.clone())
    });
    left
}

fn planned(view: &View<'_>) -> usize {
    let holds = view.state.disruptions().outages();
    let planned = holds.filter(|h| matches!(h.stage, Stage::Draining(_) | Stage::Rebooting(_)));
    planned.count()
}
