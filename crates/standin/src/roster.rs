//! The roster: the list of instances and its recent changes.

use std::collections::{BTreeMap, VecDeque};
use std::time::{SystemTime, UNIX_EPOCH};

use cactuswheel_model::InstanceId;
use cactuswheel_platform::{RosterChanges, RosterEntry};

/// Number of changes kept; a client that is further behind gets the whole list.
const MAX_CHANGES: usize = 10_000;

/// Listed instances, with a history of changed names to answer with changes since a version.
#[derive(Debug)]
pub(crate) struct Roster {
    rows: BTreeMap<InstanceId, RosterEntry>,
    /// Names of changed instances, oldest change first.
    ///
    /// Invariant: the last element is change number `count`.
    changed: VecDeque<InstanceId>,
    /// Number of changes since this roster was created.
    count: u64,
    /// Creation time in nanoseconds since 1970. It is part of each version, so that versions from
    /// an earlier start of the platform are recognised as invalid.
    start: u128,
}

impl Default for Roster {
    fn default() -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            rows: BTreeMap::new(),
            changed: VecDeque::new(),
            count: 0,
            start: now.unwrap_or_default().as_nanos(),
        }
    }
}

impl Roster {
    /// Returns the listing of an instance.
    pub(crate) fn get(&self, id: &InstanceId) -> Option<&RosterEntry> {
        self.rows.get(id)
    }

    /// Adds or updates an instance; an identical listing does not count as a change.
    pub(crate) fn insert(&mut self, id: InstanceId, sighting: RosterEntry) {
        if self.rows.get(&id) != Some(&sighting) {
            self.record_change(id.clone());
            self.rows.insert(id, sighting);
        }
    }

    /// Removes an instance and returns its last listing.
    pub(crate) fn remove(&mut self, id: &InstanceId) -> Option<RosterEntry> {
        let sighting = self.rows.remove(id)?;
        self.record_change(id.clone());
        Some(sighting)
    }

    /// Returns the changes since a version, or the whole list if the version is unknown or too old.
    pub(crate) fn changes(&self, since: &str) -> RosterChanges {
        let version = format!("{:x}-{}", self.start, self.count);
        let Some(changed_ids) = self.changes_since(since) else {
            let listed = self.rows.values().cloned().collect();
            return RosterChanges {
                version,
                whole: true,
                listed,
                gone: Vec::new(),
            };
        };
        let mut names: Vec<_> = changed_ids.collect();
        names.sort();
        names.dedup();
        let (listed, gone): (Vec<_>, Vec<_>) = names
            .into_iter()
            .partition(|id| self.rows.contains_key(*id));
        let listed = listed
            .into_iter()
            .filter_map(|id| self.rows.get(id).cloned());
        let gone = gone.into_iter().cloned().collect();
        RosterChanges {
            version,
            whole: false,
            listed: listed.collect(),
            gone,
        }
    }

    fn changes_since(&self, version: &str) -> Option<impl Iterator<Item = &InstanceId>> {
        let (start, count) = version.split_once('-')?;
        let same_start = u128::from_str_radix(start, 16).ok()? == self.start;
        let missed = self.count.checked_sub(count.parse().ok()?)? as usize;
        let skip = self.changed.len().checked_sub(missed)?;
        same_start.then(|| self.changed.iter().skip(skip))
    }

    fn record_change(&mut self, id: InstanceId) {
        self.changed.push_back(id);
        self.count += 1;
        if self.changed.len() > MAX_CHANGES {
            self.changed.pop_front();
        }
    }
}
