//! Who may start work now: keys and teams' limits.
//!
//! Decides only; it does no I/O and reads no clock. The daemon asks it for each request and
//! tells it when the request has ended.

mod contact;
mod denials;
mod flow;
mod gate;
mod holder;
mod mean;
mod place;
mod queue;
mod shares;

pub use contact::Contact;
pub use denials::Denials;
pub use gate::Gate;
pub use holder::Holder;
pub use mean::Mean;
pub use place::Place;
pub use queue::{Queue, Room};
pub use shares::{Given, Shares};
