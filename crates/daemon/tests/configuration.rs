//! Configuration with daemon processes: platform outages, concurrent changes, lost answers and a platform that was
//! restored to an older state.

mod support;

use std::time::Duration;

use hawthornpost_standins::Handle;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use support::{ACCOUNT_KEY, Caller, Daemon, Network, OPERATOR_KEY, wait_for};

/// A deployment whose platform has configuration version 1.
struct Deployment {
    network: Network,
    platform: Handle,
    _engine: Handle,
    entries: Vec<Daemon>,
}

impl Deployment {
    async fn start(entries: u8) -> Self {
        let network = Network::new();
        let platform = support::platform(network, &support::document(network, 1, 1));
        let engine = support::engine(network, 0, "v1", 5, Duration::from_millis(1));
        let mut deployment = Self {
            network,
            platform,
            _engine: engine,
            entries: Vec::new(),
        };
        for index in 0..entries {
            deployment.entries.push(Daemon::start(network, index, 3, ""));
        }
        for entry in &deployment.entries {
            entry.ready().await;
        }
        deployment.wait_for_members().await;
        deployment
    }

    async fn wait_for_members(&self) {
        for entry in &self.entries {
            wait_for("the members to see each other", async || {
                let members = entry.admin("/v1/admin/dump").await["members"].clone();
                let live = members
                    .as_array()
                    .map_or(0, |all| all.iter().filter(|one| one["s"] == "a").count());
                live == self.entries.len()
            })
            .await;
        }
    }

    /// Sends a change that sets `max_tokens` of the model.
    async fn apply(&self, entry: usize, base: u64, max_tokens: u32) -> (StatusCode, Value) {
        let mut change = support::document(self.network, 1, 1);
        change["rules"]["models"][support::MODEL]["max_tokens"] = json!(max_tokens);
        let body = json!({
            "base": base,
            "author": format!("operator of {max_tokens}"),
            "inventory": change["inventory"],
            "rules": change["rules"],
        });
        let request = support::request(Method::POST, "/v1/admin/config", Some(OPERATOR_KEY), body.to_string());
        let (status, body) = support::send(self.entries[entry].address, request)
            .await
            .expect("an answer");
        (status, serde_json::from_slice(&body).expect("JSON"))
    }

    fn set_platform_faults(&self, faults: &Value) {
        self.platform.set_faults(faults).expect("known faults");
    }

    async fn wait_until_active(&self, entry: usize, version: u64) {
        let path = format!("/v1/admin/config/status?version={version}");
        wait_for("the version to be active everywhere", async || {
            let status = self.entries[entry].admin(&path).await;
            let have = status["have"].as_array().map_or(0, Vec::len);
            have == self.entries.len() && status["lacking"].as_array().is_some_and(Vec::is_empty)
        })
        .await;
    }

    async fn stored_version(&self) -> Value {
        let path = "/apis/hawthornpost.dev/v1/configheads/current";
        let answer = support::get(self.network.platform(), path, None).await;
        let (_, body) = answer.expect("an answer");
        serde_json::from_slice::<Value>(&body).expect("JSON")["spec"]["version"].clone()
    }
}

/// Guards against entry hosts that refuse requests, or lose a configuration version, because the platform is down.
#[test]
fn requests_are_served_in_an_outage_and_changes_succeed_after_it() {
    support::run(async {
        let deployment = Deployment::start(2).await;
        assert_eq!(deployment.apply(0, 1, 100).await.0, StatusCode::OK);
        deployment.wait_until_active(1, 2).await;
        deployment.set_platform_faults(&json!({ "outage": true }));
        let (status, problem) = deployment.apply(1, 2, 200).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{problem}");
        // The refusal took longer than a contact with the platform counts as recent.
        let reach = deployment.entries[0].admin("/v1/admin/dump").await["configuration"]["reach"].clone();
        assert_eq!(reach, "Peers");
        let mut caller = Caller::start(deployment.entries[0].address, ACCOUNT_KEY, "notes", 5).await;
        caller.read_all().await;
        assert!(caller.done, "{:?}", caller.error);
        deployment.set_platform_faults(&json!({ "outage": false }));
        let accepted = std::cell::Cell::new(false);
        wait_for("the change to be accepted", async || {
            accepted.set(deployment.apply(1, 2, 300).await.0 == StatusCode::OK);
            accepted.get()
        })
        .await;
        deployment.wait_until_active(0, 3).await;
    });
}

/// Guards against an entry host that cannot start without the platform.
#[test]
fn an_entry_host_that_starts_in_an_outage_gets_the_configuration_from_peers() {
    support::run(async {
        let mut deployment = Deployment::start(2).await;
        assert_eq!(deployment.apply(0, 1, 100).await.0, StatusCode::OK);
        deployment.wait_until_active(0, 2).await;
        deployment.set_platform_faults(&json!({ "outage": true }));
        let third = Daemon::start(deployment.network, 2, 3, "");
        third.ready().await;
        assert_eq!(third.admin("/v1/admin/status").await["config_version"], 2);
        deployment.entries.push(third);
        deployment.wait_until_active(1, 2).await;
    });
}

/// Guards against a change that silently overwrites a concurrent one.
#[test]
fn the_refused_one_of_two_concurrent_changes_gets_the_difference() {
    support::run(async {
        let deployment = Deployment::start(2).await;
        let (first, second) = tokio::join!(deployment.apply(0, 1, 100), deployment.apply(1, 1, 200));
        let (accepted, refused) = if first.0 == StatusCode::OK {
            (first, second)
        } else {
            (second, first)
        };
        assert_eq!((accepted.0, &accepted.1["version"]), (StatusCode::OK, &json!(2)));
        assert_eq!(
            (refused.0, &refused.1["version"]),
            (StatusCode::CONFLICT, &json!(2)),
            "{}",
            refused.1
        );
        let difference = refused.1["difference"].as_array().expect("lines");
        assert_eq!(difference.len(), 1, "{difference:?}");
        assert!(
            difference[0].as_str().expect("a line").contains("max_tokens: 4000 -> "),
            "{difference:?}"
        );
        deployment.wait_until_active(0, 2).await;
        let (status, answer) = deployment.apply(0, 1, 300).await;
        assert_eq!(
            (status, &answer["version"]),
            (StatusCode::CONFLICT, &json!(2)),
            "{answer}"
        );
        let history = deployment.entries[1].admin("/v1/admin/config/history").await;
        assert_eq!(history["versions"].as_array().map_or(0, Vec::len), 2, "{history}");
    });
}

/// Guards against a change that is reported as failed although it was accepted, because the answer to the write was
/// lost.
#[test]
fn a_head_write_without_an_answer_is_read_back() {
    support::run(async {
        let deployment = Deployment::start(2).await;
        let lost = json!({ "share": 1.0, "count": 1, "method": "PUT", "path": "configheads" });
        deployment.set_platform_faults(&json!({ "lose": lost }));
        let (status, answer) = deployment.apply(0, 1, 100).await;
        assert_eq!((status, &answer["version"]), (StatusCode::OK, &json!(2)), "{answer}");
        deployment.wait_until_active(1, 2).await;
    });
}

/// Guards against a configuration that reverts when the platform is restored to an older state.
#[test]
fn a_platform_with_an_older_state_gets_the_highest_version_back() {
    support::run(async {
        let deployment = Deployment::start(3).await;
        deployment.set_platform_faults(&json!({ "snapshot": true }));
        assert_eq!(deployment.apply(0, 1, 100).await.0, StatusCode::OK);
        deployment.wait_until_active(0, 2).await;
        deployment.set_platform_faults(&json!({ "restore": true }));
        assert_eq!(deployment.stored_version().await, 1);
        wait_for("the highest version to be written again", async || {
            deployment.stored_version().await == 2
        })
        .await;
        for entry in &deployment.entries {
            assert_eq!(entry.admin("/v1/admin/status").await["config_version"], 2);
        }
        assert_eq!(deployment.apply(2, 2, 200).await.0, StatusCode::OK);
        deployment.wait_until_active(0, 3).await;
    });
}
