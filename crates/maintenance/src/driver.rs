//! The maintenance driver and its control loop.

use std::time::Duration;

use cactuswheel_fleet::Stage;
use cactuswheel_model::{Disruption, InstanceId, Offset, Set};

use crate::timers::Timers;
use crate::{Action, Order, OrderKind, Settings, View};

/// Starts outages and takes them through their stages.
///
/// Holds local state only; the driver of any other entry can take over at any time.
#[derive(Debug)]
pub struct Driver {
    pub(crate) settings: Settings,
    pub(crate) timers: Timers<(InstanceId, Condition)>,
    /// Instances whose outage has ended and that may still need a resume order.
    pending_resume: Set<InstanceId>,
    /// Instances that had an outage at the previous step.
    in_outage: Set<InstanceId>,
    /// Number of steps so far; selects one more instance to poll per step, in turn, so that
    /// drains without an outage are found.
    step_count: usize,
    /// Instances whose reboot has taken longer than `overdue_timeout`.
    pub(crate) overdue: Vec<InstanceId>,
    pub(crate) actions: Vec<Action>,
}

/// A condition whose duration the driver tracks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Condition {
    /// The instance is absent from the roster or listed as leaving, and is not rebooting, not
    /// arriving and not yet recorded as lost.
    Missing,
    /// The instance is live and serving after the outage with this fencing token.
    Healthy(Offset),
    /// The instance is draining under this fencing token and runs no work.
    Idle(Offset),
    /// The outage with this fencing token is in the draining stage.
    Draining(Offset),
    /// The outage with this fencing token is in the rebooting stage.
    Rebooting(Offset),
    /// The record at this offset has postponed the instance.
    Postponed(Offset),
    /// This step is pending for the outage with this fencing token; 0 if there is no outage yet.
    Pending(Offset, Step),
}

/// Kind of a proposed record or order; each kind has its own retry timer.
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
    /// Creates a driver without any tracked state.
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

    /// Instances whose status the caller should query from worker control before the next step.
    ///
    /// These are the instances with an outage, those that may need a resume order, and one other
    /// instance per step, in turn.
    pub fn instances_to_poll(&self, state: &cactuswheel_fleet::State) -> Vec<InstanceId> {
        let mut watched: Vec<_> = self.pending_resume.iter().cloned().collect();
        let active = state.disruptions().outages();
        watched.extend(active.map(|outage| outage.instance.clone()));
        let instances = &state.config().instances;
        let next = self.step_count % instances.len().max(1);
        watched.extend(instances.values().nth(next).map(|i| i.id.clone()));
        watched
    }

    /// Runs one pass of the control loop and returns the actions to carry out.
    ///
    /// Returns no actions while the platform data is stale: the log may hold newer records that
    /// this entry has not read, and neither a record nor an order could be confirmed.
    pub fn step(&mut self, view: &View<'_>) -> Vec<Action> {
        self.track_ended_outages(view);
        self.step_count += 1;
        if view.staleness > self.settings.max_staleness {
            // Resets all timers: after the platform was unreachable, conditions observed before
            // may not have held without interruption.
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

    /// Proposes a record once it has been pending for `stagger` times this entry's rank, so that
    /// entries with a lower rank number propose it first.
    pub(crate) fn propose(&mut self, view: &View<'_>, fence: Offset, step: Step, d: Disruption) {
        if self.due(view, d.instance().clone(), fence, step) {
            self.actions.push(Action::Propose(d));
        }
    }

    /// Sends an order, with the same delay and retries as [`propose`](Self::propose).
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

    /// Marks a condition as true now and returns how long it has held without interruption.
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

    /// Resumes instances that are draining without an outage that requires it.
    ///
    /// A driver may cancel an outage and be replaced before it resumes the worker; without this
    /// pass, the healthy instance would receive no work. Every driver that saw the outage polls
    /// the instance until the drain has ended, and all drivers poll the remaining instances in
    /// turn to find drain orders that took effect late.
    fn end_stale_drains(&mut self, view: &View<'_>) {
        let disruptions = view.state.disruptions();
        for (id, status) in view.statuses {
            let current = disruptions.outage(id);
            if let crate::Activity::Draining(fence) = status.activity {
                let needed = current.is_some_and(|o| {
                    o.fence >= fence && matches!(o.stage, Stage::Draining(_) | Stage::Rebooting(_))
                });
                // If this entry's state lags behind the log, it has not read the grant yet.
                // Resuming the instance would revoke that fencing token, and worker control would
                // then reject the reboot forever once it is committed.
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
