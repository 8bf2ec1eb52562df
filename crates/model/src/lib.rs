//! Data types shared by all cactuswheel crates: identifiers, sizes, result codes, the objects
//! that operators configure and the records that are appended to the platform's log.
//!
//! This crate holds plain data only. It makes no decisions, does no I/O and reads no clock; the
//! rules that accept or refuse a record are in `cactuswheel-fleet`.

mod attempt;
mod change;
mod code;
mod dc;
mod denial;
mod digest;
mod disruption;
mod holding;
mod ids;
mod incarnation;
mod instance;
mod job_event;
mod job_id;
mod job_spec;
mod key_grant;
mod life_id;
mod map;
mod millis;
mod moves;
mod number;
mod offset;
mod pool;
mod ran;
mod record;
mod refusal;
mod room;
mod service;
mod share;
mod size;
mod slots;
mod snapshot_mark;
mod team;
mod ticket;
mod ticket_no;
mod time;
mod timing;
mod wall_time;
mod wave;

pub use attempt::Attempt;
pub use change::{Change, ObjectId, ParseObjectError};
pub use code::Code;
pub use dc::DataCentre;
pub use denial::Denial;
pub use digest::{Digest, ParseDigestError};
pub use disruption::{Disruption, Purpose};
pub use holding::{Holding, Usage};
pub use ids::{
    DcId, EntryId, InstanceId, JobName, OperatorId, ParseIdError, PoolId, RackId, RegionId,
    ServiceId, TeamId,
};
pub use incarnation::Incarnation;
pub use instance::Instance;
pub use job_event::{AttemptEnd, JobEvent};
pub use job_id::JobId;
pub use job_spec::{JobSpec, Retry};
pub use key_grant::KeyGrant;
pub use life_id::{LifeId, ParseLifeError};
pub use map::{Map, Set};
pub use millis::Millis;
pub use moves::{Moves, WantedMove};
pub use offset::Offset;
pub use pool::Pool;
pub use ran::Ran;
pub use record::Record;
pub use refusal::Refusal;
pub use room::Room;
pub use service::Service;
pub use share::Share;
pub use size::{ByteSize, Cores, Mebibytes};
pub use slots::Slots;
pub use snapshot_mark::SnapshotMark;
pub use team::Team;
pub use ticket::Ticket;
pub use ticket_no::TicketNo;
pub use time::Time;
pub use timing::Timing;
pub use wall_time::WallTime;
pub use wave::{Wave, WaveNo};
