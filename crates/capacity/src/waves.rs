//! Waves of maintenance: each instance in time, not too many at once, at the least cost.
//!
//! Instances that are off or empty go first, since their maintenance ends nothing. Of the others
//! a few at a time get no new work, and lasting work leaves them within its budget; the closer
//! the end of the wave, the more of them.

use std::time::Duration;

use cactuswheel_model::{Map, Set, Time};
use cactuswheel_work::{InstanceName, InstanceOrder, Wave, WorkerId};

use crate::duty::Duty;
use crate::fleet::{Member, Ordered, Standing};

/// Time from closing a worker to the end of its instance's maintenance, beside the maintenance
/// itself: short work ends, and lasting work starts elsewhere, one task after the other.
const LEAVING: Duration = Duration::from_millis(4_000);

/// Instances of one wave that are emptied at a time while there is time enough.
const GENTLE: usize = 2;

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

    /// Whether a wave still wants this instance.
    pub(crate) fn wants(&self, waves: &[Wave], instance: &InstanceName) -> bool {
        waves.iter().any(|w| {
            let done = self.done.get(&w.number);
            w.instances.contains(instance) && done.is_none_or(|d| !d.contains(instance))
        })
    }

    /// What a wave needs now.
    pub(crate) fn plan(
        &mut self,
        wave: &Wave,
        now: Time,
        maintaining: Duration,
        members: &[Member<'_>],
        ordered: &Map<InstanceName, Ordered>,
    ) -> Vec<Duty> {
        let seen = *self.seen.entry(wave.number).or_insert(now);
        let done = self.done.entry(wave.number).or_default();
        let of_wave = members
            .iter()
            .filter(|m| wave.instances.contains(&m.instance.name));
        let left: Vec<&Member<'_>> = of_wave
            .filter(|m| !done.contains(&m.instance.name))
            .collect();
        let mut duties = Vec::new();
        let complete = left.is_empty();
        if self.told.get(&wave.number) != Some(&complete) {
            self.told.insert(wave.number, complete);
            duties.push(Duty::Status {
                wave: wave.number,
                complete,
            });
        }
        let under_way = ordered
            .values()
            .filter(|o| matches!(&o.order, InstanceOrder::Maintain { wave: n, .. } if *n == wave.number))
            .count();
        let mut room = (wave.cap as usize).saturating_sub(under_way);
        for member in &left {
            if room == 0 {
                return duties;
            }
            let worker = match &member.standing {
                Standing::Spare => None,
                Standing::Serving(view) | Standing::Closing(view) if view.runs == 0 => {
                    Some(view.worker.clone())
                }
                _ => continue,
            };
            room -= 1;
            let order = InstanceOrder::Maintain {
                instance: member.instance.name.clone(),
                wave: wave.number,
            };
            duties.push(Duty::Order { order, worker });
        }
        let passed = now.since(seen);
        let time = wave.within.duration().saturating_sub(passed);
        duties.extend(self.empty_some(wave, time, maintaining, &left, room));
        duties
    }

    /// Workers that get no more work, so that their instances can have their maintenance.
    fn empty_some(
        &mut self,
        wave: &Wave,
        time: Duration,
        maintaining: Duration,
        left: &[&Member<'_>],
        room: usize,
    ) -> Vec<Duty> {
        let emptying = left.iter().filter(|m| match &m.standing {
            Standing::Closing(view) => self.emptying.contains(&view.worker),
            _ => false,
        });
        let emptying = emptying.count();
        let round = (LEAVING + maintaining).as_millis() as f64;
        let rounds = (time.as_millis() as f64 / round).max(1.0);
        let pace = (left.len() as f64 / rounds).ceil() as usize;
        let wanted = pace.max(GENTLE).min(wave.cap as usize).min(room + emptying);
        let mut busy: Vec<_> = left
            .iter()
            .filter_map(|m| match &m.standing {
                Standing::Serving(view) => Some(*view),
                _ => None,
            })
            .collect();
        // The least is lost where the least runs.
        busy.sort_by_key(|v| (v.lasting, v.used.cpu));
        let chosen = busy.into_iter().take(wanted.saturating_sub(emptying));
        let chosen: Vec<WorkerId> = chosen.map(|v| v.worker.clone()).collect();
        let duties = chosen.into_iter().map(|worker| {
            self.emptying.insert(worker.clone());
            Duty::Close {
                worker,
                evacuate: true,
            }
        });
        duties.collect()
    }
}
