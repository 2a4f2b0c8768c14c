//! Process lifecycle: startup, signals and shutdown.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

use crate::dialect::Dialect;
use crate::duration::millis;
use crate::duty::{self, Duty};
use crate::error::{Kind, Result};
use crate::event::{self, Event};
use crate::gateway::{Gateway, Phase};
use crate::listener::{self, Purpose};
use crate::logging::{self, Buffer};
use crate::metric;
use crate::peers_runner;
use crate::platform::Platform;
use crate::rollouts_runner;
use crate::scaling;
use crate::settings::Settings;
use crate::sync::Synchronizer;
use crate::usage;

/// The interval at which buffered log lines are written.
const LOG_FLUSH_INTERVAL: Duration = Duration::from_millis(100);
/// The fraction of the grace time in which requests are served, for callers that have cached this address.
const SERVING_FRACTION: f64 = 0.8;
/// Connections are accepted until this long before the process exits, so that the requests on them are answered.
const CLOSING_TIME: Duration = Duration::from_millis(300);
/// The process exits this long before the end of the grace time, before it would be killed.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Open requests end with a failure this long before the process exits, so that the response reaches the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);
/// The interval at which a stopping process checks for open requests.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a gateway until SIGTERM, then drains it. SIGHUP reloads the limits from `file`.
///
/// # Errors
///
/// Fails when a listener, the log or the runtime cannot be started.
pub fn run(file: &Path, settings: Settings, dialect: impl Dialect + 'static, platform: impl Platform) -> Result<()> {
    let buffer = logging::start(settings.log, &settings.entry.name)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| Kind::Runtime { source })?;
    let result = LocalSet::new().block_on(&runtime, serve(file, settings, dialect, platform, buffer.clone()));
    flush_log(&buffer);
    result
}

async fn serve(
    file: &Path,
    settings: Settings,
    dialect: impl Dialect + 'static,
    platform: impl Platform,
    buffer: Buffer,
) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|source| Kind::Runtime { source })?;
    let mut hangup = signal(SignalKind::hangup()).map_err(|source| Kind::Runtime { source })?;
    metric::install_recorder();
    let gateway = Gateway::new(settings, dialect);
    let driver = Rc::clone(&gateway);
    tokio::task::spawn_local(async move { driver.timer().run().await });
    peers_runner::run(Rc::clone(&gateway)).await?;
    let platform = Rc::new(platform);
    Synchronizer::start(&gateway, &platform);
    rollouts_runner::start(&gateway, &platform);
    start_duties(&gateway, &platform);
    start_listeners(&gateway).await?;
    let upkeep = Rc::clone(&gateway);
    tokio::task::spawn_local(async move { run_upkeep(&upkeep, &buffer).await });
    Event::Started {
        version: env!("CARGO_PKG_VERSION"),
        settings: "checked",
        what: "the process accepts requests",
    }
    .log();
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(&gateway, file),
        }
    }
    drain(&gateway).await;
    Ok(())
}

/// Starts the tasks of the duties that the settings ask for.
fn start_duties<P: Platform>(gateway: &Rc<Gateway>, platform: &Rc<P>) {
    let Some(settings) = &gateway.settings().duties else {
        return;
    };
    for name in &settings.unknown_kinds {
        let what = "the settings name a duty that this release does not know; it is ignored";
        Event::DutyUnknown { name, what }.log();
    }
    if settings.kinds.is_empty() {
        return;
    }
    duty::runner::start(gateway, platform, settings);
    for kind in &settings.kinds {
        match kind {
            Duty::Usage => usage::runner::start(gateway, platform),
            Duty::Scaling => scaling::runner::start(gateway, platform),
        }
    }
}

/// Applies the limits of the settings file; an invalid file changes nothing.
fn reload(gateway: &Gateway, file: &Path) {
    let what = "SIGHUP requested a reload; limits apply at once, other settings need a restart";
    match Settings::load(file) {
        Ok(settings) => {
            gateway.set_limits(settings.limits);
            Event::Reloaded {
                outcome: "limits are in force",
                what,
            }
            .log();
        }
        Err(error) => {
            let outcome = &error.to_string();
            Event::Reloaded { outcome, what }.log();
        }
    }
}

async fn start_listeners(gateway: &Rc<Gateway>) -> Result<()> {
    let listen = &gateway.settings().listen;
    listener::start(gateway, listen.callers, Purpose::Callers).await?;
    listener::start(gateway, listen.peers, Purpose::Peers).await?;
    let others = [
        (listen.readiness, Purpose::Readiness),
        (listen.directory, Purpose::Directory),
        (listen.metrics, Purpose::Metrics),
    ];
    for (address, purpose) in others {
        if let Some(address) = address {
            listener::start(gateway, address, purpose).await?;
        }
    }
    Ok(())
}

/// Drains the process: directs callers to other hosts, serves the requests that still arrive, and returns before the end
/// of the grace time.
async fn drain(gateway: &Rc<Gateway>) {
    let grace = gateway.limits().grace;
    let started = gateway.now();
    let exit = started + grace.saturating_sub(EXIT_MARGIN);
    gateway.set_shutdown_deadline(started + grace.saturating_sub(EXIT_MARGIN + RESPONSE_MARGIN));
    Event::Stopping {
        grace_ms: millis(grace),
        open: gateway.open_requests(),
        what: "the process received SIGTERM; callers are directed to other hosts",
    }
    .log();
    gateway.advance(Phase::Leaving);
    gateway.timer().sleep(grace.mul_f64(SERVING_FRACTION)).await;
    gateway.advance(Phase::Ending);
    wait_for_open_work(gateway, exit.since(gateway.now()).saturating_sub(CLOSING_TIME)).await;
    gateway.advance(Phase::Closed);
    // The connections that were accepted last have not sent their requests yet.
    gateway.timer().sleep(SHUTDOWN_POLL_INTERVAL).await;
    wait_for_open_work(gateway, exit.since(gateway.now())).await;
    Event::Stopped {
        open: gateway.open_requests(),
        ran_ms: millis(gateway.now().since_start()),
        what: "the process exits",
    }
    .log();
}

/// Waits until no request and no connection is open, up to a maximum time.
async fn wait_for_open_work(gateway: &Gateway, max_wait: Duration) {
    let end = gateway.now() + max_wait;
    while has_open_work(gateway) && gateway.now() < end {
        gateway.timer().sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
}

fn has_open_work(gateway: &Gateway) -> bool {
    gateway.open_requests() > 0 || gateway.open_connections() > 0
}

async fn run_upkeep(gateway: &Gateway, buffer: &Buffer) {
    let mut last_upkeep = gateway.now();
    let mut reported_pause = None;
    loop {
        gateway.timer().sleep(LOG_FLUSH_INTERVAL).await;
        flush_log(buffer);
        let pause = gateway.timer().last_pause();
        if pause != reported_pause {
            reported_pause = pause;
            let what = "the process was paused; its state counts as stale until it is confirmed";
            Event::Paused { what }.log();
        }
        let count = buffer.take_dropped();
        if count > 0 {
            let what = "log lines were dropped because the buffer was full";
            Event::LinesDropped { count, what }.log();
        }
        let count = event::take_omitted();
        if count > 0 {
            let what = "log lines were omitted by the rate limit";
            Event::LinesOmitted { count, what }.log();
        }
        if gateway.now().since(last_upkeep) >= metric::UPKEEP_INTERVAL {
            last_upkeep = gateway.now();
            metric::upkeep();
        }
    }
}

fn flush_log(buffer: &Buffer) {
    buffer.flush_to(&mut std::io::stdout().lock());
}
