//! Stand-ins of the second review's scripts, with the standard library only: the platform's store, servers of a plain
//! service and callers, and the gateways of a small deployment as separate processes on loopback addresses.

#![allow(dead_code, reason = "each script uses a part")]

pub mod http;
pub mod service;
pub mod store;

use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use service::Arrivals;
use store::Store;

/// The time after which a script is ended as one that could not run.
const SCRIPT_TIMEOUT: Duration = Duration::from_secs(112);
/// The program under review.
const GATEWAY: &str = "target/release/hawthornpost-gateway";
/// The host name of all routes.
pub const HOST: &str = "letters.example";
/// The key of the account `crews`.
pub const KEY: &str = "Token key-of-crews";

/// The ids of the processes that this script started and that have not ended.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The signals that the scripts send, with their numbers on Linux.
const SIGKILL: i32 = 9;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// The end of a script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// Runs a script: exits with 1 if the rule was broken, with 0 if it held, with 2 if the script could not run.
pub fn run(script: fn(bool) -> Verdict) -> ! {
    thread::spawn(|| {
        thread::sleep(SCRIPT_TIMEOUT);
        eprintln!("the script takes too long");
        end_processes();
        std::process::exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = std::panic::catch_unwind(|| script(has_trouble));
    end_processes();
    std::process::exit(match verdict {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(_) => 2,
    })
}

fn end_processes() {
    let processes = PROCESSES.lock().map(|list| list.clone()).unwrap_or_default();
    for id in processes {
        send_signal(id, SIGKILL);
    }
}

fn send_signal(id: u32, signal: i32) {
    // SAFETY: the call has no memory effects; the id is that of a child that was not waited for.
    let _ = unsafe { kill(i32::try_from(id).expect("a process id"), signal) };
}

/// The record of what was sent, answered and run.
#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Creates `record.txt` in the folder of a case.
    pub fn create(folder: &str) -> Self {
        let file = File::create(format!("review/{folder}/record.txt")).expect("a record");
        Self {
            file: Mutex::new(file),
            started: Instant::now(),
        }
    }

    /// Appends a line with the time since the start.
    pub fn write(&self, line: impl AsRef<str>) {
        self.write_at(Instant::now(), line);
    }

    /// Appends a line with a time.
    pub fn write_at(&self, at: Instant, line: impl AsRef<str>) {
        let seconds = at.saturating_duration_since(self.started).as_secs_f64();
        let mut file = self.file.lock().expect("no thread panics with the record");
        writeln!(file, "{seconds:8.3} s  {}", line.as_ref()).expect("the record is written");
    }

    /// Appends what reached the servers.
    pub fn write_arrivals(&self, arrivals: &Arrivals) {
        for arrival in arrivals.lock().expect("no thread panics with the arrivals").iter() {
            self.write_at(arrival.at, arrival.line());
        }
    }

    /// Appends a line and prints it as well.
    pub fn tell(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.write(line);
    }
}

/// A small deployment on loopback addresses, with free ports and a temporary folder.
#[derive(Debug)]
pub struct Deployment {
    network: [u8; 2],
    folder: PathBuf,
    pub store: Store,
    gateways: Vec<Option<Child>>,
}

impl Deployment {
    /// Starts the store of a deployment without gateways.
    pub fn start() -> Self {
        let process = std::process::id();
        let network = (0..200)
            .map(|offset| network(process + offset))
            .find(|network| is_free(*network));
        let network = network.expect("free loopback addresses");
        let folder = std::env::temp_dir().join(format!("review-2-{process}"));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::start(SocketAddr::new(ip(network, 1), 8742));
        Self {
            network,
            folder,
            store,
            gateways: Vec::new(),
        }
    }

    /// Returns an address of a server.
    pub fn server_address(&self, index: u8) -> SocketAddr {
        SocketAddr::new(ip(self.network, 100 + index), 8000)
    }

    /// Returns an address of a gateway.
    pub fn gateway_address(&self, index: usize, port: u16) -> SocketAddr {
        SocketAddr::new(
            ip(self.network, 10 + u8::try_from(index).expect("a small number")),
            port,
        )
    }

    /// Returns the address of a gateway for callers.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.gateway_address(index, 8740)
    }

    /// Starts a gateway, or starts it again after it has ended.
    pub fn start_gateway(&mut self, index: usize) {
        let path = self.folder.join(format!("gateway-{index}.ini"));
        std::fs::write(&path, self.settings(index)).expect("settings");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("gateway-{index}.log")));
        let child = Command::new(GATEWAY)
            .arg("--config")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.expect("a log"))
            .spawn()
            .expect("the gateway starts");
        PROCESSES.lock().expect("the list of processes").push(child.id());
        if self.gateways.len() <= index {
            self.gateways.resize_with(index + 1, || None);
        }
        self.gateways[index] = Some(child);
    }

    /// Returns the settings of a gateway, as the template of the deploy file yields them for the smaller deployments.
    fn settings(&self, index: usize) -> String {
        let own = self.gateway_address(index, 0).ip();
        let seeds = (0..3)
            .map(|seed| self.gateway_address(seed, 8748).to_string())
            .collect::<Vec<_>>();
        format!(
            "[entry]\nname = edge-{index}\ndata_centre = {}\nregion = erongo\n[listen]\ncallers = {own}:8740\n\
             readiness = {own}:8749\ndirectory = {own}:8746\npeers = {own}:7200\nmetrics = {own}:7215\n[peers]\n\
             seeds = {}\n[platform]\naddress = {}\nconfig_apply_ms = 2000\ndrain_ms = 2000\n[limits]\ngrace_s = 8\n\
             address_lifetime_s = 5\nrepeat_ratio = 0.8\nrepeat_minimum = 150\nrepeat_window_s = 10\n[rollouts]\n\
             exposure_share = 0.1\nexposure_slack = 50\n[log]\nlevel = info\n",
            zone(index),
            seeds.join(","),
            self.store.address(),
        )
    }

    /// Kills a gateway.
    pub fn kill_gateway(&mut self, index: usize) {
        if let Some(mut child) = self.gateways[index].take() {
            child.kill().expect("the gateway runs");
            child.wait().expect("the gateway ends");
            PROCESSES
                .lock()
                .expect("the list of processes")
                .retain(|id| *id != child.id());
        }
    }

    /// Freezes a gateway.
    pub fn freeze_gateway(&self, index: usize) {
        self.signal_gateway(index, SIGSTOP);
    }

    /// Lets a frozen gateway go on.
    pub fn wake_gateway(&self, index: usize) {
        self.signal_gateway(index, SIGCONT);
    }

    fn signal_gateway(&self, index: usize, signal: i32) {
        let child = self.gateways[index].as_ref().expect("the gateway runs");
        send_signal(child.id(), signal);
    }

    /// Returns whether the platform's readiness check of a gateway succeeds.
    pub fn is_ready(&self, index: usize) -> bool {
        let address = self.gateway_address(index, 8749);
        let response = http::call(
            address,
            "GET",
            "/hawthornpost/readyz",
            &[("host", "ready")],
            Duration::from_secs(1),
        );
        response.is_ok_and(|response| response.status == 200)
    }

    /// Waits until all gateways are ready.
    pub fn wait_ready(&self) {
        let started = Instant::now();
        while !(0..self.gateways.len()).all(|index| self.is_ready(index)) {
            assert!(started.elapsed() < Duration::from_secs(20), "the gateways become ready");
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns the log of a gateway.
    pub fn log(&self, index: usize) -> String {
        std::fs::read_to_string(self.folder.join(format!("gateway-{index}.log"))).unwrap_or_default()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for index in 0..self.gateways.len() {
            self.kill_gateway(index);
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the zone of a machine or server.
pub fn zone(index: usize) -> &'static str {
    ["omaruru", "karibib", "usakos"][index % 3]
}

/// Returns the present time in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).expect("a time")
}

/// Returns a configuration with the routes of the clearing rounds' calls: `/book/` is non_idempotent, `/status/` is
/// idempotent, both at the service `desk`.
pub fn config(version: u64, max_header_bytes: u32) -> String {
    config_with_tenant(version, max_header_bytes, "crews")
}

/// Returns a configuration like [`config`] whose only account, which holds [`KEY`], has a name.
pub fn config_with_tenant(version: u64, max_header_bytes: u32, tenant: &str) -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path-prefix":"/{name}/","route-kind":"{kind}","timeout-ms":1500,"goal-ms":300,"priority":2,"service":"desk","max-attempts":{attempts},"anonymous":false,"sticky":false,"resumable":false}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{},{}],"services":[{{"name":"desk","health-path":"/healthz","max-connections":110}}],"limits":{{"max-header-bytes":{max_header_bytes},"max-body-bytes":4194304,"header-timeout-ms":2000,"idle-timeout-ms":15000}},"tenants":[{{"name":"{tenant}","api-keys":["key-of-crews"]}}]}}"#,
        route("book", "non_idempotent", 1),
        route("status", "idempotent", 2),
    )
}

fn network(number: u32) -> [u8; 2] {
    let bytes = number.to_le_bytes();
    [64 + bytes[1] % 128, bytes[0]]
}

fn ip(network: [u8; 2], last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, network[0], network[1], last))
}

fn is_free(network: [u8; 2]) -> bool {
    let ports = [8740, 8742, 8746, 8749, 7200, 7215, 8000];
    let lasts = (10..=17).chain(100..=112).chain([1]);
    let mut addresses = lasts.flat_map(|last| ports.map(|port| SocketAddr::new(ip(network, last), port)));
    addresses.all(|address| TcpListener::bind(address).is_ok())
}
