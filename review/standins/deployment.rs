//! Gateway processes, started like on the platform: with the command of the deploy file and the rendered settings.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use super::caller;

pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
pub const SIGTERM: i32 = 15;

pub const ZONES: [&str; 3] = ["glasgow", "stirling", "perth"];

/// The command of the role in the deploy file.
const COMMAND: &str = "target/release/hawthornpost-gateway";
const TEMPLATE: &str = "deploy/gateway.ini";

/// The option of `prctl` that names the signal which a process gets when the thread that started it ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: usize = 9;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// The addresses and files of a run.
pub struct Place {
    network: [u8; 2],
    directory: PathBuf,
}

pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Place {
    /// Finds a free loopback network for a run with a temporary folder.
    pub fn find(directory: &Path) -> Self {
        let first = std::process::id();
        let networks = (0..200_u32).map(|step| [(first + step) % 100 + 100, (first / 100) % 250 + 1]);
        let mut networks = networks.map(|network| network.map(|part| u8::try_from(part).unwrap()));
        let is_free = |network: &[u8; 2]| TcpListener::bind((Self::address(*network, 1), 8742)).is_ok();
        Self {
            network: networks.find(is_free).expect("a free loopback network"),
            directory: directory.to_owned(),
        }
    }

    fn address(network: [u8; 2], last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, network[0], network[1], last))
    }

    pub fn ip(&self, last: u8) -> IpAddr {
        Self::address(self.network, last)
    }

    pub fn store(&self) -> SocketAddr {
        SocketAddr::new(self.ip(1), 8742)
    }

    /// Starts the gateway with this number. The first three are the seeds.
    pub fn start_gateway(&self, number: u8, log_level: &str) -> Gateway {
        let ip = self.ip(10 + number);
        let name = format!("edge-{}-{number}", ZONES[usize::from(number) % 3]);
        let seeds = (0..3)
            .map(|seed| format!("{}:8748", self.ip(10 + seed)))
            .collect::<Vec<_>>()
            .join(",");
        let values = [
            ("node-name", name.clone()),
            ("zone", ZONES[usize::from(number) % 3].to_owned()),
            ("region", "scot-central".to_owned()),
            ("ip", ip.to_string()),
            ("listen.frontend", format!("{ip}:8740")),
            ("listen.readiness", format!("{ip}:8749")),
            ("listen.directory", format!("{ip}:8746")),
            ("internal-ports.0", "7200".to_owned()),
            ("internal-ports.1", "7215".to_owned()),
            ("seeds", seeds),
            ("platform.address", self.store().to_string()),
            ("bounds.config-apply-ms", "2000".to_owned()),
            ("bounds.drain-ms", "2000".to_owned()),
            ("bounds.grace-s", "8".to_owned()),
            ("bounds.ttl_max_s", "5".to_owned()),
            ("bounds.retry-budget-ratio", "0.8".to_owned()),
            ("bounds.budget-min-retries", "150".to_owned()),
            ("bounds.budget-window-s", "10".to_owned()),
            ("bounds.exposure-share", "0.1".to_owned()),
            ("bounds.exposure-slack", "50".to_owned()),
        ];
        let mut text = fs::read_to_string(TEMPLATE).expect("the template of the deploy file");
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        assert!(
            !text.contains("{{"),
            "a placeholder of the template has no value: {text}"
        );
        let text = text.replace("level = info", &format!("level = {log_level}"));
        let config = self.directory.join(format!("{name}.ini"));
        fs::write(&config, text).expect("the settings can be written");
        let log = self.directory.join(format!("{name}.log"));
        Gateway {
            child: spawn(&config, &log),
            name,
            callers: SocketAddr::new(ip, 8740),
            readiness: SocketAddr::new(ip, 8749),
            config,
            log,
        }
    }
}

fn spawn(config: &Path, log: &Path) -> Child {
    let log = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("the log can be opened");
    let mut command = Command::new(COMMAND);
    command
        .env_clear()
        .env("HAWTHORNPOST_CONFIG", config)
        .stdin(Stdio::null())
        .stderr(log.try_clone().expect("a descriptor"))
        .stdout(log);
    // The gateway ends with this program, also when that is killed.
    // SAFETY: the call takes plain numbers and is allowed between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command.spawn().expect("the gateway starts; build it first")
}

impl Gateway {
    pub fn is_ready(&self) -> bool {
        caller::get(self.readiness, "/hawthornpost/readyz").is_ok_and(|answer| answer.status == 200)
    }

    pub fn wait_ready(&self, limit: Duration) {
        let started = Instant::now();
        while !self.is_ready() {
            assert!(started.elapsed() < limit, "{} is not ready in {limit:?}", self.name);
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn signal(&self, signal: i32) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        // SAFETY: the call takes plain numbers; the process is a child that has not been waited for.
        assert_eq!(unsafe { kill(id, signal) }, 0, "the signal reaches {}", self.name);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _killed = self.child.kill();
        let _ended = self.child.wait();
    }

    /// Starts the process again after [`Self::kill`].
    pub fn restart(&mut self) {
        self.child = spawn(&self.config, &self.log);
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("a status").is_some()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
