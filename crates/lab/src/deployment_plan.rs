//! Settings of a deployment run.

use std::path::PathBuf;
use std::time::Duration;

use crate::experiment::Options;

/// The names accepted by `--set`.
const SETTINGS: [&str; 9] = [
    "deployment",
    "examples",
    "daemon",
    "logs",
    "seconds",
    "scale",
    "streams",
    "patience_ms",
    "faults",
];
/// The gap between tokens at scale 1.
const TOKEN_GAP: Duration = Duration::from_millis(60);

/// Which components fail during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// No faults.
    None,
    /// Engines.
    Engines,
    /// Entry hosts.
    Entries,
    /// The platform.
    Platform,
    /// Plain services.
    Services,
    /// All of the components above.
    All,
    /// One entry host is killed and restarted once.
    EntryOnce,
}

/// The settings of a run.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// The directory of the example.
    pub(crate) directory: PathBuf,
    /// The name of the example.
    pub(crate) deployment: String,
    /// The path of the daemon binary.
    pub(crate) daemon: PathBuf,
    /// The directory for the logs of the daemons; a temporary directory when unset.
    pub(crate) logs: Option<PathBuf>,
    /// The seed of prompts, callers and faults.
    pub(crate) seed: u64,
    /// How long callers start new requests and faults are injected.
    pub(crate) time: Duration,
    /// The gap between two tokens of an engine.
    pub(crate) gap: Duration,
    /// The number of concurrent generations.
    pub(crate) streams: usize,
    /// Time without data after which a caller switches to another entry host.
    pub(crate) patience: Duration,
    /// The components that fail.
    pub(crate) faults: Scope,
}

impl Scope {
    /// Returns whether faults are injected into the components of `part`.
    pub(crate) fn covers(self, part: Self) -> bool {
        self == Self::All || self == part
    }

    fn parse(text: &str) -> Result<Self, String> {
        match text {
            "none" => Ok(Self::None),
            "engines" => Ok(Self::Engines),
            "entries" => Ok(Self::Entries),
            "platform" => Ok(Self::Platform),
            "services" => Ok(Self::Services),
            "all" => Ok(Self::All),
            "entry-once" => Ok(Self::EntryOnce),
            _ => Err(format!(
                "`faults={text}` is unknown; use none, engines, entries, platform, services, all or entry-once"
            )),
        }
    }
}

impl Plan {
    /// Reads the settings of the command line.
    ///
    /// # Errors
    ///
    /// Fails when a setting is unknown or malformed.
    pub(crate) fn new(options: &Options) -> Result<Self, String> {
        if let Some(name) = options.set.keys().find(|name| !SETTINGS.contains(&name.as_str())) {
            return Err(format!("`{name}` is unknown; use one of: {}", SETTINGS.join(", ")));
        }
        let deployment = options.get("deployment", "omaruru".to_owned())?;
        let scale = options.get("scale", 1.0_f64)?;
        if !(scale > 0.0 && scale.is_finite()) {
            return Err("`scale` is not a positive number".to_owned());
        }
        let default_daemon = std::env::current_exe()
            .map_err(|error| error.to_string())?
            .with_file_name("hawthornpostd");
        let daemon = options.get("daemon", default_daemon)?;
        if !daemon.is_file() {
            let daemon = daemon.display();
            return Err(format!("{daemon} does not exist; build it with cargo build --release"));
        }
        Ok(Self {
            directory: options.get("examples", PathBuf::from("examples"))?.join(&deployment),
            deployment,
            daemon,
            logs: options.set.get("logs").map(PathBuf::from),
            seed: options.seed,
            time: Duration::from_secs(options.get("seconds", 60)?),
            gap: TOKEN_GAP.div_f64(scale),
            streams: options.get("streams", 40)?,
            patience: Duration::from_millis(options.get("patience_ms", 3000)?),
            faults: Scope::parse(&options.get("faults", "all".to_owned())?)?,
        })
    }
}
