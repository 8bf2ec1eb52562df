//! Requests waiting for a slot of one pool, in weighted fair order across teams.

use std::time::Duration;

use cactuswheel_model::{Code, Map, Refusal, Share, TeamId, Time};

use crate::flow::{Flow, Item};
use crate::{Mean, QueueRequest};

/// Maximum number of waiting requests of one team.
const MAX_TEAM_WAITING: usize = 512;

/// Maximum number of waiting requests of all teams.
const MAX_WAITING: usize = 4_096;

/// Minimum retry delay sent to a refused caller.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A start-time fair queue.
///
/// Each team has a start tag in virtual time: the slot time it has received, divided by its
/// weight. The team with the lowest tag is served first, urgent requests before all others. A
/// request is charged the mean run time when it starts, and the charge is corrected to the actual
/// run time when it ends, so a team with long runs gets no more than its share. A team that was
/// idle resumes at the current virtual time: unused time does not accumulate.
#[derive(Debug)]
pub struct Queue<T> {
    flows: Map<TeamId, Flow<T>>,
    /// Current virtual time: the highest start tag of a request that has started.
    virtual_now: u64,
    /// Number of waiting requests.
    ///
    /// Invariant: the sum of the flows' lengths.
    len: usize,
    /// Number of waiting urgent requests.
    ///
    /// Invariant: the sum of the flows' urgent requests.
    urgent: usize,
    next_id: u64,
    round: u64,
    mean_run: Mean,
}

/// How many requests may run at once; used to estimate the wait of a request.
#[derive(Debug, Clone, Copy)]
pub struct Concurrency {
    /// Slots of the pool that this entry may use.
    pub slots: u32,
    /// Units of the team's limit allotted to this entry.
    pub units: u32,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            flows: Map::default(),
            virtual_now: 0,
            len: 0,
            urgent: 0,
            next_id: 0,
            round: 0,
            mean_run: Mean::default(),
        }
    }
}

impl<T> Queue<T> {
    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Number of waiting requests of `team`.
    pub fn waiting(&self, team: &TeamId) -> usize {
        self.flows.get(team).map_or(0, Flow::len)
    }

    /// Teams with waiting requests.
    pub fn teams(&self) -> impl Iterator<Item = &TeamId> {
        let waiting = self.flows.iter().filter(|(_, f)| f.len() > 0);
        waiting.map(|(team, _)| team)
    }

    /// Queues a request and returns its id.
    ///
    /// Refuses the request if the queue is full or if it is not expected to start before its
    /// deadline.
    pub fn push(
        &mut self,
        now: Time,
        request: QueueRequest,
        concurrency: Concurrency,
        value: T,
    ) -> Result<u64, Refusal> {
        let wait = self.estimate(&request, concurrency);
        let refuse = |code| Err(Refusal::new(code).with_retry(wait.max(MIN_RETRY_DELAY)));
        if self.waiting(&request.team) >= MAX_TEAM_WAITING || self.len >= MAX_WAITING {
            return refuse(Code::QueueFull);
        }
        if now.after(wait) > request.deadline {
            return refuse(Code::Deadline);
        }
        let id = self.next_id;
        self.next_id += 1;
        self.len += 1;
        self.urgent += usize::from(request.urgent);
        let flow = self.flow(&request.team, request.share);
        flow.lane(request.urgent).push_back(Item {
            id,
            deadline: request.deadline,
            value,
        });
        Ok(id)
    }

    /// Starts a new scheduling round: drops requests whose deadline has passed and reconsiders
    /// teams that were skipped.
    pub fn begin_round(&mut self, now: Time) {
        self.round += 1;
        self.expire(now);
    }

    /// Removes and returns the next request whose team `may_run` accepts.
    ///
    /// A team that is not accepted is skipped for the rest of the round.
    pub fn pop(&mut self, mut may_run: impl FnMut(&TeamId) -> bool) -> Option<(TeamId, T)> {
        loop {
            let round = self.round;
            let waiting = self.flows.iter_mut();
            let waiting = waiting.filter(|(_, f)| f.len() > 0 && f.skipped_round != round);
            let (team, flow) = waiting.min_by_key(|(_, f)| f.order_key())?;
            if !may_run(team) {
                flow.skipped_round = round;
                continue;
            }
            let urgent = !flow.urgent.is_empty();
            let item = flow.lane(urgent).pop_front()?;
            self.len -= 1;
            self.urgent -= usize::from(urgent);
            return Some((team.clone(), item.value));
        }
    }

    /// Removes a request whose caller has disconnected; returns whether it was still waiting.
    pub fn cancel(&mut self, team: &TeamId, id: u64) -> bool {
        let Some(flow) = self.flows.get_mut(team) else {
            return false;
        };
        for urgent in [true, false] {
            let lane = flow.lane(urgent);
            if let Some(at) = lane.iter().position(|i| i.id == id) {
                lane.remove(at);
                self.len -= 1;
                self.urgent -= usize::from(urgent);
                return true;
            }
        }
        false
    }

    /// Charges a team for a request that starts; returns the slot time charged.
    pub fn charge_start(&mut self, team: &TeamId, share: Share) -> Duration {
        let run = self.mean_run.get();
        let flow = self.flow(team, share);
        let start = flow.start_tag;
        flow.start_tag += flow.cost(run.as_millis().max(1) as u64);
        self.virtual_now = self.virtual_now.max(start);
        run
    }

    /// Replaces the slot time that a request was `charged` with the time that it `took`.
    pub fn settle_charge(&mut self, team: &TeamId, charged: Duration, took: Duration) {
        self.mean_run.record(took);
        let Some(flow) = self.flows.get_mut(team) else {
            return;
        };
        let millis = |d: Duration| d.as_millis().max(1) as u64;
        let (paid, due) = (flow.cost(millis(charged)), flow.cost(millis(took)));
        flow.start_tag = (flow.start_tag + due).saturating_sub(paid);
    }

    /// Sets the teams' correction factors, in 1/1024, computed from their usage of the whole fleet.
    pub fn set_factors(&mut self, factor: impl Fn(&TeamId) -> u32) {
        for (team, flow) in &mut self.flows {
            flow.set_factor(factor(team));
        }
    }

    /// Estimates the time until `request` would start.
    fn estimate(&self, request: &QueueRequest, concurrency: Concurrency) -> Duration {
        let own = self.flows.get(&request.team);
        let before = if request.urgent {
            self.urgent
        } else {
            self.urgent + self.normal_ahead(own, request.share)
        };
        let mine = own.map_or(0, |f| {
            if request.urgent {
                f.urgent.len()
            } else {
                f.len()
            }
        });
        let turns = |ahead: usize, at_once: u32| ahead as u32 / at_once.max(1);
        let turns = turns(before, concurrency.slots).max(turns(mine, concurrency.units));
        self.mean_run.get() * turns
    }

    /// Estimates how many non-urgent requests precede a new one of this team.
    ///
    /// Each other team counts with as many requests as its weight lets it start meanwhile.
    fn normal_ahead(&self, own: Option<&Flow<T>>, share: Share) -> usize {
        let ahead = own.map_or(0, |f| f.normal.len());
        let unit = u64::from(crate::flow::UNIT_FACTOR);
        let weight = own.map_or(u64::from(share.get().max(1)) * unit, Flow::weight);
        let others = self.flows.values().filter(|f| !f.normal.is_empty());
        let before = |f: &Flow<T>| {
            let reach = (ahead as u64 + 1) * f.weight() / weight.max(1);
            f.normal.len().min(reach as usize)
        };
        let all: usize = others.map(before).sum();
        all.max(ahead)
    }

    fn flow(&mut self, team: &TeamId, share: Share) -> &mut Flow<T> {
        if !self.flows.contains_key(team) {
            self.flows.insert(team.clone(), Flow::new(self.virtual_now));
        }
        let flow = self
            .flows
            .get_mut(team)
            .expect("the flow was inserted above");
        if flow.len() == 0 {
            flow.start_tag = flow.start_tag.max(self.virtual_now);
        }
        flow.set_share(share);
        flow
    }

    fn expire(&mut self, now: Time) {
        if self.len == 0 {
            return;
        }
        for flow in self.flows.values_mut().filter(|f| f.len() > 0) {
            for urgent in [true, false] {
                let lane = flow.lane(urgent);
                while lane.front().is_some_and(|i| i.deadline <= now) {
                    lane.pop_front();
                    self.len -= 1;
                    self.urgent -= usize::from(urgent);
                }
            }
        }
    }
}
