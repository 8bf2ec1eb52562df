//! Maintenance waves for operators.

use cactuswheel_fleet::{Outage, State};
use cactuswheel_http::{Reply, json, read_json};
use cactuswheel_model::{Code, DcId, OperatorId, Record, Refusal, Wave, WaveNo};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};

use super::propose::propose;
use crate::maintenance::wall;
use crate::shared::Shared;

/// What an operator wants of the waves.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum Wish {
    /// Begin the next wave; `force` drops what is left of the newest.
    Start {
        #[serde(default)]
        order: Vec<DcId>,
        #[serde(default)]
        force: bool,
    },
    /// Start no more outages.
    Pause {},
    /// Go on.
    Resume {},
    /// Put these data centres first.
    Reorder { order: Vec<DcId> },
}

#[derive(Serialize)]
struct Shown<'a> {
    wave: Option<&'a Wave>,
    /// Instances that had their turn in the newest wave.
    done: usize,
    total: usize,
    outages: Vec<&'a Outage>,
    /// Why no more outages start.
    waits: &'a [String],
}

/// Shows the newest wave, what is under way and why the rest waits.
pub(super) fn show(shared: &Shared) -> Reply {
    let state = shared.state.load();
    let disruptions = state.disruptions();
    let total = state.config().instances.len();
    let shown = Shown {
        wave: disruptions.wave(),
        done: total - left(&state),
        total,
        outages: disruptions.outages().collect(),
        waits: &shared.waits.load(),
    };
    json(StatusCode::OK, &shown)
}

/// Carries an operator's wish out and answers as [`show`] once this entry has read it back.
pub(super) async fn change(
    shared: &Shared,
    operator: OperatorId,
    request: Request<Incoming>,
) -> Result<Reply, Refusal> {
    let wish: Wish = read_json(request.into_body())
        .await
        .map_err(|e| Refusal::new(Code::BadRequest).with_detail(e))?;
    let wave = wanted(&shared.state.load(), wish, operator)?;
    log::info!("{wave:?} proposed");
    propose(shared, &Record::Wave(wave.clone())).await?;
    let state = shared.state.load();
    if state.disruptions().wave().map(|w| w.number) < Some(wave.number) {
        return Err(Refusal::new(Code::WaveClosed).with_detail("another wave is the newest"));
    }
    Ok(show(shared))
}

fn wanted(state: &State, wish: Wish, operator: OperatorId) -> Result<Wave, Refusal> {
    let newest = state.disruptions().wave();
    let author = Some(operator);
    let same = || {
        let none = || Refusal::new(Code::WaveClosed).with_detail("no wave has begun");
        newest.cloned().ok_or_else(none)
    };
    Ok(match wish {
        Wish::Start { order, force } => {
            let left = left(state);
            if newest.is_some() && left > 0 && !force {
                let detail = format!("{left} instances wait for their turn in the newest wave");
                return Err(Refusal::new(Code::WaveClosed).with_detail(detail));
            }
            Wave {
                number: WaveNo::new(newest.map_or(0, |w| w.number.get()) + 1),
                paused: false,
                order,
                author,
                began: wall(),
            }
        }
        Wish::Pause {} => Wave {
            paused: true,
            author,
            ..same()?
        },
        Wish::Resume {} => Wave {
            paused: false,
            author,
            ..same()?
        },
        Wish::Reorder { order } => Wave {
            order,
            author,
            ..same()?
        },
    })
}

/// Instances that have not had their turn in the newest wave.
fn left(state: &State) -> usize {
    let disruptions = state.disruptions();
    let newest = disruptions.wave().map(|w| w.number);
    let instances = state.config().instances.values();
    instances
        .filter(|i| newest.is_none() || disruptions.last_wave(&i.id) < newest)
        .count()
}
