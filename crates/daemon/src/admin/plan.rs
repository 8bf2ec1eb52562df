//! Plans of moves for operators.

use std::sync::Arc;

use cactuswheel_assignment::{Plan, plan, problem_from_state};
use cactuswheel_fleet::State;
use cactuswheel_http::{Reply, json};
use cactuswheel_model::{Code, Moves, OperatorId, Record, Refusal, WantedMove};
use hyper::StatusCode;
use serde::Serialize;
use tokio::task::spawn_blocking;

use super::propose::propose;
use crate::shared::Shared;

#[derive(Serialize)]
struct Shown<'a> {
    /// What would be moved now.
    plan: &'a Plan,
    /// Moves that are wanted and not done yet.
    wanted: &'a [WantedMove],
    /// For each of those, why it waits; empty if it does not.
    waits: Vec<String>,
}

/// Plans from the state as it stands and shows it beside the moves under way.
pub(super) async fn show(shared: &Arc<Shared>) -> Result<Reply, Refusal> {
    let (state, made) = make(shared).await?;
    Ok(shown(&state, &made))
}

/// Plans and proposes the moves; answers once this entry has read them back.
pub(super) async fn apply(shared: &Arc<Shared>, operator: OperatorId) -> Result<Reply, Refusal> {
    let (_, made) = make(shared).await?;
    let moves = made.moves.iter().map(|m| WantedMove {
        instance: m.instance.clone(),
        from: m.from.clone(),
        to: m.to.clone(),
    });
    let wanted = Moves {
        moves: moves.collect(),
        author: Some(operator),
    };
    log::info!("{wanted:?} proposed");
    propose(shared, &Record::Moves(wanted.clone())).await?;
    let state = shared.state.load();
    // Drivers may have carried some out already; another list holds others.
    let wishes = state.disruptions().wanted_moves();
    if wishes.iter().any(|w| !wanted.moves.contains(w)) {
        let detail = "another list of moves holds";
        return Err(Refusal::new(Code::GrantStale).with_detail(detail));
    }
    Ok(shown(&state, &made))
}

/// Planning takes up to a second at full size, so it runs off the threads that serve.
async fn make(shared: &Arc<Shared>) -> Result<(Arc<State>, Plan), Refusal> {
    let state = shared.state.load_full();
    let settings = shared.settings.assignment.clone();
    let known = state.clone();
    let made = spawn_blocking(move || {
        let problem = problem_from_state(&known, settings.weights, settings.moves);
        plan(&problem)
    });
    let made = made
        .await
        .map_err(|e| Refusal::new(Code::NotReady).with_detail(e.to_string()))?;
    Ok((state, made))
}

fn shown(state: &State, made: &Plan) -> Reply {
    let disruptions = state.disruptions();
    let config = state.config();
    let wait = |wish: &WantedMove| {
        if let Some(hold) = disruptions.outage(&wish.instance) {
            return format!("{:?} since record {}", hold.stage, hold.fence);
        }
        let leaving = disruptions.check_leaving(&wish.instance, &wish.from, config);
        if let Err(refusal) = leaving {
            return refusal.to_string();
        }
        let budget = disruptions.budget(&wish.from, config);
        match budget.has_room() {
            true => String::new(),
            false => budget.describe(&wish.from),
        }
    };
    let wanted = disruptions.wanted_moves();
    let shown = Shown {
        plan: made,
        wanted,
        waits: wanted.iter().map(wait).collect(),
    };
    json(StatusCode::OK, &shown)
}
