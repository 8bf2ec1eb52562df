//! The planner, which places queued jobs in rounds.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cactuswheel_fleet::{Job, JobPhase, State};
use cactuswheel_model::{InstanceId, JobId, Map, PoolId, Retry, Room, Set, TeamId, Time};

use crate::fair_queue::{FairQueue, TeamQueue};
use crate::pool_capacity::PoolCapacity;
use crate::{Candidate, LiveWorker, Proposal, SizeEstimates};

/// Time that a preempted job has to free its resources before another job is preempted for the
/// same urgent job.
const PREEMPTION_GRACE: Duration = Duration::from_secs(5);

/// Limits of one planning round.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of placements; the remaining jobs wait for the next round.
    pub placements: usize,
    /// Maximum number of preemptions.
    pub preemptions: usize,
}

/// Assigns queued jobs to workers.
#[derive(Debug, Default)]
pub struct Planner {
    limits: Limits,
    /// Estimates of the resources that jobs actually use.
    pub estimates: SizeEstimates,
    /// Urgent jobs for which another job was preempted, with the time of the preemption.
    preempted: Map<JobId, Time>,
}

/// Queued jobs by team, oldest first.
type Waiting = BTreeMap<TeamId, VecDeque<JobId>>;

impl Default for Limits {
    fn default() -> Self {
        Self {
            placements: 500,
            preemptions: 10,
        }
    }
}

impl Planner {
    /// Creates a planner with the given limits.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Runs one planning round over `state`, using the workers that are `live` and not `drained`.
    ///
    /// Urgent jobs are placed first. Jobs are preempted for urgent jobs that do not fit, and then
    /// ordinary jobs are placed.
    pub fn plan(
        &mut self,
        now: Time,
        state: &State,
        live: &[LiveWorker],
        drained: &Set<InstanceId>,
    ) -> Vec<Proposal> {
        let (urgent, ordinary) = waiting_jobs(state);
        if urgent.is_empty() && ordinary.is_empty() {
            return Vec::new();
        }
        let mut capacity = free_capacity(state, live, drained);
        let mut running = Map::default();
        let mut proposals = Vec::new();
        let unplaced = self.place_all(state, urgent, &mut capacity, &mut running, &mut proposals);
        self.preempt(now, state, &unplaced, &mut proposals);
        self.place_all(state, ordinary, &mut capacity, &mut running, &mut proposals);
        proposals
    }

    /// Places one class of jobs, sharing fairly between teams, and returns the jobs that did not
    /// fit.
    fn place_all(
        &self,
        state: &State,
        waiting: Waiting,
        capacity: &mut Map<PoolId, PoolCapacity>,
        running: &mut Map<TeamId, u32>,
        proposals: &mut Vec<Proposal>,
    ) -> Vec<JobId> {
        let mut unplaced = Vec::new();
        let mut queue = FairQueue::default();
        for (team, jobs) in waiting {
            queue.push(team_queue(state, team, jobs, running));
        }
        while proposals.len() < self.limits.placements {
            let Some((i, id)) = queue.next() else { break };
            let proposal = self.place(state, &id, capacity);
            queue.record_result(i, proposal.is_some());
            match proposal {
                Some(proposal) => proposals.push(proposal),
                None => unplaced.push(id),
            }
        }
        running.extend(queue.into_running_counts());
        unplaced
    }

    fn place(
        &self,
        state: &State,
        id: &JobId,
        capacity: &mut Map<PoolId, PoolCapacity>,
    ) -> Option<Proposal> {
        let job = state.jobs().get(id)?;
        let capacity = capacity.get_mut(&job.spec.pool)?;
        let room = self.room_to_reserve(id, job, capacity);
        let candidate = capacity.reserve(room, &job.failed)?;
        let worker = candidate.live_worker.clone();
        Some(Proposal::Place {
            job: id.clone(),
            attempt: job.attempt.next(),
            worker,
            room,
        })
    }

    /// The resources to reserve: the estimate if it fits an empty worker of the pool, otherwise
    /// the declared size.
    fn room_to_reserve(&self, id: &JobId, job: &Job, capacity: &PoolCapacity) -> Room {
        let room = self
            .estimates
            .estimate(&id.team, &job.spec, capacity.largest());
        if capacity.fits_empty(room) {
            room
        } else {
            job.spec.room
        }
    }

    /// Preempts resumable jobs, one for each urgent job that did not fit.
    ///
    /// Without preemption, an urgent job would wait for hours while long jobs occupy every
    /// worker. A resumable job loses only its progress since the last checkpoint.
    fn preempt(
        &mut self,
        now: Time,
        state: &State,
        unplaced: &[JobId],
        proposals: &mut Vec<Proposal>,
    ) {
        self.preempted
            .retain(|_, at| now.since(*at) < PREEMPTION_GRACE);
        if unplaced.is_empty() {
            return;
        }
        let mut victims: Vec<_> = state.jobs().iter().filter(|(_, j)| is_victim(j)).collect();
        // Jobs of the team with the most placed jobs per share are preempted first.
        victims.sort_by_key(|(id, _)| load_per_share(state, &id.team));
        let wanted = unplaced
            .iter()
            .filter(|id| !self.preempted.contains_key(*id));
        let wanted: Vec<_> = wanted.take(self.limits.preemptions).collect();
        for waiting in wanted {
            let Some(urgent) = state.jobs().get(waiting) else {
                continue;
            };
            let at = victims.iter().rposition(|(_, v)| frees_enough(v, urgent));
            let Some(at) = at else { continue };
            let (job, victim) = victims.remove(at);
            let (job, waiting) = (job.clone(), waiting.clone());
            self.preempted.insert(waiting.clone(), now);
            proposals.push(Proposal::Preempt {
                job,
                attempt: victim.attempt,
                waiting,
            });
        }
    }
}

fn waiting_jobs(state: &State) -> (Waiting, Waiting) {
    let mut queued: Vec<_> = state
        .jobs()
        .iter()
        .filter(|(_, j)| j.phase == JobPhase::Queued)
        .collect();
    queued.sort_by_key(|(_, j)| j.at);
    let (mut urgent, mut ordinary) = (Waiting::new(), Waiting::new());
    for (id, job) in queued {
        let class = if job.spec.urgent {
            &mut urgent
        } else {
            &mut ordinary
        };
        class
            .entry(id.team.clone())
            .or_default()
            .push_back(id.clone());
    }
    (urgent, ordinary)
}

fn free_capacity(
    state: &State,
    live: &[LiveWorker],
    drained: &Set<InstanceId>,
) -> Map<PoolId, PoolCapacity> {
    let mut capacity: Map<PoolId, PoolCapacity> = Map::default();
    for live_worker in live.iter().filter(|w| !drained.contains(&w.id)) {
        let Some(candidate) = candidate(state, live_worker) else {
            continue;
        };
        capacity
            .entry(candidate.pool.clone())
            .or_default()
            .push(candidate);
    }
    capacity
}

/// The worker with its free resources; `None` if it is unknown or accepts no jobs.
fn candidate(state: &State, live_worker: &LiveWorker) -> Option<Candidate> {
    let instance = state.config().instances.get(&live_worker.id)?;
    let total = Room::of(instance);
    let load = state.jobs().worker(&live_worker.id);
    if load.is_some_and(|w| !w.accepts_work()) {
        return None;
    }
    Some(Candidate {
        live_worker: live_worker.clone(),
        pool: instance.pool.clone(),
        free: total - load.map_or(Room::default(), |w| w.used),
        total,
        probe: load.is_some_and(|w| w.is_suspect()),
    })
}

fn team_queue(
    state: &State,
    team: TeamId,
    jobs: VecDeque<JobId>,
    running: &Map<TeamId, u32>,
) -> TeamQueue {
    let known = state.config().teams.get(&team);
    let share = known.map_or(0, |t| t.share.get());
    let limit = known.map_or(0, |t| t.jobs.get().min(t.limit.get()));
    let running = running.get(&team).copied();
    let running = running.unwrap_or_else(|| state.jobs().placed(&team));
    TeamQueue {
        team,
        jobs,
        share,
        running,
        limit,
    }
}

fn is_victim(job: &Job) -> bool {
    let placed = matches!(job.phase, JobPhase::Placed { .. });
    placed && !job.spec.urgent && !job.cancel && job.spec.retry == Retry::Resume
}

fn frees_enough(victim: &Job, urgent: &Job) -> bool {
    let JobPhase::Placed { room, .. } = &victim.phase else {
        return false;
    };
    victim.spec.pool == urgent.spec.pool && urgent.spec.room.fits(*room)
}

/// The team's placed jobs per 1,000 shares, rounded down.
fn load_per_share(state: &State, team: &TeamId) -> u64 {
    let share = state
        .config()
        .teams
        .get(team)
        .map_or(1, |t| t.share.get().max(1));
    u64::from(state.jobs().placed(team)) * 1_000 / u64::from(share)
}
