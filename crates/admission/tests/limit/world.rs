//! A simulated fleet: several entries, one log, the links between them, and faults.

use cactuswheel_admission::Holder;
use cactuswheel_fleet::State;
use cactuswheel_model::{Code, DcId, Holding, LifeId, Offset, Record, TeamId, Time, Timing};
use serde_json::json;

/// A small seeded random number generator with the same sequence on every platform.
pub struct Rng(pub u64);

impl Rng {
    pub fn roll(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % n
    }
}

/// A request running at an upstream.
struct Run {
    node: usize,
    /// Start time, by the entry's clock.
    start: u64,
    /// The process that started it; a killed process does not observe the end of its requests.
    boot: u64,
    end: u64,
    /// Whether the entry observes the end of the request.
    known: bool,
}

struct Node {
    holder: Holder,
    state: State,
    boot: u64,
    /// Rate of its clock, in thousandths of real time.
    rate: u64,
    paused: bool,
    /// Number of its entry; a replaced process that still runs shares it with its successor.
    name: usize,
    /// Whether the process was replaced; it may not know.
    replaced: bool,
    /// Whether it cannot read the log.
    read_cut: bool,
    /// Whether it cannot append to the log.
    append_cut: bool,
    /// Peers exchange heartbeats only within the same island.
    island: u64,
    /// Log reads in flight: send time by the node's clock, and the head of the log at that time.
    reads: Vec<(Time, usize)>,
    /// Renewals in flight: send time of the heartbeat by the node's clock, and the life renewed.
    renewals: Vec<(Time, LifeId)>,
}

impl Node {
    fn hears(&self, other: &Self) -> bool {
        let bridged = self.island == ALL_ISLANDS || other.island == ALL_ISLANDS;
        bridged || self.island == other.island
    }
}

pub struct World {
    pub rng: Rng,
    now: u64,
    log: Vec<String>,
    /// Records in flight to the log.
    sent: Vec<String>,
    /// State folded from the whole log.
    pub head: State,
    nodes: Vec<Node>,
    runs: Vec<Run>,
    team: TeamId,
    ticket: u64,
    /// Number of requests that were started.
    pub ran: usize,
    /// Number of lives that were freed.
    pub freed: usize,
}

pub const TIMING: Timing = Timing {
    fence: 300,
    run: 200,
    cut: 1_000,
};

const DCS: usize = 2;

/// Nodes of this island reach all other islands.
const ALL_ISLANDS: u64 = u64::MAX;

/// Maximum number of replaced processes that still run.
const MAX_REPLACED: usize = 3;

/// Maximum number of responses in flight to one node, and of records that may be reordered.
const MAX_IN_FLIGHT: usize = 6;

impl World {
    pub fn new(seed: u64, nodes: usize) -> Self {
        let mut world = Self {
            rng: Rng(seed),
            now: 1_000_000,
            log: Vec::new(),
            sent: Vec::new(),
            head: State::default(),
            nodes: Vec::new(),
            runs: Vec::new(),
            team: "ads".parse().unwrap(),
            ticket: 0,
            ran: 0,
            freed: 0,
        };
        for n in 0..nodes {
            let node = world.boot(n);
            world.nodes.push(node);
        }
        world.set_limit(8);
        world
    }

    fn boot(&mut self, n: usize) -> Node {
        let boot = self.rng.roll(u64::MAX);
        let life = LifeId::new(format!("e{n}").parse().unwrap(), boot);
        let dc: DcId = format!("d{}", n % DCS).parse().unwrap();
        Node {
            holder: Holder::new(life, dc, TIMING),
            state: State::default(),
            boot,
            rate: 980 + self.rng.roll(41),
            paused: false,
            name: n,
            replaced: false,
            read_cut: false,
            append_cut: false,
            island: 0,
            reads: Vec::new(),
            renewals: Vec::new(),
        }
    }

    fn append(&mut self, body: String) {
        let before = self.head.allotments().size();
        self.head.apply(Offset::new(self.log.len() as u64), &body);
        self.freed += before.saturating_sub(self.head.allotments().size());
        self.log.push(body);
    }

    fn set_limit(&mut self, limit: u64) {
        self.ticket += 1;
        let change = json!({"team": {"id": "ads", "share": 1, "limit": limit}});
        self.append(json!({"ticket": {"ticket": self.ticket, "changes": [change]}}).to_string());
    }

    fn clock(&self, n: usize) -> Time {
        Time::new(self.now * self.nodes[n].rate / 1000)
    }

    /// Runs one random step of a history, then checks the limit.
    pub fn step(&mut self) -> Result<(), String> {
        let n = self.rng.roll(self.nodes.len() as u64) as usize;
        match self.rng.roll(1000) {
            0..150 => self.advance_clock(),
            150..270 => self.request_read(n),
            270..390 => self.deliver_read(n),
            390..490 => self.send_heartbeat(n),
            490..590 => self.deliver_renewal(n),
            590..630 => self.tick(n),
            630..750 => self.deliver(),
            750..970 => self.start(n),
            970..973 => self.nodes[n].paused ^= true,
            973..975 => self.nodes[n].read_cut ^= true,
            975 => self.nodes[n].append_cut ^= true,
            976 => self.cut_dc(n),
            977..979 => self.isolate(n),
            979 if self.rng.roll(3) == 0 => self.kill(n),
            980 if self.rng.roll(2) == 0 => {
                let limit = 1 + self.rng.roll(12);
                self.set_limit(limit);
            }
            981..985 => self.clear_faults(),
            985..990 => self.nodes[n].paused = false,
            _ => {}
        }
        self.check_limit()
    }

    fn advance_clock(&mut self) {
        let long = self.rng.roll(400) == 0;
        self.now += if long { 2_500 } else { self.rng.roll(8) };
        self.end_runs();
    }

    /// Ends the runs whose end time has been reached.
    fn end_runs(&mut self) {
        let (ended, runs) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition::<Vec<_>, _>(|r| r.end <= self.now);
        self.runs = runs;
        for run in ended {
            let node = &mut self.nodes[run.node];
            if node.boot != run.boot {
                continue;
            }
            match run.known {
                true => node.holder.release(&self.team),
                false => node
                    .holder
                    .release_after_run(Time::new(run.start), &self.team),
            }
        }
    }

    fn request_read(&mut self, n: usize) {
        if !self.nodes[n].paused && !self.nodes[n].read_cut {
            let sent = self.clock(n);
            let head = self.log.len();
            let reads = &mut self.nodes[n].reads;
            reads.push((sent, head));
            reads.drain(..reads.len().saturating_sub(MAX_IN_FLIGHT));
        }
    }

    /// Delivers one of the log reads in flight, possibly an outdated one.
    fn deliver_read(&mut self, n: usize) {
        if self.nodes[n].paused || self.nodes[n].reads.is_empty() {
            return;
        }
        let pick = self.rng.roll(self.nodes[n].reads.len() as u64) as usize;
        let (sent, head) = self.nodes[n].reads.swap_remove(pick);
        let node = &mut self.nodes[n];
        for at in node.state.next().get() as usize..head {
            node.state.apply(Offset::new(at as u64), &self.log[at]);
        }
        node.holder.record_log_read(sent);
    }

    /// Sends a heartbeat to a random peer of the same data centre.
    fn send_heartbeat(&mut self, n: usize) {
        let m = self.rng.roll(self.nodes.len() as u64) as usize;
        let [a, b] = [&self.nodes[n], &self.nodes[m]];
        let apart = a.name % DCS != b.name % DCS || !a.hears(b) || n == m;
        if apart || a.paused || b.paused {
            return;
        }
        let (sent, at) = (self.clock(n), self.clock(m));
        let life = self.nodes[n].holder.life().clone();
        let peer = &mut self.nodes[m];
        peer.holder.record_heartbeat(at, &life);
        if peer.holder.may_renew(at, peer.state.allotments(), &life) {
            let renewals = &mut self.nodes[n].renewals;
            renewals.push((sent, life));
            renewals.drain(..renewals.len().saturating_sub(MAX_IN_FLIGHT));
        }
    }

    fn deliver_renewal(&mut self, n: usize) {
        if self.nodes[n].paused || self.nodes[n].renewals.is_empty() {
            return;
        }
        let pick = self.rng.roll(self.nodes[n].renewals.len() as u64) as usize;
        let (sent, life) = self.nodes[n].renewals.swap_remove(pick);
        if *self.nodes[n].holder.life() == life {
            self.nodes[n].holder.record_renewal(sent);
        }
    }

    fn tick(&mut self, n: usize) {
        if self.nodes[n].paused {
            return;
        }
        let (now, nonce) = (self.clock(n), self.rng.roll(u64::MAX));
        let node = &mut self.nodes[n];
        let records = node.holder.tick(now, node.state.allotments(), nonce);
        if node.append_cut {
            return;
        }
        let bodies = records.into_iter().map(Record::Holding);
        self.sent
            .extend(bodies.map(|r| serde_json::to_string(&r).unwrap()));
    }

    /// Delivers a record to the log once, twice or never, in any order.
    fn deliver(&mut self) {
        if self.sent.is_empty() {
            return;
        }
        let pick = self.rng.roll(self.sent.len().min(MAX_IN_FLIGHT) as u64) as usize;
        match self.rng.roll(10) {
            0 => drop(self.sent.remove(pick)),
            1 => self.append(self.sent[pick].clone()),
            _ => {
                let body = self.sent.remove(pick);
                self.append(body);
            }
        }
    }

    fn start(&mut self, n: usize) {
        if self.nodes[n].paused {
            return;
        }
        let now = self.clock(n);
        let node = &mut self.nodes[n];
        let known = node.state.allotments();
        if node.holder.acquire(now, known, &self.team).is_err() {
            return;
        }
        // Prefers long runs, since short ones rarely overlap.
        let short = self.rng.roll(TIMING.run).min(self.rng.roll(TIMING.run));
        let end = self.now + TIMING.run - short;
        let known = self.rng.roll(4) != 0;
        self.runs.push(Run {
            node: n,
            start: now.get(),
            boot: self.nodes[n].boot,
            end,
            known,
        });
        self.ran += 1;
        if !known {
            // The connection breaks at once; the request continues upstream.
            self.nodes[n].holder.release_after_run(now, &self.team);
            let run = self.runs.last_mut().unwrap();
            run.boot = run.boot.wrapping_add(1);
        }
    }

    fn cut_dc(&mut self, n: usize) {
        let dc = self.nodes[n].name % DCS;
        let mine = self.nodes.iter_mut().filter(|node| node.name % DCS == dc);
        mine.for_each(|node| (node.read_cut, node.append_cut) = (true, true));
    }

    /// Cuts one or two entries of a data centre off from the log and all other entries, but not
    /// from each other. The platform may consider one dead and replace it while it still runs.
    fn isolate(&mut self, n: usize) {
        let dc = self.nodes[n].name % DCS;
        let island = 1 + self.rng.roll(u64::MAX - 1);
        let m = self.rng.roll(self.nodes.len() as u64) as usize;
        for i in [n, m] {
            let node = &mut self.nodes[i];
            if node.name % DCS == dc {
                (node.read_cut, node.append_cut, node.island) = (true, true, island);
            }
        }
        let replaced = self.nodes.iter().filter(|n| n.replaced).count();
        if self.rng.roll(2) == 0 && !self.nodes[n].replaced && replaced < MAX_REPLACED {
            let next = self.boot(self.nodes[n].name);
            self.nodes[n].replaced = true;
            // Its address now belongs to its successor.
            self.nodes[n].island = self.rng.roll(u64::MAX - 1);
            self.nodes.push(next);
        }
    }

    /// Ends all cuts and pauses except those of replaced processes.
    fn clear_faults(&mut self) {
        for node in self.nodes.iter_mut().filter(|n| !n.replaced) {
            (node.read_cut, node.append_cut, node.island, node.paused) = (false, false, 0, false);
        }
    }

    /// Kills a process and replaces it by one without state; its requests continue upstream.
    pub fn kill(&mut self, n: usize) {
        if !self.nodes[n].replaced {
            self.nodes[n] = self.boot(self.nodes[n].name);
        }
    }

    fn check_limit(&self) -> Result<(), String> {
        let Some(split) = self.head.allotments().split(&self.team) else {
            return Ok(());
        };
        if split.caps() > split.limit() {
            return Err(format!(
                "{} units allotted, limit {}",
                split.caps(),
                split.limit()
            ));
        }
        let bound = split.limit().max(split.occupied());
        if self.runs.len() as u32 > bound {
            let (now, runs) = (self.now, self.runs.len());
            return Err(format!(
                "{runs} requests run at once at {now}, limit {bound}"
            ));
        }
        Ok(())
    }

    /// Cuts these entries off from all others but not from each other; `read_cut` also stops them
    /// from reading the log, `append_cut` from appending to it.
    pub fn isolate_nodes(&mut self, nodes: &[usize], read_cut: bool, append_cut: bool) {
        let island = 1 + self.rng.roll(u64::MAX - 1);
        for &n in nodes {
            let node = &mut self.nodes[n];
            (node.read_cut, node.append_cut, node.island) = (read_cut, append_cut, island);
        }
    }

    /// Reconnects an entry to the log and to all islands, including its previous one.
    pub fn reconnect(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        (node.read_cut, node.append_cut, node.island) = (false, false, ALL_ISLANDS);
    }

    /// Runs for `millis` with callers at every entry and without new faults.
    pub fn run_for(&mut self, millis: u64) -> Result<(), String> {
        let until = self.now + millis;
        while self.now < until {
            self.round();
            for n in 0..self.nodes.len() {
                (0..3).for_each(|_| self.start(n));
                self.check_limit()?;
            }
        }
        Ok(())
    }

    /// Lets every entry read the log, send heartbeats and append records, and delivers everything.
    fn round(&mut self) {
        self.now += 10;
        self.end_runs();
        for n in 0..self.nodes.len() {
            self.request_read(n);
            (0..2 * MAX_IN_FLIGHT).for_each(|_| self.deliver_read(n));
            (0..20).for_each(|_| self.send_heartbeat(n));
            (0..20).for_each(|_| self.deliver_renewal(n));
            self.tick(n);
        }
        for body in std::mem::take(&mut self.sent) {
            self.append(body);
        }
    }

    /// Number of lives that may have work running.
    pub fn lives(&self) -> usize {
        self.head.allotments().size()
    }

    /// All allotments of the limit, for failure messages.
    pub fn rows(&self) -> String {
        let split = self.head.allotments().split(&self.team).unwrap();
        let rows: Vec<_> = split
            .rows()
            .map(|(life, row)| format!("{life}: {row:?}"))
            .collect();
        rows.join("\n")
    }

    /// Units that one entry occupies according to the log.
    pub fn occupied(&self, n: usize) -> u32 {
        let life = self.nodes[n].holder.life();
        let row = self.head.allotments().row(&self.team, life);
        row.map_or(0, |r| r.occupied)
    }

    /// Ends all faults and checks that, after a while, the whole limit is allotted again.
    pub fn check_recovery(&mut self) -> Result<(), String> {
        // Replaced processes are paused for good; they stay in the list for their runs.
        self.nodes.iter_mut().for_each(|n| n.paused = n.replaced);
        self.clear_faults();
        for _ in 0..2_000 {
            self.round();
            self.check_limit()?;
        }
        let split = self.head.allotments().split(&self.team).unwrap();
        let (limit, caps) = (split.limit(), split.caps());
        let lives = self.head.allotments().size();
        let nodes = self.nodes.iter().filter(|n| !n.replaced).count();
        if caps != limit || lives != nodes {
            return Err(format!(
                "{caps} of {limit} units allotted, {lives} lives at the end\n{}",
                self.rows()
            ));
        }
        Ok(())
    }

    /// Whether an entry that may not start work refuses with `Code::Fenced`.
    pub fn refuses_when_fenced(&mut self) -> bool {
        self.now += 10 * TIMING.cut;
        let now = self.clock(0);
        let node = &mut self.nodes[0];
        let refused = node
            .holder
            .acquire(now, node.state.allotments(), &self.team);
        refused.is_err_and(|r| r.code == Code::Fenced)
    }

    /// Counts the records in the log that match `of`, so that tests can check that each kind is
    /// used.
    pub fn records(&self, of: fn(&Holding) -> bool) -> usize {
        let parsed = self.log.iter().filter_map(|b| serde_json::from_str(b).ok());
        parsed
            .filter(|r| matches!(r, Record::Holding(h) if of(h)))
            .count()
    }
}
