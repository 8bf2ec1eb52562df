//! Reports and placements of one round.

use cactuswheel_fleet::State;
use cactuswheel_model::{InstanceId, JobEvent, Set, Time};
use cactuswheel_platform::{Batch, Presence, RosterSnapshot, TaskEvent, TaskId, TaskReport};
use cactuswheel_scheduling::{LiveWorker, Planner, Proposal};

/// The events that workers' reports come to; usage is learnt here and goes no further.
pub(super) fn report(batch: &Batch, state: &State, planner: &mut Planner) -> Vec<JobEvent> {
    let mut events = Vec::new();
    for entry in &batch.entries {
        let Ok(TaskReport { task, news }) = serde_json::from_str(&entry.body) else {
            log::error!("report {} passed over: it does not decode", entry.offset);
            continue;
        };
        let TaskId { job, attempt } = task;
        match news {
            TaskEvent::Checkpoint(mark) => events.push(JobEvent::Checkpoint { job, attempt, mark }),
            TaskEvent::Ended(end) => events.push(JobEvent::End { job, attempt, end }),
            TaskEvent::Usage(used) => {
                if let Some(known) = state.jobs().get(&job) {
                    planner
                        .estimates
                        .record_usage(&job.team, known.spec.room, used);
                }
            }
        }
    }
    if let Some(last) = batch.entries.last() {
        events.push(JobEvent::Reports {
            next: last.offset.next(),
        });
    }
    events
}

/// Placements for the log, and attempts to stop.
pub(super) fn place(
    state: &State,
    seen: &RosterSnapshot,
    drained: &Set<InstanceId>,
    planner: &mut Planner,
    now: Time,
) -> (Vec<JobEvent>, Vec<TaskId>) {
    let live: Vec<_> = seen
        .instances
        .iter()
        .filter(|s| s.presence == Presence::Live)
        .map(|s| LiveWorker {
            id: s.id.clone(),
            incarnation: s.incarnation,
        })
        .collect();
    let proposals = planner.plan(now, state, &live, drained);
    let events = proposals.iter().filter_map(Proposal::event).collect();
    let stops = proposals.into_iter().filter_map(|p| match p {
        Proposal::Preempt { job, attempt, .. } => Some(TaskId { job, attempt }),
        Proposal::Place { .. } => None,
    });
    (events, stops.collect())
}
