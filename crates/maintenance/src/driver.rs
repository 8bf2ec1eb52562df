//! The driver's loop.

use std::time::Duration;

use cactuswheel_fleet::Stage;
use cactuswheel_model::{Disruption, InstanceId, Offset, Set};

use crate::timers::Timers;
use crate::{Action, Order, Settings, Verb, View};

/// Carries outages through. Holds nothing that another entry's driver needs.
#[derive(Debug)]
pub struct Driver {
    pub(crate) settings: Settings,
    pub(crate) timers: Timers<(InstanceId, Mark)>,
    /// Instances whose grant ended and whose drain may still have to be lifted.
    released: Set<InstanceId>,
    /// Instances held when last looked at.
    held: Set<InstanceId>,
    /// Steps so far; walks over all instances to find drains that nobody remembers.
    steps: usize,
    /// Instances that have not come back for long.
    pub(crate) overdue: Vec<InstanceId>,
    pub(crate) actions: Vec<Action>,
}

/// A condition that the driver times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Mark {
    /// The instance is not in the roster, or leaves it without a plan.
    Missing,
    /// It looks healthy after the outage named.
    Healthy(Offset),
    /// Nothing runs on it.
    Quiet(Offset),
    /// The outage is at this stage.
    Draining(Offset),
    /// It has not come back.
    Away(Offset),
    /// It is postponed by this record.
    Postponed(Offset),
    /// A step is wanted.
    Want(Offset, Step),
}

/// Kinds of steps, to tell wishes apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    Take,
    Commit,
    Cancel,
    Back,
    Lost,
    Order(Verb),
}

impl Driver {
    /// A driver that has seen nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            timers: Timers::default(),
            released: Set::default(),
            held: Set::default(),
            steps: 0,
            overdue: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Instances that worker control is to be asked about before the next step.
    pub fn watched(&self, state: &cactuswheel_fleet::State) -> Vec<InstanceId> {
        let mut watched: Vec<_> = self.released.iter().cloned().collect();
        let holds = state.disruptions().outages();
        watched.extend(holds.map(|hold| hold.instance.clone()));
        let instances = &state.config().instances;
        let next = self.steps % instances.len().max(1);
        watched.extend(instances.values().nth(next).map(|i| i.id.clone()));
        watched
    }

    /// Looks at the world and says what to do.
    ///
    /// Nothing comes out while the platform's word is old: the fold may have moved on, and
    /// neither a record nor an order could be confirmed.
    pub fn step(&mut self, view: &View<'_>) -> Vec<Action> {
        self.note_released(view);
        self.steps += 1;
        if view.age > self.settings.fresh {
            // Timers break: what was seen before an outage of the platform proves nothing.
            self.timers.sweep();
            return Vec::new();
        }
        self.find_losses(view);
        self.carry_on(view);
        self.lift_drains(view);
        self.start(view);
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
        let step = Step::Order(order.verb);
        if self.due(view, order.instance.clone(), order.fence, step) {
            self.actions.push(Action::Order(order));
        }
    }

    fn due(&mut self, view: &View<'_>, id: InstanceId, fence: Offset, step: Step) -> bool {
        let patience = self.settings.stagger * view.rank;
        let key = (id, Mark::Want(fence, step));
        self.timers
            .due(key, view.now, patience, self.settings.retry)
    }

    /// Names a condition that holds now and tells for how long it has.
    pub(crate) fn held(&mut self, view: &View<'_>, id: &InstanceId, mark: Mark) -> Duration {
        self.timers.held((id.clone(), mark), view.now)
    }

    fn note_released(&mut self, view: &View<'_>) {
        let disruptions = view.state.disruptions();
        let ended = self
            .held
            .iter()
            .filter(|id| disruptions.outage(id).is_none());
        self.released.extend(ended.cloned());
        self.held = disruptions.outages().map(|h| h.instance.clone()).collect();
    }

    /// Lifts drains that no grant stands behind any more.
    ///
    /// Failure: the driver that cancelled a grant is replaced before it resumed the worker;
    /// symptom: a healthy instance that gets no work. Every driver that saw the grant looks
    /// after it, and all look at one instance after the other for drains sent late.
    fn lift_drains(&mut self, view: &View<'_>) {
        let disruptions = view.state.disruptions();
        for (id, look) in view.looks {
            let hold = disruptions.outage(id);
            if let crate::Activity::Draining(fence) = look.activity {
                let needed = hold.is_some_and(|h| {
                    h.fence >= fence && matches!(h.stage, Stage::Draining(_) | Stage::Rebooting(_))
                });
                // A fold that lags has not read the grant yet. To end it then would leave a
                // committed reboot that worker control refuses for ever.
                let known = fence < view.state.next();
                if known && !needed {
                    let order = Order {
                        verb: Verb::Resume,
                        instance: id.clone(),
                        incarnation: look.incarnation,
                        fence,
                    };
                    self.order(view, order);
                }
                continue;
            }
            if hold.is_none() {
                self.released.remove(id);
            }
        }
    }
}
