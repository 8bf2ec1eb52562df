//! Withdraws keys here at once, tells the peers and sees that the log gets to know.

use std::sync::Arc;
use std::time::Duration;

use cactuswheel_admission::Denials;
use cactuswheel_model::{Denial, Digest, Record};
use cactuswheel_platform::AppendPurpose;
use tokio::time::sleep;

use crate::shared::Shared;

/// Time between two looks at what the log does not show yet.
const PERIOD: Duration = Duration::from_millis(500);

/// Pause before the log is told again.
const AGAIN: Duration = Duration::from_secs(5);

/// Time over which peers wait whether the entry that took a denial tells the log itself.
const SPREAD: Duration = Duration::from_secs(20);

impl Shared {
    /// Whether a key was withdrawn outside tickets, as far as it is known here.
    pub(crate) fn is_denied(&self, digest: &Digest) -> bool {
        let known = self.denials.load();
        (!known.is_empty() && known.contains(digest))
            || self.state.load().denials().contains(digest)
    }

    /// Puts an operator's denial in force here.
    pub(crate) fn deny(&self, denial: Denial) {
        self.take_denial(denial, Duration::ZERO);
    }

    /// Takes a denial that a peer told.
    ///
    /// Every entry that hears of it appends it in the end, in case the one that took it is
    /// gone; the fold takes it once.
    pub(crate) fn hear_denial(&self, denial: Denial) {
        self.take_denial(denial, SPREAD.mul_f64(0.2 + 0.8 * rand::random::<f64>()));
    }

    fn take_denial(&self, denial: Denial, wait: Duration) {
        if self.is_denied(&denial.digest) {
            return;
        }
        let due = self.now().after(wait);
        let (digest, by) = (denial.digest, denial.by.clone());
        self.change_denials(|known| known.insert(denial.clone(), due));
        log::info!("key {digest} denied by {by}");
        // The beats that wait for their next turn go out now.
        self.news.notify_waiters();
    }

    fn change_denials<T>(&self, mut change: impl FnMut(&mut Denials) -> T) {
        self.denials.rcu(|known| {
            let mut known = Denials::clone(known);
            change(&mut known);
            known
        });
    }
}

/// Tells the log of denials for as long as the task lives.
pub(crate) async fn record(shared: Arc<Shared>) {
    loop {
        sleep(PERIOD).await;
        if shared.denials.load().is_empty() {
            continue;
        }
        let state = shared.state.load_full();
        shared.change_denials(|known| known.prune(|digest| state.denials().contains(digest)));
        let mut due = Vec::new();
        let now = shared.now();
        shared.change_denials(|known| due = known.take_due(now, AGAIN));
        for denial in due {
            tell(&shared, denial).await;
        }
    }
}

async fn tell(shared: &Shared, denial: Denial) {
    let Ok(body) = serde_json::to_string(&Record::Denial(denial)) else {
        return;
    };
    if let Err(e) = shared.appender.append(AppendPurpose::Control, body).await {
        log::debug!("denial not recorded yet: {e}");
    }
}
