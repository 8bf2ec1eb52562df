//! The planner, which combines orders in progress, pool targets and waves into one plan.

use std::time::Duration;

use cactuswheel_demand::{Blockage, HoldChange, HoldPolicy, OutageHold, longest_silence};
use cactuswheel_model::{Map, Millis, Set, Time};
use cactuswheel_work::{
    InstanceName, InstanceOrder, InstanceOutcome, InstanceState, ServiceName, WorkerId,
};

use crate::action::Action;
use crate::fleet::{Eligibility, Member, PendingOrder, UnusableSince, classify};
use crate::hold_log::log_hold;
use crate::moves::Unused;
use crate::policy::PoolPolicy;
use crate::pool::{Pool, log_pools};
use crate::snapshot::Snapshot;
use crate::trend::Trend;
use crate::waves::{WaveContext, WaveMembers, Waves};

/// Age of the instance list beyond which no orders are issued, as instances may have moved since.
const LIST_TTL: Duration = Duration::from_millis(2_500);

/// Time after which the planner stops waiting for the completion of an order.
const ORDER_TTL: Duration = Duration::from_secs(20);

/// Delay before an order without a response is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Delay before an order is sent again of which a repetition was refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(1_500);

/// Interval between log lines on every pool.
const LOG_EVERY: Duration = Duration::from_millis(1_000);

/// Durations that depend on the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timings {
    /// Duration of an instance's maintenance.
    pub maintenance: Millis,
}

/// State that earlier planners stored.
#[derive(Debug, Default)]
pub struct History {
    /// Instances that had their maintenance, with the wave.
    pub maintained: Vec<(u64, InstanceName)>,
    /// When each wave was first seen.
    ///
    /// Without this record, the time of a wave would count anew from each change of owners, no wave
    /// would become urgent, and the operators' deadline would pass with instances left.
    pub wave_starts: Vec<(u64, Time)>,
}

/// Plans moves and maintenance of instances.
#[derive(Debug)]
pub struct Planner {
    times: Timings,
    pub(crate) policy: PoolPolicy,
    /// Hold of the pools during an outage.
    pub(crate) hold: OutageHold,
    pub(crate) trends: Map<ServiceName, Trend>,
    pending_orders: Map<InstanceName, PendingOrder>,
    unusable_since: UnusableSince,
    pub(crate) waves: Waves,
    /// Instances that cannot serve a pool, as the platform rejected the move as invalid.
    pub(crate) unfit: Map<ServiceName, Set<InstanceName>>,
    /// Workers on instances that are due for maintenance soon.
    pub(crate) maintenance_due: Set<WorkerId>,
    /// Time of the first plan, and whether the pools had running work then.
    pub(crate) first_plan: Option<(Time, bool)>,
    /// When the state of the pools was last logged.
    last_logged: Time,
}

impl PendingOrder {
    /// Whether the order may still be carried out although a repetition of it was refused.
    ///
    /// If it counted as given up, another instance would be sent into maintenance in its place, one
    /// more than the wave allows, or a worker would be opened whose instance is about to move.
    fn is_doubtful(&self, now: Time) -> bool {
        self.doubt.is_some_and(|at| now.since(at) < ORDER_TTL)
    }
}

impl Planner {
    /// Creates a planner that knows only what earlier planners stored.
    pub fn new(times: Timings, past: History) -> Self {
        let mut waves = Waves::default();
        for (wave, instance) in past.maintained {
            waves.mark_done(wave, instance);
        }
        for (wave, at) in past.wave_starts {
            waves.record_start(wave, at);
        }
        Self {
            times,
            policy: PoolPolicy::default(),
            hold: OutageHold::default(),
            trends: Map::default(),
            pending_orders: Map::default(),
            unusable_since: UnusableSince::default(),
            waves,
            unfit: Map::default(),
            maintenance_due: Set::default(),
            first_plan: None,
            last_logged: Time::default(),
        }
    }

    /// Replaces the parameters of how pools grow and shrink.
    pub fn with_policy(self, policy: PoolPolicy) -> Self {
        Self { policy, ..self }
    }

    /// Replaces the parameters of the hold during an outage.
    pub fn with_hold(self, policy: HoldPolicy) -> Self {
        let hold = OutageHold::new(policy);
        Self { hold, ..self }
    }

    /// Records whether the cell can start work now. Has to be called before each plan, and also
    /// while nothing can be planned. Returns the begin or the end of a hold.
    pub fn observe(&mut self, now: Time, blockage: Option<Blockage>) -> Option<HoldChange> {
        let change = self.hold.observe(now, blockage)?;
        log_hold(&change);
        Some(change)
    }

    /// Workers on instances that are due for maintenance soon, as of the last plan.
    pub fn maintenance_due(&self) -> &Set<WorkerId> {
        &self.maintenance_due
    }

    /// Handles the outcome of an order. Returns whether the order is still pending; if not, it is
    /// certainly not carried out any more, unless the outcome says that it was.
    pub fn record_outcome(
        &mut self,
        now: Time,
        instance: &InstanceName,
        outcome: InstanceOutcome,
    ) -> bool {
        let Some(pending) = self.pending_orders.get_mut(instance) else {
            return false;
        };
        pending.in_flight = false;
        match outcome {
            InstanceOutcome::Done => {
                pending.confirmed = true;
                pending.updated = now;
            }
            InstanceOutcome::Unknown => {
                pending.updated = now;
                pending.doubt = Some(now);
            }
            InstanceOutcome::Busy | InstanceOutcome::Refused(_) if pending.is_doubtful(now) => {
                pending.updated = now;
            }
            InstanceOutcome::Invalid => {
                if let InstanceOrder::Move { pool, .. } = &pending.order {
                    let unfit = self.unfit.entry(pool.clone()).or_default();
                    unfit.insert(instance.clone());
                }
                self.pending_orders.remove(instance);
            }
            InstanceOutcome::OtherWave => {
                if let InstanceOrder::Maintain { wave, .. } = &pending.order {
                    // The instance is no longer part of the wave, so the wave does not wait for it.
                    let wave = *wave;
                    self.waves.mark_done(wave, instance.clone());
                }
                self.pending_orders.remove(instance);
            }
            InstanceOutcome::Fence | InstanceOutcome::Busy | InstanceOutcome::Refused(_) => {
                self.pending_orders.remove(instance);
            }
        }
        self.pending_orders.contains_key(instance)
    }

    /// Returns the actions to execute now.
    pub fn plan(&mut self, snapshot: &Snapshot<'_>) -> Vec<Action> {
        let now = snapshot.now;
        if now.since(snapshot.listed) > LIST_TTL || snapshot.instances.is_empty() {
            return Vec::new();
        }
        if self.first_plan.is_none() {
            self.hold_after_takeover(snapshot);
        }
        let mut actions = self.update_pending_orders(snapshot);
        actions.extend(self.waves.start_new_waves(snapshot));
        let all = classify(snapshot, &self.pending_orders, &mut self.unusable_since);
        let waves = self.waves.members(snapshot.waves, &all);
        let targets = self.targets(snapshot);
        let mut pools: Map<&ServiceName, Pool<'_>> = Map::default();
        for (service, share) in &targets {
            let pool = pools.entry(service).or_default();
            (pool.target, pool.keep) = (share.target, share.keep);
            pool.minimum = share.minimum;
        }
        let mut spare = Vec::new();
        for member in &all {
            let pool = pools.entry(&member.instance.pool);
            match &member.eligibility {
                // No work can start in an evacuated data centre, so the instance stays powered off.
                Eligibility::Spare if snapshot.evacuated.contains(&member.instance.zone) => {}
                Eligibility::Spare => spare.push(member),
                Eligibility::Serving(view) => pool.or_default().serving.push((member, view)),
                Eligibility::Closing(view) => pool.or_default().closing.push((member, view)),
                Eligibility::Arriving(to) => {
                    if let Some(to) = targets.get_key_value(to).map(|(s, _)| s) {
                        pools.entry(to).or_default().arriving += 1;
                    }
                }
                Eligibility::Unavailable | Eligibility::Unreachable => {}
            }
        }
        if self.hold.since().is_some() {
            hold_pools(&mut pools);
        }
        let log_due = now.since(self.last_logged) >= LOG_EVERY;
        if log_due {
            self.last_logged = now;
            log_pools(&pools, snapshot.loads, spare.len());
        }
        let mut claimed: Set<InstanceName> = actions.iter().filter_map(ordered_instance).collect();
        claimed.extend(snapshot.reserved.keys().cloned());
        self.plan_waves(true, snapshot, &waves, &pools, &mut claimed, &mut actions);
        spare.retain(|m| !claimed.contains(&m.instance.name));
        // Spare instances that a wave has yet to maintain are used last, as their maintenance costs
        // nothing while they are powered off.
        let remaining = waves.iter().flat_map(|w| &w.remaining);
        let awaiting: Set<&InstanceName> = remaining.map(|m| &m.instance.name).collect();
        spare.sort_by_cached_key(|m| awaiting.contains(&m.instance.name));
        self.grow(&mut pools, &mut spare, &mut claimed, &mut actions);
        self.plan_waves(false, snapshot, &waves, &pools, &mut claimed, &mut actions);
        let unused = Unused {
            spare: spare.len(),
            releasing: self.count_releasing(snapshot, &all),
        };
        self.shrink(&mut pools, snapshot, unused, &mut claimed, &mut actions);
        for action in &actions {
            self.add_pending_order(now, action);
        }
        actions
    }

    /// Holds the pools if no arrivals are known of the time before the first plan, because no owner
    /// ran the cell.
    ///
    /// Otherwise a new owner takes a queue at its peak for an idle one, as no job arrived in the
    /// seconds before it took over.
    fn hold_after_takeover(&mut self, snapshot: &Snapshot<'_>) {
        let arrivals = snapshot.loads.values().flat_map(|l| l.arrivals.values());
        let restored = arrivals.flat_map(|a| &a.restored).copied();
        if let Some(since) = longest_silence(restored, snapshot.now)
            && let Some(change) = self.hold.take_over(since, snapshot.now)
        {
            log_hold(&change);
        }
    }

    /// Number of instances on their way to a spare pool.
    fn count_releasing(&self, snapshot: &Snapshot<'_>, all: &[Member<'_>]) -> usize {
        let releasing = all.iter().filter(|m| {
            let pending = self.pending_orders.get(&m.instance.name).map(|o| &o.order);
            match pending {
                Some(InstanceOrder::Move { pool, .. }) => snapshot.spare.contains(pool),
                Some(InstanceOrder::Maintain { .. }) => false,
                None => {
                    m.instance.state == InstanceState::Moving
                        && snapshot.spare.contains(&m.instance.pool)
                }
            }
        });
        releasing.count()
    }

    /// Plans either the urgent waves or the others. Urgent waves are planned before the pools'
    /// demand is served, the others after it.
    fn plan_waves(
        &mut self,
        urgent: bool,
        snapshot: &Snapshot<'_>,
        waves: &[WaveMembers<'_>],
        pools: &Map<&ServiceName, Pool<'_>>,
        claimed: &mut Set<InstanceName>,
        actions: &mut Vec<Action>,
    ) {
        let short = pools.iter().filter(|(_, p)| p.target > p.current());
        let short_pools: Set<&ServiceName> = short.map(|(s, _)| *s).collect();
        let context = WaveContext {
            now: snapshot.now,
            maintenance: self.times.maintenance.duration(),
            pending_orders: &self.pending_orders,
            reserved: snapshot.reserved,
            short_pools: &short_pools,
        };
        if urgent {
            self.maintenance_due.clear();
        }
        for wave in waves {
            if urgent {
                self.maintenance_due.extend(Waves::workers_due(wave));
            }
            if urgent && self.last_logged == snapshot.now {
                self.waves.log(wave, snapshot.now);
            }
            if self.waves.is_urgent(wave, &context) == urgent {
                let planned = self.waves.plan(wave, &context, urgent, claimed);
                claimed.extend(planned.iter().filter_map(ordered_instance));
                actions.extend(planned);
            }
        }
    }

    /// Removes the orders that the instance list shows as completed, and returns the actions that
    /// follow: unconfirmed orders to send again and completed maintenance to store.
    fn update_pending_orders(&mut self, snapshot: &Snapshot<'_>) -> Vec<Action> {
        let now = snapshot.now;
        let mut actions = Vec::new();
        let mut finished = Vec::new();
        let listed: Map<&InstanceName, InstanceState> = match self.pending_orders.is_empty() {
            true => Map::default(),
            false => snapshot
                .instances
                .iter()
                .map(|i| (&i.name, i.state))
                .collect(),
        };
        for (name, pending) in &mut self.pending_orders {
            let Some(state) = listed.get(name) else {
                finished.push(name.clone());
                continue;
            };
            if pending.in_flight {
                continue;
            }
            if !pending.confirmed {
                let pause = match pending.doubt == Some(pending.updated) {
                    true => RETRY_PAUSE,
                    false => REFUSED_PAUSE,
                };
                if now.since(pending.updated) >= pause {
                    pending.in_flight = true;
                    actions.push(Action::Order {
                        order: pending.order.clone(),
                        worker: pending.worker.clone(),
                    });
                }
                continue;
            }
            let settled = snapshot.listed > pending.updated
                && matches!(state, InstanceState::Up | InstanceState::Down);
            if settled || now.since(pending.updated) > ORDER_TTL {
                finished.push(name.clone());
                if let InstanceOrder::Maintain { instance, wave } = &pending.order {
                    actions.push(Action::RecordMaintained {
                        wave: *wave,
                        instance: instance.clone(),
                    });
                }
            }
        }
        for name in finished {
            self.pending_orders.remove(&name);
            self.unusable_since.remove(&name);
        }
        for action in &actions {
            if let Action::RecordMaintained { wave, instance } = action {
                self.waves.mark_done(*wave, instance.clone());
            }
        }
        actions
    }

    /// Remembers an order, so that the instance gets no second one meanwhile.
    fn add_pending_order(&mut self, now: Time, action: &Action) {
        let Action::Order { order, worker } = action else {
            return;
        };
        let name = match order {
            InstanceOrder::Move { instance, .. } | InstanceOrder::Maintain { instance, .. } => {
                instance.clone()
            }
        };
        if let Some(worker) = worker {
            self.waves.draining.remove(worker);
            self.waves.vacating.remove(worker);
        }
        self.pending_orders
            .entry(name)
            .or_insert_with(|| PendingOrder {
                order: order.clone(),
                updated: now,
                confirmed: false,
                in_flight: true,
                doubt: None,
                worker: worker.clone(),
            });
    }
}

/// Prevents that pools shrink: each retains what it has. Instances that a pool does not want now
/// still go to a pool that does.
fn hold_pools(pools: &mut Map<&ServiceName, Pool<'_>>) {
    for pool in pools.values_mut() {
        pool.keep = pool.keep.max(pool.current());
    }
}

fn ordered_instance(action: &Action) -> Option<InstanceName> {
    match action {
        Action::Order {
            order: InstanceOrder::Move { instance, .. } | InstanceOrder::Maintain { instance, .. },
            ..
        } => Some(instance.clone()),
        _ => None,
    }
}
