//! Advances active outages through their stages until they end.

use cactuswheel_fleet::{Budget, Outage, Stage};
use cactuswheel_model::{Disruption, Map, PoolId, Purpose};

use crate::driver::{Condition, Step};
use crate::{Activity, Driver, Order, OrderKind, View};

impl Driver {
    /// Proposes the next record or order for each active outage.
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

    /// Whether the instance has been live and serving for `settle_time`, after a planned reboot in
    /// a newer incarnation.
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
        // Worker control does not report a job that has been placed but has not started yet; the
        // log records it.
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

    /// Orders the reboot of a committed outage, for the incarnation that the grant names only.
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

/// Whether a commit would be rejected: the wave is paused or superseded, the move is no longer
/// wanted, or unplanned losses have used up the pool's budget.
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
