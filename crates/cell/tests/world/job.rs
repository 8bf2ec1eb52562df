//! Jobs and the fleet configuration that the tests and benches use.

use cactuswheel_model::{Map, Millis};
use cactuswheel_work::{
    Advice, Cap, FleetConfig, JobId, Queue, RequestLimits, Room, Service, Step, Submission, Team,
    TeamWeight,
};

/// The queue of all jobs.
pub fn queue() -> Queue {
    Queue {
        name: "short".into(),
        host: "host".into(),
        prefix: "/q/".into(),
        service: "pool".into(),
        public: false,
        priority: 0,
        attempts: 3,
        stretch: 1.6,
        allowance: Millis::new(600),
        timeout: Millis::new(3_000),
        advice: None,
    }
}

/// A configuration with one queue, one service and one team, whose quota is 60 cores.
pub fn config() -> FleetConfig {
    let service = Service {
        name: "pool".into(),
        guarded: false,
        spare: false,
    };
    let team = Team {
        name: "team".into(),
        weight: TeamWeight::new(1.0),
        cap: Cap(Room {
            cpu: 60_000,
            memory: 0,
            gpu: 0,
        }),
    };
    FleetConfig {
        version: 1,
        queues: Map::from_iter([(queue().name.clone(), queue())]),
        services: Map::from_iter([(service.name.clone(), service)]),
        teams: Map::from_iter([(team.name.clone(), team)]),
        keys: Map::default(),
        limits: RequestLimits {
            head: 1 << 14,
            body: 1 << 18,
        },
    }
}

/// A configuration with a second queue, which asks the policy service.
pub fn advised_config() -> FleetConfig {
    let mut config = config();
    let advised = Queue {
        name: "advised".into(),
        advice: Some(Advice {
            base: Millis::new(10),
            each: Millis::new(1),
            valid: Millis::new(3_000),
        }),
        ..queue()
    };
    config.queues.insert(advised.name.clone(), advised);
    config
}

/// A chain of `chain` steps, each with `count` tasks of four cores and the given estimate of the
/// run time in milliseconds. A step starts when the previous one is done.
pub fn steps(chain: u32, count: u32, estimate: u64) -> Vec<Step> {
    let steps = (0..chain).map(|n| Step {
        count,
        room: Room {
            cpu: 4_000,
            memory: 1_000,
            gpu: 0,
        },
        estimate: Millis::new(estimate),
        after: n.checked_sub(1).into_iter().collect(),
        label: None,
        near: None,
        spread: 0,
        image: None,
        target: Millis::new(0),
        budget: None,
        gang: false,
        tight: false,
        resumable: false,
        speculative: false,
        lasting: false,
        filler: false,
    });
    steps.collect()
}

/// A job of the team `team` with the given steps.
pub fn job(id: u64, steps: Vec<Step>) -> Submission {
    Submission {
        job: JobId::new(id),
        team: Some("team".into()),
        queue: "short".into(),
        service: "pool".into(),
        spec: "spec".into(),
        steps: steps.into(),
        begin: 0,
        interval: Millis::new(0),
        times: 0,
        accepted: 0,
    }
}

/// A job with `count` long-running tasks, of which at most `spread` run on one worker and at most
/// one may be disrupted at a time.
pub fn lasting(id: u64, count: u32, spread: u32) -> Submission {
    let mut steps = steps(1, count, 0);
    steps[0].lasting = true;
    steps[0].spread = spread;
    steps[0].budget = Some(1);
    job(id, steps)
}
