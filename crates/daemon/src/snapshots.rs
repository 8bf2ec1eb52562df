//! Writes snapshots to the platform's log and reads the newest back.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_fleet::{Assembler, Snapshot, SnapshotPolicy, SnapshotTimer, State};
use cactuswheel_model::{Offset, Record, Time};
use cactuswheel_platform::{AppendPurpose, Log, LogError, Stream};
use tokio::time::{Instant, sleep};

use crate::Phase;
use crate::shared::Shared;

/// Time between two looks at whether a snapshot is due.
const PERIOD: Duration = Duration::from_secs(1);

/// Time over which the nodes' writes are spread once one is due.
const SPREAD: Duration = Duration::from_secs(30);

/// Pause after each part, so that a snapshot does not crowd the log.
const PART_PAUSE: Duration = Duration::from_millis(100);

/// Tries for each part.
const TRIES: u32 = 5;

/// Parts looked at first, from the stream's end.
const FIRST_LOOK: u64 = 32;

/// Parts read at once.
const BATCH: usize = 8;

/// Writes a snapshot whenever one is due, for as long as the task lives.
pub(crate) async fn write_when_due(shared: Arc<Shared>) {
    let start = Instant::now();
    let mut timer = SnapshotTimer::new(SnapshotPolicy::default(), Time::default());
    loop {
        sleep(PERIOD).await;
        if shared.phase.get() == Phase::Starting || shared.link.is_down() {
            continue;
        }
        let now = Time::default().after(start.elapsed());
        let state = shared.state.load_full();
        let wait = SPREAD.mul_f64(rand::random::<f64>());
        if !timer.step(now, &state, shared.link.first(), wait) {
            continue;
        }
        match write(&shared, state).await {
            Ok(head) => log::info!("snapshot of {head} written"),
            Err(e) => log::warn!("snapshot not written: {e}"),
        }
    }
}

/// Appends all parts, then the mark.
///
/// A part whose answer was lost is sent again: a reader takes it twice. The mark comes last,
/// so a writer that dies on the way leaves only parts that no reader takes for a whole.
async fn write(shared: &Shared, state: Arc<State>) -> Result<Offset, LogError> {
    let work = tokio::task::spawn_blocking(move || {
        let snapshot = Snapshot::of(&state)?;
        let mark = serde_json::to_string(&Record::Snapshot(snapshot.mark()))?;
        Ok::<_, cactuswheel_fleet::SnapshotError>((snapshot.head(), snapshot.parts(), mark))
    });
    let failed = |e: &dyn std::fmt::Display| LogError::Unavailable(e.to_string());
    let (head, parts, mark) = work
        .await
        .map_err(|e| failed(&e))?
        .map_err(|e| failed(&e))?;
    for part in parts {
        append_part(shared, part).await?;
        sleep(PART_PAUSE).await;
    }
    shared.appender.append(AppendPurpose::Control, mark).await?;
    Ok(head)
}

async fn append_part(shared: &Shared, part: String) -> Result<(), LogError> {
    let mut tries = 0;
    loop {
        let part = vec![part.clone()];
        let error = match shared.platform.append(Stream::Snapshots, part).await {
            Ok(_) => return Ok(()),
            Err(e) => e,
        };
        tries += 1;
        if tries == TRIES {
            return Err(error);
        }
        sleep(PERIOD).await;
    }
}

/// Takes the newest snapshot in the log that ends at `need` or later; whether one was taken.
pub(crate) async fn restore(shared: &Shared, need: Offset) -> Result<bool, LogError> {
    let Some(snapshot) = newest(shared, need).await? else {
        return Ok(false);
    };
    let head = snapshot.head();
    match tokio::task::spawn_blocking(move || snapshot.state()).await {
        Ok(Ok(state)) => Ok(shared.adopt(state)),
        Ok(Err(e)) => Err(LogError::Unavailable(format!("snapshot of {head}: {e}"))),
        Err(e) => Err(LogError::Unavailable(e.to_string())),
    }
}

/// Reads from the stream's end backwards, ever further, until a snapshot fits.
///
/// Failure: parts of an old snapshot from a paused writer may stand at the end. A look that
/// finds nothing of `need` or later goes on to what lies before them.
async fn newest(shared: &Shared, need: Offset) -> Result<Option<Snapshot>, LogError> {
    let (first, head) = bounds(shared).await?;
    let mut look = FIRST_LOOK;
    loop {
        let from = first.max(Offset::new(head.get().saturating_sub(look)));
        let best = read(shared, from, head).await?;
        if best.as_ref().is_some_and(|s| s.head() >= need) {
            return Ok(best);
        }
        if from == first {
            return Ok(None);
        }
        look *= 4;
    }
}

/// The oldest offset that the stream of snapshots keeps, and that of its next append.
async fn bounds(shared: &Shared) -> Result<(Offset, Offset), LogError> {
    let mut from = Offset::default();
    loop {
        let read = shared
            .platform
            .read(Stream::Snapshots, from, 0, Duration::ZERO)
            .await;
        match read {
            Ok(batch) => return Ok((batch.first, batch.head)),
            Err(LogError::Trimmed(first)) if first > from => from = first,
            Err(e) => return Err(e),
        }
    }
}

async fn read(
    shared: &Shared,
    mut from: Offset,
    head: Offset,
) -> Result<Option<Snapshot>, LogError> {
    let mut assembler = Assembler::default();
    while from < head {
        let batch = shared
            .platform
            .read(Stream::Snapshots, from, BATCH, Duration::ZERO)
            .await?;
        let Some(last) = batch.entries.last() else {
            break;
        };
        from = last.offset.next();
        for entry in &batch.entries {
            if let Err(e) = assembler.add_part(&entry.body) {
                log::warn!("record {} of the snapshots: {e}", entry.offset);
            }
        }
    }
    Ok(assembler.into_newest())
}
