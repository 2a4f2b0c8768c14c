//! Guards against invalid requests and settings that are rejected without a remedy, and against requests that hold
//! memory indefinitely.

mod support;

use std::net::SocketAddr;
use std::process::Command;

use hawthornpost_daemon::settings::Settings;
use serde_json::Value;
use support::{ACCOUNT_KEY, Daemon, Network, OPERATOR_KEY};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Short timeouts, so that unfinished requests are aborted soon.
const LIMITS: &str =
    "[limits]\nbody_bytes = 100000\nrequest_bytes = 150000\nheader_timeout_ms = 300\nbody_timeout_ms = 300\n";

/// A request whose head is sent verbatim.
struct Request {
    head: String,
    body: String,
}

impl Request {
    fn post(key: &str, body: impl Into<String>) -> Self {
        let body = body.into();
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\ncontent-length: {}\r\n",
            body.len()
        );
        Self { head, body }
    }

    fn get(path: &str, header: &str) -> Self {
        let head = format!("GET {path} HTTP/1.1\r\nhost: x\r\n{header}");
        Self {
            head,
            body: String::new(),
        }
    }

    async fn send(&self, address: SocketAddr) -> (u16, String, Value) {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let text = format!("{}connection: close\r\n\r\n{}", self.head, self.body);
        // The daemon may answer and close before it has read everything.
        let _ = stream.write_all(text.as_bytes()).await;
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        parse(&answer)
    }
}

fn parse(answer: &[u8]) -> (u16, String, Value) {
    let text = String::from_utf8_lossy(answer);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.get(9..12).and_then(|code| code.parse().ok()).unwrap_or_default();
    (
        status,
        head.to_lowercase(),
        serde_json::from_str(body).unwrap_or_default(),
    )
}

fn body(model: &str, more: &str) -> String {
    format!(r#"{{"model": "{model}", "prompt": "text", "stream": true{more}}}"#)
}

#[test]
fn every_invalid_request_gets_problem_details_with_a_remedy() {
    support::run(async {
        let network = Network::new();
        let _platform = support::platform(network, &support::document(network, 1, 1));
        let daemon = Daemon::start(network, 0, 1, LIMITS);
        daemon.ready().await;
        let unfinished = Request {
            head: format!(
                "{}x: ",
                Request::post(ACCOUNT_KEY, "").head.replace("length: 0", "length: 50")
            ),
            body: "{".to_owned(),
        };
        for (name, request, status, expected) in [
            ("no key", Request::get("/v1/models", ""), 401, "Authorization"),
            (
                "wrong key",
                Request::post("nobody", body("reports", "")),
                401,
                "key of this deployment",
            ),
            (
                "operators' key",
                Request::post(OPERATOR_KEY, body("reports", "")),
                401,
                "key of this deployment",
            ),
            (
                "account's key",
                Request::get("/metrics", &format!("authorization: Bearer {ACCOUNT_KEY}\r\n")),
                401,
                "key",
            ),
            ("not JSON", Request::post(ACCOUNT_KEY, "model=reports"), 400, "line 1"),
            (
                "unknown field",
                Request::post(ACCOUNT_KEY, body("reports", r#", "promt": 1"#)),
                400,
                "promt",
            ),
            (
                "unknown model",
                Request::post(ACCOUNT_KEY, body("novels", "")),
                404,
                "GET /v1/models",
            ),
            (
                "bad model name",
                Request::post(ACCOUNT_KEY, body("a b", "")),
                400,
                "63 letters",
            ),
            (
                "wrong type",
                Request::post(ACCOUNT_KEY, body("reports", r#", "max_tokens": "many""#)),
                400,
                "u32",
            ),
            (
                "large body",
                Request::post(ACCOUNT_KEY, "x".repeat(100_001)),
                413,
                "100000 bytes",
            ),
            ("body never ends", unfinished, 408, "send it at once"),
            (
                "large headers",
                Request::get("/v1/models", &format!("x: {}\r\n", "x".repeat(20_000))),
                431,
                "shorter",
            ),
            ("unknown path", Request::get("/v2/models", ""), 404, "docs/operators.md"),
            ("wrong method", Request::get("/v1/completions", ""), 405, "POST"),
        ] {
            let (code, head, problem) = request.send(daemon.address).await;
            let text = format!("{} {}", problem["detail"], problem["remedy"]);
            assert_eq!(code, status, "{name}: {text}");
            assert!(head.contains("application/problem+json"), "{name}: {head}");
            assert!(text.contains(expected), "{name}: {text}");
            let remedy = problem["remedy"].as_str().unwrap_or_default();
            assert!(
                !remedy.is_empty() && problem["error"]["code"] == problem["code"],
                "{name}: {problem}"
            );
        }
    });
}

/// Guards against unbounded memory for request bodies, and against slow bodies that block others beyond their timeout.
#[test]
fn slow_request_bodies_have_a_memory_limit() {
    support::run(async {
        let network = Network::new();
        let _platform = support::platform(network, &support::document(network, 1, 1));
        let _engine = support::engine(network, 0, "v1", 5, std::time::Duration::from_millis(1));
        let daemon = Daemon::start(
            network,
            0,
            1,
            &LIMITS.replace("body_timeout_ms = 300", "body_timeout_ms = 2000"),
        );
        daemon.ready().await;
        let mut slow = TcpStream::connect(daemon.address).await.expect("a connection");
        let head = Request::post(ACCOUNT_KEY, " ".repeat(90_000)).head;
        slow.write_all(format!("{head}\r\n{{").as_bytes())
            .await
            .expect("the head is sent");
        let padded = body("reports", "") + &" ".repeat(80_000);
        support::wait_for("the memory limit to be reached", async || {
            let (code, head, _) = Request::post(ACCOUNT_KEY, padded.clone()).send(daemon.address).await;
            code == 503 && head.contains("retry-after: 1")
        })
        .await;
        support::wait_for("the slow body to time out", async || {
            Request::post(ACCOUNT_KEY, padded.clone()).send(daemon.address).await.0 == 200
        })
        .await;
    });
}

/// Guards against connections that hold memory indefinitely without sending a request; hyper closes them without an
/// answer.
#[test_case("GET /v1/models HTTP/1.1\r\nhost: x\r\nauthoriz"; "half a head")]
#[test_case(""; "nothing at all")]
#[test_case("\u{16}\u{3}\u{1} not HTTP \r\n\r\n"; "another protocol")]
fn a_connection_without_a_request_is_closed(start: &str) {
    support::run(async {
        let network = Network::new();
        let _platform = support::platform(network, &support::document(network, 1, 1));
        let daemon = Daemon::start(network, 0, 1, LIMITS);
        daemon.ready().await;
        let mut stream = TcpStream::connect(daemon.address).await.expect("a connection");
        stream.write_all(start.as_bytes()).await.expect("the start is sent");
        let _closed = stream.read_to_end(&mut Vec::new()).await;
        assert_eq!(daemon.admin("/v1/admin/status").await["phase"], "running");
    });
}

#[test]
fn the_metrics_page_counts_responses_and_events() {
    support::run(async {
        let network = Network::new();
        let _platform = support::platform(network, &support::document(network, 1, 1));
        let daemon = Daemon::start(network, 0, 1, "");
        daemon.ready().await;
        Request::get("/v2", "").send(daemon.address).await;
        let page = support::get(daemon.address, "/metrics", Some(OPERATOR_KEY))
            .await
            .expect("an answer")
            .1;
        let page = String::from_utf8_lossy(&page);
        for line in [
            "hawthornpost_responses_total{status=\"404\"} 1",
            "hawthornpost_events_total{event=\"101\"} 1",
            "hawthornpost_config_version 1",
        ] {
            assert!(page.contains(line), "{line} is not in\n{page}");
        }
    });
}

/// Guards against log lines that a log collector cannot parse or that lack the event number.
#[test]
fn json_log_lines_carry_time_level_and_number() {
    support::run(async {
        let network = Network::new();
        let _platform = support::platform(network, &support::document(network, 1, 1));
        let directory = tempfile::tempdir().expect("a directory");
        let path = directory.path().join("log");
        let settings = format!("format = json\nfile = {}\n", path.display());
        // The settings of a test end with the section [log] and the level warn.
        let daemon = Daemon::start(network, 0, 1, &settings);
        daemon.ready().await;
        let (status, _) = support::send(
            daemon.address,
            support::request(
                hyper::Method::POST,
                "/v1/completions",
                Some(ACCOUNT_KEY),
                body("reports", ""),
            ),
        )
        .await
        .expect("an answer");
        assert_eq!(status, 200, "the stream begins before an engine is found");
        let lines = async || std::fs::read_to_string(&path).unwrap_or_default();
        support::wait_for("the event", async || lines().await.contains("402")).await;
        for line in lines().await.lines() {
            let line = serde_json::from_str::<Value>(line).expect("JSON");
            assert!(line["time"].as_str().is_some_and(|time| time.ends_with('Z')), "{line}");
            assert_eq!(
                (&line["level"], &line["entry"]),
                (&"WARN".into(), &"entry-0".into()),
                "{line}"
            );
            assert!(line["event"].is_u64(), "{line}");
        }
    });
}

/// Guards against an outage that is reported for every call or not at all.
#[test]
fn an_outage_of_the_platform_is_reported_once() {
    support::run(async {
        let network = Network::new();
        let platform = support::platform(network, &support::document(network, 1, 1));
        let daemon = Daemon::start(network, 0, 1, "");
        daemon.ready().await;
        let count = async |number: u16| {
            let page = support::get(daemon.address, "/metrics", Some(OPERATOR_KEY))
                .await
                .expect("an answer")
                .1;
            let page = String::from_utf8_lossy(&page).into_owned();
            let name = format!("hawthornpost_events_total{{event=\"{number}\"}} ");
            page.lines()
                .find_map(|line| line.strip_prefix(&name)?.parse::<u64>().ok())
                .unwrap_or_default()
        };
        for (outage, number) in [(true, 211), (false, 212)] {
            platform
                .set_faults(&serde_json::json!({ "outage": outage }))
                .expect("a fault");
            support::wait_for("the event", async || count(number).await == 1).await;
        }
        // Several polls failed during the outage.
        assert!(count(202).await >= 1);
        assert_eq!(count(211).await, 1);
    });
}

const VALID: &str = "[entry]\nname = e1\ndata_centre = perth\nregion = north\nlisten = 127.0.0.1:7101\n\
    [platform]\naddress = 127.0.0.1:7001\n[peers]\nlisten = 127.0.0.1:7201\nkey = a-key-that-is-long-enough\n\
    [operators]\nkey_hashes =\n";

#[test_case("", "", ""; "valid")]
#[test_case("[peers]", "[pears]", "add a line `[peers]`"; "missing section")]
#[test_case("name = e1", "nam = e1", "a name that is unique in the deployment"; "misspelt key")]
#[test_case("name = e1", "name = e 1", "63 letters"; "malformed name")]
#[test_case("127.0.0.1:7101", "localhost", "an address such as"; "not an address")]
#[test_case("a-key-that-is-long-enough", "short", "at least 16 bytes"; "short secret")]
#[test_case("key_hashes =", "key_hashes = 12", "64 hexadecimal digits"; "not a hash")]
#[test_case("[operators]", "[limits]\nbody_bytes = 0\n[operators]", "a whole number from 1"; "out of range")]
#[test_case("[operators]", "[limits]\nrequest_bytes = 5\n[operators]", "at least `body_bytes`"; "contradiction")]
#[test_case("[operators]", "[colours]\n[operators]", "use one of: entry"; "unknown section")]
fn settings_errors_name_the_remedy(old: &str, new: &str, expected: &str) {
    let result = Settings::parse(&VALID.replace(old, new));
    let message = result.err().map_or_else(String::new, |error| error.to_string());
    assert!(
        message.contains(expected) && message.is_empty() == expected.is_empty(),
        "{message}"
    );
}

#[test_case(VALID, true, "is valid"; "valid")]
#[test_case("[entry]", false, "set it to"; "invalid")]
fn check_reports_and_starts_nothing(settings: &str, success: bool, expected: &str) {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("hawthornpostd.ini");
    std::fs::write(&path, settings).expect("the settings are written");
    let daemon = env!("CARGO_BIN_EXE_hawthornpostd");
    let output = Command::new(daemon)
        .arg("--check")
        .arg("--config")
        .arg(&path)
        .output()
        .expect("the daemon runs");
    assert_eq!(output.status.success(), success);
    let text = [output.stdout, output.stderr].concat();
    assert!(String::from_utf8_lossy(&text).contains(expected));
}
