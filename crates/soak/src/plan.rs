//! Schedule of a rolling run, drawn from a seed: what happens to which node, and when.

use std::time::Duration;

use cactuswheel_testkit::Rng;

/// Which of the nodes that are up a step applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pick {
    /// The owner of the cell at that moment; another node if the owner is not up.
    Owner,
    /// The node with this number, modulo the number of nodes that are up.
    Any(u64),
}

/// What a step does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Stops a node.
    Stop(Pick),
    /// Stops the owner, and the node that takes over as soon as it has.
    StopSuccessor,
    /// Stops all nodes but one at once.
    StopOthers(Pick),
    /// Sends another SIGTERM to a node that is stopping.
    Repeat(u64),
    /// Sends SIGHUP to a node.
    Hangup(Pick),
    /// Publishes a new configuration.
    Publish,
}

/// A step of the schedule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Time since the previous step.
    pub gap: Duration,
    /// What happens.
    pub action: Action,
}

/// Longest gap between the stops of nodes that are stopped together, in milliseconds.
const MAX_TOGETHER_MS: u64 = 50;

/// Draws the steps of a run that takes `time`.
pub fn draw_steps(rng: &mut Rng, time: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut passed = Duration::ZERO;
    loop {
        let gap = Duration::from_millis(100 + rng.below(2_900));
        passed += gap;
        if passed >= time {
            return steps;
        }
        let action = draw_action(rng);
        steps.push(Step { gap, action });
        if matches!(action, Action::Stop(_)) && rng.chance(40) {
            for _ in 0..1 + rng.below(3) {
                let gap = Duration::from_millis(rng.below(MAX_TOGETHER_MS));
                let action = Action::Stop(draw_pick(rng));
                steps.push(Step { gap, action });
            }
        }
    }
}

fn draw_action(rng: &mut Rng) -> Action {
    match rng.below(20) {
        0..12 => Action::Stop(draw_pick(rng)),
        12..14 => Action::StopSuccessor,
        14..16 => Action::StopOthers(draw_pick(rng)),
        16..18 => Action::Repeat(rng.next_u64()),
        18 => Action::Hangup(draw_pick(rng)),
        _ => Action::Publish,
    }
}

fn draw_pick(rng: &mut Rng) -> Pick {
    match rng.chance(50) {
        true => Pick::Owner,
        false => Pick::Any(rng.next_u64()),
    }
}
