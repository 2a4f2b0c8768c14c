//! Whether this host watches the store for its peers.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::Entry;

use crate::feed::Update;

use super::Gateway;

/// The time after which a process knows nearly all other hosts.
const MEMBERSHIP_SETTLING_TIME: Duration = Duration::from_secs(3);
/// The minimum time for which a host takes the place of watchers; up to as much is added at random.
const DEPUTY_TIME: Duration = Duration::from_secs(3);
/// How long a host watches the store after others were chosen for it.
const WATCHER_HANDOVER_TIME: Duration = Duration::from_secs(2);

impl Gateway {
    /// Returns whether this host watches the store for its peers. Shortly after its start it knows too few hosts to tell,
    /// so the seeds do. A host goes on for some time after others have taken over, because they start later.
    pub(crate) fn is_watcher(&self) -> bool {
        let now = self.now();
        let is_chosen = if now.since_start() < MEMBERSHIP_SETTLING_TIME {
            self.peers.is_seed()
        } else {
            self.peers.is_watcher()
        };
        if is_chosen {
            self.last_watcher_at.set(Some(now));
        }
        let last = self.last_watcher_at.get();
        let is_handing_over = last.is_some_and(|last| now.since(last) < WATCHER_HANDOVER_TIME);
        is_handing_over || now < self.deputy_until.get()
    }

    /// Returns whether this host is among the watchers that its peers expect, without the time of a handover to others.
    pub(crate) fn is_chosen_watcher(&self) -> bool {
        self.peers.is_watcher() || self.now() < self.deputy_until.get()
    }

    /// Lets this host watch the store for its peers for some time, because the watchers send no updates.
    pub(crate) fn become_deputy(&self) {
        let duration = DEPUTY_TIME.mul_f64(1.0 + rand::random::<f64>());
        self.deputy_until.set(self.now() + duration);
        self.peers.broadcast_update(Update::Deputy {
            entry: self.peers.name.clone(),
        });
    }

    /// Records that a peer watches the store in place of silent watchers. This host stops doing so when enough others do.
    pub(crate) fn record_deputy(&self, entry: Entry) {
        let now = self.now();
        let mut deputies = self.deputies.borrow_mut();
        deputies.record(now, entry);
        if deputies.suffice_without(now, &self.peers.name) {
            self.resign_as_deputy();
        }
    }

    /// Ends the effect of [`Self::become_deputy`], because this host cannot reach the store either or enough others do.
    pub(crate) fn resign_as_deputy(&self) {
        self.deputy_until.set(Instant::ZERO);
    }
}
