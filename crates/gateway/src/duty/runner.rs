//! Keeps the lease of the duties.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::duty::{self, Command, Eligibility};
use hawthornpost_core::lease::Lease;
use hawthornpost_core::platform::{Failure, Version};

use crate::duration::millis;
use crate::duty::{Isolation, State};
use crate::event::Event;
use crate::gateway::{Gateway, Phase};
use crate::platform::{self, Consistency, Platform, Record, Stored};
use crate::settings::DutySettings;

/// The longest time until a host checks again whether it competes for the lease.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The fraction of the term after which a call to the store is abandoned, so that a renewal can be repeated in time.
const STORE_CALLS_PER_TERM: u32 = 3;
/// The number of terms for which hosts that do not respond are expected to come back.
const ISOLATION_TERMS: u32 = 2;

struct Runner<P> {
    gateway: Rc<Gateway>,
    platform: Rc<P>,
    term: Duration,
    isolation: Isolation,
    /// When this host became the holder.
    began_at: Cell<Instant>,
}

/// Starts the task.
pub(crate) fn start<P: Platform>(gateway: &Rc<Gateway>, platform: &Rc<P>, settings: &DutySettings) {
    let mut runner = Runner {
        gateway: Rc::clone(gateway),
        platform: Rc::clone(platform),
        term: settings.lease,
        isolation: Isolation::new(settings.lease * ISOLATION_TERMS),
        began_at: Cell::default(),
    };
    tokio::task::spawn_local(async move { runner.run().await });
}

impl<P: Platform> Runner<P> {
    async fn run(&mut self) {
        let gateway = Rc::clone(&self.gateway);
        let Some(duties) = gateway.duties() else {
            return;
        };
        let mut phase = gateway.watch_phase();
        loop {
            let mut events = VecDeque::from(duties.take_events(gateway.timer().last_pause()));
            events.push_back(duty::Event::Eligibility(self.eligibility()));
            while let Some(event) = events.pop_front() {
                for command in duties.handle(gateway.lease_now(), event) {
                    if let Some(result) = self.execute(command).await {
                        events.push_front(result);
                    }
                }
            }
            tokio::select! {
                () = gateway.timer().sleep(self.pause(duties)) => {}
                () = duties.changed() => {}
                _ = phase.changed() => {}
            }
        }
    }

    fn pause(&self, duties: &State) -> Duration {
        let deadline = duties.deadline();
        let pause = deadline.map(|deadline| deadline.since(self.gateway.lease_now()));
        pause.unwrap_or(MAX_CHECK_INTERVAL).min(MAX_CHECK_INTERVAL)
    }

    fn eligibility(&mut self) -> Eligibility {
        let (gateway, peers) = (&self.gateway, self.gateway.peers());
        let hosts = if peers.hears_others(gateway.now()) {
            peers.live_hosts()
        } else {
            1
        };
        self.isolation.record(gateway.now(), hosts);
        let renewal_age = |duties: &State| duties.renewal_age(gateway.lease_now());
        // A host that is about to hand over to other watchers does not take the lease any more.
        let is_candidate = match gateway.duties().and_then(renewal_age) {
            Some(_) => gateway.is_watcher(),
            None => gateway.is_chosen_watcher(),
        };
        if gateway.phase() != Phase::Running {
            Eligibility::Stopping
        } else if !is_candidate {
            Eligibility::Ineligible
        } else if self.isolation.is_isolated() {
            Eligibility::Isolated
        } else {
            Eligibility::Eligible
        }
    }

    /// Executes a command and returns the result of a call to the store.
    async fn execute(&self, command: Command) -> Option<duty::Event> {
        match command {
            Command::Read { is_latest } => Some(duty::Event::Read(self.read(is_latest).await)),
            Command::Write(base, lease) => Some(duty::Event::Written(self.write(base, &lease).await)),
            Command::Began(number) => {
                self.began_at.set(self.gateway.lease_now());
                Event::DutiesBegan {
                    number: number.as_u64(),
                    term_ms: millis(self.term),
                    what: "this host holds the lease of the duties",
                }
                .log();
                None
            }
            Command::Ended(number, reason) => {
                self.log_end(number.as_u64(), reason);
                None
            }
        }
    }

    fn log_end(&self, number: u64, reason: duty::Reason) {
        let held_ms = millis(self.gateway.lease_now().since(self.began_at.get()));
        let (is_release, reason) = (reason.is_release(), reason.name());
        if is_release {
            let what = "this host releases the lease of the duties";
            Event::DutiesReleased {
                number,
                reason,
                held_ms,
                what,
            }
            .log();
        } else {
            let what = "this host no longer holds the lease of the duties";
            Event::DutiesLost {
                number,
                reason,
                held_ms,
                what,
            }
            .log();
        }
    }

    async fn read(&self, is_latest: bool) -> Result<Option<(Version, Lease)>, Failure> {
        let consistency = if is_latest {
            Consistency::Latest
        } else {
            Consistency::Stale
        };
        let stored = self.limit(self.platform.read(Record::Lease, consistency)).await?;
        Ok(stored.map(|stored| self.decode(&stored)))
    }

    async fn write(&self, base: Option<Version>, lease: &Lease) -> Result<Version, Failure> {
        let contents = serde_json::to_string(lease).map_err(|_error| Failure::Refused)?;
        let base = base.map(Version::as_u64);
        let revision = self.limit(self.platform.write(Record::Lease, base, &contents)).await?;
        Ok(Version::from(revision))
    }

    async fn limit<T>(&self, call: impl Future<Output = Result<T, platform::Failure>>) -> Result<T, Failure> {
        let timeout = self.term / STORE_CALLS_PER_TERM;
        match self.gateway.timer().timeout(timeout, call).await {
            Some(Ok(result)) => Ok(result),
            Some(Err(platform::Failure::Conflict)) => Err(Failure::Conflict),
            Some(Err(error)) => {
                // The watch of the targets logs that the store does not respond.
                log::debug!("a call for the lease of the duties failed: {error}");
                Err(Failure::Lost)
            }
            None => Err(Failure::Lost),
        }
    }

    /// Decodes the lease. One that cannot be decoded counts as held by another process, so that it is replaced after a term.
    fn decode(&self, stored: &Stored) -> (Version, Lease) {
        let lease = serde_json::from_str::<Lease>(&stored.contents).unwrap_or_else(|error| {
            Event::ObjectUnusable {
                object: Record::Lease.name(),
                reason: &error.to_string(),
                revision: stored.revision,
                what: "the lease of the duties cannot be decoded; it will be replaced",
            }
            .log();
            Lease {
                holder: Some(self.gateway.settings().entry.name.clone()),
                term: self.term,
                orders_end: self.term,
                tenure: None,
            }
        });
        (Version::from(stored.revision), lease)
    }
}
