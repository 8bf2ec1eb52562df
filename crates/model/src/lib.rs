//! The vocabulary of cactuswheel: identifiers, sizes, result codes, the objects that
//! operators describe and the records that go through the platform's log.
//!
//! Plain data only. This crate decides nothing, does no I/O and reads no clock; the rules
//! that accept or refuse a record live in `cactuswheel-fleet`.

mod change;
mod code;
mod dc;
mod digest;
mod holding;
mod ids;
mod incarnation;
mod instance;
mod key_grant;
mod life_id;
mod map;
mod number;
mod offset;
mod pool;
mod ran;
mod record;
mod refusal;
mod service;
mod share;
mod size;
mod slots;
mod team;
mod ticket;
mod ticket_no;
mod time;
mod timing;

pub use change::{Change, ObjectId};
pub use code::Code;
pub use dc::DataCentre;
pub use digest::{Digest, ParseDigestError};
pub use holding::{Holding, Usage};
pub use ids::{
    DcId, EntryId, InstanceId, OperatorId, ParseIdError, PoolId, RackId, RegionId, ServiceId,
    TeamId,
};
pub use incarnation::Incarnation;
pub use instance::Instance;
pub use key_grant::KeyGrant;
pub use life_id::{LifeId, ParseLifeError};
pub use map::{Map, Set};
pub use offset::Offset;
pub use pool::Pool;
pub use ran::Ran;
pub use record::Record;
pub use refusal::Refusal;
pub use service::Service;
pub use share::Share;
pub use size::{Cores, Mebibytes};
pub use slots::Slots;
pub use team::Team;
pub use ticket::Ticket;
pub use ticket_no::TicketNo;
pub use time::Time;
pub use timing::Timing;
