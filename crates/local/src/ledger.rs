//! Ledger of all runs, from which tests detect violations.

use std::time::Instant;

use cactuswheel_model::Map;

/// Ledger of all runs that the workers have executed.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Current run of each task and the id of its worker.
    running: Map<String, (u64, String)>,
    /// Tasks whose successful end was acknowledged, with the time of the first acknowledgement.
    done: Map<String, Instant>,
    /// Number of starts of each task.
    pub starts: Map<String, u64>,
    /// Spec of the first start of each job, by job.
    pub specs: Map<String, String>,
    /// Descriptions of the violations.
    pub violations: Vec<String>,
}

impl Ledger {
    pub(crate) fn record_start(&mut self, task: &str, run: u64, worker: &str, spec: &str) {
        let job = task.split('.').next().unwrap_or_default().to_owned();
        let first = self.specs.entry(job).or_insert_with(|| spec.to_owned());
        if first != spec {
            let line = format!(
                "{task} run {run} on {worker}: started with a spec other than that of its job"
            );
            self.violations.push(line);
        }
        *self.starts.entry(task.to_owned()).or_default() += 1;
        if self.done.contains_key(task) {
            let line =
                format!("{task} run {run} on {worker}: started after its end was acknowledged");
            self.violations.push(line);
        }
        let previous = self
            .running
            .insert(task.to_owned(), (run, worker.to_owned()));
        if let Some((earlier, holder)) = previous.filter(|(_, holder)| holder != worker) {
            let line =
                format!("{task} runs twice: run {earlier} on {holder}, run {run} on {worker}");
            self.violations.push(line);
        }
    }

    pub(crate) fn record_end(&mut self, task: &str, run: u64) {
        if self.running.get(task).is_some_and(|(r, _)| *r == run) {
            self.running.remove(task);
        }
    }

    pub(crate) fn record_acknowledged(&mut self, task: &str) {
        self.done
            .entry(task.to_owned())
            .or_insert_with(Instant::now);
    }

    /// Number of a job's tasks whose successful end was acknowledged.
    pub fn done_count(&self, job: &str) -> usize {
        self.done.keys().filter(|t| t.starts_with(job)).count()
    }

    /// Number of starts of all tasks of a job.
    pub fn start_count(&self, job: &str) -> u64 {
        let starts = self.starts.iter().filter(|(t, _)| t.starts_with(job));
        starts.map(|(_, n)| n).sum()
    }
}
