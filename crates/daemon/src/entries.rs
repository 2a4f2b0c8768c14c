//! Discovery of the entry addresses that callers should use.

use std::rc::Rc;

use hawthornpost_core::discovery::{self, Caller, Candidate};
use hawthornpost_core::id::Account;
use hyper::header::HeaderValue;
use hyper::{Method, Response};
use linkme::distributed_slice;
use serde_json::json;

use crate::access::Access;
use crate::error::Result;
use crate::http::{self, Body, Call, ROUTES, Route};
use crate::kernel::{Context, Phase};
use crate::limits::Limits;
use crate::members::{Member, Members};

/// All entry hosts have the same weight, because the settings do not specify their size.
const WEIGHT: u32 = 1;

#[distributed_slice(ROUTES)]
static ENTRIES: Route = Route {
    method: || Method::GET,
    path: "/v1/entries",
    access: Access::Account,
    handle: |context, call| Box::pin(async move { entries(&context, &call) }),
};

fn entries(context: &Rc<Context>, call: &Call) -> Result<Response<Body>> {
    let lifetime = context.settings().limits.address_lifetime;
    let origin = origin(call);
    let caller = Caller {
        account: call.account()?,
        origin: &origin,
    };
    let offer = discovery::offer(caller, &candidates(context), lifetime);
    let addresses = offer.entries.iter().map(|entry| entry.address);
    Ok(http::json(&json!({
        "entries": addresses.collect::<Vec<_>>(),
        "lifetime_ms": offer.lifetime_ms,
    })))
}

/// Returns the address of another entry host, as a header value, for a caller that this one cannot serve.
pub fn alternative(context: &Rc<Context>, account: &Account, origin: &str) -> Option<HeaderValue> {
    let caller = Caller { account, origin };
    let other = discovery::alternative(caller, &candidates(context), &context.settings().entry.name)?;
    HeaderValue::from_str(&other.address.to_string()).ok()
}

/// Returns the network address that distinguishes the callers of an account.
pub fn origin(call: &Call) -> String {
    call.caller().map(|address| address.to_string()).unwrap_or_default()
}

fn candidates(context: &Rc<Context>) -> Vec<Candidate> {
    let own = context.settings().entry.name.clone();
    let is_ready = context.component::<Limits>().is_ready() && context.phase() == Phase::Running;
    let members = context.component::<Members>().all();
    let candidate = |member: Member| Candidate {
        accepts_work: if member.entry == own { is_ready } else { !member.leaving },
        address: member.callers,
        data_centre: member.data_centre,
        weight: WEIGHT,
        entry: member.entry,
    };
    members.into_iter().map(candidate).collect()
}
