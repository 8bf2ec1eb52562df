//! Measures the request path on loopback: what an entry adds to a request, what it costs at
//! rest, and what its decisions cost alone.
//!
//! Everything runs in this process, each role on threads of its own, for less than a minute.

mod client;
mod decisions;
mod load;
mod path;
mod policy;
mod rest;
mod shape;
mod stage;
mod usage;

use std::error::Error;

use bpaf::Bpaf;

use crate::shape::Shape;
use crate::stage::Stage;

/// Measures the request path on loopback
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Part {
    /// Requests through an entry beside requests straight to the upstreams
    #[bpaf(command)]
    Path,
    /// Memory and processor time of an entry without requests
    #[bpaf(command)]
    Rest,
    /// Bursts of demand in turn at six entries, with and without faults
    #[bpaf(command)]
    Policy,
    /// Cost of decisions alone
    #[bpaf(command)]
    Decisions,
    /// All of them but the policy
    #[bpaf(command)]
    All,
}

fn main() -> Result<(), Box<dyn Error>> {
    let part = part().run();
    if matches!(part, Part::Decisions | Part::All) {
        decisions::measure();
    }
    if matches!(part, Part::Rest | Part::All) {
        rest::measure(&Stage::start(Shape::SMALL)?)?;
    }
    if matches!(part, Part::Path | Part::All) {
        path::measure(&Stage::start(Shape::SMALL)?)?;
    }
    if matches!(part, Part::Policy) {
        policy::measure()?;
    }
    Ok(())
}
