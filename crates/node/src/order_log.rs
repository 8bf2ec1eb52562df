//! The record of orders to instances, over all partitions of its topic.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use cactuswheel_adapter::{AppendError, Item, KeyedRecord, ReadError, StoreClient};
use futures::future::join_all;
use tokio::time::sleep;

use crate::topics::orders;

/// Time for an order to get on record; after it the order is not given, and planned anew.
const WRITE_TIMEOUT: Duration = Duration::from_millis(900);

/// Time for an answer to a read.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Times that a partition is read before it counts as unreadable.
const READ_TRIES: usize = 5;

/// Pause before it is read again.
const RETRY: Duration = Duration::from_millis(50);

/// The record of orders to instances.
///
/// Failure: one partition of the store is down, the others take jobs, and no instance moves to
/// the pools that have to run them, since no order gets on record. An order goes on record in
/// any partition that takes it, and a new owner reads them all.
#[derive(Debug)]
pub struct OrderLog {
    parts: u32,
    /// Partition that took the last record.
    good: AtomicU32,
}

impl OrderLog {
    /// A record in `parts` partitions.
    pub fn new(parts: u32) -> Self {
        Self {
            parts,
            good: AtomicU32::new(0),
        }
    }

    /// Writes records to the first partition that takes them.
    pub async fn write(
        &self,
        store: &StoreClient,
        records: &[KeyedRecord],
    ) -> Result<(), AppendError> {
        let begun = Instant::now();
        let first = self.good.load(Ordering::Relaxed);
        let mut part = first;
        loop {
            let left = WRITE_TIMEOUT.saturating_sub(begun.elapsed());
            let done = store.append(orders(part), None, None, records, left);
            let Err(e) = done.await else {
                self.good.store(part, Ordering::Relaxed);
                return Ok(());
            };
            log::info!(part = part, error:% = e; "partition takes no orders");
            part = (part + 1) % self.parts;
            // One that does not answer is left for the next time, too.
            self.good.store(part, Ordering::Relaxed);
            if part == first || begun.elapsed() >= WRITE_TIMEOUT {
                return Err(e);
            }
        }
    }

    /// Every partition's newest record of each instance; `None` if one cannot be read.
    pub async fn read(&self, store: &StoreClient) -> Option<Vec<Item>> {
        let parts = (0..self.parts).map(|part| read_part(store, part));
        let read = join_all(parts).await;
        let read: Option<Vec<Vec<Item>>> = read.into_iter().collect();
        read.map(|parts| parts.into_iter().flatten().collect())
    }
}

async fn read_part(store: &StoreClient, part: u32) -> Option<Vec<Item>> {
    for _ in 0..READ_TRIES {
        match pages(store, part).await {
            Ok(items) => return Some(items),
            Err(e) => log::info!(part = part, error:% = e; "orders cannot be read yet"),
        }
        sleep(RETRY).await;
    }
    None
}

async fn pages(store: &StoreClient, part: u32) -> Result<Vec<Item>, ReadError> {
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
