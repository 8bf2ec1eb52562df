//! One round of placement.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use cactuswheel_fleet::{Job, JobPhase, State};
use cactuswheel_model::{InstanceId, JobId, Map, PoolId, Retry, Room, Set, TeamId, Time};

use crate::rooms::Rooms;
use crate::turns::{Line, Turns};
use crate::{Proposal, Sizes, Slot, WorkerLife};

/// Time that a stopped job has to leave before another is stopped for the same urgent one.
const PATIENCE: Duration = Duration::from_secs(5);

/// Settings of placement.
#[derive(Debug, Clone, Copy)]
pub struct Weights {
    /// Most placements in one round; the rest waits for the next.
    pub round: usize,
    /// Most preemptions in one round.
    pub preempt: usize,
}

/// Places waiting jobs.
#[derive(Debug, Default)]
pub struct Planner {
    weights: Weights,
    /// What jobs really take up.
    pub sizes: Sizes,
    /// Urgent jobs for which another one was stopped, and when.
    preempted: Map<JobId, Time>,
}

/// Jobs that wait, by team, oldest first.
type Waiting = BTreeMap<TeamId, VecDeque<JobId>>;

impl Default for Weights {
    fn default() -> Self {
        Self {
            round: 500,
            preempt: 10,
        }
    }
}

impl Planner {
    /// A planner with settings.
    pub fn new(weights: Weights) -> Self {
        Self {
            weights,
            ..Self::default()
        }
    }

    /// One round over `state`, on the workers that are seen `live` and not `drained`.
    pub fn plan(
        &mut self,
        now: Time,
        state: &State,
        live: &[WorkerLife],
        drained: &Set<InstanceId>,
    ) -> Vec<Proposal> {
        let (urgent, ordinary) = waiting(state);
        if urgent.is_empty() && ordinary.is_empty() {
            return Vec::new();
        }
        let mut rooms = rooms(state, live, drained);
        let mut running = Map::default();
        let mut proposals = Vec::new();
        let missed = self.serve(state, urgent, &mut rooms, &mut running, &mut proposals);
        self.preempt(now, state, &missed, &mut proposals);
        self.serve(state, ordinary, &mut rooms, &mut running, &mut proposals);
        proposals
    }

    /// Places one class of jobs in fair turns; the jobs that found no room.
    fn serve(
        &self,
        state: &State,
        waiting: Waiting,
        rooms: &mut Map<PoolId, Rooms>,
        running: &mut Map<TeamId, u32>,
        proposals: &mut Vec<Proposal>,
    ) -> Vec<JobId> {
        let mut missed = Vec::new();
        let mut turns = Turns::default();
        for (team, jobs) in waiting {
            turns.push(line(state, team, jobs, running));
        }
        while proposals.len() < self.weights.round {
            let Some((i, id)) = turns.next() else { break };
            let proposal = self.place(state, &id, rooms);
            turns.settle(i, proposal.is_some());
            match proposal {
                Some(proposal) => proposals.push(proposal),
                None => missed.push(id),
            }
        }
        running.extend(turns.into_running());
        missed
    }

    fn place(&self, state: &State, id: &JobId, rooms: &mut Map<PoolId, Rooms>) -> Option<Proposal> {
        let job = state.jobs().get(id)?;
        let rooms = rooms.get_mut(&job.spec.pool)?;
        let room = self.room(id, job, rooms);
        let slot = rooms.take(room, &job.failed)?;
        let worker = slot.life.clone();
        Some(Proposal::Place {
            job: id.clone(),
            attempt: job.attempt.next(),
            worker,
            room,
        })
    }

    /// What to set aside: corrected by experience where that fits a worker at all.
    fn room(&self, id: &JobId, job: &Job, rooms: &Rooms) -> Room {
        let room = self.sizes.room(&id.team, &job.spec, rooms.largest());
        if rooms.holds(room) {
            room
        } else {
            job.spec.room
        }
    }

    /// Stops jobs that can be resumed, one for each urgent job that found no room.
    ///
    /// Failure: with every worker full of long jobs an urgent one would wait for hours. A job
    /// that can be resumed loses only what it did since its last checkpoint.
    fn preempt(
        &mut self,
        now: Time,
        state: &State,
        missed: &[JobId],
        proposals: &mut Vec<Proposal>,
    ) {
        self.preempted.retain(|_, at| now.since(*at) < PATIENCE);
        if missed.is_empty() {
            return;
        }
        let mut victims: Vec<_> = state.jobs().iter().filter(|(_, j)| is_victim(j)).collect();
        // The team that is furthest over its share gives first.
        victims.sort_by_key(|(id, _)| load(state, &id.team));
        let wanted = missed.iter().filter(|id| !self.preempted.contains_key(*id));
        let wanted: Vec<_> = wanted.take(self.weights.preempt).collect();
        for waiting in wanted {
            let Some(urgent) = state.jobs().get(waiting) else {
                continue;
            };
            let at = victims.iter().rposition(|(_, v)| frees(v, urgent));
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

fn waiting(state: &State) -> (Waiting, Waiting) {
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

fn rooms(state: &State, live: &[WorkerLife], drained: &Set<InstanceId>) -> Map<PoolId, Rooms> {
    let mut rooms: Map<PoolId, Rooms> = Map::default();
    for life in live.iter().filter(|life| !drained.contains(&life.id)) {
        let Some(slot) = slot(state, life) else {
            continue;
        };
        rooms.entry(slot.pool.clone()).or_default().push(slot);
    }
    rooms
}

/// The worker's free room; none if it takes no work.
fn slot(state: &State, life: &WorkerLife) -> Option<Slot> {
    let instance = state.config().instances.get(&life.id)?;
    let whole = Room::of(instance);
    let load = state.jobs().worker(&life.id);
    if load.is_some_and(|w| !w.accepts_work()) {
        return None;
    }
    Some(Slot {
        life: life.clone(),
        pool: instance.pool.clone(),
        free: whole - load.map_or(Room::default(), |w| w.used),
        whole,
        probe: load.is_some_and(|w| w.is_suspect()),
    })
}

fn line(state: &State, team: TeamId, jobs: VecDeque<JobId>, running: &Map<TeamId, u32>) -> Line {
    let known = state.config().teams.get(&team);
    let share = known.map_or(0, |t| t.share.get());
    let limit = known.map_or(0, |t| t.jobs.get().min(t.limit.get()));
    let running = running.get(&team).copied();
    let running = running.unwrap_or_else(|| state.jobs().placed(&team));
    Line {
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

fn frees(victim: &Job, urgent: &Job) -> bool {
    let JobPhase::Placed { room, .. } = &victim.phase else {
        return false;
    };
    victim.spec.pool == urgent.spec.pool && urgent.spec.room.fits(*room)
}

/// Running jobs per share, scaled to whole numbers.
fn load(state: &State, team: &TeamId) -> u64 {
    let share = state
        .config()
        .teams
        .get(team)
        .map_or(1, |t| t.share.get().max(1));
    u64::from(state.jobs().placed(team)) * 1_000 / u64::from(share)
}
