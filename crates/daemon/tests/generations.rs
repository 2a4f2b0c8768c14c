//! Generations with daemon processes: engines, connections and entry hosts that fail during an answer.
//!
//! The text of an answer is verified token by token against the prompt, and [`Caller`] verifies the token indexes.

mod support;

use std::time::Duration;

use bytes::Bytes;
use hawthornpost_standins::{Handle, text};
use hyper::{Method, StatusCode};
use serde_json::json;
use support::{ACCOUNT_KEY, Caller, Daemon, Network, OTHER_KEY};

const PROMPT: &str = "a long field log";
const ANSWER_TOKENS: u32 = 120;
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);

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
        let engines = (0..engines).map(|index| support::engine(network, index, "v1", ANSWER_TOKENS, TOKEN_INTERVAL));
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

    /// Waits until the members know each other, because replicas need a peer.
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
    assert_eq!(caller.last, Some(ANSWER_TOKENS - 1));
}

/// Guards against an answer that is truncated, has a gap or restarts when its engine fails.
#[test_case::test_case(&json!({ "die": true }); "killed")]
#[test_case::test_case(&json!({ "frozen": true }); "frozen")]
#[test_case::test_case(&json!({ "silence": true }); "silent connection")]
fn an_answer_continues_after_the_failure_of_its_engine(fault: &serde_json::Value) {
    support::run(async {
        let deployment = Deployment::start(2, 2, "").await;
        let mut caller = deployment.call(0).await;
        caller.read_tokens(20).await;
        let failed = deployment.busy_engine();
        deployment.engines[failed].set_faults(fault).expect("the fault is set");
        caller.read_tokens(60).await;
        deployment.engines[failed]
            .set_faults(&json!({ "frozen": false }))
            .expect("the fault ends");
        caller.read_all().await;
        check(&caller);
    });
}

/// Guards against frames that are duplicated, dropped, or belong to another request (H1, H4).
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

/// Guards against an answer that is lost when its entry host fails, and against a resume by another account.
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

/// Guards against a takeover by an entry host that has just started. It has no target capacity yet, so the caller would
/// wait for seconds.
#[test]
fn a_restarted_entry_refuses_to_resume_an_answer() {
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

/// Guards against a paused entry host that later continues a generation that another one has taken over (H2).
#[test]
fn an_entry_that_continues_after_a_takeover_stops_its_generation() {
    support::run(async {
        let deployment = Deployment::start(2, 3, "").await;
        let mut caller = deployment.call(0).await;
        caller.read_tokens(30).await;
        deployment.entries[0].pause();
        let resumed = caller.resume(deployment.entries[1].address, ACCOUNT_KEY).await;
        assert_eq!(resumed, StatusCode::OK);
        caller.read_tokens(50).await;
        deployment.entries[0].unpause();
        support::wait_for("the old owner to stop", async || {
            let dump = deployment.dump(0).await;
            dump["ended"]["Fenced"] == 1 && dump["running"] == json!([])
        })
        .await;
        caller.read_all().await;
        check(&caller);
    });
}

/// Guards against a caller that cannot reconnect to the same entry host, and against a generation that continues
/// without a caller.
#[test]
fn a_caller_reconnects_or_its_generation_is_cancelled() {
    support::run(async {
        let deployment = Deployment::start(1, 2, "[limits]\ncaller_grace_ms = 500\n").await;
        let mut caller = deployment.call(0).await;
        caller.read_tokens(20).await;
        let resumed = caller.resume(deployment.entries[0].address, ACCOUNT_KEY).await;
        assert_eq!(resumed, StatusCode::OK);
        caller.read_all().await;
        check(&caller);

        let mut disconnected = deployment.call(0).await;
        disconnected.read_tokens(1).await;
        drop(disconnected);
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

/// Guards against a cancellation that does not reach the engine, and against a cancellation by another account.
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

/// Guards against unbounded memory for slow readers, and against answers that are lost because of the memory limit.
#[test]
fn slow_readers_use_bounded_memory_and_get_complete_answers() {
    const LONG_ANSWER_TOKENS: u32 = 3800;
    const MAX_BUFFERED_BYTES: u64 = 16_384;
    support::run(async {
        let network = Network::new();
        let _platform = support::platform(network, &support::document(network, 1, 1));
        let engine = support::engine(network, 0, "v1", LONG_ANSWER_TOKENS, Duration::from_millis(1));
        let limits = format!("[limits]\nstream_bytes = {MAX_BUFFERED_BYTES}\nprocess_bytes = {MAX_BUFFERED_BYTES}\n");
        let daemon = Daemon::start(network, 0, 1, &limits);
        daemon.ready().await;
        let mut readers = Vec::new();
        for _ in 0..2 {
            readers.push(Caller::start_slow(daemon.address, ACCOUNT_KEY, PROMPT, LONG_ANSWER_TOKENS).await);
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
            computed < u64::from(2 * LONG_ANSWER_TOKENS),
            "no backpressure on the engine: {computed} tokens"
        );
        for reader in &mut readers {
            reader.read_all().await;
            assert!(reader.done, "{:?}", reader.error);
            text::verify(PROMPT, &reader.text).expect("the tokens of one generation");
            assert_eq!(reader.last, Some(LONG_ANSWER_TOKENS - 1));
        }
        let dump = daemon.admin("/v1/admin/dump").await;
        let peak = dump["generations"]["backlog_peak_bytes"].as_u64().expect("a counter");
        assert!(peak <= MAX_BUFFERED_BYTES, "{peak} bytes were held");
    });
}

/// Guards against a planned shutdown that truncates a long answer (H8).
#[test]
fn an_entry_that_shuts_down_hands_its_answers_over() {
    support::run(async {
        let limits = "[limits]\naddress_lifetime_ms = 100\ndrain_limit_ms = 0\n";
        let mut deployment = Deployment::start(2, 3, limits).await;
        let mut caller = deployment.call(0).await;
        caller.read_tokens(10).await;
        deployment.entries[0].shut_down();
        caller.read_all().await;
        assert!(!caller.done && caller.error.is_none(), "{:?}", caller.error);
        let resumed = caller.resume(deployment.entries[1].address, ACCOUNT_KEY).await;
        assert_eq!(resumed, StatusCode::OK);
        caller.read_all().await;
        check(&caller);
        let mut ended = None;
        support::wait_for("the entry to end", async || {
            ended = deployment.entries[0].exit_success();
            ended.is_some()
        })
        .await;
        assert_eq!(ended, Some(true));
    });
}
