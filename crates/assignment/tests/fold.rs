//! The fleet state accepts each move of a plan when the moves are carried out in order.

use cactuswheel_assignment::{Weights, plan, problem_from_state};
use cactuswheel_fleet::{Applied, State};
use cactuswheel_model::Code;
use cactuswheel_testkit::{Rng, check};
use serde_json::{Value, json};

fn put(state: &mut State, record: &Value) -> Code {
    match state.apply(state.next(), &record.to_string()) {
        Applied::Ticket(outcome) => outcome.code,
        Applied::Disruption(done) => done.map_or_else(|e| e.code, |_| Code::Ok),
        Applied::Moves(done) => done.map_or_else(|e| e.code, |()| Code::Ok),
        other => panic!("{other:?}"),
    }
}

/// A fleet whose instances are in random pools; `None` if a pool is too small for its disruption
/// budget.
fn random_fleet(rng: &mut Rng) -> Option<State> {
    let pools = 1 + rng.below(4);
    let mut changes = vec![
        json!({"dc": {"id": "lj1", "region": "lj"}}),
        json!({"pool": {"id": "spare", "spare": true}}),
    ];
    for pool in 0..pools {
        changes.push(json!({"pool": {"id": format!("p{pool}")}}));
        changes.push(
            json!({"service": {"id": format!("s{pool}"), "pool": format!("p{pool}"),
            "max_down": rng.below(3), "demand": rng.below(60)}}),
        );
    }
    for n in 0..8 + rng.below(40) {
        let pool = match rng.below(pools + 1) {
            0 => "spare".to_owned(),
            pool => format!("p{}", pool - 1),
        };
        changes.push(
            json!({"instance": {"id": format!("w{n}"), "pool": pool, "dc": "lj1",
            "rack": format!("r{}", n / 4), "cores": 64, "memory": 131072,
            "slots": 4 << rng.below(3), "conns": 64}}),
        );
    }
    let mut state = State::default();
    let ticket = json!({"ticket": {"ticket": 1, "changes": changes}});
    (put(&mut state, &ticket) == Code::Ok).then_some(state)
}

fn carries_out(seed: u64) -> bool {
    let mut rng = Rng::new(seed);
    let Some(mut state) = random_fleet(&mut rng) else {
        return true;
    };
    let problem = problem_from_state(&state, Weights::deadlines(), 40);
    let made = plan(&problem);
    let wish = |m: &cactuswheel_assignment::Move| json!({"instance": m.instance, "from": m.from, "to": m.to});
    let list: Vec<Value> = made.moves.iter().map(wish).collect();
    let record = json!({"moves": {"moves": list}});
    assert_eq!(put(&mut state, &record), Code::Ok);
    for step in &made.moves {
        let fence = state.next();
        let id = &step.instance;
        let take = json!({"take": {"instance": id, "incarnation": 1, "holder": "e1",
            "purpose": {"move": {"from": step.from, "to": step.to}}}});
        let commit = json!({"commit": {"instance": id, "fence": fence}});
        let back = json!({"back": {"instance": id, "fence": fence, "incarnation": 1}});
        for part in [take, commit, back] {
            let code = put(&mut state, &json!({"disruption": part}));
            assert_eq!(code, Code::Ok, "{part} of {made:?}");
        }
    }
    let again = problem_from_state(&state, Weights::deadlines(), 40);
    assert_eq!(
        plan(&again).missing.iter().filter(|s| !s.more).count(),
        made.missing.iter().filter(|s| !s.more).count()
    );
    true
}

#[test]
fn whole_plan() {
    check(4104, 1_000, carries_out as fn(u64) -> bool);
}
