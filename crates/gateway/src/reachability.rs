//! Tells an unreachable engine from a slow or broken link of this host.
//!
//! A bulk transfer on this host's link delays the packets of all connections. A probe then gets no response in time,
//! although the engine works. Hosts in other data centres, which are probed for comparison, do not respond either.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use rand::seq::IteratorRandom;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::event::Event;
use crate::gateway::Gateway;
use crate::outbound::Failure;
use crate::target::Target;

/// The timeout of a connection attempt. Round trips take a few milliseconds; TCP retransmits a lost packet after a
/// second.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// The result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The host of the target responds.
    Reachable,
    /// The host of the target does not respond, while other hosts do.
    Unreachable,
    /// No host responds, so the cause may be the link of this host.
    Inconclusive,
}

/// Probes the host of a target, and other hosts for comparison if it does not respond in time.
pub(crate) async fn probe(gateway: &Gateway, target: &Target) -> Finding {
    let references = references(gateway, target);
    judge(connect(target.address), first_response(&references)).await
}

/// Judges the host of a target by its response and by the first response of the reference hosts, whose probes start
/// when that of the target has timed out.
pub async fn judge(target: impl Future<Output = ()>, reference: impl Future<Output = ()>) -> Finding {
    let mut target = pin!(target);
    if timeout(PROBE_TIMEOUT, target.as_mut()).await.is_ok() {
        return Finding::Reachable;
    }
    tokio::select! {
        biased;
        () = target => Finding::Reachable,
        response = timeout(PROBE_TIMEOUT, reference) => match response {
            Ok(()) => Finding::Unreachable,
            Err(_elapsed) => Finding::Inconclusive,
        },
    }
}

/// Records a failed connection attempt. A target that did not respond in time becomes suspect only when other hosts
/// respond, because the suspicion is reported to all entry hosts.
pub(crate) fn record_connect_failure(gateway: &Rc<Gateway>, target: &Rc<Target>, failure: &Failure) {
    const REASON: &str = "cannot connect";
    if !matches!(failure, Failure::ConnectTimeout { .. }) {
        gateway.suspect(target, REASON);
        return;
    }
    let (gateway, target) = (Rc::clone(gateway), Rc::clone(target));
    tokio::task::spawn_local(async move {
        let references = references(&gateway, &target);
        match timeout(PROBE_TIMEOUT, first_response(&references)).await {
            Ok(()) => gateway.suspect(&target, REASON),
            Err(_elapsed) => log_suspected_link(&target),
        }
    });
}

/// Logs that neither a target's host nor another one responds.
pub(crate) fn log_suspected_link(target: &Target) {
    Event::LinkSuspected {
        target: &target.id,
        data_centre: &target.data_centre,
        what: "an engine's host does not respond, and other hosts do not respond either; the link of this host may be slow",
    }
    .log();
}

/// Waits for a response to a connection attempt. A refused connection counts as a response: a draining server accepts no
/// new connections, and one that has exited resets its existing ones.
async fn connect(address: SocketAddr) {
    // Both outcomes are responses of the host.
    let _connected = TcpStream::connect(address).await;
}

/// Waits for the first response of the references. Without any, the failure of the target is all that is known, which
/// counts against the target.
async fn first_response(references: &[SocketAddr]) {
    let mut probes = references
        .iter()
        .map(|address| connect(*address))
        .collect::<FuturesUnordered<_>>();
    probes.next().await;
}

/// Returns another entry host and another target, outside the target's data centre if there are any.
fn references(gateway: &Gateway, target: &Target) -> Vec<SocketAddr> {
    let peer = gateway.peers().reference_address(&target.data_centre);
    let fleet = gateway.fleet().borrow();
    let others = fleet.targets().filter(|other| other.data_centre != target.data_centre);
    let other = others.choose(&mut rand::rng()).map(|other| other.address);
    peer.into_iter().chain(other).collect()
}
