//! Metrics in the text format of Prometheus at `GET /metrics`, for operators.

use std::rc::Rc;
use std::sync::OnceLock;
use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Response, StatusCode};
use linkme::distributed_slice;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::access::Access;
use crate::configuration::Current;
use crate::error::{Error, Result};
use crate::http::{Body, ROUTES, Route, full};
use crate::kernel::Context;
use crate::plugin::{PLUGINS, Plugin, Stage};

/// Responses to callers and operators by status.
pub const RESPONSES: &str = "hawthornpost_responses_total";
/// Numbered log events by number, including those below the log level.
pub const EVENTS: &str = "hawthornpost_events_total";
/// The active configuration version.
pub const CONFIG_VERSION: &str = "hawthornpost_config_version";
/// The units of work that are running.
pub const RUNNING_WORK: &str = "hawthornpost_running_work";
/// The lifecycle phase: 0 running, 1 leaving, 2 draining, 3 handing over, 4 stopped.
pub const PHASE: &str = "hawthornpost_phase";
/// The resident memory of the process in bytes.
pub const RESIDENT_BYTES: &str = "hawthornpost_resident_bytes";

/// All metrics with their descriptions; a test compares them with the table in `docs/operators.md`.
pub const DESCRIPTIONS: &[(&str, &str)] = &[
    (RESPONSES, "responses to callers and operators, by status"),
    (EVENTS, "numbered log events, by number"),
    (CONFIG_VERSION, "configuration version that is applied"),
    (RUNNING_WORK, "pieces of work that are running"),
    (
        PHASE,
        "phase of the run: 0 running, 1 leaving, 2 draining, 3 handing over, 4 stopped",
    ),
    (RESIDENT_BYTES, "memory of the process that is in use, in bytes"),
];

/// The interval of the upkeep, which merges histogram samples; until then every sample is kept in memory.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
const MEDIA_TYPE: &str = "text/plain; version=0.0.4";

/// The recorder is global to the process, so several daemons in one test process share it.
static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

#[distributed_slice(PLUGINS)]
static METRIC: Plugin = Plugin {
    name: "metric",
    stage: Stage::Infrastructure,
    start,
};

#[distributed_slice(ROUTES)]
static METRICS: Route = Route {
    method: || Method::GET,
    path: "/metrics",
    // Labels may name accounts and targets, which must not be disclosed to callers.
    access: Access::Operator,
    handle: |context, _| Box::pin(async move { render(&context) }),
};

fn start(context: &Rc<Context>) -> Result<()> {
    let handle = recorder()?;
    let context = Rc::clone(context);
    tokio::task::spawn_local(async move {
        loop {
            context.timer().sleep(UPKEEP_INTERVAL).await;
            handle.run_upkeep();
        }
    });
    Ok(())
}

fn recorder() -> Result<&'static PrometheusHandle> {
    if let Some(handle) = RECORDER.get() {
        return Ok(handle);
    }
    let installed = PrometheusBuilder::new().install_recorder();
    let handle = installed.map_err(|source| {
        Error::failed(
            format!("cannot install the metrics recorder: {source}"),
            "report this as a bug",
        )
    })?;
    for (name, text) in DESCRIPTIONS {
        metrics::describe_gauge!(*name, *text);
        metrics::describe_counter!(*name, *text);
    }
    Ok(RECORDER.get_or_init(|| handle))
}

/// Counts a response.
pub fn count_response(status: StatusCode) {
    metrics::counter!(RESPONSES, "status" => status.as_u16().to_string()).increment(1);
}

/// Counts a numbered log event.
pub fn count_event(number: u16) {
    metrics::counter!(EVENTS, "event" => number.to_string()).increment(1);
}

fn render(context: &Context) -> Result<Response<Body>> {
    metrics::gauge!(CONFIG_VERSION).set(context.component::<Current>().version() as f64);
    metrics::gauge!(RUNNING_WORK).set(context.running_work() as f64);
    metrics::gauge!(PHASE).set(f64::from(context.phase() as u8));
    metrics::gauge!(RESIDENT_BYTES).set(resident_bytes() as f64);
    let mut response = Response::new(full(recorder()?.render()));
    let media_type = HeaderValue::from_static(MEDIA_TYPE);
    response.headers_mut().insert(CONTENT_TYPE, media_type);
    Ok(response)
}

/// Returns the resident memory from `/proc/self/status`, or 0 on systems without it.
fn resident_bytes() -> u64 {
    const KIB: u64 = 1 << 10;
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<u64>().ok());
    kib.unwrap_or_default() * KIB
}
