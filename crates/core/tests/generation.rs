//! Table tests of single rules of generations: assembly, silence detection, release, replicas and handles.

use std::time::Duration;

use hawthornpost_core::Category;
use hawthornpost_core::assembly::{Assembler, Classification, Fault};
use hawthornpost_core::backlog::{Bound, Budget, Limits};
use hawthornpost_core::clock::Instant;
use hawthornpost_core::generation::{Command, Event, Machine, Outcome, Request, Settings};
use hawthornpost_core::handle::{Handle, Key};
use hawthornpost_core::id::{self, Attempt, Branch};
use hawthornpost_core::replica::{self, Append, Link, Origin, Refusal, Reply, Store, Takeover};
use hawthornpost_core::transcript::{Fit, Segment, Transcript};
use hawthornpost_core::wire::{Completion, Finish, Frame, Token};
use test_case::test_case;

const NONE: [u32; 0] = [];
const SILENCE: Duration = Duration::from_millis(500);

fn tokens(ids: &[u32]) -> Vec<Token> {
    let token = |id: &u32| Token {
        id: *id,
        text: format!("t{id}"),
    };
    ids.iter().map(token).collect()
}

fn frame(attempt: u64, first: u32, ids: &[u32]) -> Frame {
    Frame {
        id: id::Request::from_random([1; 16]),
        attempt: Attempt::from(attempt),
        version: "v1".parse().expect("a version"),
        first,
        tokens: tokens(ids),
        finish: None,
    }
}

fn transcript(ids: &[u32]) -> Transcript {
    let mut transcript = Transcript::new();
    for token in tokens(ids) {
        transcript.push(&token);
    }
    transcript
}

fn branch(number: u8) -> Branch {
    Branch::from_random([number; 16])
}

// Guards against a token that is duplicated, missing or accepted from another stream.
#[test_case(&frame(7, 2, &[3, 4]), Classification::Next { skip: 0 }, &[1, 2, 3, 4]; "next")]
#[test_case(&frame(7, 1, &[2, 3]), Classification::Next { skip: 1 }, &[1, 2, 3]; "partly repeated")]
#[test_case(&frame(7, 0, &[1, 2]), Classification::Repeated, &[1, 2]; "repeated")]
#[test_case(&frame(6, 2, &[3]), Classification::Foreign, &[1, 2]; "earlier attempt")]
#[test_case(&Frame { id: id::Request::from_random([9; 16]), ..frame(7, 2, &[3]) }, Classification::Foreign, &[1, 2]; "other request")]
#[test_case(&Frame { version: "v2".parse().unwrap(), ..frame(7, 2, &[3]) }, Classification::Faulty(Fault::Version), &[1, 2]; "other version")]
#[test_case(&frame(7, 3, &[4]), Classification::Faulty(Fault::Gap), &[1, 2]; "gap")]
#[test_case(&frame(7, 0, &[1, 5]), Classification::Faulty(Fault::Mismatch), &[1, 2]; "repeated with another id")]
#[test_case(&frame(7, 2, &[3, 4, 5, 6]), Classification::Faulty(Fault::Length), &[1, 2]; "too long")]
#[test_case(&Frame { finish: Some(Finish::Stop), ..frame(7, 0, &[1]) }, Classification::Faulty(Fault::Length), &[1, 2]; "ended early")]
#[test_case(&Frame { finish: Some(Finish::Stop), ..frame(7, 2, &[]) }, Classification::Next { skip: 0 }, &[1, 2]; "finish reason only")]
fn only_the_next_tokens_of_the_current_attempt_are_accepted(frame: &Frame, class: Classification, ids: &[u32]) {
    let id = id::Request::from_random([1; 16]);
    let mut assembler = Assembler::new(id, "v1".parse().expect("a version"), 5, transcript(&[1, 2]));
    assembler.set_attempt(Attempt::from(7));
    assert_eq!(assembler.accept(frame), class);
    assert_eq!(assembler.transcript().ids(), ids);
}

#[test_case(&transcript(&[1, 2, 3]).segment(1), Fit::Stored, &[1, 2, 3]; "overlap")]
#[test_case(&transcript(&[1, 2, 3]).segment(3), Fit::Gap, &[1, 2]; "gap")]
#[test_case(&transcript(&[1, 9, 3]).segment(1), Fit::Mismatch, &[1, 2]; "contradiction")]
fn a_transcript_accepts_only_segments_that_fit(segment: &Segment, fit: Fit, ids: &[u32]) {
    let mut transcript = transcript(&[1, 2]);
    assert_eq!(transcript.append(segment), fit);
    assert_eq!(transcript.ids(), ids);
    let texts = ids.iter().map(|id| format!("t{id}")).collect::<Vec<_>>();
    assert_eq!(transcript.text(0..transcript.len()), texts.concat());
}

// Guards against text offsets from the network that would cause a panic when the text is sliced.
#[test_case(r#"{"first":0,"ids":[1],"ends":[5],"text":"ab"}"#; "end beyond the text")]
#[test_case(r#"{"first":0,"ids":[1],"ends":[],"text":"ab"}"#; "too few ends")]
#[test_case(r#"{"first":0,"ids":[1,2],"ends":[1,2],"text":"é"}"#; "inside a character")]
#[test_case(r#"{"first":4294967295,"ids":[1],"ends":[1],"text":"a"}"#; "index too large")]
fn a_malformed_segment_is_rejected(json: &str) {
    let error = serde_json::from_str::<Segment>(json).expect_err("a malformed segment");
    assert!(error.to_string().contains("offsets"), "{error}");
}

fn append(epoch: u32, on: Branch, ids: &[u32], first: u32, lineage: Option<&[(u8, u32)]>) -> Append {
    let origin = |links: &[(u8, u32)]| Origin {
        account: "crews".parse().expect("an account"),
        completion: request().completion,
        version: "v1".parse().expect("a version"),
        lineage: links
            .iter()
            .map(|(number, start)| Link {
                branch: branch(*number),
                start: *start,
            })
            .collect(),
        remaining: Duration::from_secs(60),
    };
    Append {
        request: request().id,
        epoch,
        branch: on,
        segment: transcript(ids).segment(first),
        placement: None,
        origin: lineage.map(|links| Box::new(origin(links))),
    }
}

fn takeover(branch_number: u8, next: u32, new: u8) -> Takeover {
    Takeover {
        request: request().id,
        account: "crews".parse().expect("an account"),
        branch: branch(branch_number),
        next,
        new_branch: branch(new),
    }
}

/// A store with a replica of four tokens: branch 2 took it over at two tokens and appended two more.
fn store() -> Store {
    let mut store = Store::new(replica::Limits::default());
    let now = Instant::ZERO;
    assert_eq!(
        store.append(now, &append(0, branch(1), &[1, 2], 0, Some(&[(1, 0)]))),
        Reply::Stored { length: 2 }
    );
    assert_eq!(store.take_over(now, &takeover(1, 1, 2)).map(|grant| grant.epoch), Ok(1));
    assert_eq!(
        store.append(now, &append(1, branch(2), &[1, 2, 3, 4], 2, None)),
        Reply::Stored { length: 4 }
    );
    store
}

// Guards against a previous owner that appends to the replica of the current one.
#[test_case(&append(0, branch(1), &[1, 2, 9], 2, None), Reply::Fenced { epoch: 1 }; "old epoch")]
#[test_case(&append(0, branch(1), &[1, 2, 9], 0, Some(&[(1, 0)])), Reply::Fenced { epoch: 1 }; "old epoch with the complete generation")]
#[test_case(&append(1, branch(3), &[1, 2, 3, 4], 0, Some(&[(1, 0), (3, 2)])), Reply::Declined; "other branch of the same epoch")]
#[test_case(&append(1, branch(2), &[1, 2, 3, 4, 5, 6], 5, None), Reply::Incomplete; "gap")]
#[test_case(&append(2, branch(3), &[1, 2], 1, None), Reply::Incomplete; "new epoch without the metadata")]
#[test_case(&append(2, branch(3), &[1, 2], 0, Some(&[(1, 0), (3, 2)])), Reply::Stored { length: 2 }; "new epoch")]
fn a_replica_accepts_appends_only_from_its_owner(append: &Append, reply: Reply) {
    assert_eq!(store().append(Instant::ZERO, append), reply);
}

// Guards against a stale replica that continues a different answer than the caller has read.
#[test_case(&takeover(1, 2, 9), Ok(2); "shared with the first branch")]
#[test_case(&takeover(1, 3, 9), Err(Refusal::Length); "after the takeover")]
#[test_case(&takeover(2, 4, 9), Ok(2); "current branch")]
#[test_case(&takeover(2, 5, 9), Err(Refusal::Length); "beyond the replica")]
#[test_case(&takeover(7, 0, 9), Err(Refusal::Branch); "unknown branch")]
#[test_case(&takeover(1, 2, 2), Ok(1); "repeated takeover")]
#[test_case(&takeover(1, 2, 1), Err(Refusal::Branch); "late duplicate of an earlier takeover")]
#[test_case(&Takeover { account: "others".parse().unwrap(), ..takeover(1, 2, 9) }, Err(Refusal::Missing); "other account")]
fn a_takeover_requires_a_caller_on_the_lineage(takeover: &Takeover, epoch: Result<u32, Refusal>) {
    assert_eq!(
        store().take_over(Instant::ZERO, takeover).map(|grant| grant.epoch),
        epoch
    );
}

#[test]
fn a_previous_owner_cannot_drop_the_replica_and_expiry_frees_all_bytes() {
    let mut store = store();
    store.drop_replica(&request().id, 0);
    assert_eq!(store.len(), 1, "the owner of epoch 0 dropped the replica of epoch 1");
    store.expire(Instant::ZERO + replica::Limits::default().retention);
    assert_eq!((store.len(), store.bytes()), (0, 0));
}

#[test_case(|text: &str| text.replace("crews", "thieves"); "account")]
#[test_case(|text: &str| text.replace("usakos-1", "usakos-2"); "peer")]
#[test_case(|text: &str| text[..text.len() - 1].to_owned(); "truncated hash")]
#[test_case(|_: &str| String::new(); "empty")]
fn a_modified_handle_is_rejected(modify: fn(&str) -> String) {
    let key = Key::new(b"secret");
    let handle = Handle {
        request: request().id,
        account: "crews".parse().expect("an account"),
        branch: branch(1),
        peers: vec!["usakos-1".parse().expect("an entry")],
    };
    let modified = modify(&key.sign(&handle));
    for account in ["crews", "thieves"] {
        let error = key.check(&modified, &account.parse().expect("an account"));
        assert_eq!(error.expect_err("a modified handle").category(), Category::Access);
    }
    let other_key = Key::new(b"other secret").sign(&handle);
    let error = key.check(&other_key, &handle.account);
    assert_eq!(error.expect_err("a handle of another key").category(), Category::Access);
}

#[test_case(Limits { stream: 10, account: 100, process: 100 }, Bound::Stream; "stream")]
#[test_case(Limits { stream: 100, account: 10, process: 100 }, Bound::Account; "account")]
#[test_case(Limits { stream: 100, account: 100, process: 10 }, Bound::Process; "process")]
fn each_limit_is_enforced_and_released_on_drop(limits: Limits, bound: Bound) {
    let budget = Budget::new(limits);
    let mut stream = budget.open("crews".parse().expect("an account"), Instant::ZERO);
    assert_eq!(stream.grow(10), Ok(()));
    assert_eq!(stream.grow(1), Err(bound));
    drop(stream);
    assert_eq!((budget.bytes(), budget.peak()), (0, 10));
}

fn request() -> Request {
    let completion = Completion {
        model: "letters".parse().expect("a model"),
        prompt: "dear".to_owned(),
        max_tokens: Some(5),
        stream: true,
        temperature: None,
        priority: None,
        user: None,
    };
    Request {
        id: id::Request::from_random([1; 16]),
        account: "crews".parse().expect("an account"),
        completion: completion.into(),
        version: "v1".parse().expect("a version"),
        max_tokens: 5,
        remaining: Duration::from_secs(600),
    }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn stored(sequence: u64, length: u32) -> Event {
    let reply = Reply::Stored { length };
    Event::Replied { sequence, reply }
}

/// Returns a machine whose first attempt (number 0) runs at `engine-1` and whose peer has acknowledged the prompt.
fn running() -> Machine {
    let budget = Budget::new(Limits::default());
    let stream = budget.open(request().account, Instant::ZERO);
    let mut machine = Machine::new(Instant::ZERO, Settings::default(), request(), stream);
    let (target, peer) = (
        "engine-1".parse().expect("a target"),
        "peer-1".parse().expect("an entry"),
    );
    machine.handle(at(0), Event::Begin);
    machine.handle(at(0), Event::PeerChosen { peer });
    machine.handle(at(0), stored(1, 0));
    machine.handle(
        at(0),
        Event::TargetChosen {
            target,
            silence_timeout: SILENCE,
        },
    );
    machine.handle(at(0), stored(2, 0));
    machine
}

fn releases(commands: &[Command]) -> Vec<u32> {
    let upto = |command: &Command| match command {
        Command::Release { upto, .. } => Some(*upto),
        _ => None,
    };
    commands.iter().filter_map(upto).collect()
}

// Guards against an attempt that keeps the conservative timeout it was opened with after the engine's gaps are known.
#[test]
fn a_shorter_silence_timeout_applies_to_the_running_attempt() {
    let mut machine = running();
    machine.handle(at(10), Event::Frame(frame(0, 0, &[1])));
    machine.handle(at(11), stored(3, 1));
    assert_eq!(machine.deadline(), Some(at(10) + SILENCE));
    machine.handle(at(12), Event::SilenceTimeout(Duration::from_millis(250)));
    assert_eq!(machine.deadline(), Some(at(260)));
}

// Guards against tokens that reach the caller but are lost if this entry fails.
#[test]
fn tokens_are_released_only_after_the_acknowledgement() {
    let mut machine = running();
    assert_eq!(releases(&machine.handle(at(10), Event::Frame(frame(0, 0, &[1])))), NONE);
    assert_eq!(releases(&machine.handle(at(11), Event::Frame(frame(0, 1, &[2])))), NONE);
    assert_eq!(releases(&machine.handle(at(12), stored(3, 1))), [1]);
    assert_eq!(releases(&machine.handle(at(14), stored(4, 2))), [2]);
}

// Guards against output that stalls for longer than the timeout because peers do not reply.
#[test]
fn tokens_are_released_without_a_replica_after_the_timeout() {
    let mut machine = running();
    machine.handle(at(10), Event::Frame(frame(0, 0, &[1])));
    assert_eq!(machine.deadline(), Some(at(260)));
    let commands = machine.handle(at(260), Event::Tick);
    let failed = vec!["peer-1".parse().expect("an entry")];
    assert_eq!(commands, [Command::ChoosePeer { failed }]);
    let peer = "peer-2".parse().expect("an entry");
    let sent = machine.handle(at(260), Event::PeerChosen { peer });
    let Some(Command::Append { append, .. }) = sent.first() else {
        panic!("no append to the next peer: {sent:?}");
    };
    assert!(
        append.origin.is_some() && append.segment.first() == 0,
        "the next peer needs the complete generation"
    );
    assert_eq!(releases(&machine.handle(at(509), Event::Tick)), NONE);
    assert_eq!(releases(&machine.handle(at(760), Event::Tick)), [1]);
    assert_eq!(machine.time_without_replica(at(1060)), Duration::from_millis(300));
    let peer = "peer-3".parse().expect("an entry");
    machine.handle(at(1060), Event::PeerChosen { peer });
    machine.handle(at(1160), stored(5, 1));
    assert_eq!(machine.time_without_replica(at(9000)), Duration::from_millis(400));
}

// Guards against an owner that releases tokens after a pause in which another entry took over.
#[test]
fn after_a_clock_jump_tokens_are_released_only_after_a_new_acknowledgement() {
    let mut machine = running();
    machine.handle(at(10), Event::Frame(frame(0, 0, &[1])));
    machine.handle(at(5000), Event::ClockJump);
    let late = machine.handle(at(5000), stored(3, 1));
    assert_eq!(
        releases(&late),
        NONE,
        "the acknowledged append was sent before the pause"
    );
    let fenced = Event::Replied {
        sequence: 4,
        reply: Reply::Fenced { epoch: 1 },
    };
    let commands = machine.handle(at(5001), fenced);
    assert!(
        matches!(
            commands[..],
            [Command::CancelAttempt { .. }, Command::End(Outcome::Fenced)]
        ),
        "{commands:?}"
    );
    assert_eq!(machine.handle(at(5002), Event::Frame(frame(0, 1, &[2]))), []);
}

// Guards against a silent connection that stalls an answer, and against a new attempt where an attach is sufficient.
#[test]
fn silence_triggers_a_probe_and_then_a_failover() {
    let mut machine = running();
    machine.handle(at(100), Event::Frame(frame(0, 0, &[1])));
    machine.handle(at(101), stored(3, 1));
    assert_eq!(machine.deadline(), Some(at(600)));
    let target: id::Target = "engine-1".parse().expect("a target");
    let attach = Command::Attach {
        target: target.clone(),
        attempt: Attempt::from(1),
        from: 1,
    };
    assert_eq!(machine.handle(at(600), Event::Tick), [attach]);
    assert_eq!(machine.deadline(), Some(at(850)));
    let commands = machine.handle(at(850), Event::Tick);
    let failed = vec![target];
    assert!(commands.contains(&Command::ChooseTarget { failed }), "{commands:?}");
    let target: id::Target = "engine-2".parse().expect("a target");
    let chosen = Event::TargetChosen {
        target: target.clone(),
        silence_timeout: SILENCE,
    };
    let commands = machine.handle(at(851), chosen);
    assert!(
        commands.contains(&Command::Open {
            target,
            attempt: Attempt::from(2)
        }),
        "{commands:?}"
    );
    assert_eq!(
        machine.handle(at(852), Event::Frame(frame(1, 1, &[9]))),
        [],
        "a late frame of the probe was accepted"
    );
}

// Guards against an answer that is lost, or buffered without limit, because its reader is slow.
#[test]
fn a_slow_reader_pauses_the_engine_and_then_suspends_the_generation() {
    let limits = Limits {
        stream: 40,
        ..Limits::default()
    };
    let stream = Budget::new(limits).open(request().account, Instant::ZERO);
    let mut machine = Machine::new(Instant::ZERO, Settings::default(), request(), stream);
    machine.handle(at(0), Event::Begin);
    machine.handle(at(0), Event::NoPeer);
    let chosen = || Event::TargetChosen {
        target: "engine-1".parse().expect("a target"),
        silence_timeout: SILENCE,
    };
    machine.handle(at(0), chosen());
    let commands = machine.handle(at(1), Event::Frame(frame(0, 0, &[1, 2, 3])));
    assert!(
        commands.contains(&Command::Pause {
            attempt: Attempt::from(0)
        }),
        "{commands:?}"
    );
    machine.handle(at(10_001), Event::Tick);
    assert!(machine.is_suspended());
    let commands = machine.handle(at(11_000), Event::Read { next: 3 });
    assert!(matches!(commands[..], [Command::ChooseTarget { .. }]), "{commands:?}");
    machine.handle(at(11_000), chosen());
    let last = Frame {
        finish: Some(Finish::Stop),
        ..frame(1, 3, &[4])
    };
    assert_eq!(releases(&machine.handle(at(11_100), Event::Frame(last))), [4]);
    let commands = machine.handle(at(11_200), Event::Read { next: 4 });
    assert_eq!(commands, [Command::End(Outcome::Completed)]);
}

#[test_case(Event::Cancel, 0, Outcome::Cancelled; "cancelled")]
#[test_case(Event::CallerGone, 30_000, Outcome::Cancelled; "grace period expired")]
#[test_case(Event::Tick, 600_000, Outcome::Deadline; "deadline")]
fn an_ended_generation_is_cancelled_at_the_engine(event: Event, later: u64, outcome: Outcome) {
    let mut machine = running();
    let mut commands = machine.handle(at(1), event);
    if later > 0 {
        commands = machine.handle(at(1 + later), Event::Tick);
    }
    let cancels = commands
        .iter()
        .any(|command| matches!(command, Command::CancelAttempt { .. }));
    assert_eq!(machine.outcome(), Some(outcome));
    assert!(cancels, "{commands:?}");
    assert_eq!(machine.deadline(), None);
}
