//! Actions with daemon processes. Guards against an action that runs twice, and against an incorrect "not run" answer,
//! when the platform, the entry host or the target fails.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use hawthornpost_daemon::client;
use hawthornpost_standins::{Handle, service};
use http_body_util::BodyExt;
use hyper::header::HeaderValue;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use support::{ACCOUNT_KEY, Daemon, Network, OTHER_KEY};

/// The response to an action.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    recorded: bool,
    body: Value,
}

impl Answer {
    fn code(&self) -> &str {
        self.body["code"].as_str().unwrap_or_default()
    }

    fn is_not_run(&self, scope: &str) -> bool {
        self.status == StatusCode::SERVICE_UNAVAILABLE && self.code() == "not_run" && self.body["scope"] == scope
    }

    fn is_unknown(&self) -> bool {
        self.status == StatusCode::GATEWAY_TIMEOUT && self.code() == "outcome_unknown"
    }
}

struct Deployment {
    network: Network,
    platform: Handle,
    daemons: Vec<Daemon>,
}

impl Deployment {
    async fn start(entries: u8) -> Self {
        let network = Network::new();
        let platform = support::platform(network, &support::document(network, 1, 1));
        let daemons = (0..entries).map(|index| Daemon::start(network, index, entries, ""));
        let daemons = daemons.collect::<Vec<_>>();
        for daemon in &daemons {
            daemon.ready().await;
            support::wait_for("all members", async || {
                let dump = daemon.admin("/v1/admin/dump").await;
                dump["members"]
                    .as_array()
                    .is_some_and(|members| members.len() == usize::from(entries))
            })
            .await;
        }
        Self {
            network,
            platform,
            daemons,
        }
    }

    /// Starts the booking service; an action takes effect after half of `latency`.
    fn service(&self, latency: Duration) -> Handle {
        let settings = service::Settings {
            latency,
            status_lookup: true,
            ..service::Settings::new("booking")
        };
        service::start(self.network.service(0), settings).expect("the service starts")
    }

    fn set_platform_faults(&self, change: &Value) {
        self.platform.set_faults(change).expect("known faults");
    }

    async fn wait_for_platform(&self, up: bool) {
        support::wait_for("the state of the platform", async || {
            self.daemons[0].admin("/v1/admin/dump").await["platform"]["up"] == up
        })
        .await;
    }

    async fn outcome(&self, entry: usize, key: &str) -> Value {
        let path = format!("/v1/actions/booking/{key}");
        let answer = support::get(self.daemons[entry].address, &path, Some(ACCOUNT_KEY)).await;
        serde_json::from_slice(&answer.expect("an answer").1).expect("JSON")
    }

    async fn wait_for_outcome(&self, entry: usize, key: &str, state: &str) {
        support::wait_for(state, async || self.outcome(entry, key).await["state"] == state).await;
    }
}

async fn send_action(address: SocketAddr, account: &str, key: &str, body: &'static str) -> Answer {
    let mut request = support::request(Method::POST, "/v1/services/booking/plots", Some(account), body);
    let key = HeaderValue::from_str(key).expect("a header value");
    request.headers_mut().insert("idempotency-key", key);
    let response = client::send(address, request).await.expect("a response");
    let (status, recorded) = (
        response.status(),
        response.headers().contains_key("hawthornpost-recorded"),
    );
    let body = response.into_body().collect().await.expect("a whole body").to_bytes();
    let body = serde_json::from_slice(&body).expect("JSON");
    Answer { status, recorded, body }
}

fn runs(service: &Handle) -> u64 {
    service.stats()["runs"].as_u64().expect("a count")
}

#[test]
fn platform_down_before_the_action() {
    support::run(async {
        let deployment = Deployment::start(1).await;
        let service = deployment.service(Duration::ZERO);
        let address = deployment.daemons[0].address;
        deployment.set_platform_faults(&json!({ "outage": true }));
        deployment.wait_for_platform(false).await;
        let refused = send_action(address, ACCOUNT_KEY, "k1", "a").await;
        assert!(refused.is_not_run("request"), "{refused:?}");
        let dump = deployment.daemons[0].admin("/v1/admin/dump").await;
        assert_eq!(dump["claims"], json!([]), "a claim was attempted");
        assert_eq!(runs(&service), 0);
        deployment.set_platform_faults(&json!({ "outage": false }));
        deployment.wait_for_platform(true).await;
        let answer = send_action(address, ACCOUNT_KEY, "k1", "a").await;
        assert_eq!((answer.status, runs(&service)), (StatusCode::OK, 1), "{answer:?}");
    });
}

#[test]
fn claim_is_stored_after_the_caller_got_its_answer() {
    support::run(async {
        let deployment = Deployment::start(1).await;
        let service = deployment.service(Duration::ZERO);
        // The claim is stored after the deadline for sending the call.
        let late = json!({ "share": 1.0, "path": "claims", "method": "POST" });
        deployment.set_platform_faults(&json!({ "late": late, "late_ms": 4_000 }));
        let unknown = send_action(deployment.daemons[0].address, ACCOUNT_KEY, "k1", "a").await;
        assert!(unknown.is_unknown(), "{unknown:?}");
        deployment.wait_for_outcome(0, "k1", "not_run").await;
        assert_eq!(runs(&service), 0);
    });
}

#[test]
fn platform_down_after_the_claim() {
    support::run(async {
        let deployment = Deployment::start(1).await;
        let service = deployment.service(Duration::from_millis(600));
        let address = deployment.daemons[0].address;
        let started = tokio::task::spawn_local(send_action(address, ACCOUNT_KEY, "k1", "a"));
        support::wait_for("the call", async || service.stats()["running"] == 1).await;
        deployment.set_platform_faults(&json!({ "outage": true }));
        let answer = started.await.expect("an answer");
        assert_eq!((answer.status, answer.recorded), (StatusCode::OK, false), "{answer:?}");
        // The first attempt to record the outcome has failed once no change is pending.
        support::wait_for("the first attempt to fail", async || {
            let dump = deployment.daemons[0].admin("/v1/admin/dump").await;
            dump["claims"]
                .as_array()
                .is_some_and(|shards| shards.iter().all(|shard| shard["pending"] == 0))
        })
        .await;
        deployment.set_platform_faults(&json!({ "outage": false }));
        support::wait_for("the record", async || {
            let outcome = deployment.outcome(0, "k1").await;
            outcome["state"] == "done" && !outcome["status"].is_null()
        })
        .await;
        let again = send_action(address, ACCOUNT_KEY, "k1", "a").await;
        assert!(again.recorded && again.body == answer.body, "{again:?}");
        assert_eq!(runs(&service), 1);
    });
}

#[test]
fn platform_answer_is_lost_after_the_write() {
    support::run(async {
        let deployment = Deployment::start(1).await;
        let service = deployment.service(Duration::ZERO);
        // The first write of a shard is a POST; the outcome is written with a PUT.
        for (key, fault, method) in [("k1", "lose", "POST"), ("k2", "late", "POST"), ("k3", "lose", "PUT")] {
            let rate = json!({ "share": 1.0, "path": "claims", "method": method, "count": 1 });
            deployment.set_platform_faults(&json!({ fault: rate }));
            let answer = send_action(deployment.daemons[0].address, ACCOUNT_KEY, key, "a").await;
            assert_eq!(answer.status, StatusCode::OK, "{fault}: {answer:?}");
            deployment.wait_for_outcome(0, key, "done").await;
        }
        assert_eq!(runs(&service), 3);
    });
}

#[test]
fn same_action_at_two_entries_at_once() {
    support::run(async {
        let deployment = Deployment::start(2).await;
        let service = deployment.service(Duration::from_millis(200));
        let (left, right) = (deployment.daemons[0].address, deployment.daemons[1].address);
        for round in 1..=5_u64 {
            let key = format!("k{round}");
            let (one, two) = tokio::join!(
                send_action(left, ACCOUNT_KEY, &key, "a"),
                send_action(right, ACCOUNT_KEY, &key, "a")
            );
            assert!(
                one.status == StatusCode::OK || two.status == StatusCode::OK,
                "{one:?} {two:?}"
            );
            for answer in [one, two] {
                assert!(answer.status == StatusCode::OK || answer.is_unknown(), "{answer:?}");
            }
            deployment.wait_for_outcome(0, &key, "done").await;
            deployment.wait_for_outcome(1, &key, "done").await;
            assert_eq!(runs(&service), round);
        }
    });
}

#[test]
fn retry_after_completion_and_key_reuse() {
    support::run(async {
        let deployment = Deployment::start(1).await;
        let service = deployment.service(Duration::ZERO);
        let address = deployment.daemons[0].address;
        let first = send_action(address, ACCOUNT_KEY, "k 1/a", "a").await;
        assert_eq!((first.status, first.recorded), (StatusCode::OK, false), "{first:?}");
        deployment.wait_for_outcome(0, "k%201%2Fa", "done").await;
        let again = send_action(address, ACCOUNT_KEY, "k 1/a", "a").await;
        assert!(again.recorded && again.body == first.body, "{again:?}");
        let other = send_action(address, ACCOUNT_KEY, "k 1/a", "b").await;
        assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY, "{other:?}");
        let account = send_action(address, OTHER_KEY, "k 1/a", "b").await;
        assert_eq!(
            (account.status, account.recorded),
            (StatusCode::OK, false),
            "{account:?}"
        );
        assert_eq!(runs(&service), 2);
    });
}

#[test]
fn entry_killed_after_the_claim() {
    support::run(async {
        let mut deployment = Deployment::start(2).await;
        let service = deployment.service(Duration::from_secs(3));
        let first = deployment.daemons[0].address;
        let started = tokio::task::spawn_local(async move {
            let mut request = support::request(Method::POST, "/v1/services/booking/plots", Some(ACCOUNT_KEY), "a");
            request
                .headers_mut()
                .insert("idempotency-key", HeaderValue::from_static("k1"));
            client::send(first, request).await.is_err()
        });
        support::wait_for("the effect", async || runs(&service) == 1).await;
        deployment.daemons[0].kill();
        assert!(started.await.expect("an end"), "the answer of a killed entry host");
        let lookups = json!({ "share": 1.0, "path": "/actions/" });
        service.set_faults(&json!({ "fail": lookups })).expect("known faults");
        let address = deployment.daemons[1].address;
        let retry = send_action(address, ACCOUNT_KEY, "k1", "a").await;
        assert!(retry.is_unknown(), "{retry:?}");
        assert_eq!(deployment.outcome(1, "k1").await["state"], "unknown");
        service.set_faults(&json!({ "fail": {} })).expect("known faults");
        deployment.wait_for_outcome(1, "k1", "done").await;
        let resolved = send_action(address, ACCOUNT_KEY, "k1", "a").await;
        assert!(resolved.status == StatusCode::OK && resolved.recorded, "{resolved:?}");
        assert_eq!(runs(&service), 1);
    });
}

#[test]
fn service_swaps_answers() {
    support::run(async {
        let deployment = Deployment::start(1).await;
        let service = deployment.service(Duration::ZERO);
        let address = deployment.daemons[0].address;
        send_action(address, ACCOUNT_KEY, "k1", "first").await;
        for (key, fault) in [("k2", "cross"), ("k3", "duplicate")] {
            service
                .set_faults(&json!({ fault: { "share": 1.0, "count": 1 } }))
                .expect("known faults");
            let crossed = send_action(address, ACCOUNT_KEY, key, "second").await;
            assert_eq!(
                (crossed.status, crossed.recorded),
                (StatusCode::OK, true),
                "{crossed:?}"
            );
            assert_eq!(
                crossed.body,
                json!({ "state": "done" }),
                "the answer of another request"
            );
        }
        assert_eq!(runs(&service), 3);
    });
}

#[test]
fn connection_refused_by_the_target() {
    support::run(async {
        let deployment = Deployment::start(1).await;
        let address = deployment.daemons[0].address;
        let refused = send_action(address, ACCOUNT_KEY, "k1", "a").await;
        assert!(refused.is_not_run("key"), "{refused:?}");
        deployment.wait_for_outcome(0, "k1", "not_run").await;
        let service = deployment.service(Duration::ZERO);
        let again = send_action(address, ACCOUNT_KEY, "k1", "a").await;
        assert!(again.is_not_run("key"), "{again:?}");
        let new = send_action(address, ACCOUNT_KEY, "k2", "a").await;
        assert_eq!((new.status, runs(&service)), (StatusCode::OK, 1), "{new:?}");
    });
}
