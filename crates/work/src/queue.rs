//! Queues that callers submit jobs to.

use cactuswheel_model::Millis;

use crate::{Advice, QueueName, ServiceName};

/// A queue that callers submit jobs to, addressed by host and path.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: QueueName,
    /// Host name in callers' requests.
    pub host: String,
    /// Prefix of the path of callers' requests.
    pub prefix: String,
    /// The service whose workers run its tasks.
    pub service: ServiceName,
    /// Requests need no key.
    pub public: bool,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task at which the job fails.
    pub attempts: u32,
    /// Factor in the latency objective of a job, which is `stretch` times the job's critical path
    /// plus `allowance`.
    pub stretch: f64,
    /// Constant part of the latency objective of a job.
    pub allowance: Millis,
    /// Maximum duration of a request.
    pub timeout: Millis,
    /// Set if a policy service decides which workers may run a step.
    pub advice: Option<Advice>,
}
