//! Selection of the upstream for a request, health of upstreams, and retry decisions.
//!
//! The crate is pure logic: the daemon passes in the known upstreams, the outcomes of attempts,
//! the time and random numbers, and sends the requests itself.

mod attempt;
mod budget;
mod exchange;
mod health;
mod lease;
mod nearness;
mod pool;
mod presence;
mod routes;
mod share;
mod upstream;
mod window;

pub use attempt::{Attempt, Event};
pub use budget::RetryBudget;
pub use exchange::{Exchange, MAX_ATTEMPTS};
pub use lease::Lease;
pub use nearness::Nearness;
pub use presence::{Life, Presences};
pub use routes::{Candidate, Routes};
pub use share::even_share;
pub use upstream::{Outcome, Upstream};
