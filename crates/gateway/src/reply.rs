//! Validation of the head of a target's response.

use std::rc::Rc;

use hyper::header::CONTENT_ENCODING;
use hyper::http::response::Parts;

use crate::gateway::Gateway;
use crate::target::Target;

/// The result of the validation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// A valid response to this request.
    Valid,
    /// The target guarantees that the request did not run.
    NotRun(String),
    /// An invalid response: it belongs to another request, is unsigned or has a content encoding.
    Invalid,
}

/// Validates the head of a response to the request with this id, and records its metadata about the target.
pub(crate) fn check(gateway: &Rc<Gateway>, target: &Rc<Target>, id: &str, head: &Parts) -> Verdict {
    let reply = gateway.dialect().decode_reply(head.status.as_u16(), &head.headers);
    if let Some(report) = reply.report {
        gateway
            .fleet()
            .borrow_mut()
            .record_report(gateway.now(), &target.id, report);
    }
    if reply.misdirected {
        gateway.record_replaced(target, reply.instance.as_deref());
    }
    if reply.not_run {
        return Verdict::NotRun(format!("the target refused with status {}", head.status.as_u16()));
    }
    let is_mismatched = reply.id.as_deref().is_some_and(|other| other != id);
    let is_encoded = head.headers.contains_key(CONTENT_ENCODING);
    let is_unsigned = head.status.is_success() && !reply.signed;
    if is_mismatched || is_encoded || is_unsigned {
        return Verdict::Invalid;
    }
    Verdict::Valid
}
