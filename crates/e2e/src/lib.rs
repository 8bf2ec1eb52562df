//! Runs the real programs as separate processes on loopback, for tests of failures that only
//! processes have: kills, freezes, cut connections.
//!
//! Test support only. Processes are stopped by their own ids when a [`Fleet`] is dropped.

mod caller;
mod cutter;
mod faults;
mod fleet;
mod hosts;
mod process;
mod relay;

pub use caller::{Caller, Reply};
pub use cutter::{ANSWER, Cutter};
pub use fleet::{Fleet, OPERATOR_KEY, TEAM_KEY};
pub use hosts::Hosts;
pub use process::Process;
pub use relay::Relay;
