//! One process of the system on the platform: sockets, clocks and tasks around the pure parts.
//!
//! Every node is a front for callers and follows the configuration. One of them at a time owns
//! the cell: it schedules, and gives workers and instances their orders. Nothing is kept here;
//! what must last goes through the platform's store.

mod answer;
mod appending;
mod ask;
mod backoff;
mod cargo;
mod carrier;
mod claim;
mod clock;
mod config_follower;
mod courier;
mod error;
mod event;
mod fleet;
mod front;
mod hands;
mod hearing;
mod intake;
mod intake_follower;
mod journal_writer;
mod lapse;
mod lead;
mod link_rate;
mod logging;
mod metrics;
mod node;
mod order_log;
mod owner;
mod owner_handle;
mod ownership;
mod peer;
mod policies;
mod ready;
mod reception;
mod record_writer;
mod relay_desk;
mod role;
mod roster;
mod settings;
mod shared;
mod store_health;
mod takeover;
mod tally;
mod topics;
mod view;

pub use backoff::Backoff;
pub use claim::{Claim, Claims};
pub use clock::Clock;
pub use error::NodeError;
pub use hearing::Hearing;
pub use link_rate::{BadRate, LinkRate};
pub use logging::{init_log, record_fields};
pub use node::run;
pub use order_log::OrderLog;
pub use settings::{Settings, SettingsError};
pub use store_health::StoreHealth;
