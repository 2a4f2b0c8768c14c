//! Stateful fuzz test of membership and configuration distribution under partitions, restarts and pauses.
//!
//! Each entry runs the table and the tracker of the core over a simulated network that drops messages across
//! partitions.

#![expect(
    clippy::renamed_function_params,
    reason = "the parameter names of the traits do not fit this test"
)]

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::config::{
    Command as TrackerCommand, Event as TrackerEvent, Head, Proposal, Source, Stored, Tracker,
};
use hawthornpost_core::id::Entry;
use hawthornpost_core::membership::{Command, Event, Member, Message, Settings, State, Table};
use jiff::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const ENTRIES: usize = 5;
/// Long enough for suspicions to expire, dead members to be probed and claims to be refuted.
const SETTLE_SECS: u64 = 90;

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    /// Partitions the network: entries with their bit set cannot reach the others.
    Partition(u8),
    /// The platform is unreachable for entries with their bit set.
    Platform(u8),
    Restart(usize),
    Pause(usize, u64),
    Accept,
    Settle,
}

/// The oracle: the highest accepted version.
#[derive(Clone, Debug, Default)]
struct Accepted {
    version: u64,
}

impl ReferenceStateMachine for Accepted {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            4 => (1..20_u64).prop_map(Step::Advance),
            2 => any::<u8>().prop_map(Step::Partition),
            1 => any::<u8>().prop_map(Step::Platform),
            1 => (0..ENTRIES).prop_map(Step::Restart),
            1 => ((0..ENTRIES), 1..15_u64).prop_map(|(entry, secs)| Step::Pause(entry, secs)),
            2 => Just(Step::Accept),
            1 => Just(Step::Settle),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        state.version += u64::from(matches!(step, Step::Accept));
        state
    }
}

struct Node {
    table: Table,
    tracker: Tracker,
    highest: u64,
    paused_until: Instant,
}

struct Fleet {
    now: Instant,
    nodes: Vec<Node>,
    partition: u8,
    without_platform: u8,
    heads: Vec<Head>,
    incarnations: u64,
}

fn name(index: usize) -> Entry {
    format!("entry-{index}").parse().expect("a name")
}

fn node(index: usize, incarnation: u64) -> Node {
    let address = |port: u16| ([10, 0, 0, u8::try_from(index).expect("few entries")], port).into();
    let own = Member {
        name: name(index),
        peer_address: address(1),
        caller_address: address(2),
        data_centre: "perth".parse().expect("a name"),
        region: "scotland".parse().expect("a name"),
        incarnation: incarnation * 1000,
        state: State::Alive,
        draining: false,
        config: 0,
    };
    Node {
        table: Table::new(
            own,
            vec![([10, 0, 0, 0], 1).into(), ([10, 0, 0, 1], 1).into()],
            Settings::default(),
            incarnation,
        ),
        tracker: Tracker::new(),
        highest: 0,
        paused_until: Instant::ZERO,
    }
}

impl Fleet {
    fn reaches(&self, from: usize, to: usize) -> bool {
        let side = |index: usize| self.partition >> index & 1;
        side(from) == side(to) && self.nodes[to].paused_until <= self.now
    }

    fn advance(&mut self, secs: u64) {
        let end = self.now + Duration::from_secs(secs);
        while self.now < end {
            self.now = self.now + Duration::from_millis(100);
            for index in 0..ENTRIES {
                if self.nodes[index].paused_until <= self.now {
                    self.run_due(index);
                }
            }
        }
    }

    fn run_due(&mut self, index: usize) {
        let now = self.now;
        if self.nodes[index]
            .table
            .deadline()
            .is_some_and(|deadline| deadline <= now)
        {
            let commands = self.nodes[index].table.handle(now, Event::Tick);
            self.execute(index, commands);
            self.poll(index);
        }
        if self.nodes[index]
            .tracker
            .deadline()
            .is_some_and(|deadline| deadline <= now)
        {
            self.track_version(index, TrackerEvent::Tick);
        }
    }

    fn poll(&mut self, index: usize) {
        if self.without_platform >> index & 1 == 0 {
            let head = self.heads.last().cloned();
            let stored = head.map(|head| Stored {
                resource_version: head.version.to_string(),
                head,
            });
            self.track_version(index, TrackerEvent::PlatformHead(stored));
        }
    }

    fn execute(&mut self, from: usize, commands: Vec<Command>) {
        for command in commands {
            match command {
                Command::Ping {
                    probe,
                    address,
                    message,
                } => self.ping(from, probe, address, &message),
                Command::PingVia {
                    probe,
                    relay,
                    target,
                    message,
                } => {
                    let Some(via) = self.reachable_index(from, relay) else {
                        continue;
                    };
                    self.deliver(via, &message);
                    let Some((address, ping)) = self.nodes[via].table.relay(&target) else {
                        continue;
                    };
                    let Some(to) = self.reachable_index(via, address) else {
                        continue;
                    };
                    let answer = self.deliver(to, &ping);
                    let commands = self.nodes[via].table.apply(self.now, &answer);
                    self.execute(via, commands);
                    let own = self.deliver(via, &message);
                    let commands = self.nodes[from]
                        .table
                        .handle(self.now, Event::Answered { probe, message: own });
                    self.execute(from, commands);
                }
                Command::Sync(address) => {
                    let Some(to) = self.reachable_index(from, address) else {
                        continue;
                    };
                    let (ours, theirs) = (self.nodes[from].table.snapshot(), self.nodes[to].table.snapshot());
                    self.nodes[to].table.merge(self.now, &ours);
                    self.nodes[from].table.merge(self.now, &theirs);
                }
                Command::Changed(_) => {}
            }
        }
    }

    fn ping(&mut self, from: usize, probe: u64, address: std::net::SocketAddr, message: &Message) {
        if let Some(to) = self.reachable_index(from, address) {
            let answer = self.deliver(to, message);
            self.learn_version(from, &answer);
            let commands = self.nodes[from]
                .table
                .handle(self.now, Event::Answered { probe, message: answer });
            self.execute(from, commands);
        }
    }

    fn reachable_index(&self, from: usize, address: std::net::SocketAddr) -> Option<usize> {
        let all = 0..ENTRIES;
        let mut found = all.filter(|index| self.nodes[*index].table.own().peer_address == address);
        found.find(|to| *to != from && self.reaches(from, *to))
    }

    fn deliver(&mut self, to: usize, message: &Message) -> Message {
        self.learn_version(to, message);
        let (answer, commands) = self.nodes[to].table.receive(self.now, message);
        // Later messages also trigger the exchange of member lists; omitting it here bounds the recursion.
        drop(commands);
        answer
    }

    fn learn_version(&mut self, index: usize, message: &Message) {
        self.track_version(
            index,
            TrackerEvent::PeerVersion(message.from.name.clone(), message.from.config),
        );
    }

    fn track_version(&mut self, index: usize, event: TrackerEvent) {
        for command in self.nodes[index].tracker.handle(self.now, event) {
            match command {
                TrackerCommand::PullHead(peer) => {
                    let to = (0..ENTRIES).find(|other| name(*other) == peer).expect("a known entry");
                    if let (true, Some(snapshot)) = (self.reaches(index, to), self.nodes[to].tracker.current()) {
                        let head = snapshot.head.clone();
                        self.track_version(index, TrackerEvent::PeerHead(peer, head));
                    }
                }
                TrackerCommand::Apply(snapshot) => {
                    let node = &mut self.nodes[index];
                    assert!(
                        snapshot.head.version > node.highest,
                        "entry {index} reverted to version {}",
                        snapshot.head.version
                    );
                    node.highest = snapshot.head.version;
                    node.table.set_config(snapshot.head.version);
                }
                TrackerCommand::FetchChunk(Source::Platform | Source::Peer(_), _) => {
                    unreachable!("versions have no chunks")
                }
                TrackerCommand::Restore { .. } | TrackerCommand::Displaced(_) => {
                    panic!("unexpected command: the platform was never restored to older contents")
                }
                TrackerCommand::Undecodable(version, error) => panic!("version {version}: {error}"),
            }
        }
    }

    fn restart(&mut self, index: usize) {
        self.incarnations += 1;
        self.nodes[index] = node(index, self.incarnations);
        // A new table starts at time zero, but the virtual time is not reset. This event moves its deadlines to now.
        self.nodes[index].table.handle(self.now, Event::Tick);
    }

    fn accept(&mut self) {
        let previous = self.heads.last();
        let proposal = Proposal {
            chunks: Vec::new(),
            author: "ops".to_owned(),
            at: Timestamp::UNIX_EPOCH,
            nonce: self.heads.len() as u64,
        };
        let head = Head::following(previous, proposal);
        self.heads.push(head);
    }

    /// Checks that all entries see each other as alive and have the accepted version, after a time without partitions.
    fn check_settled(&self, accepted: u64) {
        for (index, node) in self.nodes.iter().enumerate() {
            assert_eq!(node.tracker.version(), accepted, "version of entry {index}");
            let states = node.table.others().map(|member| (member.name.clone(), member.state));
            let states = states.collect::<BTreeMap<_, _>>();
            assert_eq!(states.len(), ENTRIES - 1, "entry {index} knows {states:?}");
            assert!(
                states.values().all(|state| *state == State::Alive),
                "entry {index} sees {states:?}"
            );
        }
    }
}

struct Cluster;

impl StateMachineTest for Cluster {
    type SystemUnderTest = Fleet;
    type Reference = Accepted;

    fn init_test(_: &Accepted) -> Fleet {
        Fleet {
            now: Instant::ZERO,
            nodes: (0..ENTRIES).map(|index| node(index, index as u64 + 1)).collect(),
            partition: 0,
            without_platform: 0,
            heads: Vec::new(),
            incarnations: ENTRIES as u64,
        }
    }

    fn apply(mut fleet: Fleet, accepted: &Accepted, step: Step) -> Fleet {
        match step {
            Step::Advance(secs) => fleet.advance(secs),
            Step::Partition(side) => fleet.partition = side,
            Step::Platform(cut_off) => fleet.without_platform = cut_off,
            Step::Restart(index) => fleet.restart(index),
            Step::Pause(index, secs) => fleet.nodes[index].paused_until = fleet.now + Duration::from_secs(secs),
            Step::Accept => fleet.accept(),
            Step::Settle => {
                fleet.partition = 0;
                // A single entry that reaches the platform suffices; the others fetch the version from it.
                fleet.without_platform = !1;
                fleet.advance(SETTLE_SECS);
                fleet.check_settled(accepted.version);
            }
        }
        fleet
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 96,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x6861_7774),
        ..Config::default()
    })]

    #[test]
    fn members_and_versions_survive_partitions_restarts_and_pauses(sequential 1..40 => Cluster);
}
