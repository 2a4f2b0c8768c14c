//! Target selection, load shedding, retry budgets and draining, with daemon processes and stand-in engines.

mod support;

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use hawthornpost_daemon::client;
use hawthornpost_standins::{Handle, platform, text};
use hyper::header::RETRY_AFTER;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use support::{ACCOUNT_KEY, Caller, Daemon, Network};

const TOKEN_INTERVAL: Duration = Duration::from_millis(1);
/// The time after which a leaving target must get no new work.
const MAX_MARK_DELAY: Duration = Duration::from_secs(2);

/// Returns a counter of an engine.
fn counter(engine: &Handle, name: &str) -> u64 {
    engine.stats()["counters"][name].as_u64().expect("a counter")
}

async fn generate(daemon: &Daemon, prompt: &str) -> StatusCode {
    let request = support::request(
        Method::POST,
        "/v1/completions",
        Some(ACCOUNT_KEY),
        support::completion(prompt, 20),
    );
    support::send(daemon.address, request).await.expect("an answer").0
}

/// Marks the host of an engine as leaving in the platform's hosts list.
async fn list_as_leaving(network: Network, index: u8) {
    let object = json!({
        "metadata": { "name": format!("host-{index}") },
        "spec": { "address": network.engine(index), "state": "leaving" },
    });
    let path = "/apis/hawthornpost.dev/v1/hosts";
    let request = client::json_request(Method::POST, path, &object);
    let (status, body) = support::send(network.platform(), request).await.expect("an answer");
    assert!(status.is_success(), "{status} {}", String::from_utf8_lossy(&body));
}

/// Guards against new work for a leaving target at an entry host that reads an outdated hosts list.
#[test]
fn leaving_target_gets_no_new_work_although_the_list_lags() {
    support::run(async {
        let network = Network::new();
        let document = support::document(network, 1, 2);
        let _platform = support::platform(network, &document);
        let outdated_list = network.address(2, 7001);
        let _outdated_platform =
            platform::start(outdated_list, support::platform_settings(&document)).expect("it starts");
        let engines = [0, 1].map(|index| support::engine(network, index, "v1", 5, TOKEN_INTERVAL));
        let first = Daemon::start(network, 0, 2, "");
        let current = network.platform().to_string();
        let settings = support::settings(network, 1, 2, "").replace(&current, &outdated_list.to_string());
        let lagging = Daemon::start_with_settings(network, 1, &settings);
        first.ready().await;
        lagging.ready().await;
        support::wait_for("the members", async || {
            lagging.admin("/v1/admin/dump").await["members"]
                .as_array()
                .is_some_and(|members| members.len() == 2)
        })
        .await;
        // Without the mark, an entry host prefers the engine of its own data centre.
        assert_eq!(generate(&lagging, "an early letter").await, StatusCode::OK);
        assert_eq!(counter(&engines[1], "started"), 1);
        list_as_leaving(network, 1).await;
        tokio::time::sleep(MAX_MARK_DELAY).await;
        for number in 0..20 {
            assert_eq!(generate(&lagging, &format!("letter {number}")).await, StatusCode::OK);
            assert_eq!(generate(&first, &format!("report {number}")).await, StatusCode::OK);
        }
        assert_eq!(counter(&engines[1], "started"), 1, "the target got new work");
        assert_eq!(counter(&engines[0], "started"), 40);
    });
}

/// Guards against a caller that waits for an engine without free capacity, instead of getting a retry delay.
#[test]
fn requests_beyond_the_capacity_are_refused_immediately() {
    support::run(async {
        let network = Network::new();
        let mut document = support::document(network, 1, 1);
        document["inventory"]["engine-0"]["role"]["capacity_tokens"] = json!(3000);
        let _platform = support::platform(network, &document);
        let engine = support::engine(network, 0, "v1", 1000, Duration::from_millis(20));
        let daemon = Daemon::start(network, 0, 1, "");
        daemon.ready().await;
        let mut callers = Vec::new();
        for number in 0..3 {
            let mut caller = Caller::start(daemon.address, ACCOUNT_KEY, &format!("log {number}"), 1000).await;
            caller.read_tokens(1).await;
            callers.push(caller);
        }
        let body = support::completion("one more", 1000);
        let request = support::request(Method::POST, "/v1/completions", Some(ACCOUNT_KEY), body);
        let response = client::send(daemon.address, request).await.expect("a response");
        assert!(
            matches!(
                response.status(),
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
            ),
            "{}",
            response.status()
        );
        let seconds = response.headers()[RETRY_AFTER].to_str().expect("a text").parse::<u64>();
        assert!((1..=30).contains(&seconds.expect("a number")));
        assert_eq!(counter(&engine, "started"), 3);
    });
}

/// Guards against a retry storm, in which retries of failed attempts multiply the load on failing engines.
#[test]
fn retry_budget_limits_attempts() {
    support::run(async {
        let network = Network::new();
        let _platform = support::platform(network, &support::document(network, 1, 3));
        let engines = [0, 1, 2].map(|index| support::engine(network, index, "v1", 5, TOKEN_INTERVAL));
        let daemon = Daemon::start(network, 0, 1, "");
        daemon.ready().await;
        for engine in &engines {
            engine
                .set_faults(&json!({ "cut": { "share": 1.0 } }))
                .expect("the fault is set");
        }
        // The requests are concurrent, because a request whose retry is refused waits for the budget before it fails.
        let prompts = (0..60).map(|number| format!("letter {number}")).collect::<Vec<_>>();
        join_all(prompts.iter().map(|prompt| generate(&daemon, prompt))).await;
        let attempts = engines.iter().map(|engine| counter(engine, "started")).sum::<u64>();
        // 60 first attempts, the initial budget of 10 retries, and one retry per 10 attempts.
        assert!(attempts <= 60 + 10 + 6 + 2, "{attempts} attempts of 60 requests");
    });
}

/// Guards against a tight loop of attempts at the only engine, which returns errors immediately.
#[test]
fn failed_engines_are_retried_after_a_delay() {
    support::run(async {
        let network = Network::new();
        let _platform = support::platform(network, &support::document(network, 1, 1));
        let engine = support::engine(network, 0, "v1", 5, TOKEN_INTERVAL);
        let daemon = Daemon::start(network, 0, 1, "");
        daemon.ready().await;
        let fault = json!({ "fail": { "share": 1.0, "count": 4, "method": "POST" } });
        engine.set_faults(&fault).expect("the fault is set");
        let begin = Instant::now();
        assert_eq!(generate(&daemon, "letter").await, StatusCode::OK);
        assert_eq!(counter(&engine, "started"), 1);
        // Four failures cause four delays of 200 ms; a busy machine can only prolong them.
        assert!(begin.elapsed() >= Duration::from_millis(800), "{:?}", begin.elapsed());
    });
}

/// Guards against a drain that truncates a long answer, and against new callers at a draining entry host.
#[test]
fn drain_does_not_truncate_a_stream() {
    support::run(async {
        let network = Network::new();
        let _platform = support::platform(network, &support::document(network, 1, 1));
        let _engine = support::engine(network, 0, "v1", 200, Duration::from_millis(20));
        let mut leaving = Daemon::start(network, 0, 2, "[limits]\naddress_lifetime_ms = 500\n");
        let other = Daemon::start(network, 1, 2, "");
        leaving.ready().await;
        other.ready().await;
        let mut caller = Caller::start(leaving.address, ACCOUNT_KEY, "a long field log", 500).await;
        caller.read_tokens(5).await;
        leaving.shut_down();
        support::wait_for("the entry host to disappear", async || {
            let (_, body) = support::get(other.address, "/v1/entries", Some(ACCOUNT_KEY))
                .await
                .expect("an answer");
            let offer = serde_json::from_slice::<Value>(&body).expect("JSON");
            offer["entries"] == json!([other.address])
        })
        .await;
        caller.read_all().await;
        assert!(
            caller.done,
            "the stream was truncated after {:?}: {:?}",
            caller.last, caller.error
        );
        text::verify("a long field log", &caller.text).expect("a whole answer");
        support::wait_for("the end of the process", async || leaving.exit_success().is_some()).await;
        assert_eq!(leaving.exit_success(), Some(true));
    });
}

/// Guards against new work at an entry host whose advertised addresses have expired.
#[test]
fn draining_entry_refuses_new_work() {
    support::run(async {
        let network = Network::new();
        let _platform = support::platform(network, &support::document(network, 1, 1));
        let _engine = support::engine(network, 0, "v1", 400, Duration::from_millis(20));
        let daemon = Daemon::start(network, 0, 1, "[limits]\naddress_lifetime_ms = 300\n");
        daemon.ready().await;
        let mut caller = Caller::start(daemon.address, ACCOUNT_KEY, "a long field log", 500).await;
        let path = "/v1/admin/drain";
        let drain = support::request(Method::POST, path, Some(support::OPERATOR_KEY), Bytes::new());
        assert_eq!(
            support::send(daemon.address, drain).await.expect("an answer").0,
            StatusCode::OK
        );
        assert_eq!(
            generate(&daemon, "a late letter").await,
            StatusCode::OK,
            "callers have the address"
        );
        support::wait_for("the lifetime to pass", async || {
            daemon.admin("/v1/admin/status").await["phase"] == "draining"
        })
        .await;
        assert_eq!(generate(&daemon, "too late").await, StatusCode::SERVICE_UNAVAILABLE);
        caller.read_all().await;
        assert!(caller.done, "the stream was truncated: {:?}", caller.error);
    });
}
