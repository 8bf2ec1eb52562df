//! Races between two planners with stale views of the same log and workers that reboot,
//! checked by what runs on the workers.

use std::collections::{BTreeMap, BTreeSet};

use cactuswheel_fleet::{Job, JobPhase, State};
use cactuswheel_model::{
    Attempt, AttemptEnd, Incarnation, InstanceId, JobEvent, JobId, Record, Room, Set, Time,
};
use cactuswheel_scheduling::{LiveWorker, Planner, Proposal};
use cactuswheel_testkit::{Rng, check};
use serde_json::json;

/// Number of steps in one history.
const STEPS: u32 = 300;

/// Maximum number of placed jobs per team.
const LIMIT: usize = 2;

/// Cores per worker.
const CORES: u32 = 6;

type Task = (JobId, Attempt);

/// A start order in flight to a worker. It may arrive late or more than once.
#[derive(Clone)]
struct Order {
    task: Task,
    worker: InstanceId,
    incarnation: Incarnation,
    room: Room,
}

#[derive(Default)]
struct Worker {
    incarnation: Incarnation,
    /// Attempts that this incarnation of the worker has started.
    seen: BTreeSet<Task>,
    running: BTreeMap<Task, Room>,
}

/// The current state, the possibly stale views of two planners, and the workers.
struct World {
    state: State,
    views: [State; 2],
    planners: [Planner; 2],
    orders: Vec<Order>,
    reports: Vec<JobEvent>,
    workers: BTreeMap<InstanceId, Worker>,
    starts: BTreeMap<JobId, u32>,
    submitted: u32,
}

impl World {
    fn new() -> Self {
        let mut state = State::default();
        let mut changes = vec![
            json!({"dc": {"id": "ktm", "region": "np"}}),
            json!({"pool": {"id": "shake"}}),
            json!({"team": {"id": "t0", "share": 1, "limit": 9, "jobs": LIMIT}}),
            json!({"team": {"id": "t1", "share": 2, "limit": 9, "jobs": LIMIT}}),
        ];
        changes.extend(["w0", "w1", "w2"].map(|id| {
            json!({"instance": {"id": id, "pool": "shake", "dc": "ktm", "rack": id, "cores": CORES,
                "memory": 100, "slots": 8, "conns": 64}})
        }));
        let ticket = json!({"ticket": {"ticket": 1, "changes": changes}});
        state.apply(state.next(), &ticket.to_string());
        let ids = state.config().instances.values().map(|i| i.id.clone());
        let workers = ids.map(|id| (id, Worker::default())).collect();
        Self {
            views: [state.clone(), state.clone()],
            state,
            planners: Default::default(),
            orders: Vec::new(),
            reports: Vec::new(),
            workers,
            starts: BTreeMap::new(),
            submitted: 0,
        }
    }

    fn append(&mut self, events: Vec<JobEvent>) {
        let body = serde_json::to_string(&Record::Jobs(events)).unwrap();
        self.state.apply(self.state.next(), &body);
    }

    fn step(&mut self, op: u8, pick: usize) {
        let node = pick % 2;
        match op % 10 {
            0 => self.submit(pick),
            1 => self.views[node] = self.state.clone(),
            2 => self.plan(node),
            3 => self.queue_starts(node),
            4 | 5 => self.deliver(pick),
            6 => self.finish(pick),
            7 => self.report(pick),
            8 => self.reboot(pick),
            _ => self.report_lost(node),
        }
    }

    fn submit(&mut self, pick: usize) {
        self.submitted += 1;
        let retry = ["never", "restart", "resume"][pick % 3];
        let event = json!({"submit": {"job": format!("t{}/j{}", pick % 2, self.submitted),
            "at": self.submitted, "spec": {"pool": "shake", "retry": retry,
            "room": {"cores": pick % 3 * 2 + 1, "memory": 10}}}});
        self.append(vec![serde_json::from_value(event).unwrap()]);
    }

    fn plan(&mut self, node: usize) {
        let live: Vec<_> = self
            .workers
            .iter()
            .map(|(id, w)| LiveWorker {
                id: id.clone(),
                incarnation: w.incarnation,
            })
            .collect();
        let view = &self.views[node];
        let proposals = self.planners[node].plan(Time::new(0), view, &live, &Set::default());
        self.append(proposals.iter().filter_map(Proposal::event).collect());
    }

    fn queue_starts(&mut self, node: usize) {
        for (id, job) in self.views[node].jobs().iter() {
            let JobPhase::Placed {
                worker,
                incarnation,
                room,
            } = &job.phase
            else {
                continue;
            };
            self.orders.push(Order {
                task: (id.clone(), job.attempt),
                worker: worker.clone(),
                incarnation: *incarnation,
                room: *room,
            });
        }
    }

    /// Delivers a start order to its worker. One in three stays in flight and is delivered again.
    fn deliver(&mut self, pick: usize) {
        if self.orders.is_empty() {
            return;
        }
        let at = pick % self.orders.len();
        let order = match pick % 3 {
            0 => self.orders[at].clone(),
            _ => self.orders.swap_remove(at),
        };
        let worker = self.workers.get_mut(&order.worker).unwrap();
        if worker.incarnation != order.incarnation || !worker.seen.insert(order.task.clone()) {
            return;
        }
        *self.starts.entry(order.task.0.clone()).or_default() += 1;
        worker.running.insert(order.task, order.room);
    }

    fn finish(&mut self, pick: usize) {
        let worker = self.workers.values_mut().nth(pick % 3).unwrap();
        let Some(((job, attempt), _)) = worker.running.pop_first() else {
            return;
        };
        let end = [AttemptEnd::Done, AttemptEnd::Failed, AttemptEnd::Stopped][pick % 3];
        self.reports.push(JobEvent::End { job, attempt, end });
    }

    /// Appends a report to the log. One in three is kept and reported again.
    fn report(&mut self, pick: usize) {
        if self.reports.is_empty() {
            return;
        }
        let at = pick % self.reports.len();
        let event = match pick % 3 {
            0 => self.reports[at].clone(),
            _ => self.reports.swap_remove(at),
        };
        self.append(vec![event]);
    }

    fn reboot(&mut self, pick: usize) {
        let worker = self.workers.values_mut().nth(pick % 3).unwrap();
        worker.incarnation = Incarnation::new(worker.incarnation.get() + 1);
        worker.running.clear();
        worker.seen.clear();
    }

    /// Reports attempts as lost whose worker has rebooted since, according to the stale view of
    /// `node`.
    fn report_lost(&mut self, node: usize) {
        let lost = |(id, job): (&JobId, &std::sync::Arc<Job>)| {
            let JobPhase::Placed {
                worker,
                incarnation,
                ..
            } = &job.phase
            else {
                return None;
            };
            let later = self.workers[worker].incarnation > *incarnation;
            let (job, attempt) = (id.clone(), job.attempt);
            later.then_some(JobEvent::End {
                job,
                attempt,
                end: AttemptEnd::Lost,
            })
        };
        let events = self.views[node].jobs().iter().filter_map(lost).collect();
        self.append(events);
    }

    /// Whether the invariants hold for what runs on the workers, independently of the log.
    fn invariants_hold(&self) -> bool {
        let mut teams: BTreeMap<&str, usize> = BTreeMap::new();
        let mut jobs = BTreeSet::new();
        for worker in self.workers.values() {
            let cores: u32 = worker.running.values().map(|room| room.cores.get()).sum();
            if cores > CORES {
                return false;
            }
            for (id, _) in worker.running.keys() {
                *teams.entry(id.team.as_str()).or_default() += 1;
                if !jobs.insert(id) {
                    return false;
                }
            }
        }
        teams.values().all(|n| *n <= LIMIT)
            && self
                .starts
                .iter()
                .all(|(id, n)| self.starts_allowed(id, *n))
    }

    /// Whether the number of starts is allowed: a job with retry `never` starts at most once.
    fn starts_allowed(&self, id: &JobId, starts: u32) -> bool {
        let job = self.state.jobs().get(id).unwrap();
        job.spec.retry != cactuswheel_model::Retry::Never || starts <= 1
    }
}

#[test]
fn any_history() {
    // Two entries plan concurrently from views of different age, start orders and reports arrive
    // late and twice, and workers reboot. Despite that, no job runs twice at the same time, no
    // job with retry `never` starts twice, no worker exceeds its cores and no team its limit.
    fn property(seed: u64) -> bool {
        let (mut world, mut rng) = (World::new(), Rng::new(seed));
        (0..STEPS).all(|_| {
            world.step(rng.below(10) as u8, rng.below(30) as usize);
            world.invariants_hold()
        })
    }
    check(17, 400, property as fn(u64) -> bool);
}
