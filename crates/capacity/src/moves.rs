//! Moves of instances: pools below their target grow, and pools with a surplus shrink.

use cactuswheel_cell::WorkerView;
use cactuswheel_model::{Map, Set};
use cactuswheel_work::{InstanceName, InstanceOrder, ServiceName, WorkerId};

use crate::action::Action;
use crate::fleet::Member;
use crate::planner::Planner;
use crate::pool::Pool;
use crate::snapshot::Snapshot;

impl Planner {
    /// Adds instances to pools below their target: first by reopening closed workers, then from
    /// instances that other pools are about to release, then from spare instances, then from
    /// instances beyond the targets of other pools.
    ///
    /// Pools that cannot place all their long-running work go first. Otherwise that work waits for
    /// ten seconds, because a pool that lacks two instances for it comes after one that lacks
    /// twenty for a surge.
    pub(super) fn grow<'a>(
        &mut self,
        pools: &mut Map<&ServiceName, Pool<'a>>,
        spare: &mut Vec<&'a Member<'a>>,
        claimed: &mut Set<InstanceName>,
        actions: &mut Vec<Action>,
    ) {
        let short = pools.iter().filter(|(_, p)| p.target > p.current());
        let mut short: Vec<(bool, usize, ServiceName)> = short
            .map(|(s, p)| (p.below_minimum(), p.target - p.current(), (*s).clone()))
            .collect();
        short.sort_by(|a, b| b.cmp(a));
        for (_, mut missing, service) in short {
            missing -= self.reopen(pools.get_mut(&service), missing, claimed, actions);
            while missing > 0 {
                // An instance that another pool is about to release goes directly to this pool, by
                // one move instead of two.
                let member = self
                    .take_surplus(pools, &service, claimed, |p| p.keep)
                    .or_else(|| Some((self.take_spare(spare, &service)?, None)))
                    .or_else(|| self.take_surplus(pools, &service, claimed, |p| p.target));
                let Some((member, worker)) = member else {
                    break;
                };
                claimed.insert(member.instance.name.clone());
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

    /// Removes and returns a spare instance that fits a pool.
    fn take_spare<'a>(
        &self,
        spare: &mut Vec<&'a Member<'a>>,
        to: &ServiceName,
    ) -> Option<&'a Member<'a>> {
        let index = spare.iter().position(|m| self.fits(m, to))?;
        Some(spare.remove(index))
    }

    /// Reopens up to `limit` closed workers of a pool, and returns their number.
    fn reopen(
        &self,
        pool: Option<&mut Pool<'_>>,
        limit: usize,
        claimed: &mut Set<InstanceName>,
        actions: &mut Vec<Action>,
    ) -> usize {
        let Some(pool) = pool else {
            return 0;
        };
        let candidates = pool.closing.iter();
        let candidates = candidates.filter(|(m, v)| {
            let free = !claimed.contains(&m.instance.name) && !v.spent && !v.evacuated;
            free && !self.waves.draining.contains_key(&v.worker)
        });
        let chosen: Vec<_> = candidates.take(limit).map(|(m, v)| (*m, *v)).collect();
        for (member, view) in &chosen {
            claimed.insert(member.instance.name.clone());
            actions.push(Action::Reopen(view.worker.clone()));
        }
        chosen.len()
    }

    /// Removes and returns an instance without running tasks from a pool that has more than it
    /// needs, according to `needed`.
    fn take_surplus<'a>(
        &self,
        pools: &mut Map<&ServiceName, Pool<'a>>,
        to: &ServiceName,
        claimed: &Set<InstanceName>,
        needed: impl Fn(&Pool<'_>) -> usize,
    ) -> Option<(&'a Member<'a>, Option<WorkerId>)> {
        for (service, pool) in pools.iter_mut() {
            if *service == to {
                continue;
            }
            let free = |m: &Member<'_>, v: &WorkerView| {
                let available = v.runs == 0 && !v.evacuated;
                available && !claimed.contains(&m.instance.name) && self.fits(m, to)
            };
            let closed = pool.closing.iter().position(|(m, v)| free(m, v));
            if let Some(index) = closed {
                let (member, view) = pool.closing.remove(index);
                return Some((member, Some(view.worker.clone())));
            }
            if pool.current() <= needed(pool) {
                continue;
            }
            let idle = pool.serving.iter().position(|(m, v)| free(m, v));
            if let Some(index) = idle {
                let (member, view) = pool.serving.remove(index);
                return Some((member, Some(view.worker.clone())));
            }
        }
        None
    }

    /// Releases instances from pools with a surplus: those without running tasks immediately, busy
    /// ones once their tasks have ended.
    pub(super) fn shrink(
        &self,
        pools: &mut Map<&ServiceName, Pool<'_>>,
        snapshot: &Snapshot<'_>,
        unused: Unused,
        claimed: &mut Set<InstanceName>,
        actions: &mut Vec<Action>,
    ) {
        let spare_pool = snapshot.spare.first();
        if spare_pool.is_none() && pools.values().all(|p| p.target <= p.current()) {
            return;
        }
        let mut budget = ReleaseBudget {
            spare_pool,
            remaining: unused.release_quota(pools, self.policy.release_share),
        };
        for pool in pools.values() {
            self.release_closing(pool, &mut budget, claimed, actions);
            self.release_surplus(pool, &mut budget, claimed, actions);
        }
    }

    /// Releases the instances of closed workers that run no more tasks.
    fn release_closing(
        &self,
        pool: &Pool<'_>,
        budget: &mut ReleaseBudget<'_>,
        claimed: &mut Set<InstanceName>,
        actions: &mut Vec<Action>,
    ) {
        let Some(spare_pool) = budget.spare_pool else {
            return;
        };
        for (member, view) in pool.closing.iter().filter(|(_, v)| v.runs == 0) {
            let name = &member.instance.name;
            if budget.remaining > 0
                && self.fits(member, spare_pool)
                && !self.waves.draining.contains_key(&view.worker)
                && claimed.insert(name.clone())
            {
                budget.remaining -= 1;
                actions.push(move_order(name, spare_pool, view));
            }
        }
    }

    /// Releases a pool's instances beyond those that it retains. Workers that are still busy are
    /// closed first.
    fn release_surplus(
        &self,
        pool: &Pool<'_>,
        budget: &mut ReleaseBudget<'_>,
        claimed: &mut Set<InstanceName>,
        actions: &mut Vec<Action>,
    ) {
        let mut surplus = pool.current().saturating_sub(pool.keep);
        let idle = pool.serving.iter().filter(|(_, v)| v.lasting == 0);
        let mut idle: Vec<_> = idle.collect();
        // Instances due for maintenance are preferred, as maintenance of a powered-off instance
        // costs nothing.
        idle.sort_by_key(|(_, v)| {
            (
                v.runs > 0,
                !self.maintenance_due.contains(&v.worker),
                v.runs,
                v.used.cpu,
            )
        });
        for (member, view) in idle {
            let name = &member.instance.name;
            if surplus == 0 {
                return;
            }
            let fits = budget
                .spare_pool
                .is_none_or(|spare_pool| self.fits(member, spare_pool));
            if !fits || claimed.contains(name) {
                continue;
            }
            let action = match budget.spare_pool.filter(|_| view.runs == 0) {
                Some(_) if budget.remaining == 0 => return,
                Some(spare_pool) => {
                    budget.remaining -= 1;
                    move_order(name, spare_pool, view)
                }
                None => Action::Close {
                    worker: view.worker.clone(),
                    evict: false,
                },
            };
            surplus -= 1;
            claimed.insert(name.clone());
            actions.push(action);
        }
    }

    pub(super) fn fits(&self, member: &Member<'_>, pool: &ServiceName) -> bool {
        let unfit = self.unfit.get(pool);
        unfit.is_none_or(|u| !u.contains(&member.instance.name))
    }
}

/// Destination of unused instances, and how many more may be released in this planning cycle.
struct ReleaseBudget<'a> {
    spare_pool: Option<&'a ServiceName>,
    remaining: usize,
}

/// Unused instances outside the pools.
#[derive(Debug, Clone, Copy)]
pub(super) struct Unused {
    /// Powered off and available immediately.
    pub(super) spare: usize,
    /// On their way to a spare pool.
    pub(super) releasing: usize,
}

/// Number of instances that may always be on their way to a spare pool.
const MIN_RELEASES: usize = 8;

impl Unused {
    /// Returns how many more instances may be released.
    ///
    /// Without a limit, if the work of one pool ends as that of another begins, all instances of
    /// the first are on their way to a spare pool, and the second waits for them twice as long as a
    /// move takes. With the default policy, at most half of the unused instances are on their way
    /// at a time; the others go directly to the pool that wants them, by one move instead of two.
    fn release_quota(self, pools: &Map<&ServiceName, Pool<'_>>, share: f64) -> usize {
        let idle: usize = pools.values().map(Pool::idle).sum();
        let unused = self.spare + self.releasing + idle;
        let limit = ((unused as f64 * share) as usize).max(MIN_RELEASES);
        limit.saturating_sub(self.releasing)
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
