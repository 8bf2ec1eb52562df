//! Cost of admission: the time per decision for several numbers of teams and entries, the time to
//! fold one usage report into the state, and the size of the state. The last size is the design
//! size.
//!
//! cargo run --release -p cactuswheel-admission --example decision_cost

use std::hint::black_box;
use std::time::{Duration, Instant};

use cactuswheel_admission::{Concurrency, Holder, Queue, QueueRequest};
use cactuswheel_fleet::State;
use cactuswheel_model::{Holding, LifeId, Offset, Record, Share, TeamId, Time, Timing, Usage};
use serde_json::json;

/// Numbers of teams and entries.
const SIZES: [(usize, usize); 4] = [(6, 9), (40, 75), (80, 150), (160, 225)];
const ROUNDS: usize = 200_000;

fn team(n: usize) -> TeamId {
    format!("team{n}").parse().unwrap()
}

fn life(n: usize) -> LifeId {
    LifeId::new(format!("entry{n}").parse().unwrap(), n as u64)
}

fn append(state: &mut State, body: &str) {
    state.apply(state.next(), body);
}

fn holding_record(holding: Holding) -> String {
    serde_json::to_string(&Record::Holding(holding)).unwrap()
}

/// The state of a fleet whose entries have all joined.
fn fleet(teams: usize, entries: usize) -> State {
    let mut state = State::default();
    let limit = |n: usize| json!({"team": {"id": team(n), "share": 1 + n % 4, "limit": 2_000}});
    let changes: Vec<_> = (0..teams).map(limit).collect();
    let ticket = json!({"ticket": {"ticket": 1, "changes": changes}});
    append(&mut state, &ticket.to_string());
    for n in 0..entries {
        let join = Holding::Join {
            life: life(n),
            dc: format!("d{}", n % 25).parse().unwrap(),
            timing: Timing::default(),
        };
        append(&mut state, &holding_record(join));
    }
    state
}

fn measure(name: &str, rounds: usize, mut step: impl FnMut(usize)) {
    let start = Instant::now();
    (0..rounds).for_each(&mut step);
    let each = start.elapsed() / rounds as u32;
    println!("{name}: {each:?}");
}

fn main() {
    for (teams, entries) in SIZES {
        println!("{teams} teams, {entries} entries");
        run(teams, entries);
    }
}

fn run(count: usize, entries: usize) {
    let mut state = fleet(count, entries);
    let teams: Vec<_> = (0..count).map(team).collect();
    let mut holder = Holder::new(life(0), "d0".parse().unwrap(), Timing::default());
    holder.record_log_read(Time::new(1));
    let now = Time::new(2);
    measure("unit acquired and released", ROUNDS, |n| {
        let team = &teams[n % count];
        if holder.acquire(now, state.allotments(), team).is_ok() {
            holder.release(black_box(team));
        }
    });
    queue(&teams);
    let snapshot = serde_json::to_vec(state.allotments()).unwrap();
    println!("allotments as JSON: {} bytes", snapshot.len());
    let mut bytes = 0;
    measure("usage report of up to 16 teams folded", 500, |n| {
        let rows = (0..count.min(16)).map(|t| Usage {
            team: teams[t].clone(),
            want: (n % 40) as u32,
            used: 0,
            epoch: Offset::default(),
        });
        let rows = rows.collect();
        let life = life(n % entries);
        let body = holding_record(Holding::Usage { life, rows });
        bytes = body.len();
        append(&mut state, &body);
    });
    println!("usage report as a record: {bytes} bytes");
}

fn queue(teams: &[TeamId]) {
    let mut queue = Queue::default();
    let concurrency = Concurrency {
        slots: 400,
        units: 100,
    };
    let now = Time::new(1);
    let request = |n: usize| QueueRequest {
        team: teams[n % teams.len()].clone(),
        share: Share::new(1),
        urgent: n.is_multiple_of(10),
        deadline: Time::new(1_000_000),
    };
    measure("start without waiting requests", ROUNDS, |n| {
        let paid = queue.charge_start(&teams[n % teams.len()], Share::new(1));
        queue.settle_charge(&teams[n % teams.len()], paid, Duration::from_millis(20));
    });
    (0..teams.len() * 10).for_each(|n| drop(queue.push(now, request(n), concurrency, n)));
    measure("push and pop, all teams waiting", ROUNDS, |n| {
        let _ = black_box(queue.push(now, request(n), concurrency, n));
        queue.begin_round(now);
        if let Some((team, _)) = queue.pop(|_| true) {
            queue.charge_start(&team, Share::new(1));
        }
    });
}
