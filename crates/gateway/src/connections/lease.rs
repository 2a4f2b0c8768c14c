//! A connection that a request uses.

use std::rc::Rc;
use std::time::Duration;

use hyper::header::HeaderMap;

use crate::availability::Availability;
use crate::gateway::Gateway;
use crate::metric;
use crate::outbound::{Connection, Failure};
use crate::reachability;
use crate::target::Target;

use super::{Reuse, Slot};

/// The time for which a target may reset a new connection because it has too many, as a multiple of the connect time.
const SETTLE_FACTOR: u32 = 2;
/// The bounds of that time.
const MIN_SETTLE_TIME: Duration = Duration::from_millis(2);
const MAX_SETTLE_TIME: Duration = Duration::from_millis(20);
/// The header with the idle timeout of a connection.
const KEEP_ALIVE: &str = "keep-alive";

/// A connection that a request uses. It is closed on drop unless it is kept.
#[derive(Debug)]
pub(crate) struct Lease {
    gateway: Rc<Gateway>,
    link: Link,
}

/// A connection to a target.
#[derive(Debug)]
pub(crate) struct Link {
    /// The target.
    pub(super) target: Rc<Target>,
    connection: Connection,
    slot: Slot,
}

impl Lease {
    /// Takes an idle connection to a target or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails without sending anything, and records what the failure says about the target.
    pub(crate) async fn acquire(
        gateway: &Rc<Gateway>,
        target: &Rc<Target>,
        reuse: Reuse,
        connect_timeout: Duration,
    ) -> Result<Self, Failure> {
        while let Some(mut link) = gateway.connections().take(gateway, target, reuse) {
            link.slot.set_idle(false);
            // The event loop reads what has arrived on the connection, such as its end, before the request is sent.
            tokio::task::yield_now().await;
            if link.is_usable() {
                metric::record_connection(metric::Connection::Reused);
                return Ok(Self::new(gateway, link));
            }
        }
        let opened = Link::open(gateway, target, connect_timeout).await;
        if let Err(failure) = &opened {
            reachability::record_connect_failure(gateway, target, failure);
        }
        opened.map(|link| Self::new(gateway, link))
    }

    fn new(gateway: &Rc<Gateway>, link: Link) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            link,
        }
    }

    /// Returns the connection.
    pub(crate) fn connection(&self) -> &Connection {
        &self.link.connection
    }

    /// Returns the connection to send a request on it.
    pub(crate) fn connection_mut(&mut self) -> &mut Connection {
        &mut self.link.connection
    }

    /// Keeps the connection after a complete response that names its request, for requests to the same incarnation.
    pub(crate) fn keep(self, idle_timeout: Option<Duration>) {
        let Self { gateway, mut link } = self;
        let target = &link.target;
        let availability = gateway.fleet().borrow().availability(gateway.now(), &target.id);
        let is_kept = matches!(availability, Some(Availability::Available | Availability::Full));
        let share = gateway.connection_share(&target.service);
        if !is_kept || share == Some(0) || link.exceeds(share) {
            return;
        }
        link.slot.set_idle(true);
        gateway.connections().put(&gateway, link, idle_timeout);
    }
}

impl Link {
    async fn open(gateway: &Rc<Gateway>, target: &Rc<Target>, connect_timeout: Duration) -> Result<Self, Failure> {
        let slot = reserve(gateway, target)?;
        let started = gateway.now();
        metric::record_connection(metric::Connection::Opened);
        let mut connection = Connection::open(target.address, connect_timeout).await?;
        if gateway.table().max_connections(&target.service).is_some() {
            // What is written before the reset of a target with too many connections may have run.
            let connect_time = gateway.now().since(started);
            let settle_time = (connect_time * SETTLE_FACTOR).clamp(MIN_SETTLE_TIME, MAX_SETTLE_TIME);
            if connection.closes_within(gateway.timer(), settle_time).await {
                return Err(Failure::Reset {
                    address: target.address,
                });
            }
        }
        Ok(Self {
            target: Rc::clone(target),
            connection,
            slot,
        })
    }

    /// Returns whether the connection can send another request.
    pub(super) fn is_usable(&self) -> bool {
        self.connection.is_usable()
    }

    /// Returns whether this host has more connections to the target than its share.
    pub(super) fn exceeds(&self, share: Option<u32>) -> bool {
        self.slot.exceeds(share)
    }

    /// Returns whether the connection can send another request to this incarnation of its target.
    pub(super) fn is_usable_for(&self, target: &Target) -> bool {
        self.is_usable() && self.target.is_same_incarnation(target)
    }
}

/// Counts a new connection to a target, if this host has room for one. An idle one is closed for it.
fn reserve(gateway: &Gateway, target: &Target) -> Result<Slot, Failure> {
    let share = gateway.connection_share(&target.service);
    let count = gateway.fleet().borrow().connections(&target.id);
    let count = count.unwrap_or_default();
    if count.is_exhausted(share) && count.idle() > 0 {
        gateway.connections().evict(target);
    }
    if count.has_room(share) {
        return Ok(Slot::new(&count));
    }
    metric::record_connection(metric::Connection::Refused);
    Err(Failure::NoRoom {
        address: target.address,
    })
}

/// Returns the idle timeout that a target states for the connection.
pub(crate) fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parameters = value.split(',').filter_map(|parameter| parameter.split_once('='));
    let timeout = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"));
    timeout?.1.trim().parse().ok().map(Duration::from_secs)
}
