//! Tests the commands that contact no entry host: exit codes, and error messages that include a remedy.

mod common;

use common::{run, stderr, stdout};
use test_case::test_case;

const INVENTORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/inventory.csv");
const RULES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/rules.ini");

#[test]
fn valid_files_are_summarised() {
    let output = run(&["validate", "--inventory", INVENTORY, "--rules", RULES], "");
    assert_eq!(
        stdout(&output),
        "valid: 3 targets, 1 accounts, 1 models, 1 services, 0 rollouts\n"
    );
    assert!(output.status.success());
}

#[test_case(&["validate", "--inventory", "absent.csv", "--rules", RULES], 3, "cannot read absent.csv"; "missing file")]
#[test_case(&["validate", "--inventory", INVENTORY, "--rules", INVENTORY], 3, "move it into a section"; "not INI")]
#[test_case(&["import", RULES], 3, "rules.ini"; "not a register")]
#[test_case(&["validate", "--inventory", INVENTORY], 2, "--rules"; "missing option")]
#[test_case(&["explode"], 2, "explode"; "unknown command")]
#[test_case(&["status"], 2, "--entry"; "no address")]
#[test_case(&["--entry", "127.0.0.1:1", "status"], 5, "check the addresses"; "connection refused")]
fn errors_have_an_exit_code_and_a_remedy(arguments: &[&str], code: i32, message: &str) {
    let output = run(arguments, "");
    assert_eq!(output.status.code(), Some(code), "{}", stderr(&output));
    assert!(stderr(&output).contains(message), "{}", stderr(&output));
}

#[test]
fn import_prints_a_summary_and_json() {
    assert!(stdout(&run(&["import", INVENTORY], "")).contains("1 engines of letters v1 in perth"));
    let json = stdout(&run(&["--json", "import", INVENTORY], ""));
    let targets = serde_json::from_str::<serde_json::Value>(&json).unwrap();
    assert_eq!(targets["engine-2"]["role"]["fencing"], "ignored");
}

/// Guards against hashing the line with its line feed instead of the key, which would reject every caller.
#[test]
fn hash_key_ignores_the_line_feed() {
    let output = run(&["hash-key"], "key-of-the-operators\n");
    let expected = blake3::hash(b"key-of-the-operators").to_hex();
    assert_eq!(stdout(&output).trim(), expected.as_str());
}

/// Guards against a trace that omits lines that explain a request, or includes lines about unrelated targets.
#[test]
fn trace_combines_the_logs_of_several_hosts() {
    let logs = concat!(
        r#"10.1 edge-2 {"time":"2026-01-01T00:00:03.000Z","entry":"edge-2","event":963,"request":"r1","route":"letters","took_ms":2000,"reason":"no engine","what":"a stream broke off"}"#,
        "\n",
        r#"{"time":"2026-01-01T00:00:02.000Z","entry":"edge-2","event":954,"request":"r1","target":"i-7","reason":"silent","took_ms":900,"what":"an attempt gave no usable answer"}"#,
        "\n",
        r#"{"time":"2026-01-01T00:00:01.500Z","entry":"edge-1","event":942,"target":"i-7","what":"a target failed"}"#,
        "\n",
        r#"{"time":"2026-01-01T00:00:01.600Z","entry":"edge-2","event":911,"dependency":"store","what":"no answer"}"#,
        "\n",
        r#"{"time":"2026-01-01T00:00:01.700Z","entry":"edge-1","event":942,"target":"i-8","what":"another target failed"}"#,
        "\nnot JSON\n",
    );
    let output = run(&["trace", "r1"], logs);
    let events = stdout(&output)
        .lines()
        .map(|line| line.split(' ').nth(2).unwrap().to_owned())
        .collect::<Vec<_>>();
    assert_eq!(events, ["942", "911", "954", "963"]);
    let output = run(&["trace", "r2"], logs);
    assert_eq!(output.status.code(), Some(3));
    assert!(stderr(&output).contains("pass the logs of all entry hosts"));
}

#[test_case(&[]; "all commands")]
#[test_case(&["validate"]; "validate")]
#[test_case(&["import"]; "import")]
#[test_case(&["diff"]; "diff")]
#[test_case(&["apply"]; "apply")]
#[test_case(&["history"]; "history")]
#[test_case(&["status"]; "status")]
#[test_case(&["rollout"]; "rollout")]
#[test_case(&["rollout", "show"]; "rollout show")]
#[test_case(&["drain"]; "drain")]
#[test_case(&["dump"]; "dump")]
#[test_case(&["trace"]; "trace")]
#[test_case(&["send"]; "send")]
#[test_case(&["hash-key"]; "hash-key")]
fn every_command_has_help(command: &[&str]) {
    let output = run(&[command, &["--help"]].concat(), "");
    let text = stdout(&output);
    assert!(output.status.success(), "{}", stderr(&output));
    assert!(
        text.starts_with(
            &["Usage: hawthornpost", &command.join(" ")]
                .join(" ")
                .trim_end()
                .to_owned()
        ),
        "{text}"
    );
    assert!(text.contains("Exit codes:"));
}
