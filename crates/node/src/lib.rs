//! A node process: the sockets, clocks and tasks around the pure scheduling crates.
//!
//! Every node serves callers' requests and follows the configuration. One node at a time owns the
//! cell: it schedules jobs and sends orders to workers and instances. A node keeps no state on
//! disk; all durable state is in the platform's store.

mod access;
mod answer;
mod appending;
mod ask;
mod backoff;
mod blockage;
mod call_health;
mod cell_record;
mod claim;
mod clock;
mod config_follower;
mod dispatcher;
mod election;
mod error;
mod event;
mod expiry;
mod fleet;
mod front;
mod hand_ins;
mod intake;
mod intake_follower;
mod journal_writer;
mod link_load;
mod link_rate;
mod logging;
mod metrics;
mod node;
mod order_log;
mod order_sender;
mod overload;
mod owner;
mod owner_clock;
mod owner_handle;
mod owner_outage;
mod owner_stats;
mod ownership;
mod pages;
mod peer;
mod peer_traffic;
mod policies;
mod ready;
mod record_writer;
mod relay_client;
mod relay_request;
mod relay_server;
mod role;
mod roster;
mod settings;
mod shared;
mod spec_fetcher;
mod state_room;
mod takeover;
mod topics;
mod view;

pub use access::{Caller, KeyError};
pub use backoff::Backoff;
pub use call_health::CallHealth;
pub use cell_record::{CellKey, SilenceRecord};
pub use claim::{Claim, Claims};
pub use clock::Clock;
pub use error::NodeError;
pub use expiry::expiry_for;
pub use link_load::LinkLoad;
pub use link_rate::{InvalidRate, LinkRate};
pub use logging::{init_log, record_fields};
pub use node::run;
pub use order_log::OrderLog;
pub use overload::{Overload, outage_excess};
pub use owner_clock::OwnerClock;
pub use owner_outage::{Outlook, OwnerOutage};
pub use settings::{Settings, SettingsError};
pub use state_room::KnownRoom;
