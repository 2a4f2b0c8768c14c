//! Which parts of prompts are quarantined, with one host and with many that hear of each other late.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::prompt::{Part, Parts};
use hawthornpost_gateway::quarantine::{Crash, Quarantine, Snapshot, Verdict};
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

fn crash(engine: u64, request: &str) -> Crash {
    Crash {
        engine: format!("engine-{engine}"),
        request: request.to_owned(),
    }
}

fn is_refused(quarantine: &Quarantine, ids: &[&str]) -> bool {
    quarantine.quarantined("another request", &parts(ids)).is_some()
}

/// Returns a quarantine after crashes of requests with the same parts.
fn after_crashes(count: u64) -> Quarantine {
    let mut quarantine = Quarantine::default();
    for index in 0..count {
        let request = format!("r-{index}");
        quarantine.record_crash(at(index * 1000), &crash(index, &request), &parts(&["first", DEADLY]));
    }
    quarantine
}

/// Guards against a request that crashes a third engine, and against others that are refused because of it alone.
#[test]
fn a_request_is_refused_after_its_second_crash() {
    let mut quarantine = Quarantine::default();
    let prompt = parts(&["first", DEADLY]);
    quarantine.record_crash(at(0), &crash(0, "r"), &prompt);
    assert_eq!(quarantine.quarantined("r", &prompt), None);
    quarantine.record_crash(at(50), &crash(1, "r"), &prompt);
    assert!(quarantine.quarantined("r", &prompt).is_some());
    assert!(!is_refused(&quarantine, &["first", DEADLY]));
}

/// Guards against sound requests that are refused because they share one part with a deadly one.
#[test]
fn requests_with_only_some_of_the_suspected_parts_are_allowed() {
    let quarantine = after_crashes(3);
    assert!(is_refused(&quarantine, &["first", DEADLY]));
    assert!(!is_refused(&quarantine, &["first"]));
    assert!(!is_refused(&quarantine, &["first", "other"]));
}

/// Guards against a deadly part that escapes in a request with another first part after the first parts were cleared.
#[test]
fn a_cleared_part_leaves_the_others_suspected() {
    let mut quarantine = after_crashes(4);
    assert!(!is_refused(&quarantine, &["second", DEADLY]));
    let cleared = quarantine.record_begun(at(3500), &parts(&["first"]));
    assert_eq!(cleared, parts(&["first"]));
    assert!(is_refused(&quarantine, &["second", DEADLY]));
    assert!(!is_refused(&quarantine, &["first", "second"]));
}

/// Guards against a deadly part that hides behind different first parts.
#[test]
fn a_part_is_recognised_in_different_requests() {
    let mut quarantine = Quarantine::default();
    for index in 0..3 {
        let first = format!("first-{index}");
        quarantine.record_crash(
            at(index * 500),
            &crash(index, &format!("r-{index}")),
            &parts(&[&first, DEADLY]),
        );
    }
    assert!(is_refused(&quarantine, &["first-9", DEADLY]));
    assert!(!is_refused(&quarantine, &["first-0"]));
}

/// Guards against a quarantine of a popular part when many engines of a data centre crash at once.
#[test]
fn engines_that_crash_at_once_do_not_quarantine_a_shared_part() {
    let mut quarantine = Quarantine::default();
    for index in 0..11 {
        let request = format!("r-{index}");
        quarantine.record_crash(at(index * 10), &crash(index, &request), &parts(&["popular"]));
    }
    assert!(!is_refused(&quarantine, &["popular"]));
}

/// Guards against a bystander that is refused because it waited at two of the engines that a deadly part crashed.
#[test]
fn a_bystander_of_several_crashes_is_allowed() {
    let mut quarantine = Quarantine::default();
    for index in 0..3 {
        let first = format!("first-{index}");
        let request = format!("r-{index}");
        quarantine.record_crash(at(index * 500), &crash(index, &request), &parts(&[&first, DEADLY]));
    }
    for index in 0..2 {
        quarantine.record_crash(at(index * 500), &crash(index, "bystander"), &parts(&["rare"]));
    }
    assert!(!is_refused(&quarantine, &["rare"]));
    assert!(is_refused(&quarantine, &[DEADLY]));
}

/// Guards against a repaired model that never serves the part again, and against a trial by each request.
#[test]
fn one_request_is_tried_after_a_quiet_time() {
    let mut quarantine = after_crashes(4);
    let prompt = parts(&["first", DEADLY]);
    assert!(matches!(
        quarantine.admit(at(20_000), "r", &prompt),
        Verdict::Refused(_)
    ));
    assert!(matches!(
        quarantine.admit(at(45_000), "r", &prompt),
        Verdict::Refused(_)
    ));
    assert!(matches!(quarantine.admit(at(76_000), "r", &prompt), Verdict::Trial(_)));
    assert!(matches!(
        quarantine.admit(at(76_010), "r", &prompt),
        Verdict::Refused(_)
    ));
    quarantine.record_begun(at(77_000), &prompt);
    assert_eq!(quarantine.admit(at(77_010), "r", &prompt), Verdict::Allowed);
}

/// Guards against a second trial by another host.
#[test]
fn a_trial_is_told_to_other_hosts() {
    let mut first = after_crashes(4);
    let mut second = Quarantine::default();
    second.merge(at(4000), &first.snapshot(at(4000)).expect("evidence"));
    let prompt = parts(&["first", DEADLY]);
    assert!(matches!(first.admit(at(40_000), "r", &prompt), Verdict::Trial(_)));
    second.merge(at(40_010), &first.snapshot(at(40_010)).expect("evidence"));
    assert!(matches!(second.admit(at(40_020), "r", &prompt), Verdict::Refused(_)));
}

/// Guards against evidence of simultaneous crashes that leaves no room for later ones.
#[test]
fn many_simultaneous_crashes_do_not_hide_later_ones() {
    let mut quarantine = Quarantine::default();
    for index in 0..40 {
        let time = if index < 36 { index } else { index * 1000 };
        let request = format!("r-{index}");
        quarantine.record_crash(at(time), &crash(index, &request), &parts(&[DEADLY]));
    }
    assert!(is_refused(&quarantine, &[DEADLY]));
}

/// Guards against a sound part that stays quarantined after a coincidence, as nothing is sent that could clear it.
#[test]
fn a_request_is_tried_soon_while_a_coincidence_is_possible() {
    let mut quarantine = after_crashes(3);
    let prompt = parts(&["first", DEADLY]);
    assert!(matches!(quarantine.admit(at(5900), "r", &prompt), Verdict::Refused(_)));
    assert!(matches!(quarantine.admit(at(6100), "r", &prompt), Verdict::Trial(_)));
    quarantine.record_crash(at(7000), &crash(9, "r"), &prompt);
    assert!(matches!(
        quarantine.admit(at(12_000), "r", &prompt),
        Verdict::Refused(_)
    ));
}

/// Guards against callers that keep a part quarantined for good by sending it again and again.
#[test]
fn a_request_is_tried_at_last_although_requests_keep_coming() {
    let mut quarantine = after_crashes(4);
    let prompt = parts(&["first", DEADLY]);
    let verdicts = (1..400).map(|second| quarantine.admit(at(second * 1000 + 3000), "r", &prompt));
    let trials = verdicts.filter(|verdict| matches!(verdict, Verdict::Trial(_))).count();
    assert_eq!(trials, 1);
}

/// Guards against evidence that is lost or counted twice on its way to a restarted host, also as JSON.
#[test]
fn a_restarted_host_learns_what_is_quarantined() {
    let mut known = after_crashes(4);
    let bytes = serde_json::to_vec(&known.snapshot(at(5000)).expect("evidence")).expect("JSON");
    let snapshot = serde_json::from_slice::<Snapshot>(&bytes).expect("a snapshot");
    let mut restarted = Quarantine::default();
    restarted.merge(at(5010), &snapshot);
    restarted.merge(at(6010), &snapshot);
    assert!(is_refused(&restarted, &["first", DEADLY]));
    assert!(!is_refused(&restarted, &["first"]));
}

/// Guards against late evidence that suspects a part again after it was cleared.
#[test]
fn late_evidence_does_not_undo_a_clearance() {
    let mut late = after_crashes(4);
    let snapshot = late.snapshot(at(3100)).expect("evidence");
    let mut quarantine = Quarantine::default();
    quarantine.merge(at(3100), &snapshot);
    quarantine.record_begun(at(3200), &parts(&["first", DEADLY]));
    quarantine.merge(at(3300), &late.snapshot(at(3300)).expect("evidence"));
    assert!(!is_refused(&quarantine, &["first", DEADLY]));
}

/// Guards against memory and datagrams that grow with the number of parts or crashes.
#[test]
fn evidence_is_bounded() {
    let mut quarantine = after_crashes(4);
    for index in 0..5000 {
        let many = (0..Part::MAX_PER_PROMPT).map(|part| format!("part-{index}-{part}-{}", "x".repeat(40)));
        let many = many.filter_map(|id| Part::new(&id)).collect::<Parts>();
        quarantine.record_crash(at(4000 + index), &crash(index, "other"), &many);
    }
    let dump = quarantine.dump(at(9000));
    assert!(dump.as_array().is_some_and(|entries| entries.len() <= 256));
    let snapshot = serde_json::to_vec(&quarantine.snapshot(at(9000))).expect("JSON");
    assert!(snapshot.len() < 60 << 10, "{} bytes", snapshot.len());
    assert!(is_refused(&quarantine, &["first", DEADLY]));
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
