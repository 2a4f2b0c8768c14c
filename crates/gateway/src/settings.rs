//! Settings of the gateway, read from an INI file.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hawthornpost_core::id::{DataCentre, Entry, Region};
use hawthornpost_core::settings::{File, Section};

use crate::budget::Allowance;
use crate::duty::Duty;
use crate::error::{Kind, Result};
use crate::intake;
use crate::trial::Exposure;

const ADDRESS: &str = "an address such as 127.0.0.1:8080";
const SECONDS: &str = "a number of seconds such as 2 or 0.5";

/// The exposure of a version on trial if the file has no section `[rollouts]`.
const DEFAULT_EXPOSURE: Exposure = Exposure {
    share: 0.1,
    slack: 50.0,
};

/// All settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Section `[entry]`.
    pub entry: EntrySettings,
    /// Section `[listen]`.
    pub listen: ListenSettings,
    /// Section `[peers]`.
    pub peers: PeerSettings,
    /// Section `[platform]`.
    pub platform: PlatformSettings,
    /// Section `[limits]`.
    pub limits: LimitSettings,
    /// Section `[rollouts]`.
    pub rollouts: Exposure,
    /// Section `[duties]`; `None` if this deployment has no duties.
    pub duties: Option<DutySettings>,
    /// Section `[log]`.
    pub log: LogSettings,
}

/// Section `[entry]`.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The name, unique in the deployment.
    pub name: Entry,
    /// The data centre.
    pub data_centre: DataCentre,
    /// The region.
    pub region: Region,
}

/// Section `[listen]`.
#[derive(Clone, Debug)]
pub struct ListenSettings {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Readiness probes.
    pub readiness: Option<SocketAddr>,
    /// Address lookups of callers.
    pub directory: Option<SocketAddr>,
    /// Other entry hosts, over UDP and TCP.
    pub peers: SocketAddr,
    /// Metrics and the state dump.
    pub metrics: Option<SocketAddr>,
}

/// Section `[peers]`.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Hosts that are contacted at startup to join; all use the same peer port.
    pub seeds: Vec<SocketAddr>,
}

/// Section `[platform]`.
#[derive(Clone, Copy, Debug)]
pub struct PlatformSettings {
    /// The address of the store.
    pub address: SocketAddr,
    /// The time within which a change in the store has to be in force on all hosts.
    pub change_timeout: Duration,
}

/// Section `[limits]`.
#[derive(Clone, Copy, Debug)]
pub struct LimitSettings {
    /// The time from SIGTERM to the exit of the process.
    pub grace: Duration,
    /// The maximum TTL of addresses returned by a lookup.
    pub address_lifetime: Duration,
    /// The retry allowance.
    pub retries: Allowance,
    /// The maximum total size of buffered request bodies in bytes.
    pub request_bytes: usize,
    /// The maximum size of the response of a plain service in bytes.
    pub response_bytes: usize,
    /// Whether requests are refused early while their service is overloaded.
    pub admission: bool,
}

/// Section `[duties]`: calls to the platform that one host at a time makes for all.
#[derive(Clone, Debug)]
pub struct DutySettings {
    /// The address that takes the calls.
    pub address: SocketAddr,
    /// The duties; without any, no lease is needed.
    pub kinds: BTreeSet<Duty>,
    /// Names of duties that this release does not know. They are ignored, so that a platform with further duties is served.
    pub unknown_kinds: Vec<String>,
    /// The maximum rate of calls of all hosts together, per second.
    pub calls_per_second: f64,
    /// The duration of the lease after each renewal.
    pub lease: Duration,
    /// The length of a window of the usage reports.
    pub window: Duration,
    /// The time after the end of a window within which its report is due.
    pub report_timeout: Duration,
}

impl DutySettings {
    /// Returns the time after which a call is abandoned. No call begins when the lease ends sooner, so it takes only a
    /// small part of the lease.
    pub fn call_timeout(&self) -> Duration {
        MAX_DUTY_CALL_TIMEOUT.min(self.lease / 6)
    }
}

/// Section `[log]`.
#[derive(Clone, Copy, Debug)]
pub struct LogSettings {
    /// The minimum level of events that are written.
    pub level: log::LevelFilter,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, and with section, key, value and remedy when a setting is malformed.
    pub fn load(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|source| Kind::ReadFile {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Fails with section, key, value and remedy when a setting is malformed.
    pub fn parse(text: &str) -> Result<Self> {
        let file = File::parse(text)?;
        let settings = Self {
            entry: entry(file.section("entry")?)?,
            listen: listen(file.section("listen")?)?,
            peers: peers(file.section("peers")?)?,
            platform: platform(file.section("platform")?)?,
            limits: limits(file.section("limits")?)?,
            rollouts: file.section("rollouts").map_or(Ok(DEFAULT_EXPOSURE), rollouts)?,
            duties: file.section("duties").ok().map(duties).transpose()?,
            log: log_settings(file.section("log")?)?,
        };
        let known = [
            "entry", "listen", "peers", "platform", "limits", "rollouts", "duties", "log",
        ];
        for section in file.sections() {
            if !known.contains(&section.name()) {
                let remedy = format!("use one of {}", known.join(", "));
                return Err(section.error("", "", "is not a known section", &remedy).into());
            }
        }
        Ok(settings)
    }
}

fn entry(mut section: Section<'_>) -> Result<EntrySettings> {
    let entry = EntrySettings {
        name: section.required("name", "a name that is unique in the deployment")?,
        data_centre: section.required("data_centre", "the name of a data centre")?,
        region: section.required("region", "the name of a region")?,
    };
    section.finish()?;
    Ok(entry)
}

fn listen(mut section: Section<'_>) -> Result<ListenSettings> {
    let listen = ListenSettings {
        callers: section.required("callers", ADDRESS)?,
        readiness: section.optional("readiness", ADDRESS)?,
        directory: section.optional("directory", ADDRESS)?,
        peers: section.required("peers", ADDRESS)?,
        metrics: section.optional("metrics", ADDRESS)?,
    };
    section.finish()?;
    Ok(listen)
}

fn peers(mut section: Section<'_>) -> Result<PeerSettings> {
    let peers = PeerSettings {
        seeds: section.list("seeds", "addresses such as 127.0.0.1:7201")?,
    };
    section.finish()?;
    Ok(peers)
}

/// The format of durations in milliseconds.
const MILLIS: &str = "a whole number of milliseconds such as 2000";
/// The time within which changes of the configuration and of targets are in force, if the settings do not tell.
const DEFAULT_CHANGE_TIMEOUT_MS: u64 = 2000;

/// The defaults of the section `[duties]`.
const DEFAULT_DUTY_CALLS_PER_SECOND: f64 = 10.0;
const DEFAULT_LEASE_MS: u64 = 3000;
const DEFAULT_REPORT_TIMEOUT_S: f64 = 10.0;
/// The longest time for which the platform's answer to a call is awaited.
const MAX_DUTY_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The shortest lease that can be renewed several times within its term.
const MIN_LEASE: Duration = Duration::from_millis(500);
/// The shortest window of the usage reports, below which a call per window would be a burden.
const MIN_REPORT_WINDOW: Duration = Duration::from_secs(1);

fn platform(mut section: Section<'_>) -> Result<PlatformSettings> {
    let address = section.required("address", ADDRESS)?;
    let config_apply = section.default("config_apply_ms", MILLIS, DEFAULT_CHANGE_TIMEOUT_MS)?;
    let drain = section.default("drain_ms", MILLIS, DEFAULT_CHANGE_TIMEOUT_MS)?;
    let platform = PlatformSettings {
        address,
        change_timeout: Duration::from_millis(config_apply.min(drain)),
    };
    section.finish()?;
    Ok(platform)
}

fn limits(mut section: Section<'_>) -> Result<LimitSettings> {
    let retries = Allowance {
        ratio: section.default("repeat_ratio", "a number such as 0.2", 0.2)?,
        minimum: section.default("repeat_minimum", "a number such as 20", 20.0)?,
        window: seconds(&mut section, "repeat_window_s", 10.0)?,
    };
    let limits = LimitSettings {
        grace: seconds(&mut section, "grace_s", 8.0)?,
        address_lifetime: seconds(&mut section, "address_lifetime_s", 5.0)?,
        retries,
        request_bytes: section.default("request_bytes", "a number of bytes", 64 << 20)?,
        response_bytes: section.default("response_bytes", "a number of bytes", intake::DEFAULT_RESPONSE_BYTES)?,
        admission: section.default("admission", "true or false", false)?,
    };
    section.finish()?;
    Ok(limits)
}

fn rollouts(mut section: Section<'_>) -> Result<Exposure> {
    let exposure = Exposure {
        share: section.default("exposure_share", "a number such as 0.1", DEFAULT_EXPOSURE.share)?,
        slack: section.default("exposure_slack", "a number such as 50", DEFAULT_EXPOSURE.slack)?,
    };
    if !(0.0..=1.0).contains(&exposure.share) {
        let value = exposure.share.to_string();
        return Err(section
            .error("exposure_share", &value, "is not a share", "a number from 0 to 1")
            .into());
    }
    section.finish()?;
    Ok(exposure)
}

fn duties(mut section: Section<'_>) -> Result<DutySettings> {
    let names = section.list::<String>("kinds", "usage_report or autoscale")?;
    let (known, unknown) = names
        .into_iter()
        .partition::<Vec<_>, _>(|name| name.parse::<Duty>().is_ok());
    let duties = DutySettings {
        address: section.required("address", ADDRESS)?,
        kinds: known.iter().filter_map(|name| name.parse().ok()).collect(),
        unknown_kinds: unknown,
        calls_per_second: section.default("calls_per_s", "a number such as 50", DEFAULT_DUTY_CALLS_PER_SECOND)?,
        lease: Duration::from_millis(section.default("lease_ms", MILLIS, DEFAULT_LEASE_MS)?),
        window: seconds(&mut section, "report_window_s", 0.0)?,
        report_timeout: seconds(&mut section, "report_timeout_s", DEFAULT_REPORT_TIMEOUT_S)?,
    };
    if duties.kinds.contains(&Duty::Usage) && duties.window < MIN_REPORT_WINDOW {
        let value = duties.window.as_secs_f64().to_string();
        let remedy = "a number of seconds of at least 1, which the duty usage_report needs";
        return Err(section.error("report_window_s", &value, "is too short", remedy).into());
    }
    if duties.lease < MIN_LEASE {
        let value = duties.lease.as_millis().to_string();
        let remedy = "a number of milliseconds of at least 500";
        return Err(section
            .error("lease_ms", &value, "is too short to be renewed", remedy)
            .into());
    }
    let rate = duties.calls_per_second;
    if !rate.is_finite() || rate <= 0.0 {
        let remedy = "a number of calls per second above 0";
        return Err(section
            .error("calls_per_s", &rate.to_string(), "is not a rate", remedy)
            .into());
    }
    section.finish()?;
    Ok(duties)
}

fn seconds<'a>(section: &mut Section<'a>, key: &'a str, default: f64) -> Result<Duration> {
    let value = section.default(key, SECONDS, default)?;
    Duration::try_from_secs_f64(value).map_err(|error| {
        section
            .error(key, &value.to_string(), &error.to_string(), SECONDS)
            .into()
    })
}

fn log_settings(mut section: Section<'_>) -> Result<LogSettings> {
    let log = LogSettings {
        level: section.default("level", "error, warn, info, debug or off", log::LevelFilter::Info)?,
    };
    section.finish()?;
    Ok(log)
}
