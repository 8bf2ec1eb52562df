//! The part of an entry that holds units of the teams' limits.

use cactuswheel_fleet::{AllotmentRow, Allotments, Life};
use cactuswheel_model::{
    Code, DcId, Holding, LifeId, Map, Offset, Refusal, TeamId, Time, Timing, Usage,
};

use crate::{LastContact, UnitCounter};

/// Usage reports of all entries together, per second; each entry sends an equal part of them.
///
/// With reports of 16 rows, 0.8 KB each, an entry reads 4.8 KB of reports from the log per second.
const REPORTS_PER_SECOND: u64 = 6;

/// Minimum time between two reports of one entry, in milliseconds.
const MIN_REPORT_MS: u64 = 300;

/// Length of a demand window, in milliseconds; peak demand is remembered for one to two windows.
///
/// Demand comes in bursts of seconds: units given up between two requests of one burst would have
/// to be allotted again through the log.
const DEMAND_WINDOW_MS: u128 = 5_000;

/// Maximum number of rows in one report.
const MAX_REPORT_ROWS: usize = 16;

/// Decides which requests may start at this entry, and which records it appends to the log.
///
/// Invariant: for each team, the units in use here never exceed those that any node that folds the
/// log counts as occupied here. Three rules ensure this: work starts only below the cap that was
/// read from the log; a report names the epoch of the allotment that the entry obeyed; and when
/// other entries free a life, it has not started any request for the longest run time.
#[derive(Debug)]
pub struct Holder {
    life: LifeId,
    dc: DcId,
    timing: Timing,
    units: UnitCounter,
    contact: LastContact,
    /// Whether this life has been read from the log.
    joined: bool,
    /// Whether the entry is shutting down.
    leaving: bool,
    /// When the last heartbeat from each peer's life arrived.
    last_heard: Map<LifeId, Time>,
    /// When each life of this data centre was first read from the log.
    first_seen: Map<LifeId, Time>,
    /// Revoked lives of this data centre, and when their revocations were read.
    revoked: Map<LifeId, RevocationRead>,
    /// When the last usage report was due.
    last_report: Option<Time>,
    /// Start of the current demand window.
    window_start: Time,
    /// Index of the first row of the next report, modulo the number of rows.
    next_row: usize,
}

/// When this entry read a revocation from the log.
#[derive(Debug)]
struct RevocationRead {
    /// When the revocation was first read.
    first_read: Time,
    /// Log offset from which the witnesses count.
    since: Offset,
    /// When `since` was read.
    since_read: Time,
}

impl Holder {
    /// Creates the state of `life`, an entry in data centre `dc`.
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

    /// The life of this entry.
    pub fn life(&self) -> &LifeId {
        &self.life
    }

    /// Whether this life has not been read from the log yet.
    pub fn awaits_join(&self) -> bool {
        !self.joined
    }

    /// The timeouts that this entry commits to.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// The units in use at this entry.
    pub fn units(&self) -> &UnitCounter {
        &self.units
    }

    /// Whether any work may start at this entry.
    pub fn is_open(&self, now: Time, known: &Allotments) -> bool {
        let open = known.life(&self.life).is_some_and(Life::is_open);
        open && !self.leaving && self.contact.is_recent(now, self.timing)
    }

    /// Acquires a unit for `team`; `known` must be the newest state that this entry has read.
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

    /// Releases a unit of `team`.
    pub fn release(&mut self, team: &TeamId) {
        self.units.release(team);
    }

    /// Releases a unit once its request, admitted at `start`, has certainly ended.
    ///
    /// If the unit of a request whose response was lost were released at once, the next request
    /// would run while the first one still runs upstream, and the team would exceed its limit by
    /// one.
    pub fn release_after_run(&mut self, start: Time, team: &TeamId) {
        self.units.release_at(team, start.after(self.timing.lost()));
    }

    /// Stops admitting requests; the entry leaves once all its running requests have ended.
    pub fn start_leaving(&mut self) {
        self.leaving = true;
    }

    /// Records that a log read sent at `sent` left no records unread.
    pub fn record_log_read(&mut self, sent: Time) {
        self.contact.record_log_read(sent);
    }

    /// Records that a peer renewed this life in response to a heartbeat sent at `sent`.
    pub fn record_renewal(&mut self, sent: Time) {
        self.contact.record_renewal(sent);
    }

    /// Records a heartbeat from a peer's life.
    pub fn record_heartbeat(&mut self, now: Time, life: &LifeId) {
        self.last_heard.insert(life.clone(), now);
    }

    /// Whether this entry may renew the life of a peer.
    ///
    /// A renewal sent after the peer's revocation was read, or by an entry that may itself no
    /// longer start work, would let the peer continue although others have taken over its units.
    pub fn may_renew(&self, now: Time, known: &Allotments, life: &LifeId) -> bool {
        let mine = known.life(life).filter(|l| l.dc == self.dc);
        mine.is_some_and(Life::is_open) && self.is_open(now, known)
    }

    /// Returns the records to append at `now`; `nonce` is a fresh random number, used if the entry
    /// needs a new life.
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
            // Other entries have freed this life; its nonce must not be reused.
            self.life.nonce = nonce;
            self.joined = false;
        }
        vec![Holding::Join {
            life: self.life.clone(),
            dc: self.dc.clone(),
            timing: self.timing,
        }]
    }

    /// Records when the lives of this data centre and their revocations were read from the log.
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

    /// Revokes peers whose heartbeats have stopped.
    fn revoke_silent(&self, now: Time, known: &Allotments) -> Vec<Holding> {
        let silent = |id: &LifeId, life: &Life| {
            let (since, limit) = match self.last_heard.get(id) {
                Some(at) => (*at, life.timing.fence),
                // This entry may have no link to that peer, hence the longer timeout.
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

    /// Witnesses that revoked peers have not been renewed by this entry for long enough.
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
        // Rotates the first row, so that no team is starved by the teams before it.
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

    /// Returns the usage of a team if it differs enough from the log's to be worth a record.
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

/// Rounds up to a power of two, since small changes of demand are not worth a record.
fn round_up(n: u32) -> u32 {
    if n == 0 { 0 } else { n.next_power_of_two() }
}
