//! The driver's loop.

use std::time::Duration;

use cactuswheel_fleet::Stage;
use cactuswheel_model::{Disruption, InstanceId, Offset, Set};

use crate::timers::Timers;
use crate::{Action, Order, OrderKind, Settings, View};

/// Carries outages through. Holds nothing that another entry's driver needs.
#[derive(Debug)]
pub struct Driver {
    pub(crate) settings: Settings,
    pub(crate) timers: Timers<(InstanceId, Condition)>,
    /// Instances whose grant ended and whose drain may still have to be lifted.
    pending_resume: Set<InstanceId>,
    /// Instances held when last looked at.
    in_outage: Set<InstanceId>,
    /// Steps so far; walks over all instances to find drains that nobody remembers.
    step_count: usize,
    /// Instances that have not come back for long.
    pub(crate) overdue: Vec<InstanceId>,
    pub(crate) actions: Vec<Action>,
}

/// A condition that the driver times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Condition {
    /// The instance is not in the roster, or leaves it without a plan.
    Missing,
    /// It looks healthy after the outage named.
    Healthy(Offset),
    /// Nothing runs on it.
    Idle(Offset),
    /// The outage is at this stage.
    Draining(Offset),
    /// It has not come back.
    Rebooting(Offset),
    /// It is postponed by this record.
    Postponed(Offset),
    /// A step is wanted.
    Pending(Offset, Step),
}

/// Kinds of steps, to tell wishes apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    Take,
    Commit,
    Cancel,
    Back,
    Lost,
    Order(OrderKind),
}

impl Driver {
    /// A driver that has seen nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            timers: Timers::default(),
            pending_resume: Set::default(),
            in_outage: Set::default(),
            step_count: 0,
            overdue: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Instances that worker control is to be asked about before the next step.
    pub fn instances_to_poll(&self, state: &cactuswheel_fleet::State) -> Vec<InstanceId> {
        let mut watched: Vec<_> = self.pending_resume.iter().cloned().collect();
        let active = state.disruptions().outages();
        watched.extend(active.map(|outage| outage.instance.clone()));
        let instances = &state.config().instances;
        let next = self.step_count % instances.len().max(1);
        watched.extend(instances.values().nth(next).map(|i| i.id.clone()));
        watched
    }

    /// Looks at the world and says what to do.
    ///
    /// Nothing comes out while the platform's word is old: the fold may have moved on, and
    /// neither a record nor an order could be confirmed.
    pub fn step(&mut self, view: &View<'_>) -> Vec<Action> {
        self.track_ended_outages(view);
        self.step_count += 1;
        if view.staleness > self.settings.max_staleness {
            // Timers break: what was seen before an outage of the platform proves nothing.
            self.timers.sweep();
            return Vec::new();
        }
        self.report_losses(view);
        self.advance_outages(view);
        self.end_stale_drains(view);
        self.start_outages(view);
        self.timers.sweep();
        std::mem::take(&mut self.actions)
    }

    /// Asks for a record once it was wanted for long enough that entries before this one in
    /// rank had their chance.
    pub(crate) fn propose(&mut self, view: &View<'_>, fence: Offset, step: Step, d: Disruption) {
        if self.due(view, d.instance().clone(), fence, step) {
            self.actions.push(Action::Propose(d));
        }
    }

    /// Gives an order, as [`propose`](Self::propose) does.
    pub(crate) fn order(&mut self, view: &View<'_>, order: Order) {
        let step = Step::Order(order.kind);
        if self.due(view, order.instance.clone(), order.fence, step) {
            self.actions.push(Action::Order(order));
        }
    }

    fn due(&mut self, view: &View<'_>, id: InstanceId, fence: Offset, step: Step) -> bool {
        let delay = self.settings.stagger * view.rank;
        let key = (id, Condition::Pending(fence, step));
        self.timers
            .due(key, view.now, delay, self.settings.retry_interval)
    }

    /// Names a condition that holds now and tells for how long it has.
    pub(crate) fn held_for(
        &mut self,
        view: &View<'_>,
        id: &InstanceId,
        condition: Condition,
    ) -> Duration {
        self.timers.elapsed((id.clone(), condition), view.now)
    }

    fn track_ended_outages(&mut self, view: &View<'_>) {
        let disruptions = view.state.disruptions();
        let ended = self
            .in_outage
            .iter()
            .filter(|id| disruptions.outage(id).is_none());
        self.pending_resume.extend(ended.cloned());
        self.in_outage = disruptions.outages().map(|o| o.instance.clone()).collect();
    }

    /// Lifts drains that no grant stands behind any more.
    ///
    /// Failure: the driver that cancelled a grant is replaced before it resumed the worker;
    /// symptom: a healthy instance that gets no work. Every driver that saw the grant looks
    /// after it, and all look at one instance after the other for drains sent late.
    fn end_stale_drains(&mut self, view: &View<'_>) {
        let disruptions = view.state.disruptions();
        for (id, status) in view.statuses {
            let current = disruptions.outage(id);
            if let crate::Activity::Draining(fence) = status.activity {
                let needed = current.is_some_and(|o| {
                    o.fence >= fence && matches!(o.stage, Stage::Draining(_) | Stage::Rebooting(_))
                });
                // A fold that lags has not read the grant yet. To end it then would leave a
                // committed reboot that worker control refuses for ever.
                let known = fence < view.state.next();
                if known && !needed {
                    let order = Order {
                        kind: OrderKind::Resume,
                        instance: id.clone(),
                        incarnation: status.incarnation,
                        fence,
                    };
                    self.order(view, order);
                }
                continue;
            }
            if current.is_none() {
                self.pending_resume.remove(id);
            }
        }
    }
}
