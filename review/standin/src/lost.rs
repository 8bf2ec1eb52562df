//! The check of LOST (RULES.md): "for 3 s, a job has nothing running while a work unit's turn has
//! come, there is capacity for it twice over, its tenant has under half of `cap`, and under half
//! of the service's capacity is in use".

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::fleet::Fleet;
use crate::record::Record;
use crate::world::CAP;

/// How long a job may have nothing running.
const SPAN: Duration = Duration::from_secs(3);
const SAMPLE: Duration = Duration::from_millis(50);

/// A job of one step without `after`, `times` or constraints, that was accepted.
#[derive(Clone)]
pub struct Waiting {
    pub id: String,
    pub service: &'static str,
    /// Work units of the job, and the room of each.
    pub count: u64,
    pub cpu: u64,
    pub mem_mb: u64,
}

/// Samples for `time`; returns the jobs that had nothing running for [`SPAN`] on end although all
/// conditions of the rule held throughout.
pub fn watch(fleet: &Fleet, record: &Record, jobs: &[Waiting], time: Duration) -> Vec<String> {
    let end = Instant::now() + time;
    let mut since: HashMap<&str, Instant> = HashMap::new();
    let mut lost: Vec<String> = Vec::new();
    while Instant::now() < end {
        for job in jobs {
            if !waits(fleet, job) {
                since.remove(job.id.as_str());
                continue;
            }
            let first = *since.entry(&job.id).or_insert_with(Instant::now);
            if first.elapsed() >= SPAN && !lost.contains(&job.id) {
                let usage = fleet.usage(job.service, job.cpu, job.mem_mb);
                record.say(format!(
                    "LOST: job {} of {} has had nothing running for 3 s; {} of {} cores in use \
                     there, room for {} of its work units",
                    job.id,
                    job.service,
                    usage.used_cpu / 1_000,
                    usage.cpu / 1_000,
                    usage.fits
                ));
                lost.push(job.id.clone());
            }
        }
        std::thread::sleep(SAMPLE);
    }
    lost
}

/// Whether the conditions of the rule hold now and nothing of the job runs.
fn waits(fleet: &Fleet, job: &Waiting) -> bool {
    if fleet.done(&job.id) >= job.count || fleet.runs(&job.id) {
        return false;
    }
    let usage = fleet.usage(job.service, job.cpu, job.mem_mb);
    let tenant = fleet.tenant_use();
    usage.fits >= 2 * job.count
        && 2 * usage.used_cpu < usage.cpu
        && 2 * usage.used_mem_mb < usage.mem_mb
        && 2 * tenant.0 < CAP.0
        && 2 * tenant.1 < CAP.1
}
