//! Data types for work on a platform's workers: jobs and their steps and tasks, queues, teams and
//! their caps, workers and their status, orders, instances and pools.
//!
//! The types are plain data: no I/O, no clock, no decisions. The platform's own terms do not appear
//! here; the adapter translates them.

mod advice;
mod end;
mod fleet_config;
mod instance;
mod instance_order;
mod job_id;
mod job_state;
mod name;
mod order_outcome;
mod pace_order;
mod poll_order;
mod queue;
mod room;
mod service;
mod start_order;
mod step;
mod stop_order;
mod submission;
mod task_id;
mod team;
mod team_weight;
mod wave;
mod worker;
mod worker_status;

pub use advice::Advice;
pub use end::{End, EndReason};
pub use fleet_config::{FleetConfig, RequestLimits};
pub use instance::{Instance, InstanceState};
pub use instance_order::{InstanceOrder, InstanceOutcome, OrderToken};
pub use job_id::{JobId, ParseJobIdError};
pub use job_state::JobState;
pub use name::{InstanceName, NodeName, QueueName, ServiceName, TeamName, WorkerId, ZoneName};
pub use order_outcome::OrderOutcome;
pub use pace_order::PaceOrder;
pub use poll_order::{PollError, PollOrder};
pub use queue::Queue;
pub use room::Room;
pub use service::Service;
pub use start_order::{StartOrder, StartOutcome, StartRefusal};
pub use step::Step;
pub use stop_order::StopOrder;
pub use submission::Submission;
pub use task_id::{ParseTaskIdError, StepId, TaskId};
pub use team::{Cap, Team};
pub use team_weight::{ParseTeamWeightError, TeamWeight};
pub use wave::Wave;
pub use worker::{Presence, WorkerEntry};
pub use worker_status::{Running, WorkerStatus};
