//! Reads the newest record of each key in a partition, page by page.

use std::time::Duration;

use cactuswheel_adapter::{Item, Partition};
use tokio::time::sleep;

use crate::expiry::page_time;
use crate::shared::Shared;

/// Timeout of each gap between two parts of an answer, plus the transfer time of a large page on the
/// node's link.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A read of a partition. If the read of a page fails, only that page is read again.
#[derive(Debug)]
pub(crate) struct Pages {
    partition: Partition,
    /// The last key read.
    after: Option<String>,
    done: bool,
    /// End offset of the partition as of the first page.
    pub(crate) end: Option<u64>,
}

impl Pages {
    pub(crate) fn new(partition: Partition) -> Self {
        Self {
            partition,
            after: None,
            done: false,
            end: None,
        }
    }

    /// Reads the next page; `None` after the last one.
    pub(crate) async fn next(&mut self, shared: &Shared) -> Option<Vec<Item>> {
        let limit = STORE_TIMEOUT + page_time(shared.settings.link);
        while !self.done {
            let read = shared
                .store
                .newest(self.partition, self.after.as_deref(), limit);
            match read.await {
                Ok(page) => {
                    self.end.get_or_insert(page.end);
                    self.done = !page.more;
                    if let Some(last) = page.items.last() {
                        self.after = Some(last.key.clone());
                    }
                    return Some(page.items);
                }
                Err(e) => {
                    log::info!(
                        topic = self.partition.topic, part = self.partition.part,
                        after = self.after.as_deref().unwrap_or_default(), error:% = e;
                        "takeover cannot read from the store yet; retrying"
                    );
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
        None
    }
}
