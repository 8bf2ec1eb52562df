//! Takeover of the cell: fences off earlier owners, then reads everything they have written.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use cactuswheel_adapter::{AppendError, Item, Partition, Producer};
use cactuswheel_capacity::{History, LastOwner, OrderRecord};
use cactuswheel_cell::{Bounds, Cell, DecodeError, Rebuild, decode};
use cactuswheel_model::{Millis, Time};
use cactuswheel_work::{InstanceName, JobId, Submission};
use futures::{StreamExt, TryStreamExt, stream};
use tokio::time::sleep;

use crate::cell_record::{CellKey, SilenceRecord};
use crate::dispatcher::report_limit;
use crate::pages::Pages;
use crate::shared::Shared;
use crate::topics::{IntakeKey, JOURNAL, MAINTAINED, WAVES, intake};

/// Producer name under which every owner writes the journal; the epoch distinguishes the owners.
pub(crate) const PRODUCER_NAME: &str = "owner";

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Number of partitions that are read concurrently.
///
/// If all partitions were read at once over a narrow link, none would complete within its timeout
/// and every attempt would start over, so the takeover would never end. Two at a time hide the
/// round trip to the store and leave room on the link for the renewals of the ownership.
const MAX_IN_FLIGHT: usize = 2;

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Upper limit of the workers' lease. A takeover and two polls fit into it, and runs on a worker
/// that falls silent are started again elsewhere after about this time.
const MAX_LEASE: Millis = Millis::new(4_500);

/// Time that a journal batch may take on the link, since renewals of the ownership wait behind it.
const MAX_BATCH_TIME: Duration = Duration::from_millis(150);

/// Lower limit of the batch size, in bytes.
const MIN_BATCH_SIZE: usize = 16 << 10;

/// Upper limit of the batch size, in bytes: well below what the store accepts in one call.
const MAX_BATCH_SIZE: usize = 512 << 10;

/// Upper limit of a job's age, since the clocks of nodes may differ.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Why a takeover failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TakeoverError {
    /// A newer owner has fenced off this one.
    #[error("a newer owner has fenced off this one")]
    Deposed,
    /// The cell's state is too large for this node's memory.
    #[error(
        "error 506: the cell's state takes up more than {size} bytes; the limit of this node is {limit}"
    )]
    TooLarge {
        /// Size of the state as far as it was read, in bytes.
        size: u64,
        /// Largest size that this node takes over, in bytes.
        limit: u64,
    },
    /// A record cannot be decoded. Continuing without it would run tasks twice.
    #[error("journal of job {0}: {1}")]
    Record(JobId, DecodeError),
}

/// The ownership under which a cell is taken over.
#[derive(Debug, Clone, Copy)]
struct Ownership {
    epoch: u64,
    /// What is known of the previous owner.
    before: Option<LastOwner>,
}

/// Result of a takeover.
pub(crate) struct Takeover {
    /// The cell, rebuilt from the store.
    pub(crate) cell: Cell,
    /// For each intake partition, the offset from which to follow it.
    pub(crate) offsets: Vec<u64>,
    /// The maintenance history that earlier owners recorded.
    pub(crate) history: History,
    /// The recorded orders to instances; `None` if they cannot be read.
    pub(crate) orders: Option<Vec<(InstanceName, OrderRecord)>>,
}

/// Takes the cell over under `epoch` from the owner `before`. `alone` says that no earlier owner
/// still renews leases.
pub(crate) async fn take_over(
    shared: &Shared,
    epoch: u64,
    alone: bool,
    before: Option<LastOwner>,
) -> Result<Takeover, TakeoverError> {
    fence_off(shared, epoch).await?;
    // From here on the journal is complete: earlier owners cannot append to it any more.
    let config = loop {
        match shared.config.load_full() {
            Some(config) => break config,
            None => sleep(RETRY_PAUSE).await,
        }
    };
    let policy = shared.settings.policies.work.clone();
    let mut cell = Cell::new(cell_bounds(shared), epoch, config).with_policy(policy);
    let hold = &shared.settings.policies.hold;
    if hold.enabled {
        cell = cell.with_outage(hold.limit.duration());
    }
    if !alone {
        cell.expect_previous_owner();
    }
    let (cell, ends) = rebuild_cell(shared, cell, Ownership { epoch, before }).await?;
    let (history, orders) = read_instances(shared).await;
    Ok(Takeover {
        cell,
        offsets: ends,
        history,
        orders,
    })
}

/// Restores the state that earlier owners have written into a new cell. Returns it with the end
/// offset of each intake partition.
async fn rebuild_cell(
    shared: &Shared,
    cell: Cell,
    ownership: Ownership,
) -> Result<(Cell, Vec<u64>), TakeoverError> {
    let start = shared.clock.now();
    let rebuild = Mutex::new(Rebuild::new(cell));
    let parts = (0..shared.settings.parts).map(intake);
    let all = [JOURNAL].into_iter().chain(parts);
    let read = stream::iter(all.map(|part| restore_partition(shared, part, ownership, &rebuild)));
    let ends: Vec<u64> = read.buffered(MAX_IN_FLIGHT).try_collect().await?;
    let rebuild = rebuild.into_inner().unwrap_or_else(PoisonError::into_inner);
    let (jobs, size) = (rebuild.submissions(), rebuild.size());
    let cell = rebuild.finish(shared.clock.now());
    let cell = cell.map_err(|(id, e)| TakeoverError::Record(id, e))?;
    let took = shared.clock.now().since(start);
    log::info!(
        epoch = ownership.epoch, jobs = jobs, state_bytes = size, read_ms = took.as_millis() as u64;
        "cell taken over"
    );
    Ok((cell, ends[1..].to_vec()))
}

/// Reads the newest record of each key in a partition into the cell, page by page. Returns the
/// partition's end offset as of the first page.
async fn restore_partition(
    shared: &Shared,
    partition: Partition,
    ownership: Ownership,
    rebuild: &Mutex<Rebuild>,
) -> Result<u64, TakeoverError> {
    let mut pages = Pages::new(partition);
    while let Some(items) = pages.next(shared).await {
        let mut rebuild = rebuild.lock().unwrap_or_else(PoisonError::into_inner);
        for item in items {
            match partition == JOURNAL {
                true => restore_journal(shared, ownership, &mut rebuild, &item)?,
                false => restore_intake(shared, &mut rebuild, &item)?,
            }
        }
        let (size, limit) = (rebuild.size(), shared.own_limits().takeover);
        if size > limit {
            return Err(TakeoverError::TooLarge { size, limit });
        }
    }
    Ok(pages.end.unwrap_or_default())
}

/// Restores a record of the journal: a submission that an earlier owner has accepted, the state of
/// a job, or a record that belongs to no job.
fn restore_journal(
    shared: &Shared,
    ownership: Ownership,
    rebuild: &mut Rebuild,
    item: &Item,
) -> Result<(), TakeoverError> {
    let now = shared.clock.now();
    if let Some(IntakeKey::Submitted(id)) = IntakeKey::parse(&item.key) {
        let sub = decode::<Submission>(&item.value);
        let sub = sub.map_err(|e| TakeoverError::Record(id, e))?;
        let age = submission_age(shared, &sub);
        let done = rebuild.journaled(now, sub, age);
        return done.map_err(|e| TakeoverError::Record(id, e));
    }
    if let Some(key) = CellKey::parse(&item.key) {
        restore_cell_record(ownership, rebuild, key, &item.value);
        return Ok(());
    }
    let Ok(id) = item.key.parse::<JobId>() else {
        log::error!(key = item.key; "journal record with an invalid key");
        return Ok(());
    };
    let done = rebuild.state(now, id, &item.value);
    done.map_err(|e| TakeoverError::Record(id, e))
}

/// Restores a record that belongs to no job. A silence that cannot be decoded only means a longer
/// wait.
fn restore_cell_record(ownership: Ownership, rebuild: &mut Rebuild, key: CellKey, value: &[u8]) {
    match key {
        CellKey::Queue(name) => match decode::<u32>(value) {
            Ok(attempts) => rebuild.queue(name, attempts),
            Err(e) => log::error!(queue:% = name, error:% = e; "cannot decode a queue's attempts"),
        },
        CellKey::Silent(worker) => {
            let lease_end = match decode::<SilenceRecord>(value) {
                Ok(record) => record.local_end(ownership.epoch, ownership.before),
                Err(e) => {
                    log::error!(
                        worker:% = worker, error:% = e;
                        "cannot decode the silence of a worker"
                    );
                    None
                }
            };
            rebuild.silence(worker, lease_end);
        }
    }
}

/// Restores a record of the intake.
fn restore_intake(
    shared: &Shared,
    rebuild: &mut Rebuild,
    item: &Item,
) -> Result<(), TakeoverError> {
    match IntakeKey::parse(&item.key) {
        Some(IntakeKey::Submitted(id)) => match decode::<Submission>(&item.value) {
            Ok(sub) => {
                let age = submission_age(shared, &sub);
                let done = rebuild.submitted(shared.clock.now(), sub, age);
                return done.map_err(|e| TakeoverError::Record(id, e));
            }
            Err(e) => log::error!(job:% = id, error:% = e; "cannot decode the submission"),
        },
        Some(IntakeKey::Cancelled(id)) => rebuild.cancelled(id),
        None => log::error!(key = item.key; "intake record with an invalid key"),
    }
    Ok(())
}

/// How long ago a job was accepted, at most [`MAX_AGE`].
fn submission_age(shared: &Shared, sub: &Submission) -> Duration {
    let age = shared.clock.wall().saturating_sub(sub.accepted);
    Duration::from_millis(age).min(MAX_AGE)
}

/// Reads what earlier owners have recorded of instances: the maintenance history and the orders.
async fn read_instances(shared: &Shared) -> (History, Option<Vec<(InstanceName, OrderRecord)>>) {
    let (maintained, waves) =
        tokio::join!(read_newest(shared, MAINTAINED), read_newest(shared, WAVES));
    // The orders are read last, once the store has answered the other reads. During an outage of
    // the whole store each partition of the orders would count as unreadable, and no instance
    // would be moved for seconds after the store's return.
    let orders = shared.orders.read(&shared.store).await;
    let maintained = maintained.iter().filter_map(|i| read_maintained(&i.key));
    let history = History {
        maintained: maintained.collect(),
        wave_starts: waves
            .iter()
            .filter_map(|i| read_wave_start(shared, i))
            .collect(),
    };
    let orders = orders.map(|items| items.iter().filter_map(read_order).collect());
    (history, orders)
}

/// Decodes the record of an order to an instance.
fn read_order(item: &Item) -> Option<(InstanceName, OrderRecord)> {
    match decode::<OrderRecord>(&item.value) {
        Ok(order) => Some((InstanceName::from(item.key.as_str()), order)),
        Err(e) => {
            log::error!(
                instance = item.key, error:% = e;
                "cannot decode the record of an instance order"
            );
            None
        }
    }
}

/// Parses the key of a maintenance record into its wave and instance.
fn read_maintained(key: &str) -> Option<(u64, InstanceName)> {
    let (wave, instance) = key.split_once('/')?;
    Some((wave.parse().ok()?, instance.into()))
}

/// Decodes the record of when a wave began, and converts the time to this node's clock.
fn read_wave_start(shared: &Shared, item: &Item) -> Option<(u64, Time)> {
    let wave = item.key.parse().ok()?;
    let at = decode::<u64>(&item.value).ok()?;
    let age = shared.clock.wall().saturating_sub(at);
    let now = shared.clock.now().get();
    Some((wave, Time::new(now.saturating_sub(age))))
}

/// Applies an intake record to the cell: submits or cancels its job.
pub(crate) fn apply_intake(shared: &Shared, cell: &mut Cell, now: Time, key: &str, value: &[u8]) {
    match IntakeKey::parse(key) {
        Some(IntakeKey::Submitted(id)) => match decode::<Submission>(value) {
            Ok(sub) => {
                let age = submission_age(shared, &sub);
                cell.submit(now, sub, age);
            }
            Err(e) => log::error!(job:% = id, error:% = e; "cannot decode the submission"),
        },
        Some(IntakeKey::Cancelled(id)) => cell.cancel(now, id),
        None => log::error!(key = key; "intake record with an invalid key"),
    }
}

/// Writes the epoch to the journal, so that the store refuses appends by earlier owners.
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
                log::info!(
                    epoch = epoch, error:% = e;
                    "cannot fence off earlier owners yet; retrying"
                );
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads the newest record of each key in a partition.
async fn read_newest(shared: &Shared, partition: Partition) -> Vec<Item> {
    let mut pages = Pages::new(partition);
    let mut items = Vec::new();
    while let Some(page) = pages.next(shared).await {
        items.extend(page);
    }
    items
}

/// The cell's limits on this node.
fn cell_bounds(shared: &Shared) -> Bounds {
    let times = &shared.settings.times;
    Bounds {
        lease: times.lease.min(MAX_LEASE),
        retention: times.retention,
        pace_delay: times.pace,
        poll_limit: Millis::new(report_limit(shared.settings.link).as_millis() as u64),
        stop_time: times.stop,
        max_batch: shared
            .settings
            .link
            .bytes_in(MAX_BATCH_TIME)
            .clamp(MIN_BATCH_SIZE, MAX_BATCH_SIZE),
        share: shared.settings.share.rule(),
    }
}
