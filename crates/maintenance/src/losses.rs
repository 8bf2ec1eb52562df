//! Reports unplanned losses of instances.

use cactuswheel_fleet::Stage;
use cactuswheel_model::{Disruption, Instance, Offset};

use crate::driver::{Condition, Step};
use crate::{Driver, View};

impl Driver {
    /// Proposes a loss record for each instance that has been missing for `loss_timeout`, other
    /// than those that are rebooting, arriving or already recorded as lost.
    pub(crate) fn report_losses(&mut self, view: &View<'_>) {
        for instance in view.state.config().instances.values() {
            if self.is_lost(view, instance) {
                self.report(view, instance);
            }
        }
    }

    fn is_lost(&mut self, view: &View<'_>, instance: &Instance) -> bool {
        let current = view.state.disruptions().outage(&instance.id);
        let seen = view.roster.get(&instance.id);
        let missing = match current.map(|o| &o.stage) {
            None | Some(Stage::Draining(_)) => seen.is_none_or(|s| !s.live),
            Some(_) => false,
        };
        missing
            && self.held_for(view, &instance.id, Condition::Missing) >= self.settings.loss_timeout
    }

    fn report(&mut self, view: &View<'_>, instance: &Instance) {
        let known = view.state.disruptions().last_incarnation(&instance.id);
        let seen = view.roster.get(&instance.id).map(|s| s.incarnation);
        let lost = Disruption::Lost {
            instance: instance.id.clone(),
            incarnation: seen.unwrap_or_default().max(known),
        };
        self.propose(view, Offset::default(), Step::Lost, lost);
    }
}
