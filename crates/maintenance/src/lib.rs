//! Maintenance: reboots instances wave by wave, moves them between pools, and reports unplanned
//! losses.
//!
//! Every entry node runs the same [`Driver`]; there is no leader. A driver compares the
//! replicated state with what the platform reports about instances, and proposes log records
//! and orders. Only the replicated state decides which records are valid when it applies them,
//! so any number of drivers may run at once, including delayed and paused ones. This crate
//! reads no clock and does no I/O.

mod action;
mod driver;
mod losses;
mod outages;
mod reasons;
mod rollout;
mod settings;
mod starts;
mod timers;
mod view;

pub use action::{Action, Order, OrderKind};
pub use driver::Driver;
pub use reasons::WaitReason;
pub use rollout::min_wave_duration;
pub use settings::Settings;
pub use view::{Activity, RosterStatus, View, WorkerStatus};
