//! Moves of instances: pools that are short grow, those with too many shrink.

use cactuswheel_cell::WorkerView;
use cactuswheel_model::{Map, Set};
use cactuswheel_work::{InstanceName, InstanceOrder, ServiceName, WorkerId};

use crate::action::Action;
use crate::fleet::Member;
use crate::planner::Planner;
use crate::pool::Pool;
use crate::snapshot::Snapshot;

impl Planner {
    /// Pools that are short get instances: those about to leave stay, then spare ones come, then
    /// those that other pools have too many of.
    ///
    /// Failure: lasting work has no place for ten seconds, because a pool that lacks two
    /// instances for it comes after one that lacks twenty for a surge. Pools that lack a place
    /// for lasting work go first.
    pub(super) fn grow<'a>(
        &mut self,
        pools: &mut Map<&ServiceName, Pool<'a>>,
        spare: &mut Vec<&'a Member<'a>>,
        taken: &mut Set<InstanceName>,
        actions: &mut Vec<Action>,
    ) {
        let short = pools.iter().filter(|(_, p)| p.target > p.have());
        let mut short: Vec<(bool, usize, ServiceName)> = short
            .map(|(s, p)| (p.lacks(), p.target - p.have(), (*s).clone()))
            .collect();
        short.sort_by(|a, b| b.cmp(a));
        for (_, mut missing, service) in short {
            missing -= self.reopen(pools.get_mut(&service), missing, taken, actions);
            while missing > 0 {
                // What another pool is about to send away goes there by one move instead of two.
                let member = self
                    .borrow(pools, &service, taken, |p| p.keep)
                    .or_else(|| Some((self.take_spare(spare, &service)?, None)))
                    .or_else(|| self.borrow(pools, &service, taken, |p| p.target));
                let Some((member, worker)) = member else {
                    break;
                };
                taken.insert(member.instance.name.clone());
                missing -= 1;
                actions.push(Action::Order {
                    order: InstanceOrder::Move {
                        instance: member.instance.name.clone(),
                        pool: service.clone(),
                    },
                    worker,
                });
            }
        }
    }

    /// A spare instance that fits a pool.
    fn take_spare<'a>(
        &self,
        spare: &mut Vec<&'a Member<'a>>,
        to: &ServiceName,
    ) -> Option<&'a Member<'a>> {
        let at = spare.iter().position(|m| self.fits(m, to))?;
        Some(spare.remove(at))
    }

    /// Workers of a pool that were about to leave take work again.
    fn reopen(
        &self,
        pool: Option<&mut Pool<'_>>,
        most: usize,
        taken: &mut Set<InstanceName>,
        actions: &mut Vec<Action>,
    ) -> usize {
        let Some(pool) = pool else {
            return 0;
        };
        let leaving = pool.closing.iter();
        let leaving = leaving.filter(|(m, v)| {
            let free = !taken.contains(&m.instance.name) && !v.spent && !v.evacuated;
            free && !self.waves.emptying.contains(&v.worker)
        });
        let chosen: Vec<_> = leaving.take(most).map(|(m, v)| (*m, *v)).collect();
        for (member, view) in &chosen {
            taken.insert(member.instance.name.clone());
            actions.push(Action::Reopen(view.worker.clone()));
        }
        chosen.len()
    }

    /// An empty instance of a pool that has more than it needs, as `need` has it.
    fn borrow<'a>(
        &self,
        pools: &mut Map<&ServiceName, Pool<'a>>,
        to: &ServiceName,
        taken: &Set<InstanceName>,
        need: impl Fn(&Pool<'_>) -> usize,
    ) -> Option<(&'a Member<'a>, Option<WorkerId>)> {
        for (service, pool) in pools.iter_mut() {
            if *service == to {
                continue;
            }
            let free = |m: &Member<'_>, v: &WorkerView| {
                let here = v.runs == 0 && !v.evacuated;
                here && !taken.contains(&m.instance.name) && self.fits(m, to)
            };
            let leaving = pool.closing.iter().position(|(m, v)| free(m, v));
            if let Some(at) = leaving {
                let (member, view) = pool.closing.remove(at);
                return Some((member, Some(view.worker.clone())));
            }
            if pool.have() <= need(pool) {
                continue;
            }
            let idle = pool.serving.iter().position(|(m, v)| free(m, v));
            if let Some(at) = idle {
                let (member, view) = pool.serving.remove(at);
                return Some((member, Some(view.worker.clone())));
            }
        }
        None
    }

    /// Pools that have too many let instances go: empty ones at once, busy ones when they are
    /// empty.
    pub(super) fn shrink(
        &self,
        pools: &mut Map<&ServiceName, Pool<'_>>,
        snapshot: &Snapshot<'_>,
        idle: Idle,
        taken: &mut Set<InstanceName>,
        actions: &mut Vec<Action>,
    ) {
        let off = snapshot.spare.first();
        if off.is_none() && pools.values().all(|p| p.target <= p.have()) {
            return;
        }
        let mut leaving = Leaving {
            off,
            room: idle.may_leave(pools, self.policy.leaving),
        };
        for pool in pools.values() {
            self.let_closing_go(pool, &mut leaving, taken, actions);
            self.let_surplus_go(pool, &mut leaving, taken, actions);
        }
    }

    /// Instances that were closed go when they are empty.
    fn let_closing_go(
        &self,
        pool: &Pool<'_>,
        leaving: &mut Leaving<'_>,
        taken: &mut Set<InstanceName>,
        actions: &mut Vec<Action>,
    ) {
        let Some(off) = leaving.off else {
            return;
        };
        for (member, view) in pool.closing.iter().filter(|(_, v)| v.runs == 0) {
            let name = &member.instance.name;
            if leaving.room > 0
                && self.fits(member, off)
                && !self.waves.emptying.contains(&view.worker)
                && taken.insert(name.clone())
            {
                leaving.room -= 1;
                actions.push(move_order(name, off, view));
            }
        }
    }

    /// A pool's instances beyond those that it keeps go; those that are busy are closed first.
    fn let_surplus_go(
        &self,
        pool: &Pool<'_>,
        leaving: &mut Leaving<'_>,
        taken: &mut Set<InstanceName>,
        actions: &mut Vec<Action>,
    ) {
        let mut surplus = pool.have().saturating_sub(pool.keep);
        let idle = pool.serving.iter().filter(|(_, v)| v.lasting == 0);
        let mut idle: Vec<_> = idle.collect();
        // An instance that is off has its maintenance at no cost.
        idle.sort_by_key(|(_, v)| {
            (
                v.runs > 0,
                !self.due.contains(&v.worker),
                v.runs,
                v.used.cpu,
            )
        });
        for (member, view) in idle {
            let name = &member.instance.name;
            if surplus == 0 {
                return;
            }
            let fits = leaving.off.is_none_or(|off| self.fits(member, off));
            if !fits || taken.contains(name) {
                continue;
            }
            let action = match leaving.off.filter(|_| view.runs == 0) {
                Some(_) if leaving.room == 0 => return,
                Some(off) => {
                    leaving.room -= 1;
                    move_order(name, off, view)
                }
                None => Action::Close {
                    worker: view.worker.clone(),
                    evacuate: false,
                },
            };
            surplus -= 1;
            taken.insert(name.clone());
            actions.push(action);
        }
    }

    pub(super) fn fits(&self, member: &Member<'_>, pool: &ServiceName) -> bool {
        let unfit = self.unfit.get(pool);
        unfit.is_none_or(|u| !u.contains(&member.instance.name))
    }
}

/// Where instances go that no pool wants, and how many may set out now.
struct Leaving<'a> {
    off: Option<&'a ServiceName>,
    room: usize,
}

/// Instances that no pool uses, beside those in the pools.
#[derive(Debug, Clone, Copy)]
pub(super) struct Idle {
    /// They are off and can be had at once.
    pub(super) spare: usize,
    /// They are on their way to being off.
    pub(super) leaving: usize,
}

/// Instances that may always be on their way to being off.
const LEAVE_ANYWAY: usize = 8;

impl Idle {
    /// How many more may set out to be off.
    ///
    /// Failure: one pool's work ends as another's begins, all the instances of the first are on
    /// their way to being off, and the second waits for them twice as long as a move takes. At
    /// most half of what no pool uses is on its way at a time; the rest goes straight to the
    /// pool that wants it, by one move instead of two.
    fn may_leave(self, pools: &Map<&ServiceName, Pool<'_>>, part: f64) -> usize {
        let idle: usize = pools.values().map(Pool::idle).sum();
        let unused = self.spare + self.leaving + idle;
        let most = ((unused as f64 * part) as usize).max(LEAVE_ANYWAY);
        most.saturating_sub(self.leaving)
    }
}

fn move_order(name: &InstanceName, pool: &ServiceName, view: &WorkerView) -> Action {
    Action::Order {
        order: InstanceOrder::Move {
            instance: name.clone(),
            pool: pool.clone(),
        },
        worker: Some(view.worker.clone()),
    }
}
