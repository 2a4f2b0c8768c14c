//! Guards the counters by which tests of actions decide how often an action ran.

mod common;

use common::{LOOPBACK, call, open, run};
use hawthornpost_standins::service::{self, Settings};
use serde_json::{Value, json};

const CLAIM: &str = "00000000-0000-4000-8000-00000000000c";

#[test]
fn every_run_of_an_action_is_counted_even_without_an_answer() {
    run(async {
        let settings = Settings {
            status_lookup: true,
            ..Settings::new("bookings")
        };
        let service = service::start(LOOPBACK, settings).unwrap();
        let headers = [
            ("idempotency-key", "k"),
            ("hawthornpost-claim", CLAIM),
            ("hawthornpost-request", "r"),
        ];
        let act = async || open(service.address(), "POST", "/book", &headers, "plot 4".to_owned()).await;
        let status = async || {
            let path = format!("/actions/{CLAIM}");
            call(service.address(), "GET", &path, &Value::Null).await.unwrap().1["state"].clone()
        };
        assert_eq!(status().await, "never");
        service
            .set_faults(&json!({ "fail": { "share": 1.0, "count": 1, "path": "/book" } }))
            .unwrap();
        assert_eq!(act().await.unwrap().status(), 500);
        assert_eq!(status().await, "never");
        service
            .set_faults(&json!({ "lose": { "share": 1.0, "count": 1 , "path": "/book"} }))
            .unwrap();
        act().await.unwrap_err();
        assert_eq!(status().await, "done");
        assert_eq!(act().await.unwrap().headers()["hawthornpost-request"], "r");
        assert_eq!(service.inspect("actions").unwrap()[0]["runs"], 2);
    });
}

/// Guards H4: a crossed answer carries the id of another request.
#[test]
fn a_crossed_answer_has_another_id() {
    run(async {
        let service = service::start(LOOPBACK, Settings::new("status")).unwrap();
        let look = async |id: &str| {
            let headers = [("hawthornpost-request", id)];
            let answer = open(service.address(), "GET", "/plot/4", &headers, String::new())
                .await
                .unwrap();
            answer.headers()["hawthornpost-request"].clone()
        };
        service.set_faults(&json!({ "cross": { "share": 1.0 } })).unwrap();
        assert_eq!(look("a").await, "a");
        assert_eq!(look("b").await, "a");
    });
}
