//! Generations in separate processes: engines, connections and entry hosts that fail in the middle of an answer.
//!
//! The text of an answer is checked token by token against the prompt, and the caller checks the indexes.

mod support;

use std::time::Duration;

use bytes::Bytes;
use hawthornpost_standins::{Handle, text};
use hyper::{Method, StatusCode};
use serde_json::json;
use support::{ACCOUNT_KEY, Caller, Daemon, Network, OTHER_KEY};

const PROMPT: &str = "a long field log";
const TOKENS: u32 = 120;
const GAP: Duration = Duration::from_millis(10);

struct Deployment {
    network: Network,
    engines: Vec<Handle>,
    entries: Vec<Daemon>,
    _platform: Handle,
}

impl Deployment {
    async fn start(engines: u8, entries: u8, extra: &str) -> Self {
        let network = Network::new();
        let platform = support::platform(network, &support::document(network, 1, engines));
        let engines = (0..engines).map(|index| support::engine(network, index, "v1", TOKENS, GAP));
        let deployment = Self {
            network,
            engines: engines.collect(),
            entries: (0..entries)
                .map(|index| Daemon::start(network, index, entries, extra))
                .collect(),
            _platform: platform,
        };
        for entry in &deployment.entries {
            entry.ready().await;
        }
        deployment.wait_for_members().await;
        deployment
    }

    /// Without members there are no replicas yet.
    async fn wait_for_members(&self) {
        for entry in &self.entries {
            support::wait_for("all members", async || {
                let dump = entry.admin("/v1/admin/dump").await;
                dump["members"].as_array().map(Vec::len) == Some(self.entries.len())
            })
            .await;
        }
    }

    async fn call(&self, entry: usize) -> Caller {
        self.call_with(entry, PROMPT).await
    }

    async fn call_with(&self, entry: usize, prompt: &str) -> Caller {
        Caller::start(self.entries[entry].address, ACCOUNT_KEY, prompt, 500).await
    }

    /// Returns the index of the engine that runs the only generation.
    fn busy_engine(&self) -> usize {
        let busy = self.engines.iter().position(|engine| engine.stats()["running"] == 1);
        busy.expect("a busy engine")
    }

    async fn dump(&self, entry: usize) -> serde_json::Value {
        let dump = self.entries[entry].admin("/v1/admin/dump").await;
        dump["generations"].clone()
    }
}

fn check(caller: &Caller) {
    check_with(PROMPT, caller);
}

fn check_with(prompt: &str, caller: &Caller) {
    assert!(caller.done, "the answer has no end: {:?}", caller.error);
    text::verify(prompt, &caller.text).expect("the tokens of one generation");
    assert_eq!(caller.last, Some(TOKENS - 1));
}

/// Guards against an answer that ends, has a gap or starts again when its engine fails.
#[test_case::test_case(&json!({ "die": true }); "killed")]
#[test_case::test_case(&json!({ "frozen": true }); "frozen")]
#[test_case::test_case(&json!({ "silence": true }); "silent connection")]
fn an_answer_survives_the_loss_of_its_engine(fault: &serde_json::Value) {
    support::run(async {
        let deployment = Deployment::start(2, 2, "").await;
        let mut caller = deployment.call(0).await;
        caller.read_tokens(20).await;
        let lost = deployment.busy_engine();
        deployment.engines[lost].set_faults(fault).expect("the fault is set");
        caller.read_tokens(60).await;
        deployment.engines[lost]
            .set_faults(&json!({ "frozen": false }))
            .expect("the fault ends");
        caller.read_all().await;
        check(&caller);
    });
}

/// Guards against frames that arrive twice, are left out, or belong to another request (H1, H4).
#[test]
fn crossed_and_repeated_frames_do_not_reach_the_caller() {
    support::run(async {
        let deployment = Deployment::start(2, 2, "").await;
        for engine in &deployment.engines {
            let rate = json!({ "share": 0.05 });
            let faults = json!({ "duplicate": rate, "cross": rate, "drop": { "share": 0.02 } });
            engine.set_faults(&faults).expect("the faults are set");
        }
        let mut callers = Vec::new();
        for number in 0..4 {
            let prompt = format!("survey notes of plot {number}");
            callers.push((deployment.call_with(number % 2, &prompt).await, prompt));
        }
        for (caller, prompt) in &mut callers {
            caller.read_all().await;
            check_with(prompt, caller);
        }
    });
}

/// Guards against an answer that is lost with its entry host, or continued by an account that it does not belong to.
#[test]
fn an_answer_continues_at_another_entry_after_its_entry_was_killed() {
    support::run(async {
        let mut deployment = Deployment::start(2, 3, "").await;
        let mut caller = deployment.call(0).await;
        caller.read_tokens(30).await;
        deployment.entries[0].kill();
        caller.read_all().await;
        let refused = caller.resume(deployment.entries[1].address, OTHER_KEY).await;
        assert_eq!(refused, StatusCode::FORBIDDEN);
        assert_eq!(
            caller.resume(deployment.entries[1].address, ACCOUNT_KEY).await,
            StatusCode::OK
        );
        caller.read_all().await;
        check(&caller);
    });
}

/// Guards against a takeover by an entry that has no room yet after its start, so that the caller waits for seconds.
#[test]
fn a_restarted_entry_sends_a_returning_caller_on() {
    support::run(async {
        let mut deployment = Deployment::start(2, 3, "").await;
        let mut caller = deployment.call(0).await;
        caller.read_tokens(30).await;
        deployment.entries[2].kill();
        deployment.entries[2] = Daemon::start(deployment.network, 2, 3, "");
        let restarted = deployment.entries[2].address;
        support::wait_for("the configuration of the restarted entry", async || {
            let answer = support::get(restarted, "/v1/entries", Some(ACCOUNT_KEY)).await;
            answer.is_ok_and(|(status, _)| status == StatusCode::OK)
        })
        .await;
        deployment.entries[0].kill();
        caller.read_all().await;
        assert_eq!(
            caller.resume(restarted, ACCOUNT_KEY).await,
            StatusCode::SERVICE_UNAVAILABLE
        );
        let other = deployment.entries[1].address;
        assert_eq!(caller.resume(other, ACCOUNT_KEY).await, StatusCode::OK);
        caller.read_all().await;
        check(&caller);
    });
}

/// Guards against an entry that wakes and goes on with a generation that another entry has taken over (H2).
#[test]
fn an_entry_that_wakes_after_a_takeover_stops_its_generation() {
    support::run(async {
        let deployment = Deployment::start(2, 3, "").await;
        let mut caller = deployment.call(0).await;
        caller.read_tokens(30).await;
        deployment.entries[0].freeze();
        let resumed = caller.resume(deployment.entries[1].address, ACCOUNT_KEY).await;
        assert_eq!(resumed, StatusCode::OK);
        caller.read_tokens(50).await;
        deployment.entries[0].thaw();
        support::wait_for("the old owner to stop", async || {
            let dump = deployment.dump(0).await;
            dump["ended"]["Fenced"] == 1 && dump["running"] == json!([])
        })
        .await;
        caller.read_all().await;
        check(&caller);
    });
}

/// Guards against a caller that cannot come back to the same entry, and against a generation without a caller that
/// runs on.
#[test]
fn a_caller_comes_back_or_its_generation_is_cancelled() {
    support::run(async {
        let deployment = Deployment::start(1, 2, "[limits]\ncaller_grace_ms = 500\n").await;
        let mut caller = deployment.call(0).await;
        caller.read_tokens(20).await;
        let resumed = caller.resume(deployment.entries[0].address, ACCOUNT_KEY).await;
        assert_eq!(resumed, StatusCode::OK);
        caller.read_all().await;
        check(&caller);

        let mut gone = deployment.call(0).await;
        gone.read_tokens(1).await;
        drop(gone);
        support::wait_for("the generation to be cancelled", async || {
            deployment.dump(0).await["ended"]["Cancelled"] == 1
        })
        .await;
        support::wait_for("the engine to be free", async || {
            deployment.engines[0].stats()["counters"]["cancelled"] == 1
        })
        .await;
    });
}

/// Guards against a cancellation that leaves the engine working, and one by another account.
#[test]
fn a_cancelled_request_ends_at_the_engine() {
    support::run(async {
        let deployment = Deployment::start(1, 1, "").await;
        let mut caller = deployment.call(0).await;
        caller.read_tokens(5).await;
        let running = deployment.dump(0).await["running"][0]["request"].clone();
        let path = format!("/v1/completions/{}", running.as_str().expect("a request id"));
        for (key, status) in [
            (OTHER_KEY, StatusCode::NOT_FOUND),
            (ACCOUNT_KEY, StatusCode::NO_CONTENT),
        ] {
            let request = support::request(Method::DELETE, &path, Some(key), Bytes::new());
            let answer = support::send(deployment.entries[0].address, request).await;
            assert_eq!(answer.expect("an answer").0, status);
        }
        caller.read_all().await;
        assert!(caller.error.is_some_and(|error| error.contains("cancelled")));
        assert!(!caller.done);
    });
}

/// Guards against memory that grows with slow readers, and against an answer that is lost when it is bounded.
#[test]
fn slow_readers_hold_bounded_memory_and_get_whole_answers() {
    const LONG: u32 = 3800;
    const BOUND: u64 = 16_384;
    support::run(async {
        let network = Network::new();
        let _platform = support::platform(network, &support::document(network, 1, 1));
        let engine = support::engine(network, 0, "v1", LONG, Duration::from_millis(1));
        let limits = format!("[limits]\nstream_bytes = {BOUND}\nprocess_bytes = {BOUND}\n");
        let daemon = Daemon::start(network, 0, 1, &limits);
        daemon.ready().await;
        let mut readers = Vec::new();
        for _ in 0..2 {
            readers.push(Caller::start_slow(daemon.address, ACCOUNT_KEY, PROMPT, LONG).await);
        }
        for second in 1..=3 {
            for reader in &mut readers {
                reader.read_tokens(second).await;
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        support::wait_for("both generations to be suspended", async || {
            let dump = daemon.admin("/v1/admin/dump").await;
            let running = dump["generations"]["running"].as_array().cloned().unwrap_or_default();
            running.iter().filter(|running| running["suspended"] == true).count() == 2
        })
        .await;
        let computed = engine.stats()["counters"]["tokens"].as_u64().expect("a counter");
        assert!(
            computed < u64::from(2 * LONG),
            "the engine was not slowed: {computed} tokens"
        );
        for reader in &mut readers {
            reader.read_all().await;
            assert!(reader.done, "{:?}", reader.error);
            text::verify(PROMPT, &reader.text).expect("the tokens of one generation");
            assert_eq!(reader.last, Some(LONG - 1));
        }
        let dump = daemon.admin("/v1/admin/dump").await;
        let peak = dump["generations"]["backlog_peak_bytes"].as_u64().expect("a counter");
        assert!(peak <= BOUND, "{peak} bytes were held");
    });
}

/// Guards against a planned stop that cuts a long answer off (H8).
#[test]
fn a_leaving_entry_hands_its_answers_over() {
    support::run(async {
        let limits = "[limits]\naddress_lifetime_ms = 100\ndrain_limit_ms = 0\n";
        let mut deployment = Deployment::start(2, 3, limits).await;
        let mut caller = deployment.call(0).await;
        caller.read_tokens(10).await;
        deployment.entries[0].terminate();
        caller.read_all().await;
        assert!(!caller.done && caller.error.is_none(), "{:?}", caller.error);
        let resumed = caller.resume(deployment.entries[1].address, ACCOUNT_KEY).await;
        assert_eq!(resumed, StatusCode::OK);
        caller.read_all().await;
        check(&caller);
        let mut ended = None;
        support::wait_for("the entry to end", async || {
            ended = deployment.entries[0].ended();
            ended.is_some()
        })
        .await;
        assert_eq!(ended, Some(true));
    });
}
