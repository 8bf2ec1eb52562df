//! Operators and drivers that race with each other.

use cactuswheel_model::Ticket;
use cactuswheel_testkit::{Rng, World};
use serde_json::{Value, json};

use super::Entry;

const POOLS: [&str; 3] = ["render", "spare", "audio"];

fn instance(n: u64, pool: &str) -> Value {
    json!({"instance": {"id": format!("w{n}"), "pool": pool, "dc": "lj1", "rack": "r1",
        "cores": 64, "memory": 131072, "slots": 8, "conns": 64}})
}

pub fn first_ticket() -> Ticket {
    let mut changes = vec![json!({"dc": {"id": "lj1", "region": "lj"}})];
    changes.extend(POOLS.iter().map(|id| json!({"pool": {"id": id}})));
    changes.extend((0..6).map(|n| instance(n, POOLS[n as usize % 3])));
    let service = json!({"service": {"id": "reels", "pool": "render", "max_down": 1}});
    changes.push(service);
    serde_json::from_value(json!({"ticket": 1, "changes": changes})).unwrap()
}

fn ticket(rng: &mut Rng, newest: &mut u64) -> Ticket {
    // Mostly the next number, often one that another operator uses too, sometimes an old one.
    let number = match rng.below(4) {
        0 => newest.saturating_sub(rng.below(4)),
        1 => *newest,
        _ => {
            *newest += 1;
            *newest
        }
    };
    let pool = *rng.pick(&POOLS);
    let id = rng.below(8);
    let mut changes = match rng.below(4) {
        0 => vec![json!({"remove": {"instance": format!("w{id}")}})],
        1 => vec![instance(id, "nowhere")],
        _ => vec![instance(id, pool)],
    };
    let limit = rng.below(50);
    changes.push(json!({"team": {"id": "ads", "share": 1, "limit": limit}}));
    serde_json::from_value(json!({"ticket": number, "changes": changes})).unwrap()
}

/// A step of an outage that a driver at this entry could propose from the entry's state.
fn step(rng: &mut Rng, entry: &Entry) -> Value {
    let state = entry.replica.state();
    let id = format!("w{}", rng.below(8));
    let outage = state
        .disruptions()
        .outages()
        .find(|o| o.instance.as_str() == id);
    let fence = outage.map_or(rng.below(50), |o| o.fence.get());
    let incarnation = rng.below(4);
    let pool = state.config().instances.get(id.as_str()).map(|i| &i.pool);
    let from = pool.map_or("render", |p| p.as_str());
    let proposal = match rng.below(6) {
        0 | 1 => json!({"take": {"instance": id, "incarnation": incarnation, "holder": "e1",
            "purpose": {"move": {"from": from, "to": rng.pick(&POOLS)}}}}),
        2 | 3 => json!({"commit": {"instance": id, "fence": fence}}),
        4 => json!({"back": {"instance": id, "fence": fence, "incarnation": incarnation}}),
        _ => json!({"lost": {"instance": id, "incarnation": incarnation}}),
    };
    json!({"disruption": proposal})
}

/// Performs a random action of operators, drivers or the platform between two steps of the world.
pub fn act(world: &mut World<Entry>, newest: &mut u64) {
    let now = world.now();
    let node = world.rng.below(world.nodes.len() as u64) as usize;
    match world.rng.below(10) {
        0 | 1 => {
            let ticket = ticket(&mut world.rng, newest);
            // Submits to two entries at once, as an impatient operator does.
            let other = world.rng.below(world.nodes.len() as u64) as usize;
            world.nodes[node].submit(now, ticket.clone());
            world.nodes[other].submit(now, ticket);
        }
        2 => {
            let step = step(&mut world.rng, &world.nodes[node]).to_string();
            let _ = world.platform.append(&step);
        }
        3 if world.rng.chance(10) => {
            let _ = world.platform.append("{\"no\":");
        }
        4 if world.rng.chance(10) => {
            let down = world.rng.chance(50);
            world.platform.set_down(down);
        }
        5 if world.rng.chance(10) => {
            let kept = world.rng.below(30) as usize;
            world.platform.trim(kept);
        }
        6 if world.rng.chance(3) => (0..world.nodes.len()).for_each(|n| world.replace(n)),
        _ => {}
    }
}
