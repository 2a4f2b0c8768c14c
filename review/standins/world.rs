//! A small deployment with one service of model servers in several versions, and an operator who orders rollouts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::Record;
use super::caller;
use super::deployment::{Gateway, Place, ZONES};
use super::engine::{Arrival, Engine, Manner};
use super::store::Store;

pub const GATEWAYS: u8 = 6;
const SERVERS_PER_VERSION: u8 = 3;
/// The requests a second at each gateway in most cases.
pub const RATE: u32 = 20;
const SERVICE: &str = "pool";
/// The paths of the requests for streams, and of the lookups at another service.
pub const LETTERS: &str = "/letters/1";
pub const LOOKUPS: &str = "/status/1";
/// The longest `contact-ms` of a small deployment.
pub const CONTACT: Duration = Duration::from_secs(3);
/// How long the servers of a version stay after `rolled_back`. The page says: "At `rolled_back`, the new servers drain
/// some seconds later."
pub const ROLLED_BACK_STAY: Duration = Duration::from_secs(8);
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const ROLLBACK: Duration = Duration::from_secs(5);
/// The number of bad answers after which `rollback-ms` begins.
const BAD_ANSWERS: usize = 50;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-letters","host":"post.example","path-prefix":"/letters/","route-kind":"streaming","timeout-ms":25000,"goal-ms":4500,"priority":1,"service":"pool","max-attempts":5,"anonymous":false,"sticky":true,"resumable":true,"gap-target-ms":700},{"name":"r-status","host":"post.example","path-prefix":"/status/","route-kind":"idempotent","timeout-ms":2500,"goal-ms":150,"priority":2,"service":"desk","max-attempts":2,"anonymous":false}],"services":[{"name":"desk","health-path":"/healthz","max-connections":96,"protocol":"h1","tls":false},{"name":"pool","health-path":"/healthz","max-connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":88000,"kv-bytes":18432,"link-mbps":88000.0,"moves":true,"backups":false,"stride":6,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":4.0,"models":[{"name":"m"}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"office","api-keys":["key-of-office"],"priority":1}]}"#;

pub struct World {
    pub record: Arc<Record>,
    pub place: Place,
    pub store: Store,
}

/// The clients of all gateways.
pub struct Traffic {
    is_over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    answers: Arc<Mutex<BTreeMap<String, u64>>>,
}

/// The requests that count for the rule on the exposure of a bad version.
pub struct Exposure {
    pub ordered: Duration,
    pub deadline: Duration,
    pub of_bad: Vec<Arrival>,
    pub of_service: Vec<Arrival>,
}

impl World {
    /// Starts the store and writes the configuration. The program gets a temporary folder and the record's path.
    pub fn start() -> Self {
        let (folder, record) = Self::arguments();
        Self::start_in(&folder, &record)
    }

    /// Returns the temporary folder and the record that the program's arguments name.
    pub fn arguments() -> (PathBuf, Arc<Record>) {
        let folder = std::env::args().nth(1).expect("a temporary folder");
        let file = std::env::args().nth(2).expect("the path of the record");
        (folder.into(), Arc::new(Record::create(Path::new(&file))))
    }

    /// Starts the store of one of several deployments, with a temporary folder of its own.
    pub fn start_in(folder: &Path, record: &Arc<Record>) -> Self {
        let record = Arc::clone(record);
        let place = Place::find(folder);
        let store = Store::start(place.store(), &record).expect("the store starts");
        store.put("config", "main", CONFIG);
        Self { record, place, store }
    }

    /// Starts the gateways and waits until they are ready, know each other and are in touch.
    pub fn start_gateways(&self) -> Vec<Gateway> {
        self.start_more_gateways(GATEWAYS)
    }

    /// Starts this number of gateways and waits like [`Self::start_gateways`].
    pub fn start_more_gateways(&self, count: u8) -> Vec<Gateway> {
        let gateways = (0..count)
            .map(|number| self.place.start_gateway(number, "info"))
            .collect::<Vec<_>>();
        for gateway in &gateways {
            gateway.wait_ready(Duration::from_secs(20));
        }
        self.record.say(&format!("{count} gateways are ready"));
        thread::sleep(CONTACT + Duration::from_secs(2));
        gateways
    }

    /// Starts the servers of a version and registers them.
    pub fn start_version(&self, number: u8, failures_in_ten: u64) -> Vec<Engine> {
        let servers = (0..SERVERS_PER_VERSION).map(|index| {
            let (id, version) = (format!("i-v{number}-{index}"), format!("v{number}"));
            self.start_server(&id, 100 + 10 * number + index, &version, failures_in_ten)
        });
        servers.collect()
    }

    /// Starts a server at the address with this last part and registers it.
    pub fn start_server(&self, id: &str, last: u8, version: &str, failures_in_ten: u64) -> Engine {
        let manner = Manner {
            first: Duration::from_millis(80),
            gap: Duration::from_millis(30),
            events: 8,
            failures_in_ten,
        };
        self.start_server_of(SERVICE, id, last, version, manner)
    }

    /// Starts the servers of the service for lookups.
    pub fn start_desk(&self) -> Vec<Engine> {
        let manner = Manner {
            first: Duration::from_millis(20),
            gap: Duration::ZERO,
            events: 1,
            failures_in_ten: 0,
        };
        let servers = (0..SERVERS_PER_VERSION)
            .map(|index| self.start_server_of("desk", &format!("i-desk-{index}"), 200 + index, "v1", manner));
        servers.collect()
    }

    fn start_server_of(&self, service: &str, id: &str, last: u8, version: &str, manner: Manner) -> Engine {
        let (address, zone) = ((self.place.ip(last), 8080).into(), ZONES[usize::from(last) % 3]);
        let engine = Engine::start(service, id, address, zone, version, manner, &self.record);
        let engine = engine.expect("the address is free");
        engine.register(&self.store, "ready");
        engine
    }

    /// Orders a rollout and returns when.
    pub fn order(&self, version: &str, duration: Duration) -> Duration {
        let seconds = duration.as_secs();
        let spec = format!(r#"{{"service":"{SERVICE}","target":"{version}","duration-s":{seconds}}}"#);
        self.store.put("rollouts", SERVICE, &spec);
        self.record
            .say(&format!("the operator orders a rollout of {version} in {seconds} s"));
        self.record.now()
    }

    /// Returns the final state of an order, once it is in the store.
    pub fn verdict(&self, version: &str) -> Option<&'static str> {
        let status = self.store.status("rollouts", SERVICE);
        let is_of_order = status.contains(&format!(r#""target":"{version}""#));
        let mut states = ["completed", "rolled_back"].into_iter();
        states.find(|state| is_of_order && status.contains(state))
    }

    /// Waits for a final state of an order and returns it.
    pub fn wait_for_verdict(&self, version: &str, limit: Duration) -> Option<&'static str> {
        let until = self.record.now() + limit;
        while self.record.now() < until {
            if let Some(state) = self.verdict(version) {
                self.record.say(&format!("the store says that {version} is {state}"));
                return Some(state);
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }

    /// Starts clients that send to each gateway at a fixed rate, in requests a second.
    pub fn start_traffic(&self, gateways: &[Gateway], rate: u32) -> Traffic {
        self.start_traffic_on(LETTERS, "g", gateways, rate)
    }

    /// Starts clients that send to a path; the ids of their requests begin with `prefix` and the gateway's number.
    pub fn start_traffic_on(
        &self,
        path: &'static str,
        prefix: &'static str,
        gateways: &[Gateway],
        rate: u32,
    ) -> Traffic {
        let is_over = Arc::new(AtomicBool::new(false));
        let answers = Arc::<Mutex<BTreeMap<String, u64>>>::default();
        let clients = gateways.iter().enumerate().map(|(gateway, process)| {
            let (address, is_over) = (process.callers, Arc::clone(&is_over));
            let (record, answers) = (Arc::clone(&self.record), Arc::clone(&answers));
            thread::spawn(move || {
                for number in 0_u64.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{prefix}{gateway}-{number}");
                    let (record, answers) = (Arc::clone(&record), Arc::clone(&answers));
                    thread::spawn(move || send(address, path, &id, &record, &answers));
                    thread::sleep(Duration::from_secs(1) / rate);
                }
            })
        });
        let clients = clients.collect();
        Traffic {
            is_over,
            clients,
            answers,
        }
    }
}

impl Traffic {
    /// Stops sending, waits for the last answers, and records and returns all answers by status.
    pub fn stop(self, record: &Record) -> BTreeMap<String, u64> {
        self.is_over.store(true, Ordering::Relaxed);
        for client in self.clients {
            client.join().expect("the client ends");
        }
        thread::sleep(Duration::from_secs(2));
        let answers = self.answers.lock().unwrap().clone();
        record.say(&format!("answers to clients by status: {answers:?}"));
        answers
    }
}

impl Exposure {
    /// Records the counts and returns whether the rule is broken. `is_in_touch` tells whether the gateway that got a
    /// request from its client was in touch.
    pub fn is_broken(mut self, record: &Record, is_in_touch: impl Fn(&Arrival) -> bool) -> bool {
        self.of_bad.sort_by_key(|arrival| arrival.at);
        if self.of_bad.iter().all(|arrival| !arrival.is_bad) {
            record.say("the version is not bad: EXPOSURE holds");
            return false;
        }
        let in_time = |arrival: &&Arrival| arrival.at >= self.ordered && arrival.at <= self.deadline;
        let all = self.of_service.iter().filter(in_time).count();
        let exposed = self
            .of_bad
            .iter()
            .filter(in_time)
            .filter(|arrival| is_in_touch(arrival))
            .count();
        let allowed = EXPOSURE_SHARE * all as f64 + EXPOSURE_SLACK;
        let mut bad_answers = self.of_bad.iter().filter(|arrival| arrival.is_bad);
        let fiftieth = bad_answers.nth(BAD_ANSWERS - 1).map(|arrival| arrival.at);
        let is_late = |arrival: &&Arrival| fiftieth.is_some_and(|at| arrival.at > at + ROLLBACK);
        let late = self
            .of_bad
            .iter()
            .filter(is_late)
            .filter(|arrival| is_in_touch(arrival))
            .count();
        for gateway in 0..GATEWAYS {
            let prefix = format!("g{gateway}-");
            let of_gateway = |arrival: &&Arrival| arrival.id.starts_with(&prefix);
            let bad = self.of_bad.iter().filter(of_gateway);
            let (bad, late) = (bad.clone().count(), bad.filter(is_late).count());
            record.say(&format!(
                "gateway {gateway}: {bad} requests reached the bad version, {late} of them late"
            ));
        }
        record.say(&format!(
            "between the order and its deadline the bad version got {exposed} of {all} requests; allowed: {allowed:.0}"
        ));
        record.say(&format!(
            "requests that it got over {ROLLBACK:?} after its 50th bad answer: {late}"
        ));
        let is_broken = exposed as f64 > allowed || late > 0;
        record.say(if is_broken {
            "EXPOSURE is broken"
        } else {
            "EXPOSURE holds"
        });
        is_broken
    }
}

/// Returns whether the run has the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Returns what has reached these servers.
pub fn arrivals<'a>(engines: impl IntoIterator<Item = &'a Engine>) -> Vec<Arrival> {
    engines.into_iter().flat_map(Engine::arrivals).collect()
}

/// Ends the program because the case cannot run.
pub fn give_up(record: &Record, reason: &str) -> ! {
    record.say(&format!("the case cannot run: {reason}"));
    std::process::exit(2);
}

fn send(gateway: SocketAddr, path: &str, id: &str, record: &Record, answers: &Mutex<BTreeMap<String, u64>>) {
    record.line(&format!("client sends {id}"));
    let own = id
        .bytes()
        .fold(0_u64, |sum, byte| sum.wrapping_mul(257).wrapping_add(u64::from(byte)));
    let extra = format!(
        "X-Hawthornpost-Model: m\r\nX-Hawthornpost-Token-Usage: 400,48\r\n\
         X-Hawthornpost-Prompt-Prefix: 5c1e07a2:200,{own:x}:200\r\n"
    );
    let answer = caller::post(gateway, path, id, Duration::from_secs(25), &extra);
    let result = match answer {
        Ok(answer) => answer.status.to_string(),
        Err(error) => format!("no whole answer ({:?})", error.kind()),
    };
    record.line(&format!("client of {id} gets {result}"));
    *answers.lock().unwrap().entry(result).or_default() += 1;
}
