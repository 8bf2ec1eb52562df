//! Takes the cell over: shuts earlier owners out, then reads all that they have written.

use std::time::Duration;

use cactuswheel_adapter::{AppendError, Item, Partition, Producer};
use cactuswheel_capacity::{History, OrderRecord};
use cactuswheel_cell::{BadRecord, Bounds, Cell, JobRecord, decode};
use cactuswheel_model::{Millis, Time};
use cactuswheel_work::{InstanceName, JobId, Submission};
use futures::{StreamExt, stream};
use tokio::time::sleep;

use crate::expiry::page_time;
use crate::shared::Shared;
use crate::topics::{IntakeKey, JOURNAL, MAINTAINED, WAVES, intake};

/// Name under which every owner writes the journal: the epoch tells them apart.
pub(crate) const PRODUCER_NAME: &str = "owner";

/// Time without a part of the store's answer, beside what a large page takes on the link.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Partitions that are read at a time.
///
/// Failure: all partitions are read at once over a narrow link, none is through within its time,
/// and every try begins anew; the takeover never ends. Two at a time hide the way to the store,
/// and leave the link to the renewals of the ownership.
const MAX_IN_FLIGHT: usize = 2;

/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Lease that is asked for. A takeover and two looks fit in, and work on a worker that falls
/// silent starts again elsewhere in about this time.
const MAX_LEASE: Millis = Millis::new(4_500);

/// Time that a batch for the journal may take on the link: renewals of the ownership wait behind it.
const MAX_BATCH_TIME: Duration = Duration::from_millis(150);

/// Least such size, in bytes.
const MIN_BATCH_SIZE: usize = 16 << 10;

/// Largest, in bytes: well below what the store takes in one call.
const MAX_BATCH_SIZE: usize = 512 << 10;

/// Part of a node's memory that the records of a cell may take: in the cell they take about six
/// times as much.
const MEMORY_DIVISOR: usize = 8;

/// Longest time that a job's age may be worth counting; clocks of nodes may be off.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Why the cell was not taken over.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TakeoverError {
    /// A newer owner is there.
    #[error("a newer owner is there")]
    Deposed,
    /// The cell's state is more than this node may hold.
    #[error("error 506: the cell's state has {size} bytes of records; this node takes {limit}")]
    TooLarge {
        /// Bytes of records.
        size: usize,
        /// Most that the node takes.
        limit: usize,
    },
    /// A record cannot be read; going on without it would run work twice.
    #[error("journal of job {0}: {1}")]
    Record(JobId, BadRecord),
}

/// The cell as the store knows it, and the offsets from which to follow the intake.
pub(crate) struct Takeover {
    pub(crate) cell: Cell,
    pub(crate) offsets: Vec<u64>,
    /// What planners of earlier owners have had remembered.
    pub(crate) history: History,
    /// Last orders to instances; `None` if they cannot be read.
    pub(crate) orders: Option<Vec<(InstanceName, OrderRecord)>>,
}

/// Takes the cell over under `epoch`; `alone` if no earlier owner renews leases any more.
pub(crate) async fn take_over(
    shared: &Shared,
    epoch: u64,
    alone: bool,
) -> Result<Takeover, TakeoverError> {
    fence_off(shared, epoch).await?;
    // Whatever an earlier owner has in the journal is there by now, and nothing is added.
    let parts = (0..shared.settings.parts).map(intake);
    let all = [JOURNAL].into_iter().chain(parts);
    let read = stream::iter(all.map(|part| read_newest(shared, part)));
    let mut read: Vec<(Vec<Item>, u64)> = read.buffered(MAX_IN_FLIGHT).collect().await;
    let (journal, _) = read.remove(0);
    let (intake, ends): (Vec<Vec<Item>>, Vec<u64>) = read.into_iter().unzip();
    let intake: Vec<Item> = intake.into_iter().flatten().collect();
    let size = total_size(&intake) + total_size(&journal);
    let limit = (shared.settings.memory << 20) as usize / MEMORY_DIVISOR;
    if size > limit {
        return Err(TakeoverError::TooLarge { size, limit });
    }
    let config = loop {
        match shared.config.load_full() {
            Some(config) => break config,
            None => sleep(RETRY_PAUSE).await,
        }
    };
    let policy = shared.settings.policies.work.clone();
    let mut cell = Cell::new(cell_bounds(shared), epoch, config).with_policy(policy);
    if !alone {
        cell.expect_others();
    }
    rebuild_cell(shared, &mut cell, &intake, &journal)?;
    log::info!(
        epoch = epoch, jobs = intake.len() as u64, journaled = journal.len() as u64;
        "cell taken over"
    );
    let (history, orders) = read_instances(shared).await;
    Ok(Takeover {
        cell,
        offsets: ends,
        history,
        orders,
    })
}

fn total_size(items: &[Item]) -> usize {
    items.iter().map(|i| i.key.len() + i.value.len()).sum()
}

/// Puts what earlier owners left behind into a fresh cell.
fn rebuild_cell(
    shared: &Shared,
    cell: &mut Cell,
    intake: &[Item],
    journal: &[Item],
) -> Result<(), TakeoverError> {
    let now = shared.clock.now();
    // A job's cancelling may come before the job: records are in order of their keys.
    for item in intake {
        apply_intake(shared, cell, now, &item.key, &item.value);
    }
    for item in journal {
        if let Some(IntakeKey::Submitted(id)) = IntakeKey::parse(&item.key) {
            restore_submission(shared, cell, id, &item.value)?;
        }
    }
    let states = journal.iter();
    let states = states.filter(|i| IntakeKey::parse(&i.key).is_none());
    for item in states {
        let Ok(id) = item.key.parse::<JobId>() else {
            log::error!(key = item.key; "journal record of no job");
            continue;
        };
        let record = decode::<JobRecord>(&item.value);
        let record = record.map_err(|e| TakeoverError::Record(id, e))?;
        cell.restore(now, id, record);
    }
    for item in intake {
        // What was cancelled stays cancelled, whatever an earlier owner's record says.
        if let Some(IntakeKey::Cancelled(id)) = IntakeKey::parse(&item.key) {
            cell.cancel(now, id);
        }
    }
    cell.restored();
    Ok(())
}

/// Takes over a submission that an earlier owner has accepted.
fn restore_submission(
    shared: &Shared,
    cell: &mut Cell,
    id: JobId,
    value: &[u8],
) -> Result<(), TakeoverError> {
    let sub = decode::<Submission>(value).map_err(|e| TakeoverError::Record(id, e))?;
    let age = submission_age(shared, &sub);
    cell.restore_submission(shared.clock.now(), sub, age);
    Ok(())
}

/// How long ago a job was accepted, as far as that counts.
fn submission_age(shared: &Shared, sub: &Submission) -> Duration {
    let age = shared.clock.wall().saturating_sub(sub.accepted);
    Duration::from_millis(age).min(MAX_AGE)
}

/// What earlier owners have had remembered of instances: maintenance, and their last orders.
async fn read_instances(shared: &Shared) -> (History, Option<Vec<(InstanceName, OrderRecord)>>) {
    let ((maintained, _), (begun, _)) =
        tokio::join!(read_newest(shared, MAINTAINED), read_newest(shared, WAVES));
    // Only now: while the whole store is away each partition of the orders would count as
    // unreadable, and no instance be moved for seconds after its return.
    let orders = shared.orders.read(&shared.store).await;
    let maintained = maintained.iter().filter_map(|i| read_maintained(&i.key));
    let history = History {
        maintained: maintained.collect(),
        begun: begun
            .iter()
            .filter_map(|i| read_wave_start(shared, i))
            .collect(),
    };
    let orders = orders.map(|items| items.iter().filter_map(read_order).collect());
    (history, orders)
}

fn read_order(item: &Item) -> Option<(InstanceName, OrderRecord)> {
    match decode::<OrderRecord>(&item.value) {
        Ok(order) => Some((InstanceName::from(item.key.as_str()), order)),
        Err(e) => {
            log::error!(instance = item.key, error:% = e; "record of an order cannot be read");
            None
        }
    }
}

fn read_maintained(key: &str) -> Option<(u64, InstanceName)> {
    let (wave, instance) = key.split_once('/')?;
    Some((wave.parse().ok()?, instance.into()))
}

fn read_wave_start(shared: &Shared, item: &Item) -> Option<(u64, Time)> {
    let wave = item.key.parse().ok()?;
    let at = decode::<u64>(&item.value).ok()?;
    let age = shared.clock.wall().saturating_sub(at);
    let now = shared.clock.now().get();
    Some((wave, Time::new(now.saturating_sub(age))))
}

/// Takes a record of the intake into the cell.
pub(crate) fn apply_intake(shared: &Shared, cell: &mut Cell, now: Time, key: &str, value: &[u8]) {
    match IntakeKey::parse(key) {
        Some(IntakeKey::Submitted(id)) => match decode::<Submission>(value) {
            Ok(sub) => {
                let age = submission_age(shared, &sub);
                cell.submit(now, sub, age);
            }
            Err(e) => log::error!(job:% = id, error:% = e; "submission cannot be read"),
        },
        Some(IntakeKey::Cancelled(id)) => cell.cancel(now, id),
        None => log::error!(key = key; "intake record of no job"),
    }
}

async fn fence_off(shared: &Shared, epoch: u64) -> Result<(), TakeoverError> {
    let producer = Producer {
        name: PRODUCER_NAME.into(),
        epoch,
        seq: 0,
    };
    loop {
        let store = &shared.store;
        let done = store.append(JOURNAL, Some(&producer), None, &[], STORE_TIMEOUT);
        match done.await {
            Ok(_) => return Ok(()),
            Err(AppendError::Fenced) => return Err(TakeoverError::Deposed),
            Err(e) => {
                shared.metrics.append_failed("journal");
                log::info!(epoch = epoch, error:% = e; "earlier owners not shut out yet");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// The newest record of each key, and the offset at which the first page was read.
///
/// What was read stays read: only a page that fails is asked for again.
async fn read_newest(shared: &Shared, of: Partition) -> (Vec<Item>, u64) {
    let mut items: Vec<Item> = Vec::new();
    let mut end = None;
    let limit = STORE_TIMEOUT + page_time(shared.settings.link);
    loop {
        let after = items.last().map(|i| i.key.clone());
        match shared.store.newest(of, after.as_deref(), limit).await {
            Ok(page) => {
                let first = *end.get_or_insert(page.end);
                items.extend(page.items);
                if !page.more {
                    return (items, first);
                }
            }
            Err(e) => {
                log::info!(
                    topic = of.topic, part = of.part, read = items.len() as u64, error:% = e;
                    "takeover waits for the store"
                );
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn cell_bounds(shared: &Shared) -> Bounds {
    let times = &shared.settings.times;
    Bounds {
        lease: times.lease.min(MAX_LEASE),
        kept: times.kept,
        pace: times.pace,
        stop: times.stop,
        batch: shared
            .settings
            .link
            .bytes_in(MAX_BATCH_TIME)
            .clamp(MIN_BATCH_SIZE, MAX_BATCH_SIZE),
        share: shared.settings.share.rule(),
    }
}
