//! Tells an unreachable target from a slow or broken link of this host.
//!
//! A bulk transfer on this host's link delays the packets of all connections. A probe then gets no response in time,
//! although the target works. Other hosts, which are probed for comparison, do not respond either.

use std::future::pending;
use std::io::ErrorKind;
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

/// Records a failed connection attempt. A target that refused becomes suspect at once; one that reset the connection has
/// too many and is avoided for a while. One that did not respond is probed again together with other hosts, because its
/// suspicion is reported to all entry hosts.
pub(crate) fn record_connect_failure(gateway: &Rc<Gateway>, target: &Rc<Target>, failure: &Failure) {
    const REASON: &str = "cannot connect";
    match failure {
        Failure::NoRoom { .. } => return,
        Failure::Refused { .. } => {
            gateway.suspect(target, REASON);
            return;
        }
        Failure::Reset { .. } => {
            gateway.fleet().borrow_mut().record_refusal(gateway.now(), &target.id);
            return;
        }
        _ => {}
    }
    let (gateway, target) = (Rc::clone(gateway), Rc::clone(target));
    tokio::task::spawn_local(async move {
        match probe(&gateway, &target).await {
            Finding::Reachable => {}
            Finding::Unreachable => gateway.suspect(&target, REASON),
            Finding::Inconclusive => log_suspected_link(&target),
        }
    });
}

/// Logs that neither a target's host nor another one responds.
pub(crate) fn log_suspected_link(target: &Target) {
    Event::LinkSuspected {
        target: &target.id,
        data_centre: &target.data_centre,
        what: "a target's host does not respond, and other hosts do not respond either; the link of this host may be slow",
    }
    .log();
}

/// Waits for a response to a connection attempt. A refused connection counts as a response: a draining server accepts no
/// new connections, and one that has exited resets its existing ones. An error of this host is not a response.
async fn connect(address: SocketAddr) {
    let error = match TcpStream::connect(address).await {
        Ok(_connection) => return,
        Err(error) => error,
    };
    if !matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset) {
        log::debug!("cannot probe {address}: {error}");
        pending::<()>().await;
    }
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
    let others = || fleet.targets().filter(|other| other.id != target.id);
    let outside = others().filter(|other| other.data_centre != target.data_centre);
    let other = outside
        .choose(&mut rand::rng())
        .or_else(|| others().choose(&mut rand::rng()));
    peer.into_iter().chain(other.map(|other| other.address)).collect()
}
