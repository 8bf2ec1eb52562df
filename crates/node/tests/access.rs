//! Which callers see and cancel which jobs.

use cactuswheel_model::{Map, Millis};
use cactuswheel_node::{Caller, KeyError};
use cactuswheel_testkit::{Rng, Seed, check};
use cactuswheel_work::{FleetConfig, Queue, RequestLimits, TeamName};

/// Teams of the drawn jobs; the last one no longer exists in the configuration.
const TEAMS: [&str; 3] = ["east", "west", "dissolved"];

/// Keys that a caller may send: two of `east`, one of `west`, a withdrawn key of `east`, the key of
/// the dissolved team and one that never existed.
const KEYS: [&str; 6] = ["e1", "e2", "w1", "e0", "d1", "x"];

/// The team that a key gives access to.
fn team_of(key: &str) -> Option<&'static str> {
    match key {
        "e1" | "e2" => Some("east"),
        "w1" => Some("west"),
        _ => None,
    }
}

fn queue(name: &str, public: bool) -> Queue {
    Queue {
        name: name.into(),
        host: "host".into(),
        prefix: format!("/{name}/"),
        service: "pool".into(),
        public,
        priority: 0,
        attempts: 3,
        stretch: 1.6,
        allowance: Millis::new(600),
        timeout: Millis::new(3_000),
        advice: None,
    }
}

fn config() -> FleetConfig {
    let queues = [queue("open", true), queue("keyed", false)];
    let keys = KEYS.iter().filter_map(|k| Some((*k, team_of(k)?)));
    FleetConfig {
        version: 1,
        queues: queues.into_iter().map(|q| (q.name.clone(), q)).collect(),
        services: Map::default(),
        teams: Map::default(),
        keys: keys.map(|(k, t)| (k.to_owned(), t.into())).collect(),
        limits: RequestLimits {
            head: 1 << 14,
            body: 1 << 18,
        },
    }
}

/// Draws an element, or `None`.
fn draw<'a>(rng: &mut Rng, from: &[&'a str]) -> Option<&'a str> {
    from.get(rng.below(from.len() as u64 + 1) as usize).copied()
}

/// Guards against a caller that reads or cancels another team's job by its id. On every path, a job
/// with a team is seen with a key of that team only, and a job without one by everybody who may use
/// the path.
#[test]
fn own_jobs_only() {
    let config = config();
    check(7, 4_000, sees_own_jobs as fn(Seed) -> bool);

    // The key of a queue that became public still counts, and nobody else gains by the change.
    let opened = config.queue_at("host", "/open/1").expect("it exists");
    let caller = |key| Caller::identify(&config, opened, key).expect("the queue is public");
    let owner = TeamName::from("east");
    assert!(caller(Some("e1")).may_see(Some(&owner)));
    assert!(!caller(None).may_see(Some(&owner)));
    // A key that cannot be checked for now gives access to nothing.
    assert!(!Caller::Unverified.may_see(Some(&owner)));
}

fn sees_own_jobs(seed: Seed) -> bool {
    let config = config();
    let mut rng = Rng::new(seed.0);
    let key = draw(&mut rng, &KEYS);
    let owner = draw(&mut rng, &TEAMS);
    let path = *rng.pick(&["/open/1", "/keyed/1"]);
    let queue = config.queue_at("host", path).expect("the path has a queue");
    let team = key.and_then(team_of);
    match Caller::identify(&config, queue, key) {
        Err(KeyError::Missing) => !queue.public && key.is_none(),
        Err(KeyError::Unknown) => !queue.public && key.is_some() && team.is_none(),
        Ok(caller) => {
            let seen = caller.may_see(owner.map(TeamName::from).as_ref());
            (queue.public || team.is_some()) && seen == owner.is_none_or(|o| team == Some(o))
        }
    }
}
