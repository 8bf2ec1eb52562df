//! The path of a caller's request: key, limit, upstream, answer.

mod answer;
mod forward;
mod held;
mod request;
mod server;

pub(crate) use server::serve;
