//! Carrying outages that are under way to their end.

use cactuswheel_fleet::{Budget, Outage, Stage};
use cactuswheel_model::{Disruption, Map, PoolId, Purpose};

use crate::driver::{Condition, Step};
use crate::{Activity, Driver, Order, OrderKind, View};

impl Driver {
    /// Does the next thing for every outage.
    pub(crate) fn advance_outages(&mut self, view: &View<'_>) {
        self.overdue.clear();
        let disruptions = view.state.disruptions();
        if disruptions.outages().next().is_none() {
            return;
        }
        let budgets = disruptions.budgets(view.state.config());
        for outage in disruptions.outages() {
            if self.has_recovered(view, outage) {
                self.end_outage(view, outage);
                continue;
            }
            match &outage.stage {
                Stage::Draining(purpose) => {
                    let obsolete = is_obsolete(view, outage, purpose, &budgets);
                    self.advance_drain(view, outage, obsolete);
                }
                Stage::Rebooting(_) => self.advance_reboot(view, outage),
                Stage::Arriving | Stage::Lost => {}
            }
        }
    }

    /// Whether an instance has looked healthy for long enough.
    fn has_recovered(&mut self, view: &View<'_>, outage: &Outage) -> bool {
        let Some(seen) = view.roster.get(&outage.instance) else {
            return false;
        };
        let newer = match outage.stage {
            Stage::Draining(_) | Stage::Rebooting(_) => seen.incarnation > outage.incarnation,
            Stage::Arriving | Stage::Lost => seen.incarnation >= outage.incarnation,
        };
        let serves = view.statuses.get(&outage.instance).is_some_and(|status| {
            status.incarnation == seen.incarnation && status.activity == Activity::Serving
        });
        if !(newer && seen.live && serves) {
            return false;
        }
        let healthy = self.held_for(view, &outage.instance, Condition::Healthy(outage.fence));
        healthy >= self.settings.settle_time
    }

    fn end_outage(&mut self, view: &View<'_>, outage: &Outage) {
        let Some(seen) = view.roster.get(&outage.instance) else {
            return;
        };
        let back = Disruption::Back {
            instance: outage.instance.clone(),
            fence: outage.fence,
            incarnation: seen.incarnation,
        };
        self.propose(view, outage.fence, Step::Back, back);
    }

    fn advance_drain(&mut self, view: &View<'_>, outage: &Outage, obsolete: bool) {
        let waited = self.held_for(view, &outage.instance, Condition::Draining(outage.fence));
        let Some(status) = view.statuses.get(&outage.instance) else {
            return;
        };
        if status.incarnation != outage.incarnation {
            return;
        }
        if status.activity != Activity::Draining(outage.fence) {
            self.order(view, order(OrderKind::Drain, outage));
        }
        // What worker control does not show yet, the log does: jobs that are placed.
        let jobs = view.state.jobs().worker(&outage.instance);
        let idle = status.running == Some(0)
            && status.activity == Activity::Draining(outage.fence)
            && jobs.is_none_or(|w| w.placed == 0);
        let drained = idle
            && self.held_for(view, &outage.instance, Condition::Idle(outage.fence))
                >= self.settings.idle_time;
        let timed_out = waited >= self.settings.drain_timeout && !idle;
        if timed_out || obsolete {
            let cancel = Disruption::Cancel {
                instance: outage.instance.clone(),
                fence: outage.fence,
                busy: timed_out,
            };
            return self.propose(view, outage.fence, Step::Cancel, cancel);
        }
        if drained {
            let commit = Disruption::Commit {
                instance: outage.instance.clone(),
                fence: outage.fence,
            };
            self.propose(view, outage.fence, Step::Commit, commit);
        }
    }

    /// Orders a reboot that is committed in the newest fold, bound to the life of the grant.
    fn advance_reboot(&mut self, view: &View<'_>, outage: &Outage) {
        let away = self.held_for(view, &outage.instance, Condition::Rebooting(outage.fence));
        if away >= self.settings.overdue_timeout {
            self.overdue.push(outage.instance.clone());
        }
        let Some(status) = view.statuses.get(&outage.instance) else {
            return;
        };
        if status.incarnation == outage.incarnation && status.activity != Activity::Down {
            self.order(view, order(OrderKind::Reboot, outage));
        }
    }
}

/// Whether a commit would be refused: the wave is paused or past, the move is not wanted any
/// more, or losses fill the budget.
fn is_obsolete(
    view: &View<'_>,
    outage: &Outage,
    purpose: &Purpose,
    budgets: &Map<PoolId, Budget>,
) -> bool {
    let disruptions = view.state.disruptions();
    if let Purpose::Reboot(number) = purpose {
        let open = disruptions
            .wave()
            .is_some_and(|w| w.number == *number && !w.paused);
        if !open {
            return true;
        }
    }
    if let Purpose::Move { from, to } = purpose {
        let wanted = disruptions.wanted_moves().iter();
        let mut same = wanted.filter(|w| w.from == *from && w.to == *to);
        if !same.any(|w| w.instance == outage.instance) {
            return true;
        }
    }
    let config = view.state.config();
    let instance = config.instances.get(&outage.instance);
    let budget = instance.and_then(|i| budgets.get(&i.pool));
    budget.is_some_and(|b| b.excess(0).is_some())
}

fn order(kind: OrderKind, outage: &Outage) -> Order {
    Order {
        kind,
        instance: outage.instance.clone(),
        incarnation: outage.incarnation,
        fence: outage.fence,
    }
}
