//! An entry's life as a holder of units of teams' limits.

use cactuswheel_fleet::{AllotmentRow, Allotments, Life};
use cactuswheel_model::{
    Code, DcId, Holding, LifeId, Map, Offset, Refusal, TeamId, Time, Timing, Usage,
};

use crate::{Contact, Gate};

/// Reports of all entries together, per second; each entry takes an even part.
///
/// With reports of 16 rows, 0.8 KB each, this is 4.8 KB of log to read a second.
const REPORTS: u64 = 6;

/// Shortest time between two reports of one entry, in milliseconds.
const QUICKEST: u64 = 300;

/// Time for which demand is remembered, in milliseconds, at least; twice that at most.
///
/// Demand comes in bursts of seconds: units given away between two requests of one burst would
/// have to come back through the log.
const WINDOW: u128 = 5_000;

/// Most rows in one report.
const ROWS: usize = 16;

/// Decides what may start here, and which records to append.
///
/// Invariant: for each team, units in use here are at most those that the log's fold counts as
/// occupied here, at every moment and on every node. It rests on: work starts only below the
/// cap that was read; a report names the allotment that was obeyed; and a life that others have
/// given up has not started anything for the longest run.
#[derive(Debug)]
pub struct Holder {
    life: LifeId,
    dc: DcId,
    timing: Timing,
    gate: Gate,
    contact: Contact,
    /// Whether the log has shown this life as one that holds units.
    joined: bool,
    /// Whether it is stopping.
    leaving: bool,
    /// When each peer's life was last heard of.
    heard: Map<LifeId, Time>,
    /// When each life of this data centre was first seen in the log.
    seen: Map<LifeId, Time>,
    /// Revoked lives of this data centre, and what was read of them when.
    revoked: Map<LifeId, Read>,
    /// When it last reported.
    reported: Option<Time>,
    /// When the demand seen was last forgotten.
    turned: Time,
    /// Where the next report goes on.
    turn: usize,
}

/// When this entry read of a revocation.
#[derive(Debug)]
struct Read {
    /// Reading of the revocation itself.
    first: Time,
    /// From where the peers count.
    since: Offset,
    /// Reading of that.
    at: Time,
}

impl Holder {
    /// A life of an entry in `dc`.
    pub fn new(life: LifeId, dc: DcId, timing: Timing) -> Self {
        Self {
            life,
            dc,
            timing,
            gate: Gate::default(),
            contact: Contact::default(),
            joined: false,
            leaving: false,
            heard: Map::default(),
            seen: Map::default(),
            revoked: Map::default(),
            reported: None,
            turned: Time::default(),
            turn: 0,
        }
    }

    /// This life.
    pub fn life(&self) -> &LifeId {
        &self.life
    }

    /// Whether the log has not shown this life yet.
    pub fn is_new(&self) -> bool {
        !self.joined
    }

    /// The times that it binds itself to.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// What is in use here.
    pub fn gate(&self) -> &Gate {
        &self.gate
    }

    /// Whether work may start here at all.
    pub fn is_open(&self, now: Time, known: &Allotments) -> bool {
        let open = known.life(&self.life).is_some_and(Life::is_open);
        open && !self.leaving && self.contact.holds(now, self.timing)
    }

    /// Takes a unit for `team`. `known` has to be the newest state that this entry has read.
    pub fn enter(&mut self, now: Time, known: &Allotments, team: &TeamId) -> Result<(), Refusal> {
        if !self.is_open(now, known) {
            return Err(Refusal::new(Code::Fenced));
        }
        self.gate.expire(now);
        let cap = known.row(team, &self.life).map_or(0, |r| r.cap);
        if self.gate.enter(team, cap) {
            return Ok(());
        }
        Err(Refusal::new(Code::TeamLimit))
    }

    /// Gives a unit back.
    pub fn leave(&mut self, team: &TeamId) {
        self.gate.leave(team);
    }

    /// Gives a unit back once its request, admitted at `start`, has surely ended.
    ///
    /// Failure: an answer is lost, the unit is given back at once, and the next request runs
    /// beside the first one, which still runs upstream: one over the limit.
    pub fn lose(&mut self, start: Time, team: &TeamId) {
        self.gate.leave_at(team, start.after(self.timing.lost()));
    }

    /// Starts nothing more; the units are handed back when all has ended.
    pub fn stop(&mut self) {
        self.leaving = true;
    }

    /// The log, asked at `sent`, had nothing that was not read.
    pub fn log_answered(&mut self, sent: Time) {
        self.contact.log(sent);
    }

    /// A peer, told at `sent` that this life is up, renewed it.
    pub fn renewed(&mut self, sent: Time) {
        self.contact.peer(sent);
    }

    /// A peer's life was heard of.
    pub fn hear(&mut self, now: Time, life: &LifeId) {
        self.heard.insert(life.clone(), now);
    }

    /// Whether this life renews a peer's.
    ///
    /// Failure: a renewal after the revocation was read, or from a life that has itself ended,
    /// keeps a peer going whose units others have taken over.
    pub fn renews(&self, now: Time, known: &Allotments, life: &LifeId) -> bool {
        let mine = known.life(life).filter(|l| l.dc == self.dc);
        mine.is_some_and(Life::is_open) && self.is_open(now, known)
    }

    /// Records to append now; `nonce` is fresh and random, for a next life.
    pub fn tick(&mut self, now: Time, known: &Allotments, nonce: u64) -> Vec<Holding> {
        self.gate.expire(now);
        self.note(now, known);
        let Some(own) = known.life(&self.life) else {
            return self.join(nonce);
        };
        self.joined = true;
        if !own.is_open() || self.leaving {
            let life = self.life.clone();
            let idle = self.gate.is_idle();
            return idle
                .then_some(Holding::Leave { life })
                .into_iter()
                .collect();
        }
        let mut records = self.suspect(now, known);
        records.extend(self.witness(now, known));
        records.extend(self.report(now, known));
        records
    }

    fn join(&mut self, nonce: u64) -> Vec<Holding> {
        if self.leaving || (self.joined && !self.gate.is_idle()) {
            return Vec::new();
        }
        if self.joined {
            // Others gave this life up; a number is never used again.
            self.life.nonce = nonce;
            self.joined = false;
        }
        vec![Holding::Join {
            life: self.life.clone(),
            dc: self.dc.clone(),
            timing: self.timing,
        }]
    }

    /// Remembers what the log says of this data centre's lives, and when that was read.
    fn note(&mut self, now: Time, known: &Allotments) {
        self.seen.retain(|life, _| known.life(life).is_some());
        self.heard.retain(|life, _| known.life(life).is_some());
        self.revoked.retain(|life, _| known.life(life).is_some());
        for (id, life) in known.lives().filter(|(_, l)| l.dc == self.dc) {
            self.seen.entry(id.clone()).or_insert(now);
            if life.is_open() {
                continue;
            }
            let since = life.since;
            let read = self.revoked.entry(id.clone()).or_insert(Read {
                first: now,
                since,
                at: now,
            });
            if read.since != since {
                (read.since, read.at) = (since, now);
            }
        }
    }

    /// Revokes peers that are not heard of.
    fn suspect(&self, now: Time, known: &Allotments) -> Vec<Holding> {
        let silent = |id: &LifeId, life: &Life| {
            let (since, limit) = match self.heard.get(id) {
                Some(at) => (*at, life.timing.fence),
                // It may be one that this entry has no link to.
                None => (*self.seen.get(id).unwrap_or(&now), life.timing.cut),
            };
            now.since(since).as_millis() >= u128::from(limit)
        };
        let mine = known
            .lives()
            .filter(|(id, l)| l.dc == self.dc && **id != self.life);
        mine.filter(|(id, l)| l.is_open() && silent(id, l))
            .map(|(id, _)| Holding::Revoke {
                life: id.clone(),
                by: self.life.clone(),
            })
            .collect()
    }

    /// Gives its word on revoked peers that it has not renewed for long enough.
    fn witness(&self, now: Time, known: &Allotments) -> Vec<Holding> {
        let mut words = Vec::new();
        for (id, read) in &self.revoked {
            let Some(life) = known.life(id).filter(|_| *id != self.life) else {
                continue;
            };
            let cut = now.since(read.first) >= life.timing.quiet_cut();
            let quiet = now.since(read.at) >= life.timing.quiet();
            let since = if cut { life.revoked } else { Some(read.since) };
            if let Some(since) = since.filter(|_| cut || quiet && !life.witnessed(&self.life)) {
                words.push(Holding::Witness {
                    life: id.clone(),
                    by: self.life.clone(),
                    since,
                    cut,
                });
            }
        }
        words
    }

    fn report(&mut self, now: Time, known: &Allotments) -> Option<Holding> {
        let period = (known.size() as u64 * 1000 / REPORTS).max(QUICKEST);
        let early = |at: Time| now.since(at).as_millis() < u128::from(period);
        if self.reported.is_some_and(early) {
            return None;
        }
        self.reported = Some(now);
        if now.since(self.turned).as_millis() >= WINDOW {
            self.turned = now;
            self.gate.turn();
        }
        let life = self.life.clone();
        let own = known.splits().filter_map(|(t, s)| Some((t, s.row(&life)?)));
        let rows: Vec<_> = own.filter_map(|(t, row)| self.news(t, row)).collect();
        if rows.is_empty() {
            return None;
        }
        // In turns, so that no team waits for ever behind the first ones.
        let from = self.turn % rows.len();
        self.turn = self.turn.wrapping_add(ROWS);
        let rows = rows.iter().cycle().skip(from).take(rows.len().min(ROWS));
        let rows = rows.cloned().collect();
        Some(Holding::Usage { life, rows })
    }

    /// What the log should know of a team, if it differs enough to be worth a record.
    fn news(&mut self, team: &TeamId, row: &AllotmentRow) -> Option<Usage> {
        let used = self.gate.used(team);
        let want = round_up(self.gate.demand(team).max(used));
        let freed = row.occupied > row.cap.max(used);
        let grew = want > row.want && want > row.cap;
        let shrank = want < row.want / 2;
        (freed || grew || shrank).then(|| Usage {
            team: team.clone(),
            want: if grew || shrank { want } else { row.want },
            used,
            epoch: row.epoch,
        })
    }
}

/// The next power of two: small changes of demand are not worth a record.
fn round_up(n: u32) -> u32 {
    if n == 0 { 0 } else { n.next_power_of_two() }
}
