//! The path of a caller's request: key, limit, upstream, answer.

mod abandoned;
mod answer;
mod attempt;
mod conns;
mod forward;
mod headers;
mod held;
mod job;
mod lines;
mod live;
mod payload;
mod progress;
mod relay;
mod request;
mod server;
mod slot;
mod traffic;

pub(crate) use conns::Conns;
pub(crate) use lines::{Lines, serve as start_waiting};
pub(crate) use server::serve;
