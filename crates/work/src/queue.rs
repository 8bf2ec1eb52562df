//! A queue that callers submit jobs to.

use cactuswheel_model::Millis;

use crate::{Advice, QueueName, ServiceName};

/// A queue, by host and path.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: QueueName,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the path.
    pub prefix: String,
    /// Service whose workers run its tasks.
    pub service: ServiceName,
    /// Calls need no key.
    pub public: bool,
    /// 0 comes first.
    pub priority: u32,
    /// Runs of a task that may fail before the job fails.
    pub attempts: u32,
    /// Latency objective of a job: this many times its longest chain of work...
    pub stretch: f64,
    /// ...and this much more.
    pub allowance: Millis,
    /// Longest time that a call may take.
    pub timeout: Millis,
    /// Set where a policy service names the workers that may run a step.
    pub advice: Option<Advice>,
}
