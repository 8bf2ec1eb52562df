//! The planner.

use std::time::Duration;

use cactuswheel_model::{Map, Millis, Set, Time};
use cactuswheel_work::{
    InstanceName, InstanceOrder, InstanceOutcome, InstanceState, ServiceName, WorkerId,
};

use crate::action::Action;
use crate::fleet::{Eligibility, Member, Ordered, Unseen, members};
use crate::moves::Idle;
use crate::policy::PoolPolicy;
use crate::pool::{Pool, log_pools};
use crate::snapshot::Snapshot;
use crate::trend::Trend;
use crate::waves::{WaveContext, WaveMembers, Waves};

/// Age of the list of instances after which nothing is ordered: an instance may be elsewhere.
const LIST_TTL: Duration = Duration::from_millis(2_500);

/// Time after which an order that was never seen through is no longer waited for.
const ORDER_TTL: Duration = Duration::from_secs(20);

/// Pause before an order without an answer is given again.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Time between lines in the log on every pool.
const LOG_EVERY: Duration = Duration::from_millis(1_000);

/// Times that the platform sets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Times {
    /// Time that maintenance takes.
    pub maintaining: Millis,
}

/// What earlier planners have had remembered.
#[derive(Debug, Default)]
pub struct History {
    /// Instances that had their maintenance, by wave.
    pub maintained: Vec<(u64, InstanceName)>,
    /// When each wave was first seen.
    ///
    /// Failure: the time of a wave counts anew from each change of owners, nothing presses, and
    /// the operators' deadline passes with instances left.
    pub begun: Vec<(u64, Time)>,
}

/// Plans moves and maintenance of instances.
#[derive(Debug)]
pub struct Planner {
    times: Times,
    pub(crate) policy: PoolPolicy,
    pub(crate) trends: Map<ServiceName, Trend>,
    ordered: Map<InstanceName, Ordered>,
    unseen: Unseen,
    pub(crate) waves: Waves,
    /// Instances that cannot serve a pool.
    pub(crate) unfit: Map<ServiceName, Set<InstanceName>>,
    /// Workers on instances that are to be maintained before long.
    pub(crate) due: Set<WorkerId>,
    /// When it planned first, and whether the pools were at work then.
    pub(crate) first: Option<(Time, bool)>,
    /// When the pools were last told of in the log.
    logged: Time,
}

impl Planner {
    /// A planner that knows nothing but what earlier ones have had remembered.
    pub fn new(times: Times, past: History) -> Self {
        let mut waves = Waves::default();
        for (wave, instance) in past.maintained {
            waves.note(wave, instance);
        }
        for (wave, at) in past.begun {
            waves.begin(wave, at);
        }
        Self {
            times,
            policy: PoolPolicy::default(),
            trends: Map::default(),
            ordered: Map::default(),
            unseen: Unseen::default(),
            waves,
            unfit: Map::default(),
            due: Set::default(),
            first: None,
            logged: Time::default(),
        }
    }

    /// The same with other figures of how pools grow and shrink.
    pub fn with_policy(self, policy: PoolPolicy) -> Self {
        Self { policy, ..self }
    }

    /// Workers on instances that are to be maintained before long, as of the last plan.
    pub fn due(&self) -> &Set<WorkerId> {
        &self.due
    }

    /// What became of an order.
    pub fn ordered(&mut self, now: Time, instance: &InstanceName, outcome: InstanceOutcome) {
        let Some(given) = self.ordered.get_mut(instance) else {
            return;
        };
        given.flying = false;
        match outcome {
            InstanceOutcome::Done => {
                given.certain = true;
                given.at = now;
            }
            InstanceOutcome::Unknown => given.at = now,
            InstanceOutcome::Invalid => {
                if let InstanceOrder::Move { pool, .. } = &given.order {
                    let unfit = self.unfit.entry(pool.clone()).or_default();
                    unfit.insert(instance.clone());
                }
                self.ordered.remove(instance);
            }
            InstanceOutcome::OtherWave => {
                if let InstanceOrder::Maintain { wave, .. } = &given.order {
                    // It is not of the wave any more, so the wave does not wait for it.
                    let wave = *wave;
                    self.waves.note(wave, instance.clone());
                }
                self.ordered.remove(instance);
            }
            InstanceOutcome::Fence | InstanceOutcome::Busy | InstanceOutcome::Refused(_) => {
                self.ordered.remove(instance);
            }
        }
    }

    /// What is to be done now.
    pub fn plan(&mut self, snapshot: &Snapshot<'_>) -> Vec<Action> {
        let now = snapshot.now;
        if now.since(snapshot.listed) > LIST_TTL || snapshot.instances.is_empty() {
            return Vec::new();
        }
        let mut actions = self.track_orders(snapshot);
        actions.extend(self.waves.begin_all(snapshot));
        let all = members(snapshot, &self.ordered, &mut self.unseen);
        let waves = self.waves.members(snapshot.waves, &all);
        let targets = self.targets(snapshot);
        let mut pools: Map<&ServiceName, Pool<'_>> = Map::default();
        for (service, share) in &targets {
            let pool = pools.entry(service).or_default();
            (pool.target, pool.keep) = (share.target, share.keep);
            pool.least = share.least;
        }
        let mut spare = Vec::new();
        for member in &all {
            let pool = pools.entry(&member.instance.pool);
            match &member.eligibility {
                // Work could not start there: it stays where it is off.
                Eligibility::Spare if snapshot.evacuated.contains(&member.instance.zone) => {}
                Eligibility::Spare => spare.push(member),
                Eligibility::Serving(view) => pool.or_default().serving.push((member, view)),
                Eligibility::Closing(view) => pool.or_default().closing.push((member, view)),
                Eligibility::Coming(to) => {
                    if let Some(to) = targets.get_key_value(to).map(|(s, _)| s) {
                        pools.entry(to).or_default().coming += 1;
                    }
                }
                Eligibility::Away | Eligibility::Dark => {}
            }
        }
        let tell = now.since(self.logged) >= LOG_EVERY;
        if tell {
            self.logged = now;
            log_pools(&pools, spare.len());
        }
        let mut taken: Set<InstanceName> = actions.iter().filter_map(ordered_instance).collect();
        taken.extend(snapshot.reserved.keys().cloned());
        self.maintain(true, snapshot, &waves, &pools, &mut taken, &mut actions);
        spare.retain(|m| !taken.contains(&m.instance.name));
        // Those that a wave still wants stay where their maintenance is free.
        let left = waves.iter().flat_map(|w| &w.left);
        let wanted: Set<&InstanceName> = left.map(|m| &m.instance.name).collect();
        spare.sort_by_cached_key(|m| wanted.contains(&m.instance.name));
        self.grow(&mut pools, &mut spare, &mut taken, &mut actions);
        self.maintain(false, snapshot, &waves, &pools, &mut taken, &mut actions);
        let idle = Idle {
            spare: spare.len(),
            leaving: self.leaving(snapshot, &all),
        };
        self.shrink(&mut pools, snapshot, idle, &mut taken, &mut actions);
        for action in &actions {
            self.note(now, action);
        }
        actions
    }

    /// Instances on their way to where they are off.
    fn leaving(&self, snapshot: &Snapshot<'_>, all: &[Member<'_>]) -> usize {
        let leaving = all.iter().filter(|m| {
            let ordered = self.ordered.get(&m.instance.name).map(|o| &o.order);
            match ordered {
                Some(InstanceOrder::Move { pool, .. }) => snapshot.spare.contains(pool),
                Some(InstanceOrder::Maintain { .. }) => false,
                None => {
                    m.instance.state == InstanceState::Moving
                        && snapshot.spare.contains(&m.instance.pool)
                }
            }
        });
        leaving.count()
    }

    /// Waves that are pressing go before what pools want, the others after it.
    fn maintain(
        &mut self,
        pressing: bool,
        snapshot: &Snapshot<'_>,
        waves: &[WaveMembers<'_>],
        pools: &Map<&ServiceName, Pool<'_>>,
        taken: &mut Set<InstanceName>,
        actions: &mut Vec<Action>,
    ) {
        let short = pools.iter().filter(|(_, p)| p.target > p.have());
        let short: Set<&ServiceName> = short.map(|(s, _)| *s).collect();
        let context = WaveContext {
            now: snapshot.now,
            maintaining: self.times.maintaining.duration(),
            ordered: &self.ordered,
            reserved: snapshot.reserved,
            short: &short,
        };
        if pressing {
            self.due.clear();
        }
        for wave in waves {
            if pressing {
                self.due.extend(Waves::due(wave));
            }
            if pressing && self.logged == snapshot.now {
                self.waves.log(wave, snapshot.now);
            }
            if self.waves.is_pressing(wave, &context) == pressing {
                let wanted = self.waves.plan(wave, &context, pressing, taken);
                taken.extend(wanted.iter().filter_map(ordered_instance));
                actions.extend(wanted);
            }
        }
    }

    /// Orders that the list shows as carried out, and those to repeat.
    fn track_orders(&mut self, snapshot: &Snapshot<'_>) -> Vec<Action> {
        let now = snapshot.now;
        let mut actions = Vec::new();
        let mut over = Vec::new();
        let listed: Map<&InstanceName, InstanceState> = match self.ordered.is_empty() {
            true => Map::default(),
            false => snapshot
                .instances
                .iter()
                .map(|i| (&i.name, i.state))
                .collect(),
        };
        for (name, given) in &mut self.ordered {
            let Some(state) = listed.get(name) else {
                over.push(name.clone());
                continue;
            };
            if given.flying {
                continue;
            }
            if !given.certain {
                if now.since(given.at) >= RETRY_PAUSE {
                    given.flying = true;
                    actions.push(Action::Order {
                        order: given.order.clone(),
                        worker: given.worker.clone(),
                    });
                }
                continue;
            }
            let settled = snapshot.listed > given.at
                && matches!(state, InstanceState::Up | InstanceState::Down);
            if settled || now.since(given.at) > ORDER_TTL {
                over.push(name.clone());
                if let InstanceOrder::Maintain { instance, wave } = &given.order {
                    actions.push(Action::Maintained {
                        wave: *wave,
                        instance: instance.clone(),
                    });
                }
            }
        }
        for name in over {
            self.ordered.remove(&name);
            self.unseen.remove(&name);
        }
        for action in &actions {
            if let Action::Maintained { wave, instance } = action {
                self.waves.note(*wave, instance.clone());
            }
        }
        actions
    }

    /// Remembers what is ordered, so that it is not ordered twice.
    fn note(&mut self, now: Time, action: &Action) {
        let Action::Order { order, worker } = action else {
            return;
        };
        let name = match order {
            InstanceOrder::Move { instance, .. } | InstanceOrder::Maintain { instance, .. } => {
                instance.clone()
            }
        };
        if let Some(worker) = worker {
            self.waves.emptying.remove(worker);
        }
        self.ordered.entry(name).or_insert_with(|| Ordered {
            order: order.clone(),
            at: now,
            certain: false,
            flying: true,
            worker: worker.clone(),
        });
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
