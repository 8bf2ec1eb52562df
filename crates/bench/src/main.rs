//! Measures the request path on loopback: what an entry adds to a request, what it costs at
//! rest, and what its decisions cost alone.
//!
//! Everything runs in this process, each role on threads of its own, for less than a minute.

mod client;
mod decisions;
mod load;
mod path;
mod rest;
mod stage;
mod usage;

use std::error::Error;

use bpaf::Bpaf;

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
    /// Cost of decisions alone
    #[bpaf(command)]
    Decisions,
    /// All of them
    #[bpaf(command)]
    All,
}

fn main() -> Result<(), Box<dyn Error>> {
    let part = part().run();
    if matches!(part, Part::Decisions | Part::All) {
        decisions::measure();
    }
    if matches!(part, Part::Rest | Part::All) {
        rest::measure(&Stage::start()?)?;
    }
    if matches!(part, Part::Path | Part::All) {
        path::measure(&Stage::start()?)?;
    }
    Ok(())
}
