//! What the head of a target's response means for the request.

use std::rc::Rc;

use hyper::header::CONTENT_ENCODING;
use hyper::http::response::Parts;

use crate::gateway::Gateway;
use crate::target::Target;

/// What a response means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The target's own answer to this request.
    Own,
    /// The request did not run.
    NotRun(String),
    /// Not the target's answer to this request: of another request, unsigned or encoded.
    Foreign,
}

/// Checks the head of a response to the request with this id, and notes what it says of the target.
pub(crate) fn check(gateway: &Rc<Gateway>, target: &Rc<Target>, id: &str, head: &Parts) -> Verdict {
    let reply = gateway.dialect().reply(head.status.as_u16(), &head.headers);
    if let Some(report) = reply.report {
        gateway
            .fleet()
            .borrow_mut()
            .note_report(gateway.now(), &target.id, report);
    }
    if reply.misdirected {
        gateway.note_replaced(target, reply.instance.as_deref());
    }
    if reply.not_run {
        return Verdict::NotRun(format!("the target refused with status {}", head.status.as_u16()));
    }
    let is_of_another = reply.id.as_deref().is_some_and(|other| other != id);
    let is_encoded = head.headers.contains_key(CONTENT_ENCODING);
    let is_unsigned = head.status.is_success() && !reply.signed;
    if is_of_another || is_encoded || is_unsigned {
        return Verdict::Foreign;
    }
    Verdict::Own
}
