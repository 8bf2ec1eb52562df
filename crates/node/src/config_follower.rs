//! Follows the operators' records: the configuration, maintenance waves and evacuations.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_adapter::{
    CONFIG_KEY, Item, KeyedRecord, ReadError, WAVE_PREFIX, evacuated_zone, parse_config, parse_wave,
};
use cactuswheel_model::Set;
use cactuswheel_work::{Wave, ZoneName};
use tokio::time::sleep;

use crate::expiry::page_time;
use crate::shared::Shared;
use crate::topics::OPERATORS;

/// How long a read waits for new records. The configuration is confirmed at this interval.
const READ_WAIT: Duration = Duration::from_millis(1_000);

/// Timeout of a read, in addition to its wait. A slow store still answers within it.
const READ_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Follows the operators' records until the task is dropped.
pub(crate) async fn follow(shared: Arc<Shared>) {
    let mut lost = false;
    loop {
        let failure = match read_newest(&shared).await {
            Ok(end) => follow_from(&shared, end, &mut lost).await,
            Err(e) => e,
        };
        if matches!(failure, ReadError::Deleted) {
            log::info!("operators' records were deleted; reading the newest record of each key");
            continue;
        }
        shared.store_failed();
        if !lost {
            lost = true;
            log::warn!(
                error:% = failure, age_ms = shared.config_age();
                "cannot read configuration; retrying"
            );
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Reads the newest record of each key and returns the offset from which to continue.
async fn read_newest(shared: &Shared) -> Result<u64, ReadError> {
    let mut items: Vec<Item> = Vec::new();
    let mut end = None;
    let limit = READ_TIMEOUT + page_time(shared.settings.link);
    loop {
        let sent = shared.clock.now();
        let after = items.last().map(|i| i.key.clone());
        let page = shared
            .store
            .newest(OPERATORS, after.as_deref(), limit)
            .await?;
        // Records written while the pages are read are after the end offset of the first page.
        let from = *end.get_or_insert(page.end);
        shared.store_answered();
        items.extend(page.items);
        if !page.more {
            apply_newest(shared, items);
            shared.confirm_config(sent);
            return Ok(from);
        }
    }
}

/// Applies the newest record of each key.
///
/// An evacuation that has ended has no record, so the whole set of evacuations is replaced. It is
/// applied before the configuration, because a takeover starts as soon as there is a configuration.
fn apply_newest(shared: &Shared, items: Vec<Item>) {
    let zones = items.iter().filter_map(|i| evacuated_zone(&i.key));
    set_evacuated(shared, zones.collect());
    for Item { key, value, .. } in items {
        apply(shared, &KeyedRecord::new(key, value));
    }
}

/// Polls for new records, starting at offset `next`, until a read fails.
async fn follow_from(shared: &Shared, mut next: u64, lost: &mut bool) -> ReadError {
    loop {
        let sent = shared.clock.now();
        let page = shared
            .store
            .read(OPERATORS, next, READ_WAIT, READ_TIMEOUT)
            .await;
        let page = match page {
            Ok(page) => page,
            Err(e) => return e,
        };
        shared.store_answered();
        next += page.records.len() as u64;
        for record in &page.records {
            match KeyedRecord::parse(record) {
                Some(record) => apply(shared, &record),
                None => log::warn!(offset = page.from; "ignoring operators' record without a key"),
            }
        }
        if next >= page.end {
            shared.confirm_config(sent);
        }
        if std::mem::take(lost) {
            log::info!("configuration readable again");
        }
    }
}

fn apply(shared: &Shared, record: &KeyedRecord) {
    if let Some(zone) = evacuated_zone(&record.key) {
        let mut zones = (**shared.evacuated.load()).clone();
        match record.value {
            Some(_) => zones.insert(zone),
            None => zones.remove(&zone),
        };
        return set_evacuated(shared, zones);
    }
    let Some(value) = &record.value else {
        return;
    };
    if record.key == CONFIG_KEY {
        apply_config(shared, value);
    } else if record.key.starts_with(WAVE_PREFIX) {
        apply_wave(shared, value);
    }
}

/// Replaces the configuration, unless its version is not newer than the current one: an old record
/// may arrive late.
fn apply_config(shared: &Shared, value: &[u8]) {
    let config = match parse_config(value) {
        Ok(config) => config,
        Err(e) => {
            log::error!(error:% = e; "ignoring invalid configuration");
            return;
        }
    };
    let known = shared.config.load().as_ref().map(|c| c.version);
    if known.is_some_and(|v| v >= config.version) {
        return;
    }
    log::info!(
        version = config.version, before:? = known, queues = config.queues.len() as u64,
        teams = config.teams.len() as u64;
        "configuration applied"
    );
    shared.config.store(Some(Arc::new(config)));
}

/// Replaces the set of data centres being evacuated.
fn set_evacuated(shared: &Shared, zones: Set<ZoneName>) {
    let known = shared.evacuated.load();
    if **known == zones {
        return;
    }
    log::info!(zones:? = zones, before:? = **known; "evacuations changed");
    shared.evacuated.store(Arc::new(zones));
}

fn apply_wave(shared: &Shared, value: &[u8]) {
    let wave = match parse_wave(value) {
        Ok(wave) => wave,
        Err(e) => {
            log::error!(error:% = e; "ignoring invalid maintenance wave");
            return;
        }
    };
    let known = shared.waves.load_full();
    let mut waves: Vec<Wave> = known.map(|w| (*w).clone()).unwrap_or_default();
    if waves.contains(&wave) {
        return;
    }
    log::info!(
        wave = wave.number, instances = wave.instances.len() as u64, cap = wave.cap,
        within_ms = wave.within.get();
        "maintenance wave added or changed"
    );
    waves.retain(|w| w.number != wave.number);
    waves.push(wave);
    shared.waves.store(Some(Arc::new(waves)));
}
