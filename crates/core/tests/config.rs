//! Configuration versions: chunking, diffs, fetching, freshness and distribution status.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::config::{
    Change, Chunk, Command, Document, Event, Freshness, Head, Proposal, Reach, Snapshot, Source, Status, Stored,
    Tracker, diff,
};
use hawthornpost_core::membership::{Member, State};
use jiff::Timestamp;
use test_case::test_case;

const RULES: &str = "[model letters]\nversion = v1\nmax_tokens = 100\n";

fn document(targets: u32, rules: &str) -> Document {
    let mut csv = "name,address,data_centre,role,version,model,capacity_tokens,fencing\n".to_owned();
    for n in 0..targets {
        let address = format!("10.{}.{}.1:80", n / 256, n % 256);
        csv = csv + "t" + &n.to_string() + "," + &address + ",perth,engine,v1,letters,1000,checked\n";
    }
    Document::parse(1, &csv, rules).expect("a valid document")
}

fn snapshot(previous: Option<&Head>, document: &Document, nonce: u64) -> Snapshot {
    let chunks = Chunk::split(document).expect("chunks");
    let proposal = Proposal {
        chunks: chunks.iter().map(|chunk| chunk.hash).collect(),
        author: "ops".to_owned(),
        at: Timestamp::UNIX_EPOCH,
        nonce,
    };
    Snapshot::new(Head::following(previous, proposal), chunks).expect("a complete version")
}

fn stored(head: &Head) -> Event {
    Event::PlatformHead(Some(Stored {
        head: head.clone(),
        resource_version: "7".to_owned(),
    }))
}

/// Guards against transferring the whole configuration after a change of one record.
#[test]
fn a_change_replaces_few_chunks() {
    let before = Chunk::split(&document(5600, RULES)).expect("chunks");
    let after = Chunk::split(&document(5600, &RULES.replace("100", "200"))).expect("chunks");
    let shared = after.iter().filter(|chunk| before.contains(chunk)).count();
    assert!(before.len() > 20, "{} chunks", before.len());
    assert_eq!(after.len() - shared, 1);
    assert!(before.iter().all(|chunk| chunk.text.len() <= 256 * 1024));
    assert_eq!(
        *snapshot(None, &document(5600, RULES), 1).document,
        document(5600, RULES)
    );
}

/// Guards against applying a version with corrupt, missing, swapped or additional chunks.
#[test_case(|chunks| chunks[0].text = "{}".into(); "damaged")]
#[test_case(|chunks| drop(chunks.pop()); "missing")]
#[test_case(|chunks| chunks.swap(0, 1); "swapped")]
#[test_case(|chunks| { let first = chunks[0].clone(); chunks.push(first); }; "one too many")]
fn mismatched_chunks_are_rejected(damage: fn(&mut Vec<Chunk>)) {
    let Snapshot { head, mut chunks, .. } = snapshot(None, &document(500, RULES), 1);
    damage(&mut chunks);
    let error = Snapshot::new(head, chunks).expect_err("the chunks do not fit");
    assert!(error.to_string().contains("version 1"), "{error}");
}

#[test]
fn a_difference_names_sections_and_fields_and_shortens_key_hashes() {
    let key = |byte: u8| blake3::hash(&[byte]).to_string();
    let before = document(2, &format!("{RULES}[account a]\nkey_hash = {}\n", key(1)));
    let after = document(
        1,
        &format!(
            "{}[account a]\nkey_hash = {}\n[account b]\nkey_hash = {}\n",
            RULES.replace("100", "200"),
            key(2),
            key(3)
        ),
    );
    let lines = diff(&before, &after)
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>();
    let hash = format!("~ [account a] key_hash: {:.8}... -> {:.8}...", key(1), key(2));
    assert_eq!(
        lines,
        [
            hash.as_str(),
            "+ [account b]",
            "~ [model letters] max_tokens: 100 -> 200",
            "- [target t1]"
        ]
    );
    assert_eq!(diff(&before, &before), []);
    assert!(matches!(diff(&before, &after)[0].change, Change::Changed { .. }));
}

/// Answers the tracker's chunk requests from `source` and returns all other commands.
fn serve_chunks(tracker: &mut Tracker, now: Instant, commands: Vec<Command>, source: &Snapshot) -> Vec<Command> {
    let mut rest = Vec::new();
    let mut queue = std::collections::VecDeque::from(commands);
    while let Some(command) = queue.pop_front() {
        match command {
            Command::FetchChunk(from, hash) => {
                let chunk = source.chunk(&hash).expect("a chunk of the version").clone();
                queue.extend(tracker.handle(now, Event::Chunk(from, chunk)));
            }
            other => rest.push(other),
        }
    }
    rest
}

#[test]
fn a_higher_head_is_fetched_and_applied_once_and_a_lower_one_never() {
    let first = snapshot(None, &document(500, RULES), 1);
    let second = snapshot(Some(&first.head), &document(501, RULES), 2);
    let mut tracker = Tracker::new();
    let now = Instant::ZERO;
    let commands = tracker.handle(now, stored(&second.head));
    assert!(matches!(
        serve_chunks(&mut tracker, now, commands, &second)[..],
        [Command::Apply(_)]
    ));
    let peer = "peer".parse().expect("a name");
    assert_eq!(tracker.handle(now, Event::PeerHead(peer, first.head.clone())), []);
    assert_eq!(tracker.version(), 2);
    // When the platform has older contents, the tracker restores the highest version by a conditional write.
    let commands = tracker.handle(now, stored(&first.head));
    let expected = Command::Restore {
        head: second.head.clone(),
        resource_version: Some("7".to_owned()),
    };
    assert_eq!(commands, [expected]);
    let emptied = tracker.handle(Instant::from_millis(2000), Event::PlatformHead(None));
    assert!(
        matches!(
            &*emptied,
            [Command::Restore {
                resource_version: None,
                ..
            }]
        ),
        "{emptied:?}"
    );
}

/// Guards against simultaneous restores: all entries see the older platform at once, and only the lowest rank writes
/// without delay.
#[test]
fn restores_are_staggered_by_rank() {
    let first = snapshot(None, &document(1, RULES), 1);
    let second = snapshot(Some(&first.head), &document(2, RULES), 2);
    let mut tracker = Tracker::new();
    tracker.set_rank(3);
    tracker.handle(Instant::ZERO, Event::Written(second.clone()));
    assert_eq!(tracker.handle(Instant::ZERO, stored(&first.head)), []);
    assert_eq!(tracker.deadline(), Some(Instant::from_millis(600)));
    assert_eq!(tracker.handle(Instant::from_millis(300), stored(&second.head)), []);
    assert_eq!(tracker.handle(Instant::from_millis(600), Event::Tick), []);
}

/// Guards against a version that is never fetched because one source lacks a chunk, does not respond or sends corrupt
/// data.
#[test]
fn every_source_is_tried() {
    let version = snapshot(None, &document(1, RULES), 1);
    let hash = version.head.chunks[0];
    let (a, b) = ("a".parse().expect("a name"), "b".parse().expect("a name"));
    let mut tracker = Tracker::new();
    let commands = tracker.handle(Instant::ZERO, Event::PeerHead(a, version.head.clone()));
    let Command::FetchChunk(source, _) = &commands[0] else {
        panic!("{commands:?}")
    };
    tracker.handle(Instant::ZERO, Event::PeerVersion(b, 1));
    let damaged = Chunk { hash, text: "x".into() };
    let commands = tracker.handle(Instant::ZERO, Event::Chunk(source.clone(), damaged));
    assert!(
        matches!(&*commands, [Command::FetchChunk(Source::Peer(peer), _)] if peer.as_str() == "b"),
        "{commands:?}"
    );
    let late = tracker.deadline().expect("a timeout for the fetch");
    let commands = tracker.handle(late, Event::Tick);
    assert_eq!(commands, [Command::FetchChunk(Source::Platform, hash)]);
    assert!(tracker.is_behind(true));
    let commands = tracker.handle(late, Event::Chunk(Source::Platform, version.chunks[0].clone()));
    assert!(matches!(commands[..], [Command::Apply(_)]) && !tracker.is_behind(true));
}

/// The platform responds at 0 ms. The columns are the last response of a peer, the start of being behind, and the time
/// of the query.
#[test_case(None, None, 4_999, Reach::Platform; "platform answered within the limit")]
#[test_case(None, None, 5_000, Reach::Nothing; "neither answers")]
#[test_case(Some(4_000), None, 8_999, Reach::Peers; "a peer answers")]
#[test_case(Some(4_000), None, 9_000, Reach::Nothing; "the peer stopped answering too")]
#[test_case(Some(4_000), Some(1_000), 5_999, Reach::Peers; "a version is being fetched")]
#[test_case(Some(4_000), Some(1_000), 6_000, Reach::Behind; "a version cannot be fetched")]
fn freshness(peer: Option<u64>, behind: Option<u64>, at: u64, expected: Reach) {
    let mut freshness = Freshness::new(Duration::from_secs(5));
    freshness.platform_answered(Instant::ZERO);
    if let Some(millis) = behind {
        freshness.set_behind(Instant::from_millis(millis), true);
        freshness.set_behind(Instant::from_millis(millis + 500), true);
    }
    if let Some(millis) = peer {
        freshness.peer_answered(Instant::from_millis(millis));
    }
    let now = Instant::from_millis(at);
    assert_eq!(freshness.reach(now), expected);
    freshness.set_behind(now, false);
    freshness.clear();
    assert_eq!(freshness.reach(now), Reach::Nothing);
}

#[test]
fn a_version_is_in_force_when_every_live_member_has_it() {
    let member = |name: &str, state, config| Member {
        name: name.parse().expect("a name"),
        peer_address: ([127, 0, 0, 1], 1).into(),
        caller_address: ([127, 0, 0, 1], 2).into(),
        data_centre: "perth".parse().expect("a name"),
        region: "scotland".parse().expect("a name"),
        incarnation: 1,
        state,
        draining: false,
        config,
    };
    let mut members = vec![
        member("a", State::Alive, 9),
        member("b", State::Suspect, 8),
        member("c", State::Dead, 9),
        member("d", State::Left, 3),
    ];
    let status = Status::of(9, &members);
    assert!(!status.in_force());
    assert_eq!(
        (
            status.have.len(),
            status.lacking[0].as_str(),
            status.unreachable[0].as_str()
        ),
        (1, "b", "c")
    );
    members[1].config = 10;
    assert!(Status::of(9, &members).in_force());
}
