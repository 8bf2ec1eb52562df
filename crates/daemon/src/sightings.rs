//! Follows the platform's roster.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_platform::Roster;
use tokio::time::sleep;

use crate::shared::Shared;

/// Time between two reads of the roster.
const PERIOD: Duration = Duration::from_millis(500);

/// Takes the roster over as it changes, for as long as the task lives.
pub(crate) async fn watch(shared: Arc<Shared>) {
    loop {
        let answer = shared.platform.list().await;
        if answer.is_ok() {
            shared.metrics.roster.mark();
        }
        match answer {
            Ok(list) if **shared.sightings.load() != list => {
                shared.sightings.store(Arc::new(list));
                shared.reroute();
            }
            Ok(_) => {}
            Err(e) => log::warn!("{e}"),
        }
        sleep(PERIOD).await;
    }
}
