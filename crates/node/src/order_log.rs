//! The log of orders to instances, spread over all partitions of its topic.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use cactuswheel_adapter::{AppendError, Item, KeyedRecord, ReadError, StoreClient};
use futures::future::join_all;
use tokio::time::sleep;

use crate::topics::orders;

/// Time limit for recording an order. An order that is not recorded in time is not issued, and is
/// planned again.
const WRITE_TIMEOUT: Duration = Duration::from_millis(900);

/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Number of attempts to read a partition before it counts as unreadable.
const READ_ATTEMPTS: usize = 5;

/// Pause after a failed attempt to read a partition.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The log of orders to instances.
///
/// With a single partition, its outage would stop all moves of instances, since no order could be
/// recorded, while the other partitions of the store still accept jobs that need those instances.
/// An order is therefore recorded in any partition that accepts it, and a new owner reads all of
/// them.
#[derive(Debug)]
pub struct OrderLog {
    parts: u32,
    /// Partition to try first: the last one that accepted records, or the one after the last that
    /// failed.
    preferred: AtomicU32,
}

impl OrderLog {
    /// Creates a log over `parts` partitions.
    pub fn new(parts: u32) -> Self {
        Self {
            parts,
            preferred: AtomicU32::new(0),
        }
    }

    /// Writes records to the first partition that accepts them. Returns the last error once every
    /// partition has failed or the time limit is over.
    pub async fn write(
        &self,
        store: &StoreClient,
        records: &[KeyedRecord],
    ) -> Result<(), AppendError> {
        let started = Instant::now();
        let first = self.preferred.load(Ordering::Relaxed);
        let mut part = first;
        loop {
            let left = WRITE_TIMEOUT.saturating_sub(started.elapsed());
            let done = store.append(orders(part), None, None, records, left);
            let Err(e) = done.await else {
                self.preferred.store(part, Ordering::Relaxed);
                return Ok(());
            };
            log::info!(part = part, error:% = e; "partition did not accept order records");
            part = (part + 1) % self.parts;
            // The next write also skips a partition that did not answer.
            self.preferred.store(part, Ordering::Relaxed);
            if part == first || started.elapsed() >= WRITE_TIMEOUT {
                return Err(e);
            }
        }
    }

    /// Reads the newest record of each instance in every partition; `None` if any partition cannot
    /// be read.
    pub async fn read(&self, store: &StoreClient) -> Option<Vec<Item>> {
        let parts = (0..self.parts).map(|part| read_part(store, part));
        let read = join_all(parts).await;
        let read: Option<Vec<Vec<Item>>> = read.into_iter().collect();
        read.map(|parts| parts.into_iter().flatten().collect())
    }
}

/// Reads a partition, with retries.
async fn read_part(store: &StoreClient, part: u32) -> Option<Vec<Item>> {
    for _ in 0..READ_ATTEMPTS {
        match read_pages(store, part).await {
            Ok(items) => return Some(items),
            Err(e) => log::info!(part = part, error:% = e; "cannot read order records"),
        }
        sleep(RETRY_PAUSE).await;
    }
    None
}

/// Reads all pages of a partition.
async fn read_pages(store: &StoreClient, part: u32) -> Result<Vec<Item>, ReadError> {
    let mut items: Vec<Item> = Vec::new();
    loop {
        let after = items.last().map(|i| i.key.clone());
        let page = store.newest(orders(part), after.as_deref(), READ_TIMEOUT);
        let page = page.await?;
        items.extend(page.items);
        if !page.more {
            return Ok(items);
        }
    }
}
