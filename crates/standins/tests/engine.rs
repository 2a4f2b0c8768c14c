//! Tests the streams, attempts and faults of the stand-in engine, which the daemon's tests rely on.

mod common;

use common::{LOOPBACK, Lines, run, send, send_json};
use hawthornpost_core::wire::{Finish, Frame};
use hawthornpost_standins::Handle;
use hawthornpost_standins::engine::{self, Settings};
use hawthornpost_standins::text::verify;
use serde_json::{Value, json};
use std::time::Duration;

const ID: &str = "00000000-0000-4000-8000-000000000001";
const PROMPT: &str = "a field log that is long enough to fill more than one block of the prefix cache of an engine";

fn start_engine(seed: u64) -> Handle {
    let settings = Settings::new("reports".parse().unwrap(), "v1".parse().unwrap());
    let gap = Duration::from_millis(2);
    // One token per event, even if the test reads late.
    let max_batch = 1;
    let settings = Settings {
        gap,
        seed,
        max_batch,
        ..settings
    };
    engine::start(LOOPBACK, settings).unwrap()
}

fn generate_body(attempt: u64, resume: &[u32]) -> Value {
    json!({ "model": "reports", "version": "v1", "prompt": PROMPT, "max_tokens": 500, "stream": true,
        "request_id": ID, "attempt": attempt, "priority": 5, "resume_tokens": resume })
}

async fn start_generation(engine: &Handle, attempt: u64, resume: &[u32]) -> Lines {
    let text = generate_body(attempt, resume).to_string();
    Lines::new(
        send(engine.address(), "POST", "/v1/completions", &[], text)
            .await
            .unwrap(),
    )
}

async fn next_frame(lines: &mut Lines) -> Option<Frame> {
    loop {
        let line = lines.next().await?;
        if let Some(data) = line.strip_prefix("data: {") {
            return Some(serde_json::from_str(&format!("{{{data}")).unwrap());
        }
    }
}

async fn read_rest(lines: &mut Lines, text: &mut String, ids: &mut Vec<u32>) -> Option<Finish> {
    let mut finish = None;
    while let Some(frame) = next_frame(lines).await {
        assert_eq!(frame.first as usize, ids.len());
        for token in frame.tokens {
            text.push_str(&token.text);
            ids.push(token.id);
        }
        finish = frame.finish;
    }
    finish
}

#[test]
fn a_generation_resumes_on_another_engine_after_a_crash() {
    run(async {
        let (first, second) = (start_engine(1), start_engine(2));
        let (mut text, mut ids) = (String::new(), Vec::new());
        first
            .set_faults(&json!({ "cut": { "share": 0.1, "count": 1 } }))
            .unwrap();
        let mut lines = start_generation(&first, 1, &[]).await;
        assert_eq!(read_rest(&mut lines, &mut text, &mut ids).await, None);
        first.set_faults(&json!({ "die": true })).unwrap();
        let mut lines = start_generation(&second, 2, &ids).await;
        assert_eq!(read_rest(&mut lines, &mut text, &mut ids).await, Some(Finish::Stop));
        let verified = verify(PROMPT, &text).unwrap();
        assert!(verified.ended && verified.tokens == 50);
        assert_eq!(second.stats()["counters"]["resume_mismatches"], 0);
    });
}

#[test]
fn attaching_replaces_a_silent_connection() {
    run(async {
        let engine = start_engine(1);
        let (mut text, mut ids) = (String::new(), Vec::new());
        let mut old = start_generation(&engine, 1, &[]).await;
        let first = next_frame(&mut old).await.unwrap();
        engine.set_faults(&json!({ "silence": true })).unwrap();
        let path = format!("/v1/completions/{ID}?attempt=2&from=0");
        let mut lines = Lines::new(send(engine.address(), "GET", &path, &[], String::new()).await.unwrap());
        read_rest(&mut lines, &mut text, &mut ids).await;
        assert_eq!(ids[0], first.tokens[0].id);
        assert!(verify(PROMPT, &text).unwrap().ended);
    });
}

#[test]
fn lower_attempt_numbers_are_rejected() {
    run(async {
        let engine = start_engine(1);
        let _running = start_generation(&engine, 5, &[]).await;
        for (method, path, expected) in [
            ("POST", "/v1/completions".to_owned(), 409),
            ("GET", format!("/v1/completions/{ID}?attempt=4&from=0"), 409),
            ("DELETE", format!("/v1/completions/{ID}?attempt=4"), 409),
            ("DELETE", format!("/v1/completions/{ID}?attempt=5"), 200),
            ("GET", format!("/v1/completions/{ID}?attempt=6&from=0"), 404),
        ] {
            let (status, _) = send_json(engine.address(), method, &path, &generate_body(4, &[]))
                .await
                .unwrap();
            assert_eq!(status, expected, "{method} {path}");
        }
    });
}

#[test]
fn orders_with_an_old_fencing_number_are_rejected() {
    run(async {
        let engine = start_engine(1);
        for (fencing, expected) in [(7, 200), (6, 409), (7, 200)] {
            let order = json!({ "order_id": "o", "fencing": fencing, "kind": "load", "model": "reports",
                "version": "v2", "expires_in_ms": 5000 });
            let (status, _) = send_json(engine.address(), "POST", "/v1/orders", &order).await.unwrap();
            assert_eq!(status, expected, "fencing number {fencing}");
        }
    });
}

#[test]
fn an_engine_over_capacity_crashes_and_restarts() {
    run(async {
        let settings = Settings::new("reports".parse().unwrap(), "v1".parse().unwrap());
        let engine = engine::start(
            LOOPBACK,
            Settings {
                capacity: 30,
                ..settings
            },
        )
        .unwrap();
        engine.set_faults(&json!({ "restart_ms": 10 })).unwrap();
        let mut lines = start_generation(&engine, 1, &[]).await;
        assert_eq!(read_rest(&mut lines, &mut String::new(), &mut Vec::new()).await, None);
        assert_eq!(engine.stats()["counters"]["overflows"], 1);
    });
}

/// Guards against stream faults that change other frames than intended, on which the daemon's tests for missing, repeated
/// and mixed tokens rely.
#[test]
fn stream_faults_duplicate_cross_and_drop_frames() {
    run(async {
        for (fault, expected) in [
            ("duplicate", vec![0, 0, 1]),
            ("cross", vec![0, 0, 1]),
            ("drop", vec![1]),
        ] {
            let engine = start_engine(1);
            engine
                .set_faults(&json!({ fault: { "share": 1.0, "count": 1 } }))
                .unwrap();
            let mut lines = start_generation(&engine, 1, &[]).await;
            let mut frames = Vec::new();
            while frames.last().is_none_or(|last: &Frame| last.first < 1) {
                frames.push(next_frame(&mut lines).await.unwrap());
            }
            assert_eq!(
                frames.iter().map(|frame| frame.first).collect::<Vec<_>>(),
                expected,
                "{fault}"
            );
            let other = frames.iter().filter(|frame| frame.id.to_string() != ID).count();
            assert_eq!(other, usize::from(fault == "cross"));
        }
    });
}

#[test]
fn cache_events_cover_the_blocks_of_a_prompt() {
    run(async {
        let engine = start_engine(1);
        let mut lines = start_generation(&engine, 1, &[]).await;
        next_frame(&mut lines).await.unwrap();
        let path = "/v1/cache-events?from=0";
        let mut events = Vec::new();
        while events.len() < 2 {
            let response = send(engine.address(), "GET", path, &[], String::new()).await.unwrap();
            let mut lines = Lines::new(response);
            events.clear();
            while let Some(line) = lines.next().await {
                events.push(serde_json::from_str::<Value>(&line).unwrap());
            }
        }
        assert_eq!(
            (&events[0]["kind"], &events[1]["kind"]),
            (&json!("cleared"), &json!("stored"))
        );
        assert_eq!(events[1]["blocks"], json!(engine::block_hashes(PROMPT)));
    });
}
