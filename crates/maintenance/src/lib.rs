//! Maintenance: carries outages of instances through, wave by wave, and reports losses.
//!
//! Every entry runs the same [`Driver`]; none is set aside. A driver looks at the fold and at
//! what the platform says of instances, and asks for records and orders. Which record holds is
//! for the fold alone, so any number of drivers may run, late ones and paused ones too. This
//! crate reads no clock and does no I/O.

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
