//! Carrying outages that are under way to their end.

use cactuswheel_fleet::{Budget, Outage, Stage};
use cactuswheel_model::{Disruption, Map, PoolId, Purpose};

use crate::driver::{Mark, Step};
use crate::{Activity, Driver, Order, Verb, View};

impl Driver {
    /// Does the next thing for every outage.
    pub(crate) fn carry_on(&mut self, view: &View<'_>) {
        self.overdue.clear();
        let disruptions = view.state.disruptions();
        if disruptions.outages().next().is_none() {
            return;
        }
        let budgets = disruptions.budgets(view.state.config());
        for hold in disruptions.outages() {
            if self.is_back(view, hold) {
                self.bring_back(view, hold);
                continue;
            }
            match &hold.stage {
                Stage::Draining(purpose) => {
                    let pointless = is_pointless(view, hold, purpose, &budgets);
                    self.drain(view, hold, pointless);
                }
                Stage::Rebooting(_) => self.reboot(view, hold),
                Stage::Arriving | Stage::Lost => {}
            }
        }
    }

    /// Whether an instance has looked healthy for long enough.
    fn is_back(&mut self, view: &View<'_>, hold: &Outage) -> bool {
        let Some(seen) = view.seen.get(&hold.instance) else {
            return false;
        };
        let newer = match hold.stage {
            Stage::Draining(_) | Stage::Rebooting(_) => seen.incarnation > hold.incarnation,
            Stage::Arriving | Stage::Lost => seen.incarnation >= hold.incarnation,
        };
        let serves = view.looks.get(&hold.instance).is_some_and(|look| {
            look.incarnation == seen.incarnation && look.activity == Activity::Serving
        });
        if !(newer && seen.live && serves) {
            return false;
        }
        let healthy = self.held(view, &hold.instance, Mark::Healthy(hold.fence));
        healthy >= self.settings.settle
    }

    fn bring_back(&mut self, view: &View<'_>, hold: &Outage) {
        let Some(seen) = view.seen.get(&hold.instance) else {
            return;
        };
        let back = Disruption::Back {
            instance: hold.instance.clone(),
            fence: hold.fence,
            incarnation: seen.incarnation,
        };
        self.propose(view, hold.fence, Step::Back, back);
    }

    fn drain(&mut self, view: &View<'_>, hold: &Outage, pointless: bool) {
        let waited = self.held(view, &hold.instance, Mark::Draining(hold.fence));
        let Some(look) = view.looks.get(&hold.instance) else {
            return;
        };
        if look.incarnation != hold.incarnation {
            return;
        }
        if look.activity != Activity::Draining(hold.fence) {
            self.order(view, order(Verb::Drain, hold));
        }
        // What worker control does not show yet, the log does: jobs that are placed.
        let jobs = view.state.jobs().worker(&hold.instance);
        let idle = look.running == Some(0)
            && look.activity == Activity::Draining(hold.fence)
            && jobs.is_none_or(|w| w.placed == 0);
        let quiet =
            idle && self.held(view, &hold.instance, Mark::Quiet(hold.fence)) >= self.settings.quiet;
        let late = waited >= self.settings.drain && !idle;
        if late || pointless {
            let cancel = Disruption::Cancel {
                instance: hold.instance.clone(),
                fence: hold.fence,
                busy: late,
            };
            return self.propose(view, hold.fence, Step::Cancel, cancel);
        }
        if quiet {
            let commit = Disruption::Commit {
                instance: hold.instance.clone(),
                fence: hold.fence,
            };
            self.propose(view, hold.fence, Step::Commit, commit);
        }
    }

    /// Orders a reboot that is committed in the newest fold, bound to the life of the grant.
    fn reboot(&mut self, view: &View<'_>, hold: &Outage) {
        let away = self.held(view, &hold.instance, Mark::Away(hold.fence));
        if away >= self.settings.overdue {
            self.overdue.push(hold.instance.clone());
        }
        let Some(look) = view.looks.get(&hold.instance) else {
            return;
        };
        if look.incarnation == hold.incarnation && look.activity != Activity::Down {
            self.order(view, order(Verb::Reboot, hold));
        }
    }
}

/// Whether a commit would be refused: the wave is paused or past, the move is not wanted any
/// more, or losses fill the budget.
fn is_pointless(
    view: &View<'_>,
    hold: &Outage,
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
        if !same.any(|w| w.instance == hold.instance) {
            return true;
        }
    }
    let config = view.state.config();
    let instance = config.instances.get(&hold.instance);
    let budget = instance.and_then(|i| budgets.get(&i.pool));
    budget.is_some_and(|b| b.excess(0).is_some())
}

fn order(verb: Verb, hold: &Outage) -> Order {
    Order {
        verb,
        instance: hold.instance.clone(),
        incarnation: hold.incarnation,
        fence: hold.fence,
    }
}
