//! The entry addresses that callers are told to use.

use std::rc::Rc;

use hyper::Method;
use linkme::distributed_slice;
use serde_json::json;

use crate::access::Access;
use crate::http::{self, ROUTES, Route};
use crate::kernel::{Context, Phase};

#[distributed_slice(ROUTES)]
static ENTRIES: Route = Route {
    method: || Method::GET,
    path: "/v1/entries",
    access: Access::Account,
    handle: |context, _| Box::pin(async move { Ok(http::json(&entries(&context))) }),
};

fn entries(context: &Rc<Context>) -> serde_json::Value {
    let settings = context.settings();
    let own = (context.phase() == Phase::Running).then_some(settings.entry.advertise);
    json!({
        "entries": own.into_iter().collect::<Vec<_>>(),
        "lifetime_ms": u64::try_from(settings.limits.address_lifetime.as_millis()).unwrap_or(u64::MAX),
    })
}
