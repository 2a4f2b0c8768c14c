//! Requests for state to peers: at start, and for what an update announced but did not carry.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use rand::seq::IndexedRandom;

use crate::duration::scale_by_hosts;
use crate::platform::{Kind, Object, Platform};
use crate::state_fetcher;

use super::Synchronizer;

/// The maximum random delay of requests to peers, per host. A few watchers answer the requests of all hosts.
const FETCH_JITTER_PER_HOST: Duration = Duration::from_millis(10);
/// The upper bound of that delay.
const MAX_FETCH_JITTER: Duration = Duration::from_millis(800);
/// How long a peer may be ahead before its state is fetched. Usually the watch of this host is as fast.
const PEER_FETCH_DELAY: Duration = Duration::from_millis(400);
/// The delay before the first request to a peer at start. It doubles with each request up to
/// [`MAX_START_FETCH_DELAY`].
const MIN_START_FETCH_DELAY: Duration = Duration::from_millis(30);
/// The maximum delay between requests to peers at start.
const MAX_START_FETCH_DELAY: Duration = Duration::from_millis(240);
/// How long newer state is requested from peers, before the store is asked for it, while there are few hosts.
const MIN_FETCH_TIME: Duration = Duration::from_millis(600);
/// The same per host, because the hosts that have the state send it to the others one after the other.
const FETCH_TIME_PER_HOST: Duration = Duration::from_millis(4);
/// The pause after a failed request for it. A peer that is sending state turns others away for about as long.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(40);

impl<P: Platform> Synchronizer<P> {
    /// Fetches what watchers have announced and this host lacks: from peers for some time, then from the store.
    pub(super) async fn fetch_announced(&self) {
        loop {
            self.announced.notified().await;
            let (config, targets) = (self.announced_config.take(), self.announced_targets.take());
            self.delay_fetch().await;
            let started = self.gateway.now();
            if let Some((from, version)) = config {
                self.fetch_config_version(from, version, started).await;
            }
            if let Some(revision) = targets {
                self.fetch_targets_revision(revision, started).await;
            }
        }
    }

    /// Waits for a random time, so that the hosts that receive an update at the same time do not send their requests at
    /// the same time.
    pub(super) async fn delay_fetch(&self) {
        let hosts = self.gateway.peers().live_hosts();
        let max_delay = scale_by_hosts(FETCH_JITTER_PER_HOST, hosts).min(MAX_FETCH_JITTER);
        self.gateway.timer().sleep(max_delay.mul_f64(rand::random())).await;
    }

    /// Requests the configuration from peers that have a newer one, or from the sender of the update, until this host has
    /// the version or some time has passed; then from the store.
    pub(super) async fn fetch_config_version(&self, from: SocketAddr, version: u64, started: Instant) {
        while version > self.gateway.config_version() {
            if self.gateway.now().since(started) >= self.max_fetch_time() {
                if let Err(error) = self.list(Kind::Config).await {
                    log::debug!("cannot read configuration version {version} from the store: {error}");
                }
                return;
            }
            let nearby = self.gateway.peers().with_newer_config(self.gateway.config_version());
            self.fetch_config(nearby.unwrap_or(from)).await;
            self.delay_retry(version > self.gateway.config_version()).await;
        }
    }

    /// Requests the targets from peers that know a later revision, until this host knows the revision or some time has
    /// passed; then from the store.
    pub(super) async fn fetch_targets_revision(&self, revision: u64, started: Instant) {
        while revision > self.gateway.fleet_revision() {
            if self.gateway.now().since(started) >= self.max_fetch_time() {
                if let Err(error) = self.list(Kind::Targets).await {
                    log::debug!("cannot read the targets as of revision {revision} from the store: {error}");
                }
                return;
            }
            let known = self.gateway.fleet_revision();
            if let Some(address) = self.gateway.peers().with_newer_targets(known) {
                self.fetch_targets(address).await;
            }
            self.delay_retry(revision > self.gateway.fleet_revision()).await;
        }
    }

    pub(super) fn max_fetch_time(&self) -> Duration {
        MIN_FETCH_TIME.max(scale_by_hosts(FETCH_TIME_PER_HOST, self.gateway.peers().live_hosts()))
    }

    pub(super) async fn delay_retry(&self, is_needed: bool) {
        if is_needed {
            let delay = FETCH_RETRY_DELAY.mul_f64(0.5 + rand::random::<f64>());
            self.gateway.timer().sleep(delay).await;
        }
    }

    /// Fetches the configuration of a peer and activates it if it is newer.
    pub(super) async fn fetch_config(&self, address: SocketAddr) {
        let known = self.gateway.config_version();
        let result = state_fetcher::fetch_config(&self.gateway, address).await;
        self.record_peer(&result);
        if let Err(error) = result {
            log::debug!("cannot fetch the configuration of peer {address}: {error}");
        }
        if known == 0 && self.gateway.config_version() > 0 {
            self.mark_current(Kind::Config);
        }
    }

    /// Fetches the targets of a peer and applies them if they are newer.
    pub(super) async fn fetch_targets(&self, address: SocketAddr) {
        let result = state_fetcher::fetch_targets(&self.gateway, address).await;
        self.record_peer(&result);
        let fetched = match result {
            Ok(fetched) => fetched,
            Err(error) => {
                log::debug!("cannot fetch the targets of peer {address}: {error}");
                return;
            }
        };
        for departure in &fetched.departures {
            self.gateway.add_departure(departure, "peer");
        }
        if let Some(orders) = fetched.orders {
            self.gateway
                .apply_rollouts(orders.orders, BTreeSet::new(), orders.revision);
        }
        let known = self.gateway.fleet_revision();
        if fetched.revision <= known {
            return;
        }
        let objects = fetched.listed.into_iter().map(Object::Target).collect();
        self.registry.apply_listing(Kind::Targets, objects, fetched.revision);
        if known == 0 {
            self.mark_current(Kind::Targets);
        }
    }

    /// Records whether a peer has responded to a request for state.
    pub(super) fn record_peer<T>(&self, result: &Result<T, state_fetcher::Failure>) {
        let has_responded = result.as_ref().err().is_none_or(state_fetcher::Failure::is_response);
        self.has_peer_responded
            .set(self.has_peer_responded.get() || has_responded);
    }

    /// Fetches newer state from peers.
    pub(super) async fn fetch_newer_state(&self) {
        loop {
            self.gateway.peers().newer_state().await;
            self.gateway.timer().sleep(PEER_FETCH_DELAY).await;
            let version = self.gateway.config_version();
            if let Some(address) = self.gateway.peers().with_newer_config(version) {
                self.fetch_config(address).await;
            }
            // While the store responds, its watch returns the changes of targets in order.
            if self.unavailable_since.get().is_some() {
                let revision = self.gateway.fleet_revision();
                if let Some(address) = self.gateway.peers().with_newer_targets(revision) {
                    self.fetch_targets(address).await;
                }
            }
        }
    }

    /// Fetches configuration and targets from random peers until the process is ready.
    pub(super) async fn fetch_until_ready(&self) {
        let mut delay = MIN_START_FETCH_DELAY;
        while !self.gateway.is_ready() {
            let jitter = 0.5 + rand::random::<f64>();
            self.gateway.timer().sleep(delay.mul_f64(jitter)).await;
            delay = (delay * 2).min(MAX_START_FETCH_DELAY);
            let addresses = self.gateway.peers().fetch_addresses();
            let Some(address) = addresses.choose(&mut rand::rng()).copied() else {
                continue;
            };
            if self.gateway.config_version() == 0 {
                self.fetch_config(address).await;
            }
            if self.gateway.fleet_revision() == 0 {
                self.fetch_targets(address).await;
            }
        }
    }
}
