//! Settings of the daemon, read from an INI file and checked at start.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use hawthornpost_core::id::{DataCentre, Entry, Region};
use hawthornpost_core::limit::Parameters;
use hawthornpost_core::settings::{File, Section};

use crate::error::{Kind, Result};

/// All settings of one daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identity and listen addresses of the entry host.
    pub entry: EntrySettings,
    /// Access to the platform.
    pub platform: PlatformSettings,
    /// Communication with other entry hosts.
    pub peers: PeerSettings,
    /// Operator keys.
    pub operators: OperatorSettings,
    /// Log output.
    pub log: LogSettings,
    /// Bounds and time limits.
    pub limits: LimitSettings,
    /// Admission control: division of the target capacity among entry hosts.
    pub admission: AdmissionSettings,
}

/// Section `[entry]`.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The name of the entry host, unique in the deployment.
    pub name: Entry,
    /// The data centre of the entry host.
    pub data_centre: DataCentre,
    /// The region of the data centre.
    pub region: Region,
    /// The listen address for callers and operators.
    pub listen: SocketAddr,
    /// The address that is advertised to callers; `listen` by default.
    pub advertise: SocketAddr,
}

/// Section `[platform]`.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The address of the platform's object API.
    pub address: SocketAddr,
    /// The time limit of one call.
    pub timeout: Duration,
    /// The delay before the configuration is read again after the platform or its watch failed.
    pub poll_interval: Duration,
    /// The largest number of calls per second that this daemon makes.
    pub calls_per_second: u32,
}

/// Section `[peers]`.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// The listen address for RPC of other entry hosts.
    pub listen: SocketAddr,
    /// Peer addresses of other entry hosts that are contacted at start.
    pub seeds: Vec<SocketAddr>,
    /// The key that all entry hosts of the deployment share.
    pub key: Secret,
    /// The time limit of one call.
    pub timeout: Duration,
}

/// Section `[operators]`.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// The `blake3` hashes of the operators' keys.
    pub key_hashes: Vec<blake3::Hash>,
}

/// Section `[log]`.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// The least severe level that is logged.
    pub level: log::LevelFilter,
    /// The format of a line.
    pub format: LogFormat,
    /// The file that lines are appended to; standard error when missing.
    pub file: Option<PathBuf>,
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Section `[limits]`.
#[derive(Clone, Debug)]
pub struct LimitSettings {
    /// The largest request body in bytes.
    pub body_bytes: usize,
    /// The largest total size in bytes of the request bodies that the process receives at the same time.
    pub request_bytes: usize,
    /// The timeout for receiving request headers.
    pub header_timeout: Duration,
    /// The timeout for receiving a request body.
    pub body_timeout: Duration,
    /// The timeout for a write to a caller that makes no progress. The kernel reports progress only when a third of its
    /// send buffer is free, which takes half a minute for a caller that reads one token per second.
    pub write_timeout: Duration,
    /// The bytes buffered for one caller before backpressure is applied to its engine.
    pub stream_bytes: usize,
    /// The bytes buffered for all callers of the process.
    pub process_bytes: usize,
    /// How long a generation is kept for a caller that disconnected.
    pub caller_grace: Duration,
    /// How long callers may use an entry address after they received it.
    pub address_lifetime: Duration,
    /// How long a daemon that is shutting down lets streams run before it hands them over.
    pub drain_limit: Duration,
    /// The largest number of open connections from callers.
    pub connections: usize,
    /// How long the idempotency keys of actions are kept.
    pub action_retention: Duration,
}

/// Section `[room]`.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionSettings {
    /// The time constants and bounds of admission control.
    pub parameters: Parameters,
    /// The largest number of entry hosts that share a target.
    pub sharers: usize,
}

/// A secret that its `Debug` output does not reveal.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Returns the secret itself.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Compares the secret with a text in constant time.
    pub fn matches(&self, text: &str) -> bool {
        // `blake3::Hash` compares in constant time.
        blake3::hash(self.0.as_bytes()) == blake3::hash(text.as_bytes())
    }
}

impl FromStr for Secret {
    type Err = &'static str;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        if text.len() < 16 {
            return Err("shorter than 16 bytes");
        }
        Ok(Self(text.to_owned()))
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl FromStr for LogFormat {
    type Err = &'static str;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("unknown format"),
        }
    }
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
            platform: platform(file.section("platform")?)?,
            peers: peers(file.section("peers")?)?,
            operators: operators(file.section("operators")?)?,
            log: log_settings(file.section("log").ok())?,
            limits: limits(file.section("limits").ok())?,
            admission: admission(file.section("room").ok())?,
        };
        let known = ["entry", "platform", "peers", "operators", "log", "limits", "room"];
        for section in file.sections() {
            if !known.contains(&section.name()) {
                let remedy = format!("use one of: {}", known.join(", "));
                return Err(Kind::Core(section.error("", "", "is not a known section", &remedy)).into());
            }
        }
        Ok(settings)
    }
}

const ADDRESS: &str = "an address such as 127.0.0.1:7101";

fn entry(mut section: Section<'_>) -> Result<EntrySettings> {
    let listen = section.required("listen", ADDRESS)?;
    let settings = EntrySettings {
        name: section.required("name", "a name that is unique in the deployment")?,
        data_centre: section.required("data_centre", "the name of a data centre")?,
        region: section.required("region", "the name of a region")?,
        listen,
        advertise: section.default("advertise", ADDRESS, listen)?,
    };
    section.finish()?;
    Ok(settings)
}

fn platform(mut section: Section<'_>) -> Result<PlatformSettings> {
    let settings = PlatformSettings {
        address: section.required("address", ADDRESS)?,
        timeout: section.millis("timeout_ms", 1000, 10..=60_000)?,
        poll_interval: section.millis("poll_ms", 10_000, 100..=600_000)?,
        calls_per_second: call_rate(&mut section)?,
    };
    section.finish()?;
    Ok(settings)
}

fn call_rate(section: &mut Section<'_>) -> Result<u32> {
    let calls = section.number("calls_per_second", 100, 1..=10_000)?;
    Ok(u32::try_from(calls).unwrap_or(u32::MAX))
}

fn peers(mut section: Section<'_>) -> Result<PeerSettings> {
    let settings = PeerSettings {
        listen: section.required("listen", ADDRESS)?,
        seeds: section.list("seeds", "addresses such as 127.0.0.1:7201")?,
        key: section.required("key", "a secret of at least 16 bytes")?,
        timeout: section.millis("timeout_ms", 500, 10..=60_000)?,
    };
    section.finish()?;
    Ok(settings)
}

fn operators(mut section: Section<'_>) -> Result<OperatorSettings> {
    let hashes = section.list::<String>("key_hashes", "blake3 hashes of 64 hexadecimal digits")?;
    let parse = |text: &String| {
        blake3::Hash::from_hex(text).map_err(|source| {
            let problem = format!("is not a blake3 hash ({source})");
            Kind::Core(section.error("key_hashes", text, &problem, "list hashes of 64 hexadecimal digits"))
        })
    };
    let key_hashes = hashes.iter().map(parse).collect::<std::result::Result<_, _>>()?;
    section.finish()?;
    Ok(OperatorSettings { key_hashes })
}

fn log_settings(section: Option<Section<'_>>) -> Result<LogSettings> {
    let mut settings = LogSettings {
        level: log::LevelFilter::Info,
        format: LogFormat::Text,
        file: None,
    };
    let Some(mut section) = section else {
        return Ok(settings);
    };
    settings.level = section.default("level", "off, error, warn, info, debug or trace", settings.level)?;
    settings.format = section.default("format", "text or json", settings.format)?;
    settings.file = section.optional("file", "a path")?;
    section.finish()?;
    Ok(settings)
}

fn limits(section: Option<Section<'_>>) -> Result<LimitSettings> {
    let empty = File::parse("[limits]\n")?;
    let mut section = match section {
        Some(section) => section,
        None => empty.section("limits")?,
    };
    let settings = LimitSettings {
        body_bytes: count(&mut section, "body_bytes", 1 << 20)?,
        request_bytes: count(&mut section, "request_bytes", 64 << 20)?,
        header_timeout: section.millis("header_timeout_ms", 5_000, 100..=60_000)?,
        body_timeout: section.millis("body_timeout_ms", 10_000, 100..=600_000)?,
        write_timeout: section.millis("write_timeout_ms", 120_000, 100..=600_000)?,
        stream_bytes: count(&mut section, "stream_bytes", 256 << 10)?,
        process_bytes: count(&mut section, "process_bytes", 64 << 20)?,
        caller_grace: section.millis("caller_grace_ms", 30_000, 0..=3_600_000)?,
        address_lifetime: section.millis("address_lifetime_ms", 10_000, 100..=600_000)?,
        drain_limit: section.millis("drain_limit_ms", 600_000, 0..=86_400_000)?,
        connections: count(&mut section, "connections", 20_000)?,
        action_retention: section.millis("action_retention_ms", 86_400_000, 60_000..=2_592_000_000)?,
    };
    if settings.request_bytes < settings.body_bytes {
        let value = settings.request_bytes.to_string();
        let remedy = "set it to at least `body_bytes`, so that the largest body fits";
        return Err(Kind::Core(section.error("request_bytes", &value, "is too small", remedy)).into());
    }
    section.finish()?;
    Ok(settings)
}

fn admission(section: Option<Section<'_>>) -> Result<AdmissionSettings> {
    let empty = File::parse("[room]\n")?;
    let mut section = match section {
        Some(section) => section,
        None => empty.section("room")?,
    };
    let default = Parameters::default();
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let thousandths = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
    let times = 0..=3_600_000;
    let parameters = Parameters {
        propagation_delay: section.millis("spread_ms", millis(default.propagation_delay), times.clone())?,
        settling_time: section.millis("settle_ms", millis(default.settling_time), times.clone())?,
        growth_delay: section.millis("rise_ms", millis(default.growth_delay), times.clone())?,
        max_lifetime: section.millis("hold_ms", millis(default.max_lifetime), times)?,
        headroom_permille: thousandths(section.number(
            "headroom_thousandths",
            default.headroom_permille.into(),
            0..=900,
        )?),
        overbooking_permille: thousandths(section.number(
            "overbook_thousandths",
            default.overbooking_permille.into(),
            1000..=5000,
        )?),
        ..default
    };
    let sharers = count(&mut section, "sharers", 12)?;
    section.finish()?;
    Ok(AdmissionSettings { parameters, sharers })
}

fn count<'a>(section: &mut Section<'a>, key: &'a str, default: u64) -> Result<usize> {
    let value = section.number(key, default, 1..=1 << 32)?;
    Ok(usize::try_from(value).unwrap_or(usize::MAX))
}
