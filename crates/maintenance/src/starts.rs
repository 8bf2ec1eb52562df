//! Starting new outages of a wave.

use cactuswheel_fleet::{Budget, Stage};
use cactuswheel_model::{Disruption, Instance, Map, Offset, PoolId, Purpose, Wave, WaveNo};

use crate::driver::{Mark, Step};
use crate::{Action, Driver, Reason, View};

impl Driver {
    /// Takes as many instances as budgets allow, failure domain by failure domain.
    ///
    /// A pool goes on into the next rack while others are still in the one before: budgets
    /// alone bound the pace, and order keeps the outages of a pool together, so that the loss
    /// of a rack under maintenance costs few others.
    pub(crate) fn start(&mut self, view: &View<'_>) {
        let Some(wave) = view.state.disruptions().wave() else {
            return;
        };
        let left = remaining(view, wave);
        if left.is_empty() {
            return self.start_next(view, wave);
        }
        if self.wait_reason(view).is_some() {
            return;
        }
        let mut budgets = view.state.disruptions().budgets(view.state.config());
        let mut room = self.settings.parallel.saturating_sub(planned(view));
        for instance in left {
            if room == 0 {
                return;
            }
            if self.is_postponed(view, instance) || !has_room(&mut budgets, &instance.pool) {
                continue;
            }
            room -= 1;
            self.take(view, instance, wave.number);
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
        let lost = disruptions.holds().filter(|h| h.stage == Stage::Lost);
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

    fn take(&mut self, view: &View<'_>, instance: &Instance, wave: WaveNo) {
        let Some(seen) = view.seen.get(&instance.id).filter(|s| s.live) else {
            return;
        };
        let take = Disruption::Take {
            instance: instance.id.clone(),
            incarnation: seen.incarnation,
            purpose: Purpose::Reboot(wave),
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

/// Instances that have not had their turn and are not held, in the order of the wave.
pub(crate) fn remaining<'a>(view: &View<'a>, wave: &Wave) -> Vec<&'a Instance> {
    let disruptions = view.state.disruptions();
    let instances = view.state.config().instances.values().map(|i| &**i);
    let mut left: Vec<_> = instances
        .filter(|i| disruptions.turn(&i.id).is_none_or(|n| n < wave.number))
        .filter(|i| disruptions.hold(&i.id).is_none())
        .collect();
    let place = |i: &Instance| wave.order.iter().position(|dc| *dc == i.dc);
    left.sort_by_cached_key(|i| {
        let late = disruptions.deferred(&i.id).is_some();
        let place = place(i).unwrap_or(usize::MAX);
        (late, place, i.dc.clone(), i.rack.clone(), i.id.clone())
    });
    left
}

/// Takes one from a pool's budget if there is room.
fn has_room(budgets: &mut Map<PoolId, Budget>, pool: &PoolId) -> bool {
    let Some(budget) = budgets.get_mut(pool).filter(|b| b.has_room()) else {
        return false;
    };
    budget.down += 1;
    true
}

fn planned(view: &View<'_>) -> usize {
    let holds = view.state.disruptions().holds();
    let planned = holds.filter(|h| matches!(h.stage, Stage::Draining(_) | Stage::Rebooting(_)));
    planned.count()
}
