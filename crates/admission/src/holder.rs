//! An entry's life as a holder of units of teams' limits.

use cactuswheel_fleet::{AllotmentRow, Allotments, Life};
use cactuswheel_model::{
    Code, DcId, Holding, LifeId, Map, Offset, Refusal, TeamId, Time, Timing, Usage,
};

use crate::{LastContact, UnitCounter};

/// Reports of all entries together, per second; each entry takes an even part.
///
/// With reports of 16 rows, 0.8 KB each, this is 4.8 KB of log to read a second.
const REPORTS_PER_SECOND: u64 = 6;

/// Shortest time between two reports of one entry, in milliseconds.
const MIN_REPORT_MS: u64 = 300;

/// Time for which demand is remembered, in milliseconds, at least; twice that at most.
///
/// Demand comes in bursts of seconds: units given away between two requests of one burst would
/// have to come back through the log.
const DEMAND_WINDOW_MS: u128 = 5_000;

/// Most rows in one report.
const MAX_REPORT_ROWS: usize = 16;

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
    units: UnitCounter,
    contact: LastContact,
    /// Whether the log has shown this life as one that holds units.
    joined: bool,
    /// Whether it is stopping.
    leaving: bool,
    /// When each peer's life was last heard of.
    last_heard: Map<LifeId, Time>,
    /// When each life of this data centre was first seen in the log.
    first_seen: Map<LifeId, Time>,
    /// Revoked lives of this data centre, and what was read of them when.
    revoked: Map<LifeId, RevocationRead>,
    /// When it last reported.
    last_report: Option<Time>,
    /// When the demand seen was last forgotten.
    window_start: Time,
    /// Where the next report goes on.
    next_row: usize,
}

/// When this entry read of a revocation.
#[derive(Debug)]
struct RevocationRead {
    /// Reading of the revocation itself.
    first_read: Time,
    /// From where the peers count.
    since: Offset,
    /// Reading of that.
    since_read: Time,
}

impl Holder {
    /// A life of an entry in `dc`.
    pub fn new(life: LifeId, dc: DcId, timing: Timing) -> Self {
        Self {
            life,
            dc,
            timing,
            units: UnitCounter::default(),
            contact: LastContact::default(),
            joined: false,
            leaving: false,
            last_heard: Map::default(),
            first_seen: Map::default(),
            revoked: Map::default(),
            last_report: None,
            window_start: Time::default(),
            next_row: 0,
        }
    }

    /// This life.
    pub fn life(&self) -> &LifeId {
        &self.life
    }

    /// Whether the log has not shown this life yet.
    pub fn awaits_join(&self) -> bool {
        !self.joined
    }

    /// The times that it binds itself to.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// What is in use here.
    pub fn units(&self) -> &UnitCounter {
        &self.units
    }

    /// Whether work may start here at all.
    pub fn is_open(&self, now: Time, known: &Allotments) -> bool {
        let open = known.life(&self.life).is_some_and(Life::is_open);
        open && !self.leaving && self.contact.is_recent(now, self.timing)
    }

    /// Takes a unit for `team`. `known` has to be the newest state that this entry has read.
    pub fn acquire(&mut self, now: Time, known: &Allotments, team: &TeamId) -> Result<(), Refusal> {
        if !self.is_open(now, known) {
            return Err(Refusal::new(Code::Fenced));
        }
        self.units.expire(now);
        let cap = known.row(team, &self.life).map_or(0, |r| r.cap);
        if self.units.acquire(team, cap) {
            return Ok(());
        }
        Err(Refusal::new(Code::TeamLimit))
    }

    /// Gives a unit back.
    pub fn release(&mut self, team: &TeamId) {
        self.units.release(team);
    }

    /// Gives a unit back once its request, admitted at `start`, has surely ended.
    ///
    /// Failure: an answer is lost, the unit is given back at once, and the next request runs
    /// beside the first one, which still runs upstream: one over the limit.
    pub fn release_after_run(&mut self, start: Time, team: &TeamId) {
        self.units.release_at(team, start.after(self.timing.lost()));
    }

    /// Starts nothing more; the units are handed back when all has ended.
    pub fn start_leaving(&mut self) {
        self.leaving = true;
    }

    /// The log, asked at `sent`, had nothing that was not read.
    pub fn record_log_read(&mut self, sent: Time) {
        self.contact.record_log_read(sent);
    }

    /// A peer, told at `sent` that this life is up, renewed it.
    pub fn record_renewal(&mut self, sent: Time) {
        self.contact.record_renewal(sent);
    }

    /// A peer's life was heard of.
    pub fn record_heartbeat(&mut self, now: Time, life: &LifeId) {
        self.last_heard.insert(life.clone(), now);
    }

    /// Whether this life renews a peer's.
    ///
    /// Failure: a renewal after the revocation was read, or from a life that has itself ended,
    /// keeps a peer going whose units others have taken over.
    pub fn may_renew(&self, now: Time, known: &Allotments, life: &LifeId) -> bool {
        let mine = known.life(life).filter(|l| l.dc == self.dc);
        mine.is_some_and(Life::is_open) && self.is_open(now, known)
    }

    /// Records to append now; `nonce` is fresh and random, for a next life.
    pub fn tick(&mut self, now: Time, known: &Allotments, nonce: u64) -> Vec<Holding> {
        self.units.expire(now);
        self.observe_lives(now, known);
        let Some(own) = known.life(&self.life) else {
            return self.join(nonce);
        };
        self.joined = true;
        if !own.is_open() || self.leaving {
            let life = self.life.clone();
            let idle = self.units.is_idle();
            return idle
                .then_some(Holding::Leave { life })
                .into_iter()
                .collect();
        }
        let mut records = self.revoke_silent(now, known);
        records.extend(self.witness_revoked(now, known));
        records.extend(self.report(now, known));
        records
    }

    fn join(&mut self, nonce: u64) -> Vec<Holding> {
        if self.leaving || (self.joined && !self.units.is_idle()) {
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
    fn observe_lives(&mut self, now: Time, known: &Allotments) {
        self.first_seen.retain(|life, _| known.life(life).is_some());
        self.last_heard.retain(|life, _| known.life(life).is_some());
        self.revoked.retain(|life, _| known.life(life).is_some());
        for (id, life) in known.lives().filter(|(_, l)| l.dc == self.dc) {
            self.first_seen.entry(id.clone()).or_insert(now);
            if life.is_open() {
                continue;
            }
            let since = life.since;
            let read = self.revoked.entry(id.clone()).or_insert(RevocationRead {
                first_read: now,
                since,
                since_read: now,
            });
            if read.since != since {
                (read.since, read.since_read) = (since, now);
            }
        }
    }

    /// Revokes peers that are not heard of.
    fn revoke_silent(&self, now: Time, known: &Allotments) -> Vec<Holding> {
        let silent = |id: &LifeId, life: &Life| {
            let (since, limit) = match self.last_heard.get(id) {
                Some(at) => (*at, life.timing.fence),
                // It may be one that this entry has no link to.
                None => (*self.first_seen.get(id).unwrap_or(&now), life.timing.cut),
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
    fn witness_revoked(&self, now: Time, known: &Allotments) -> Vec<Holding> {
        let mut witnesses = Vec::new();
        for (id, read) in &self.revoked {
            let Some(life) = known.life(id).filter(|_| *id != self.life) else {
                continue;
            };
            let cut = now.since(read.first_read) >= life.timing.quiet_cut();
            let quiet = now.since(read.since_read) >= life.timing.quiet();
            let since = if cut { life.revoked } else { Some(read.since) };
            if let Some(since) = since.filter(|_| cut || quiet && !life.witnessed(&self.life)) {
                witnesses.push(Holding::Witness {
                    life: id.clone(),
                    by: self.life.clone(),
                    since,
                    cut,
                });
            }
        }
        witnesses
    }

    fn report(&mut self, now: Time, known: &Allotments) -> Option<Holding> {
        let period = (known.size() as u64 * 1000 / REPORTS_PER_SECOND).max(MIN_REPORT_MS);
        let early = |at: Time| now.since(at).as_millis() < u128::from(period);
        if self.last_report.is_some_and(early) {
            return None;
        }
        self.last_report = Some(now);
        if now.since(self.window_start).as_millis() >= DEMAND_WINDOW_MS {
            self.window_start = now;
            self.units.rotate_window();
        }
        let life = self.life.clone();
        let own = known.splits().filter_map(|(t, s)| Some((t, s.row(&life)?)));
        let rows: Vec<_> = own
            .filter_map(|(t, row)| self.usage_change(t, row))
            .collect();
        if rows.is_empty() {
            return None;
        }
        // In turns, so that no team waits for ever behind the first ones.
        let from = self.next_row % rows.len();
        self.next_row = self.next_row.wrapping_add(MAX_REPORT_ROWS);
        let rows = rows
            .iter()
            .cycle()
            .skip(from)
            .take(rows.len().min(MAX_REPORT_ROWS));
        let rows = rows.cloned().collect();
        Some(Holding::Usage { life, rows })
    }

    /// What the log should know of a team, if it differs enough to be worth a record.
    fn usage_change(&mut self, team: &TeamId, row: &AllotmentRow) -> Option<Usage> {
        let used = self.units.used(team);
        let want = round_up(self.units.demand(team).max(used));
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
