//! Requests that wait for a slot of one pool, in weighted fair order across teams.

use std::time::Duration;

use cactuswheel_model::{Code, Map, Refusal, Share, TeamId, Time};

use crate::flow::{Flow, Item};
use crate::{Mean, Place};

/// Most requests of one team that wait.
const MAX_TEAM: usize = 512;

/// Most requests that wait.
const MAX_ALL: usize = 4_096;

/// Shortest time after which a refused caller is told to come back.
const RETRY: Duration = Duration::from_millis(100);

/// A queue in start-time fair order.
///
/// Each team has a tag in virtual time: the slot time that it was given, by its weight. The
/// lowest tag goes first, urgent requests before all others. A request is charged the mean run
/// at its start and the rest at its end, so a team with long runs gets no more than its share.
/// A team that comes back after a pause starts at the present: unused time is not saved up.
#[derive(Debug)]
pub struct Queue<T> {
    flows: Map<TeamId, Flow<T>>,
    /// The present in virtual time: the tag of the last start.
    now: u64,
    /// Invariant: the sum of the flows' lengths.
    len: usize,
    /// Invariant: the sum of the flows' urgent requests.
    urgent: usize,
    next: u64,
    round: u64,
    run: Mean,
}

/// What could be had at once, for the estimate of a wait.
#[derive(Debug, Clone, Copy)]
pub struct Room {
    /// Slots that this entry may count on.
    pub slots: u32,
    /// Units of the team at this entry.
    pub units: u32,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            flows: Map::default(),
            now: 0,
            len: 0,
            urgent: 0,
            next: 0,
            round: 0,
            run: Mean::default(),
        }
    }
}

impl<T> Queue<T> {
    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Requests of a team that wait.
    pub fn waiting(&self, team: &TeamId) -> usize {
        self.flows.get(team).map_or(0, Flow::len)
    }

    /// Teams with requests that wait.
    pub fn teams(&self) -> impl Iterator<Item = &TeamId> {
        let waiting = self.flows.iter().filter(|(_, f)| f.len() > 0);
        waiting.map(|(team, _)| team)
    }

    /// Puts a request into its place, or refuses one that cannot start in time; its id.
    pub fn push(&mut self, now: Time, place: Place, room: Room, value: T) -> Result<u64, Refusal> {
        let wait = self.estimate(&place, room);
        let refuse = |code| Err(Refusal::new(code).with_retry(wait.max(RETRY)));
        if self.waiting(&place.team) >= MAX_TEAM || self.len >= MAX_ALL {
            return refuse(Code::QueueFull);
        }
        if now.after(wait) > place.deadline {
            return refuse(Code::Deadline);
        }
        let id = self.next;
        self.next += 1;
        self.len += 1;
        self.urgent += usize::from(place.urgent);
        let flow = self.flow(&place.team, place.share);
        flow.line(place.urgent).push_back(Item {
            id,
            deadline: place.deadline,
            value,
        });
        Ok(id)
    }

    /// Begins a new round of starts: teams that were passed over are looked at again.
    pub fn begin(&mut self, now: Time) {
        self.round += 1;
        self.expire(now);
    }

    /// The next request whose team `may_run`; a team that may not is passed over for the rest
    /// of this round.
    pub fn pop(&mut self, mut may_run: impl FnMut(&TeamId) -> bool) -> Option<(TeamId, T)> {
        loop {
            let round = self.round;
            let waiting = self.flows.iter_mut();
            let waiting = waiting.filter(|(_, f)| f.len() > 0 && f.passed != round);
            let (team, flow) = waiting.min_by_key(|(_, f)| f.key())?;
            if !may_run(team) {
                flow.passed = round;
                continue;
            }
            let urgent = !flow.urgent.is_empty();
            let item = flow.line(urgent).pop_front()?;
            self.len -= 1;
            self.urgent -= usize::from(urgent);
            return Some((team.clone(), item.value));
        }
    }

    /// Takes a request out whose caller is gone; whether it was there.
    pub fn cancel(&mut self, team: &TeamId, id: u64) -> bool {
        let Some(flow) = self.flows.get_mut(team) else {
            return false;
        };
        for urgent in [true, false] {
            let line = flow.line(urgent);
            if let Some(at) = line.iter().position(|i| i.id == id) {
                line.remove(at);
                self.len -= 1;
                self.urgent -= usize::from(urgent);
                return true;
            }
        }
        false
    }

    /// Charges a team for a request that starts; the slot time charged.
    pub fn started(&mut self, team: &TeamId, share: Share) -> Duration {
        let run = self.run.get();
        let flow = self.flow(team, share);
        let start = flow.tag;
        flow.tag += flow.cost(run.as_millis().max(1) as u64);
        self.now = self.now.max(start);
        run
    }

    /// Corrects what a request was `charged` by what it took.
    pub fn ended(&mut self, team: &TeamId, charged: Duration, took: Duration) {
        self.run.learn(took);
        let Some(flow) = self.flows.get_mut(team) else {
            return;
        };
        let millis = |d: Duration| d.as_millis().max(1) as u64;
        let (paid, due) = (flow.cost(millis(charged)), flow.cost(millis(took)));
        flow.tag = (flow.tag + due).saturating_sub(paid);
    }

    /// Corrects teams' weights, in 1/1024, by what the whole fleet gave them.
    pub fn correct(&mut self, factor: impl Fn(&TeamId) -> u32) {
        for (team, flow) in &mut self.flows {
            flow.set_factor(factor(team));
        }
    }

    /// Time until a request with this place would start.
    fn estimate(&self, place: &Place, room: Room) -> Duration {
        let own = self.flows.get(&place.team);
        let before = if place.urgent {
            self.urgent
        } else {
            self.urgent + self.plain_before(own, place.share)
        };
        let mine = own.map_or(0, |f| {
            if place.urgent {
                f.urgent.len()
            } else {
                f.len()
            }
        });
        let turns = |ahead: usize, at_once: u32| ahead as u32 / at_once.max(1);
        let turns = turns(before, room.slots).max(turns(mine, room.units));
        self.run.get() * turns
    }

    /// Requests that go before one more of this team: each other team's, up to as far as its
    /// weight carries it meanwhile.
    fn plain_before(&self, own: Option<&Flow<T>>, share: Share) -> usize {
        let ahead = own.map_or(0, |f| f.plain.len());
        let par = u64::from(crate::flow::PAR);
        let weight = own.map_or(u64::from(share.get().max(1)) * par, Flow::weight);
        let others = self.flows.values().filter(|f| !f.plain.is_empty());
        let before = |f: &Flow<T>| {
            let reach = (ahead as u64 + 1) * f.weight() / weight.max(1);
            f.plain.len().min(reach as usize)
        };
        let all: usize = others.map(before).sum();
        all.max(ahead)
    }

    fn flow(&mut self, team: &TeamId, share: Share) -> &mut Flow<T> {
        if !self.flows.contains_key(team) {
            self.flows.insert(team.clone(), Flow::new(self.now));
        }
        let flow = self.flows.get_mut(team).expect("it was just put in");
        if flow.len() == 0 {
            flow.tag = flow.tag.max(self.now);
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
                let line = flow.line(urgent);
                while line.front().is_some_and(|i| i.deadline <= now) {
                    line.pop_front();
                    self.len -= 1;
                    self.urgent -= usize::from(urgent);
                }
            }
        }
    }
}
