//! Model of many hosts that hear of each other late, with deadly parts of prompts among sound ones.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::prompt::{Part, Parts};
use hawthornpost_gateway::quarantine::{Crash, Quarantine, Verdict};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;

const START: Instant = Instant::from_millis(1_000_000);
const DEADLY: &str = "deadly";

fn at(millis: u64) -> Instant {
    START + Duration::from_millis(millis)
}

fn parts(ids: &[&str]) -> Parts {
    ids.iter().filter_map(|id| Part::new(id)).collect()
}

/// A message on its way to a host.
struct Message {
    arrives: u64,
    host: usize,
    content: Content,
}

#[derive(Clone)]
enum Content {
    Crash(Crash, Parts),
    Cleared(Parts),
}

/// A request on its way through engines.
struct Request {
    id: String,
    host: usize,
    prompt: Parts,
    is_deadly: bool,
    begins: u64,
    engine: u64,
}

/// Hosts that hear of each other late, with deadly requests among sound ones and failures of whole data centres.
struct Model {
    random: SmallRng,
    hosts: Vec<Quarantine>,
    messages: Vec<Message>,
    running: Vec<Request>,
    /// When the deadly requests reached an engine that they crashed.
    crashes: Vec<u64>,
    sent_deadly: Vec<u64>,
    sound: BTreeMap<bool, u64>,
    next: u64,
}

impl Model {
    const ENGINES: u64 = 60;
    const DATA_CENTRES: u64 = 3;

    fn new(seed: u64, hosts: usize) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            hosts: vec![Quarantine::default(); hosts],
            messages: Vec::new(),
            running: Vec::new(),
            crashes: Vec::new(),
            sent_deadly: Vec::new(),
            sound: BTreeMap::new(),
            next: 0,
        }
    }

    fn tell(&mut self, now: u64, from: usize, content: &Content) {
        for host in (0..self.hosts.len()).filter(|host| *host != from) {
            // One in 20 datagrams is lost.
            if self.random.random_range(0..20) > 0 {
                let arrives = now + self.random.random_range(1..40);
                let content = content.clone();
                self.messages.push(Message { arrives, host, content });
            }
        }
    }

    fn deliver(&mut self, now: u64) {
        let (due, waiting) = self.messages.drain(..).partition(|message| message.arrives <= now);
        self.messages = waiting;
        let due: Vec<Message> = due;
        for message in due {
            let host = &mut self.hosts[message.host];
            match message.content {
                Content::Crash(crash, parts) => host.record_crash(at(now), &crash, &parts),
                Content::Cleared(parts) => host.clear(at(now), &parts),
            }
        }
    }

    /// A host repeats its evidence to another one.
    fn repeat(&mut self, now: u64) {
        for from in 0..self.hosts.len() {
            let to = self.random.random_range(0..self.hosts.len());
            if let Some(snapshot) = self.hosts[from].snapshot(at(now)) {
                self.hosts[to].merge(at(now), &snapshot);
            }
        }
    }

    fn arrive(&mut self, now: u64, is_deadly: bool) {
        self.next += 1;
        let first = format!("first-{}", self.random.random_range(0..20));
        let prompt = if is_deadly {
            parts(&[&first, DEADLY])
        } else {
            parts(&[&first])
        };
        let host = self.random.random_range(0..self.hosts.len());
        let request = Request {
            id: format!("r-{}", self.next),
            host,
            prompt,
            is_deadly,
            begins: 0,
            engine: 0,
        };
        let is_sent = self.send(now, request);
        if !is_deadly {
            *self.sound.entry(is_sent).or_default() += 1;
        }
    }

    fn send(&mut self, now: u64, mut request: Request) -> bool {
        if !matches!(
            self.hosts[request.host].admit(at(now), &request.id, &request.prompt),
            Verdict::Allowed | Verdict::Trial(_)
        ) {
            return false;
        }
        if request.is_deadly {
            self.sent_deadly.push(now);
        }
        request.begins = now + self.random.random_range(600..1600);
        request.engine = self.random.random_range(0..Self::ENGINES);
        self.running.push(request);
        true
    }

    fn begin(&mut self, now: u64) {
        let (due, waiting) = self.running.drain(..).partition(|request| request.begins <= now);
        self.running = waiting;
        let due: Vec<Request> = due;
        for request in due {
            if request.is_deadly {
                self.crashes.push(now);
                self.fail_engines(now, |engine| engine == request.engine);
                self.fail_request(now, request);
                continue;
            }
            let cleared = self.hosts[request.host].record_begun(at(now), &request.prompt);
            if !cleared.is_empty() {
                self.tell(now, request.host, &Content::Cleared(cleared));
            }
        }
    }

    fn fail_engines(&mut self, now: u64, has_failed: impl Fn(u64) -> bool) {
        let (failed, running) = self
            .running
            .drain(..)
            .partition(|request: &Request| has_failed(request.engine));
        self.running = running;
        let failed: Vec<Request> = failed;
        for request in failed {
            self.fail_request(now, request);
        }
    }

    fn fail_request(&mut self, now: u64, request: Request) {
        let crash = Crash {
            engine: format!("engine-{}/{now}", request.engine),
            request: request.id.clone(),
        };
        self.hosts[request.host].record_crash(at(now), &crash, &request.prompt);
        self.tell(now, request.host, &Content::Crash(crash, request.prompt.clone()));
        self.send(now, request);
    }

    /// Returns how many deadly requests were sent later than `limit` ms after the fifth crash.
    fn sent_late(&self, limit: u64) -> usize {
        let fifth = self.crashes.get(4);
        fifth.map_or(0, |fifth| {
            self.sent_deadly.iter().filter(|sent| **sent > fifth + limit).count()
        })
    }
}

/// Guards against hosts that keep sending a deadly part because each sees few crashes, and against sound requests that
/// are refused when whole data centres crash.
#[test_case(6, 100; "few hosts")]
#[test_case(30, 40; "some hosts")]
#[test_case(86, 15; "many hosts")]
fn many_hosts_stop_a_deadly_part_and_serve_the_others(hosts: usize, seeds: u64) {
    for seed in 0..seeds {
        let mut model = Model::new(seed, hosts);
        for now in (0..25_000).step_by(5) {
            model.deliver(now);
            model.begin(now);
            if now % 50 == 0 {
                model.arrive(now, false);
            }
            if now >= 4000 && model.random.random_range(0..200) == 0 {
                model.arrive(now, true);
            }
            if now % 7000 == 3500 {
                let data_centre = now / 7000 % Model::DATA_CENTRES;
                model.fail_engines(now, |engine| engine % Model::DATA_CENTRES == data_centre);
            }
            if now % 1000 == 0 {
                model.repeat(now);
            }
        }
        let late = model.sent_late(3000);
        assert!(
            late <= 3,
            "seed {seed}: {late} sent late, {} crashes",
            model.crashes.len()
        );
        let refused = model.sound.get(&false).copied().unwrap_or_default();
        let served = model.sound.get(&true).copied().unwrap_or_default();
        assert!(
            refused * 50 <= served,
            "seed {seed}: {refused} of {served} sound requests refused"
        );
    }
}
