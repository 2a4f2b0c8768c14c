//! Rollouts with daemon processes and stand-in engines.

mod support;

use std::time::Duration;

use hawthornpost_standins::Handle;
use hyper::{Method, StatusCode};
use jiff::{SignedDuration, Timestamp};
use serde_json::{Value, json};
use support::{ACCOUNT_KEY, Caller, Daemon, Network, OPERATOR_KEY, wait_for};

const ENGINES: u8 = 3;
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Builds a configuration with a rollout from version v1 to v2 whose schedule allows all steps immediately.
fn document(network: Network) -> Value {
    let mut document = support::document(network, 1, ENGINES);
    for index in ENGINES..2 * ENGINES {
        document["inventory"][format!("engine-{index}")] = support::engine_item(network, index, "v2");
    }
    let now = Timestamp::now();
    document["rules"]["rollouts"]["move"] = json!({
        "model": support::MODEL,
        "from": "v1",
        "to": "v2",
        "start": now - SignedDuration::from_secs(600),
        "deadline": now + SignedDuration::from_secs(60),
        "min_requests": 1,
        "keep_ms": 60_000,
        "aborted": false,
    });
    document
}

async fn start(network: Network) -> (Handle, Vec<Handle>, Vec<Daemon>) {
    let platform = support::platform(network, &document(network));
    let engine = |index| {
        let version = if index < ENGINES { "v1" } else { "v2" };
        support::engine(network, index, version, 2, Duration::ZERO)
    };
    let engines = (0..2 * ENGINES).map(engine).collect::<Vec<_>>();
    let entries = vec![Daemon::start(network, 0, 2, ""), Daemon::start(network, 1, 2, "")];
    for entry in &entries {
        entry.ready().await;
        wait_for("the members to see each other", async || {
            let members = entry.admin("/v1/admin/dump").await["members"].clone();
            members.as_array().is_some_and(|all| all.len() == 2)
        })
        .await;
    }
    (platform, engines, entries)
}

async fn rollout(entry: &Daemon) -> Value {
    entry.admin("/v1/admin/rollouts/move").await
}

/// Requests a short answer, and gives up after [`ANSWER_TIMEOUT`] when no engine of the version can generate it.
async fn generate(entry: &Daemon) {
    let answer = async {
        let mut caller = Caller::start(entry.address, ACCOUNT_KEY, "notes", 5).await;
        caller.read_all().await;
    };
    let result = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
    drop(result);
}

/// Guards against a failing version that keeps its traffic, at the entry host that observed the failures or at another
/// one.
#[test]
fn a_failing_version_is_reversed_at_all_entry_hosts() {
    support::run(async {
        let network = Network::new();
        let (platform, engines, entries) = start(network).await;
        for engine in &engines[usize::from(ENGINES)..] {
            engine
                .set_faults(&json!({ "fail": { "share": 1.0 } }))
                .expect("known faults");
        }
        // A reversal does not need the platform.
        platform.set_faults(&json!({ "outage": true })).expect("known faults");
        wait_for("the reversal", async || {
            for _ in 0..50 {
                generate(&entries[0]).await;
            }
            rollout(&entries[0]).await["state"] == "reversed"
        })
        .await;
        wait_for("the reversal at the other entry host", async || {
            rollout(&entries[1]).await["state"] == "reversed"
        })
        .await;
        for entry in &entries {
            let view = rollout(entry).await;
            assert_eq!(view["share"], 0.0);
            assert!(
                view["detail"].as_str().expect("a text").starts_with("failed requests"),
                "{view}"
            );
        }
        platform.set_faults(&json!({ "outage": false })).expect("known faults");
        wait_for("the verdict to be written", async || {
            let path = "/apis/hawthornpost.dev/v1/verdicts";
            let answer = support::get(network.platform(), path, None).await;
            answer.is_ok_and(|(_, body)| {
                let list = serde_json::from_slice::<Value>(&body).unwrap_or_default();
                list["items"][0]["spec"]["verdict"]["state"] == "reversed"
            })
        })
        .await;
    });
}

/// Guards against an abort that takes effect at only one entry host.
#[test]
fn an_abort_reverses_the_rollout_at_all_entry_hosts() {
    support::run(async {
        let network = Network::new();
        let (_platform, _engines, entries) = start(network).await;
        let path = "/v1/admin/rollouts/move/abort";
        let request = support::request(Method::POST, path, Some(OPERATOR_KEY), "");
        let (status, _) = support::send(entries[1].address, request).await.expect("an answer");
        assert_eq!(status, StatusCode::OK);
        wait_for("the reversal at the other entry host", async || {
            rollout(&entries[0]).await["state"] == "reversed"
        })
        .await;
    });
}
