//! Validation of the head of a target's response.

use std::rc::Rc;

use hyper::header::CONTENT_ENCODING;
use hyper::http::response::Parts;

use crate::departures::Departure;
use crate::dialect::{Refusal, Reply};
use crate::event::Event;
use crate::gateway::Gateway;
use crate::target::Target;

/// The result of the validation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// A valid response to this request.
    Valid {
        /// Whether it names the request.
        is_named: bool,
    },
    /// The target guarantees that the request did not run.
    NotRun(String),
    /// An invalid response: it belongs to another request, is unsigned or has a content encoding.
    Invalid,
}

/// Validates the head of a response to the request with this id, and records its metadata about the target.
///
/// A response that names another request, such as an earlier one that the target sent again, says nothing about this
/// request, not even that it did not run. Neither does a refusal that names no request.
pub(crate) fn check(gateway: &Rc<Gateway>, target: &Rc<Target>, id: &str, head: &Parts) -> Verdict {
    let status = head.status.as_u16();
    let reply = gateway.dialect().decode_reply(status, &head.headers);
    if reply.is_leaving {
        gateway.record_leaving(&departure(gateway, target, &reply));
    }
    let is_foreign = match reply.id.as_deref() {
        Some(other) => other != id,
        None => reply.refusal.is_some(),
    };
    if is_foreign {
        log_foreign(target, id, &reply, status);
        return Verdict::Invalid;
    }
    if let Some(report) = reply.report {
        gateway
            .fleet()
            .borrow_mut()
            .record_report(gateway.now(), &target.id, report);
    }
    match (&reply.pause, reply.refusal) {
        (Some(pause), refusal) => {
            if refusal == Some(Refusal::Rejected) {
                gateway.record_full(&target.service);
            }
            gateway.record_pause(target, pause);
        }
        (None, Some(Refusal::Rejected)) => {
            gateway.record_full(&target.service);
            gateway.fleet().borrow_mut().record_refusal(gateway.now(), &target.id);
        }
        (None, Some(Refusal::Misdirected)) => {}
        (None, None) => gateway.fleet().borrow_mut().record_response(&target.id),
    }
    if reply.refusal == Some(Refusal::Misdirected) {
        gateway.record_replaced(target, reply.instance.as_deref());
    }
    if reply.refusal.is_some() {
        return Verdict::NotRun(format!("the target refused with status {status}"));
    }
    let is_encoded = head.headers.contains_key(CONTENT_ENCODING);
    let is_unsigned = head.status.is_success() && !reply.signed;
    if is_encoded || is_unsigned {
        return Verdict::Invalid;
    }
    Verdict::Valid {
        is_named: reply.id.is_some(),
    }
}

/// Returns the incarnation that announces in a response that it is leaving.
fn departure(gateway: &Gateway, target: &Target, reply: &Reply) -> Departure {
    let is_misdirected = reply.refusal == Some(Refusal::Misdirected);
    match reply.instance.as_deref().filter(|_| is_misdirected) {
        Some(other) => gateway
            .fleet()
            .borrow()
            .get(other)
            .map_or_else(|| Departure::unknown(other), |target| Departure::of(target)),
        None => Departure::of(target),
    }
}

fn log_foreign(target: &Target, id: &str, reply: &Reply, status: u16) {
    Event::ForeignResponse {
        request: id,
        target: &target.id,
        names: reply.id.as_deref().unwrap_or_default(),
        status,
        what: "a target sent a response that does not name the request; the outcome is unknown",
    }
    .log();
}
