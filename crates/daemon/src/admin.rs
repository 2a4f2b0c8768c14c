//! Operator endpoints for the status, the state dump and draining of the daemon.

use hyper::Method;
use linkme::distributed_slice;
use serde_json::json;

use crate::access::Access;
use crate::configuration::Current;
use crate::http::{self, ROUTES, Route};
use crate::kernel::{Context, Phase};

#[distributed_slice(ROUTES)]
static STATUS: Route = Route {
    method: || Method::GET,
    path: "/v1/admin/status",
    access: Access::Operator,
    handle: |context, _| Box::pin(async move { Ok(http::json(&status(&context))) }),
};

#[distributed_slice(ROUTES)]
static DUMP: Route = Route {
    method: || Method::GET,
    path: "/v1/admin/dump",
    access: Access::Operator,
    handle: |context, _| Box::pin(async move { Ok(http::json(&context.dump())) }),
};

#[distributed_slice(ROUTES)]
static DRAIN: Route = Route {
    method: || Method::POST,
    path: "/v1/admin/drain",
    access: Access::Operator,
    handle: |context, _| {
        Box::pin(async move {
            context.advance_phase(Phase::Leaving);
            Ok(http::json(&status(&context)))
        })
    },
};

fn status(context: &Context) -> serde_json::Value {
    let entry = &context.settings().entry;
    let phase = match context.phase() {
        Phase::Running => "running",
        Phase::Leaving => "leaving",
        Phase::Draining => "draining",
        Phase::HandingOver => "handing over",
        Phase::Stopped => "stopped",
    };
    json!({
        "entry": entry.name,
        "data_centre": entry.data_centre,
        "region": entry.region,
        "phase": phase,
        "config_version": context.component::<Current>().version(),
        "running_work": context.running_work(),
    })
}
