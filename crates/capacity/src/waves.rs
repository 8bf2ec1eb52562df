//! Waves of maintenance: each instance in time, not too many at once, at the least cost.
//!
//! Instances that are off or empty go first, since their maintenance ends nothing. Of the others
//! a few at a time get no new work, and lasting work leaves them within its budget; the closer
//! the end of the wave, the more of them.

use std::time::Duration;

use cactuswheel_model::{Map, Set, Time};
use cactuswheel_work::{InstanceName, InstanceOrder, InstanceState, ServiceName, Wave, WorkerId};

use crate::action::Action;
use crate::fleet::{Eligibility, Member, Ordered};
use crate::snapshot::Snapshot;

/// Time from closing a worker to the end of its instance's maintenance, beside the maintenance
/// itself: short work ends, and lasting work starts elsewhere, one task after the other.
const LEAVING: Duration = Duration::from_millis(4_000);

/// Instances of one wave that are emptied at a time while there is time enough.
const MIN_EMPTYING: usize = 2;

/// Time between two instances' maintenance, for orders and lists to go their way.
const TURN: Duration = Duration::from_millis(700);

/// How much earlier than that a wave goes first: under load it takes longer to empty workers.
const EARLIER: f64 = 1.6;

/// Instances of a wave that a line in the log names.
const MAX_NAMED: usize = 4;

/// What a wave is planned from.
pub(crate) struct WaveContext<'a> {
    pub(crate) now: Time,
    /// Time that maintenance takes.
    pub(crate) maintaining: Duration,
    pub(crate) ordered: &'a Map<InstanceName, Ordered>,
    /// Instances that an earlier owner ordered of late, with the wave if it was for one.
    pub(crate) reserved: &'a Map<InstanceName, Option<u64>>,
    /// Pools that want more instances than they have.
    pub(crate) short: &'a Set<&'a ServiceName>,
}

impl WaveContext<'_> {
    /// Whether an instance's pool wants more instances than it has.
    fn is_short(&self, member: &Member<'_>) -> bool {
        self.short.contains(&member.instance.pool)
    }
}

/// A wave and its instances, as of one plan.
pub(crate) struct WaveMembers<'a> {
    pub(crate) wave: &'a Wave,
    members: Vec<&'a Member<'a>>,
    /// Those that did not have their maintenance.
    pub(crate) left: Vec<&'a Member<'a>>,
}

impl WaveMembers<'_> {
    /// Instances that an earlier owner may have sent into their maintenance.
    ///
    /// Failure: a new owner counts its own orders only, and with those of the earlier one too many
    /// instances of the wave are down at once.
    fn foreign(&self, context: &WaveContext<'_>) -> usize {
        let members = self.members.iter().map(|m| m.instance);
        let others = members.filter(|i| !context.ordered.contains_key(&i.name));
        let down = others.filter(|i| {
            let ordered = context.reserved.get(&i.name) == Some(&Some(self.wave.number));
            i.state == InstanceState::Maintained || ordered
        });
        down.count()
    }
}

/// How far the waves are.
#[derive(Debug, Default)]
pub(crate) struct Waves {
    /// Instances that had their maintenance, by wave.
    pub(crate) done: Map<u64, Set<InstanceName>>,
    /// When each wave was first seen.
    seen: Map<u64, Time>,
    /// Waves that the operators were told of, and whether as complete.
    told: Map<u64, bool>,
    /// Workers that are emptied for a wave.
    pub(crate) emptying: Set<WorkerId>,
}

impl Waves {
    /// An instance had its maintenance.
    pub(crate) fn note(&mut self, wave: u64, instance: InstanceName) {
        self.done.entry(wave).or_default().insert(instance);
    }

    /// A wave was first seen at `at`; false if it is known already.
    pub(crate) fn begin(&mut self, wave: u64, at: Time) -> bool {
        match self.seen.contains_key(&wave) {
            true => false,
            false => self.seen.insert(wave, at).is_none(),
        }
    }

    /// The time of waves that were not seen before begins.
    pub(crate) fn begin_all(&mut self, snapshot: &Snapshot<'_>) -> Vec<Action> {
        let numbers = snapshot.waves.iter().map(|w| w.number);
        let fresh = numbers.filter(|n| self.begin(*n, snapshot.now));
        fresh.map(|wave| Action::Began { wave }).collect()
    }

    /// The instances of each wave.
    pub(crate) fn members<'a>(
        &self,
        waves: &'a [Wave],
        all: &'a [Member<'a>],
    ) -> Vec<WaveMembers<'a>> {
        let of = |wave: &'a Wave| {
            let names: Set<&InstanceName> = wave.instances.iter().collect();
            let members = all.iter().filter(|m| names.contains(&m.instance.name));
            let members: Vec<&Member<'a>> = members.collect();
            let done = self.done.get(&wave.number);
            let open = |m: &&&Member<'a>| done.is_none_or(|d| !d.contains(&m.instance.name));
            let left = members.iter().filter(open).copied().collect();
            WaveMembers {
                wave,
                members,
                left,
            }
        };
        waves.iter().map(of).collect()
    }

    /// Whether a wave has so little time left that it goes before what pools want.
    pub(crate) fn is_pressing(&self, of: &WaveMembers<'_>, context: &WaveContext<'_>) -> bool {
        let (wave, left) = (of.wave, of.left.len());
        let rounds = left.div_ceil(wave.cap.max(1) as usize) as u32;
        let needed = (context.maintaining + TURN) * rounds + LEAVING;
        left > 0 && self.time(wave, context.now) < needed.mul_f64(EARLIER)
    }

    /// What a wave needs now.
    pub(crate) fn plan(
        &mut self,
        of: &WaveMembers<'_>,
        context: &WaveContext<'_>,
        pressing: bool,
        taken: &Set<InstanceName>,
    ) -> Vec<Action> {
        let (wave, left) = (of.wave, &of.left);
        let mut actions = self.tell(wave, left.is_empty());
        let of_wave = |o: &&Ordered| match &o.order {
            InstanceOrder::Maintain { wave: number, .. } => *number == wave.number,
            InstanceOrder::Move { .. } => false,
        };
        let under_way = context.ordered.values().filter(of_wave).count();
        let under_way = under_way + of.foreign(context);
        let mut room = (wave.cap as usize).saturating_sub(under_way);
        for member in left {
            if room == 0 {
                return actions;
            }
            if taken.contains(&member.instance.name) {
                continue;
            }
            let worker = match &member.eligibility {
                Eligibility::Spare => None,
                Eligibility::Serving(_) if !pressing && context.is_short(member) => continue,
                Eligibility::Serving(view) | Eligibility::Closing(view) if view.runs == 0 => {
                    Some(view.worker.clone())
                }
                _ => continue,
            };
            room -= 1;
            let order = InstanceOrder::Maintain {
                instance: member.instance.name.clone(),
                wave: wave.number,
            };
            actions.push(Action::Order { order, worker });
        }
        let time = self.time(wave, context.now);
        actions.extend(self.empty_workers(wave, context, time, left, pressing));
        actions
    }

    /// Time until the wave has to be done.
    fn time(&self, wave: &Wave, now: Time) -> Duration {
        let seen = self.seen.get(&wave.number).copied().unwrap_or(now);
        wave.within.duration().saturating_sub(now.since(seen))
    }

    /// Workers on instances that a wave has yet to maintain.
    pub(crate) fn due(of: &WaveMembers<'_>) -> Vec<WorkerId> {
        let workers = of.left.iter().filter_map(|m| match &m.eligibility {
            Eligibility::Serving(view) | Eligibility::Closing(view) => Some(view.worker.clone()),
            _ => None,
        });
        workers.collect()
    }

    /// Says what is left of a wave, and why it waits.
    pub(crate) fn log(&self, of: &WaveMembers<'_>, now: Time) {
        let (wave, left) = (of.wave, &of.left);
        if left.is_empty() {
            return;
        }
        let count = |of: fn(&Eligibility<'_>) -> bool| {
            let found = left.iter().filter(|m| of(&m.eligibility));
            found.count() as u64
        };
        let first = left.iter().map(|m| m.instance.name.as_str());
        let first: Vec<&str> = first.take(MAX_NAMED).collect();
        log::info!(
            wave = wave.number, left = left.len() as u64,
            ms = self.time(wave, now).as_millis() as u64,
            spare = count(|s| matches!(s, Eligibility::Spare)),
            serving = count(|s| matches!(s, Eligibility::Serving(_))),
            closing = count(|s| matches!(s, Eligibility::Closing(_))),
            coming = count(|s| matches!(s, Eligibility::Coming(_) | Eligibility::Away)),
            dark = count(|s| matches!(s, Eligibility::Dark)), first:? = first;
            "wave"
        );
    }

    /// Tells the operators when a wave begins and when it is complete.
    fn tell(&mut self, wave: &Wave, complete: bool) -> Vec<Action> {
        if self.told.insert(wave.number, complete) == Some(complete) {
            return Vec::new();
        }
        vec![Action::Status {
            wave: wave.number,
            complete,
        }]
    }

    /// Workers that get no more work, so that their instances can have their maintenance.
    fn empty_workers(
        &mut self,
        wave: &Wave,
        context: &WaveContext<'_>,
        time: Duration,
        left: &[&Member<'_>],
        pressing: bool,
    ) -> Vec<Action> {
        let emptying = left.iter().filter(|m| match &m.eligibility {
            Eligibility::Closing(view) => self.emptying.contains(&view.worker),
            _ => false,
        });
        let emptying = emptying.count();
        // Workers without lasting work are left to their pools as long as there is time: most are
        // empty before the wave is over, and their maintenance then takes nothing from anybody.
        let slow = |m: &&&Member<'_>| match &m.eligibility {
            Eligibility::Serving(view) | Eligibility::Closing(view) => pressing || view.lasting > 0,
            _ => false,
        };
        let round = (LEAVING + context.maintaining).as_millis() as f64;
        let rounds = (time.as_millis() as f64 / round).max(1.0);
        let pace = (left.iter().filter(slow).count() as f64 / rounds).ceil() as usize;
        // Lasting work takes seconds to leave, so it begins whatever is under maintenance now, and
        // also in a pool that is short: a worker that holds it has little room for other work.
        let wanted = pace.max(MIN_EMPTYING).min(wave.cap as usize);
        let busy = left.iter().filter(slow);
        let mut busy: Vec<_> = busy
            .filter_map(|m| match &m.eligibility {
                Eligibility::Serving(view) => Some(*view),
                _ => None,
            })
            .collect();
        // A budget lets the tasks of a step leave one after the other, so those with the most of
        // them take the longest.
        busy.sort_by_key(|v| (std::cmp::Reverse(v.lasting), v.used.cpu));
        let chosen = busy.into_iter().take(wanted.saturating_sub(emptying));
        let chosen: Vec<WorkerId> = chosen.map(|v| v.worker.clone()).collect();
        let actions = chosen.into_iter().map(|worker| {
            self.emptying.insert(worker.clone());
            Action::Close {
                worker,
                evacuate: true,
            }
        });
        actions.collect()
    }
}
