//! Which upstream takes a request, and whether a request may be tried again.
//!
//! Decides only: the daemon tells it which upstreams there are, what became of an attempt, the
//! time and a random number, and sends the request itself.

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
