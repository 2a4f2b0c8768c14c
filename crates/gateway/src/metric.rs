//! Metrics in the Prometheus text format.

use std::sync::OnceLock;
use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::event::Event;
use crate::gateway::Gateway;
use crate::platform::Kind;

/// Requests by route, account and outcome.
pub const REQUESTS: &str = "hawthornpost_gateway_requests_total";
/// Time from the head of a request to its response, by route; for streams, to the first event.
pub const REQUEST_SECONDS: &str = "hawthornpost_gateway_request_seconds";
/// Longest gap between two events of a stream.
pub const PAUSE_SECONDS: &str = "hawthornpost_gateway_stream_pause_seconds";
/// Streams resumed at another engine, by what they were resumed from.
pub const CONTINUED: &str = "hawthornpost_gateway_streams_continued_total";
/// Attempts without a usable response, by whether the request ran.
pub const ATTEMPTS_FAILED: &str = "hawthornpost_gateway_attempts_failed_total";
/// Requests whose engine crashed, by whether they had received an event of it.
pub const ENGINE_CRASHES: &str = "hawthornpost_gateway_engine_crashes_total";
/// Connections to targets for requests, by whether they were opened, used again or refused for lack of room.
pub const CONNECTIONS: &str = "hawthornpost_gateway_target_connections_total";
/// Idle connections to targets.
pub const IDLE_CONNECTIONS: &str = "hawthornpost_gateway_resting_connections";
/// Refused requests by status.
pub const REFUSED: &str = "hawthornpost_gateway_refused_total";
/// Requests refused because their service is overloaded, by service, priority and reason.
pub const SHED: &str = "hawthornpost_gateway_shed_total";
/// The level of admission, by service.
pub const LEVEL: &str = "hawthornpost_gateway_admission_level";
/// Bytes of response bodies with state that were sent to or fetched from peers, by kind and direction.
pub const STATE_BYTES: &str = "hawthornpost_gateway_peer_state_bytes_total";
/// Transfers of state to or from peers, by kind and direction.
pub const STATE_TRANSFERS: &str = "hawthornpost_gateway_peer_state_transfers_total";
/// Log events by number.
pub const EVENTS: &str = "hawthornpost_gateway_events_total";
/// The version of the configuration in force.
pub const CONFIG_VERSION: &str = "hawthornpost_gateway_config_version";
/// The store revision of the known targets.
pub const TARGETS_REVISION: &str = "hawthornpost_gateway_targets_revision";
/// Known targets.
pub const TARGETS: &str = "hawthornpost_gateway_targets";
/// Live entry hosts, this one included.
pub const HOSTS: &str = "hawthornpost_gateway_hosts";
/// Open requests.
pub const OPEN: &str = "hawthornpost_gateway_open_requests";
/// Whether this host accepts new requests.
pub const READY: &str = "hawthornpost_gateway_ready";
/// Whether this host holds the lease of the duties.
pub const DUTY_HOLDER: &str = "hawthornpost_gateway_duty_holder";
/// The age of this host's last renewal of the lease of the duties.
pub const DUTY_RENEWAL_AGE: &str = "hawthornpost_gateway_duty_renewal_age_seconds";
/// Accepted orders for targets, by reason.
pub const ORDERS: &str = "hawthornpost_gateway_target_orders_total";
/// Targets that the holder of the duty ordered last, by service and data centre.
pub const TARGETS_WANTED: &str = "hawthornpost_gateway_targets_wanted";
/// Targets that the holder of the duty sees and that are not leaving, by service and data centre.
pub const TARGETS_PRESENT: &str = "hawthornpost_gateway_targets_present";

/// Windows whose usage was not reported in time.
pub const USAGE_MISSED: &str = "hawthornpost_gateway_usage_windows_missed_total";
/// The time from the end of the last reported window to its report.
pub const USAGE_REPORT_AGE: &str = "hawthornpost_gateway_usage_report_age_seconds";

/// All metrics with their descriptions; a test compares them with `docs/OPERATIONS.md`.
pub const DESCRIPTIONS: &[(&str, &str)] = &[
    (REQUESTS, "requests by route, account and outcome"),
    (
        REQUEST_SECONDS,
        "seconds to the answer by route; for streams, to the first event",
    ),
    (
        PAUSE_SECONDS,
        "longest pause between the events of a stream, in seconds",
    ),
    (CONTINUED, "streams that went on at another engine, by source"),
    (
        ATTEMPTS_FAILED,
        "attempts without a usable answer, by whether the request ran",
    ),
    (
        ENGINE_CRASHES,
        "requests whose engine crashed, by whether they were waiting for its first event or it was answering",
    ),
    (
        CONNECTIONS,
        "connections to targets for requests, by whether they were opened, reused or refused within this host's share",
    ),
    (
        IDLE_CONNECTIONS,
        "idle connections to targets, kept for further requests",
    ),
    (REFUSED, "refused requests by status"),
    (
        SHED,
        "requests refused because of overload, by service, priority and reason",
    ),
    (LEVEL, "part of the offered requests that is admitted, by service"),
    (
        STATE_BYTES,
        "bytes of state sent to or fetched from peers, by kind and direction",
    ),
    (
        STATE_TRANSFERS,
        "transfers of state to or from peers, by kind and direction",
    ),
    (EVENTS, "log events by number, written or not"),
    (CONFIG_VERSION, "version of the configuration in force"),
    (
        TARGETS_REVISION,
        "revision of the store as of which the targets are known",
    ),
    (TARGETS, "known targets"),
    (HOSTS, "live entry hosts, this one included"),
    (OPEN, "open requests"),
    (READY, "1 when this host takes new work, otherwise 0"),
    (
        DUTY_HOLDER,
        "1 when this host holds the lease of the duties, otherwise 0",
    ),
    (
        DUTY_RENEWAL_AGE,
        "seconds since the holder sent its last renewal of the lease of the duties, on other hosts 0",
    ),
    (ORDERS, "accepted orders for targets by reason"),
    (
        TARGETS_WANTED,
        "targets that this host ordered last as the holder of the duty, by service and data centre",
    ),
    (
        TARGETS_PRESENT,
        "targets that this host saw last as the holder of the duty, by service and data centre",
    ),
    (USAGE_MISSED, "windows whose usage was not reported in time"),
    (
        USAGE_REPORT_AGE,
        "seconds from the end of the last window that this host reported to the report",
    ),
];

/// The direction of a transfer, seen from this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    /// To a peer.
    Sent,
    /// From a peer.
    Fetched,
}

/// The outcome of an order that the platform accepted.
pub(crate) const OUTCOME_ACCEPTED: &str = "accepted";

/// How a request got its connection to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Connection {
    /// It was opened.
    Opened,
    /// It was kept after an earlier request.
    Reused,
    /// There was no room for another one.
    Refused,
}

/// The interval of the recorder's upkeep; between two runs histograms keep every sample.
pub(crate) const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);
/// The upper bounds of the histogram buckets, in seconds.
const BUCKETS: &[f64] = &[0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 1.0, 1.5, 2.5, 4.5, 10.0, 25.0];

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder of the process; without one, recording has no effect.
pub(crate) fn install_recorder() {
    let builder = PrometheusBuilder::new().set_buckets(BUCKETS);
    match builder.map(PrometheusBuilder::install_recorder) {
        Ok(Ok(handle)) => {
            RECORDER.get_or_init(|| handle);
        }
        Ok(Err(error)) | Err(error) => {
            log::error!(target: "hawthornpost", "{{\"error\":\"cannot install the metrics recorder: {error}\"}}");
        }
    }
    for (name, text) in DESCRIPTIONS {
        metrics::describe_counter!(*name, *text);
    }
}

/// Merges the samples of histograms.
pub(crate) fn upkeep() {
    if let Some(handle) = RECORDER.get() {
        handle.run_upkeep();
    }
}

/// Updates the metrics for an event.
pub(crate) fn record(event: &Event<'_>) {
    metrics::counter!(EVENTS, "event" => event.number().0.to_string()).increment(1);
    match *event {
        Event::Answered {
            route,
            account,
            took_ms,
            status,
            ..
        } => {
            let outcome = if status < 400 { "answered" } else { "error" };
            count_request(route, account, outcome);
            observe(REQUEST_SECONDS, route, took_ms);
        }
        Event::StreamDone {
            route,
            account,
            first_ms,
            longest_pause_ms,
            ..
        } => {
            count_request(route, account, "answered");
            observe(REQUEST_SECONDS, route, first_ms);
            observe(PAUSE_SECONDS, route, longest_pause_ms);
        }
        Event::Failed { route, .. } => count_request(route, "", "failed"),
        Event::StreamBroken { route, .. } => count_request(route, "", "broken"),
        Event::ClientLeft { route, .. } => count_request(route, "", "client left"),
        Event::Refused { status, .. } => metrics::counter!(REFUSED, "status" => status.to_string()).increment(1),
        Event::Shed {
            service,
            priority,
            reason,
            ..
        } => count_shed(service, priority, reason),
        Event::AttemptFailed { ran, .. } => metrics::counter!(ATTEMPTS_FAILED, "ran" => ran.to_owned()).increment(1),
        Event::EngineCrashed { prompt, .. } => {
            metrics::counter!(ENGINE_CRASHES, "prompt" => prompt.to_owned()).increment(1);
        }
        Event::StreamContinued { source, .. } => {
            metrics::counter!(CONTINUED, "source" => source.to_owned()).increment(1);
        }
        Event::TargetsOrdered {
            service,
            data_centre,
            targets,
            reason,
            outcome: OUTCOME_ACCEPTED,
            ..
        } => {
            metrics::counter!(ORDERS, "reason" => reason.to_owned()).increment(1);
            set_targets(TARGETS_WANTED, service, data_centre, targets);
        }
        _ => {}
    }
}

/// Sets the number of targets that the holder of the duty sees.
pub(crate) fn set_present(service: &str, data_centre: &str, targets: u32) {
    set_targets(TARGETS_PRESENT, service, data_centre, targets);
}

fn set_targets(name: &'static str, service: &str, data_centre: &str, targets: u32) {
    let labels = [("service", service.to_owned()), ("data_centre", data_centre.to_owned())];
    metrics::gauge!(name, &labels).set(f64::from(targets));
}

/// Counts a connection to a target.
pub(crate) fn record_connection(connection: Connection) {
    let outcome = match connection {
        Connection::Opened => "opened",
        Connection::Reused => "reused",
        Connection::Refused => "refused",
    };
    metrics::counter!(CONNECTIONS, "outcome" => outcome).increment(1);
}

/// Counts a transfer of state between this host and a peer.
pub(crate) fn record_transfer(kind: Kind, direction: Direction, bytes: usize) {
    let direction = match direction {
        Direction::Sent => "sent",
        Direction::Fetched => "fetched",
    };
    let labels = [("kind", kind.name()), ("direction", direction)];
    metrics::counter!(STATE_TRANSFERS, &labels).increment(1);
    metrics::counter!(STATE_BYTES, &labels).increment(bytes as u64);
}

/// Counts windows whose usage was not reported in time.
pub(crate) fn record_missed_windows(count: u64) {
    metrics::counter!(USAGE_MISSED).increment(count);
}

/// Records how long after the end of a window its usage was reported.
pub(crate) fn record_report(age: Duration) {
    metrics::gauge!(USAGE_REPORT_AGE).set(age.as_secs_f64());
}

fn count_request(route: &str, account: &str, outcome: &'static str) {
    let labels = [
        ("route", route.to_owned()),
        ("account", account.to_owned()),
        ("outcome", outcome.to_owned()),
    ];
    metrics::counter!(REQUESTS, &labels).increment(1);
}

fn count_shed(service: &str, priority: u8, reason: &str) {
    let labels = [
        ("service", service.to_owned()),
        ("priority", priority.to_string()),
        ("reason", reason.to_owned()),
    ];
    metrics::counter!(SHED, &labels).increment(1);
}

fn observe(name: &'static str, route: &str, millis: u64) {
    metrics::histogram!(name, "route" => route.to_owned()).record(Duration::from_millis(millis).as_secs_f64());
}

/// Renders all metrics in the Prometheus text format.
pub(crate) fn render(gateway: &Gateway) -> String {
    metrics::gauge!(CONFIG_VERSION).set(gateway.config_version() as f64);
    metrics::gauge!(TARGETS_REVISION).set(gateway.fleet_revision() as f64);
    metrics::gauge!(TARGETS).set(gateway.fleet().borrow().targets().count() as f64);
    metrics::gauge!(HOSTS).set(gateway.peers().live_hosts() as f64);
    metrics::gauge!(IDLE_CONNECTIONS).set(gateway.connections().idle() as f64);
    metrics::gauge!(OPEN).set(gateway.open_requests() as f64);
    metrics::gauge!(READY).set(f64::from(u8::from(gateway.is_ready())));
    for (service, level) in gateway.overload().borrow_mut().levels(gateway.now()) {
        metrics::gauge!(LEVEL, "service" => service.to_owned()).set(level);
    }
    if let Some(duties) = gateway.duties() {
        let age = duties.renewal_age(gateway.lease_now());
        metrics::gauge!(DUTY_HOLDER).set(f64::from(u8::from(age.is_some())));
        metrics::gauge!(DUTY_RENEWAL_AGE).set(age.unwrap_or_default().as_secs_f64());
    }
    RECORDER.get().map(PrometheusHandle::render).unwrap_or_default()
}
