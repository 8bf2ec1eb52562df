//! The entry instance: a thin shell that gives the decision crates their clock, sockets and
//! threads.
//!
//! Takes callers' requests, follows the platform's log and roster, answers operators. What may
//! start, where it goes and which record holds is decided in `admission`, `routing` and
//! `fleet`; nothing here decides.

mod admin;
mod appender;
mod basis;
mod candidates;
mod catch_up;
mod denials;
mod embedded;
mod error;
mod follower;
mod holding;
mod intake;
mod jobs;
mod line_limit;
mod log_link;
mod logging;
mod maintenance;
mod metrics;
mod node;
mod peer_snapshot;
mod peer_state;
mod peers;
mod phase;
mod proxy;
mod refused;
mod repeats;
mod settings;
mod shared;
mod shares;
mod sightings;
mod snapshots;

pub use embedded::run_embedded;
pub use error::StartError;
pub use line_limit::LineLimit;
pub use logging::{init_log, line};
pub use node::Node;
pub use phase::Phase;
pub use repeats::Repeats;
pub use settings::{Limits, Listen, LogSettings, Operator, Settings, SettingsError, SettingsFault};
