//! The planner.

use std::time::Duration;

use cactuswheel_model::{Map, Millis, Set, Time};
use cactuswheel_work::{
    InstanceName, InstanceOrder, InstanceOutcome, InstanceState, ServiceName, WorkerId,
};

use crate::duty::Duty;
use crate::fleet::{Member, Ordered, Standing, Unseen, members};
use crate::moves::Idle;
use crate::policy::PoolPolicy;
use crate::pool::{Pool, tell_pools};
use crate::snapshot::Snapshot;
use crate::trend::Trend;
use crate::waves::{Scene, WaveMembers, Waves};

/// Age of the list of instances after which nothing is ordered: an instance may be elsewhere.
const LIST_LIMIT: Duration = Duration::from_millis(2_500);

/// Time after which an order that was never seen through is no longer waited for.
const ORDER_LIMIT: Duration = Duration::from_secs(20);

/// Pause before an order without an answer is given again.
const REPEAT: Duration = Duration::from_millis(400);

/// Time between lines in the log on every pool.
const TELL_EVERY: Duration = Duration::from_millis(1_000);

/// Times that the platform sets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Times {
    /// Time that maintenance takes.
    pub maintaining: Millis,
}

/// What earlier planners have had remembered.
#[derive(Debug, Default)]
pub struct Past {
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
    told: Time,
}

impl Planner {
    /// A planner that knows nothing but what earlier ones have had remembered.
    pub fn new(times: Times, past: Past) -> Self {
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
            told: Time::default(),
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
    pub fn plan(&mut self, snapshot: &Snapshot<'_>) -> Vec<Duty> {
        let now = snapshot.now;
        if now.since(snapshot.listed) > LIST_LIMIT || snapshot.instances.is_empty() {
            return Vec::new();
        }
        let mut duties = self.see_through(snapshot);
        duties.extend(self.waves.begin_all(snapshot));
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
            match &member.standing {
                // Work could not start there: it stays where it is off.
                Standing::Spare if snapshot.evacuated.contains(&member.instance.zone) => {}
                Standing::Spare => spare.push(member),
                Standing::Serving(view) => pool.or_default().serving.push((member, view)),
                Standing::Closing(view) => pool.or_default().closing.push((member, view)),
                Standing::Coming(to) => {
                    if let Some(to) = targets.get_key_value(to).map(|(s, _)| s) {
                        pools.entry(to).or_default().coming += 1;
                    }
                }
                Standing::Away | Standing::Dark => {}
            }
        }
        let tell = now.since(self.told) >= TELL_EVERY;
        if tell {
            self.told = now;
            tell_pools(&pools, spare.len());
        }
        let mut taken: Set<InstanceName> = duties.iter().filter_map(ordered_instance).collect();
        taken.extend(snapshot.reserved.keys().cloned());
        self.maintain(true, snapshot, &waves, &pools, &mut taken, &mut duties);
        spare.retain(|m| !taken.contains(&m.instance.name));
        // Those that a wave still wants stay where their maintenance is free.
        let left = waves.iter().flat_map(|w| &w.left);
        let wanted: Set<&InstanceName> = left.map(|m| &m.instance.name).collect();
        spare.sort_by_cached_key(|m| wanted.contains(&m.instance.name));
        self.grow(&mut pools, &mut spare, &mut taken, &mut duties);
        self.maintain(false, snapshot, &waves, &pools, &mut taken, &mut duties);
        let idle = Idle {
            spare: spare.len(),
            leaving: self.leaving(snapshot, &all),
        };
        self.shrink(&mut pools, snapshot, idle, &mut taken, &mut duties);
        for duty in &duties {
            self.note(now, duty);
        }
        duties
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
        duties: &mut Vec<Duty>,
    ) {
        let short = pools.iter().filter(|(_, p)| p.target > p.have());
        let short: Set<&ServiceName> = short.map(|(s, _)| *s).collect();
        let scene = Scene {
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
            if pressing && self.told == snapshot.now {
                self.waves.log(wave, snapshot.now);
            }
            if self.waves.is_pressing(wave, &scene) == pressing {
                let wanted = self.waves.plan(wave, &scene, pressing, taken);
                taken.extend(wanted.iter().filter_map(ordered_instance));
                duties.extend(wanted);
            }
        }
    }

    /// Orders that the list shows as carried out, and those to repeat.
    fn see_through(&mut self, snapshot: &Snapshot<'_>) -> Vec<Duty> {
        let now = snapshot.now;
        let mut duties = Vec::new();
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
                if now.since(given.at) >= REPEAT {
                    given.flying = true;
                    duties.push(Duty::Order {
                        order: given.order.clone(),
                        worker: given.worker.clone(),
                    });
                }
                continue;
            }
            let settled = snapshot.listed > given.at
                && matches!(state, InstanceState::Up | InstanceState::Down);
            if settled || now.since(given.at) > ORDER_LIMIT {
                over.push(name.clone());
                if let InstanceOrder::Maintain { instance, wave } = &given.order {
                    duties.push(Duty::Maintained {
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
        for duty in &duties {
            if let Duty::Maintained { wave, instance } = duty {
                self.waves.note(*wave, instance.clone());
            }
        }
        duties
    }

    /// Remembers what is ordered, so that it is not ordered twice.
    fn note(&mut self, now: Time, duty: &Duty) {
        let Duty::Order { order, worker } = duty else {
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

fn ordered_instance(duty: &Duty) -> Option<InstanceName> {
    match duty {
        Duty::Order {
            order: InstanceOrder::Move { instance, .. } | InstanceOrder::Maintain { instance, .. },
            ..
        } => Some(instance.clone()),
        _ => None,
    }
}
