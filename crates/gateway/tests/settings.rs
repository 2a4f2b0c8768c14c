//! Settings: optional parts are off unless the file asks for them, and errors name the remedy.

use hawthornpost_gateway::duty::Duty;
use hawthornpost_gateway::settings::Settings;
use test_case::test_case;

const MINIMAL: &str = "
[entry]
name = edge-1
data_centre = a
region = r
[listen]
callers = 127.0.0.1:8740
peers = 127.0.0.1:7200
[peers]
seeds = 127.0.0.1:8748
[platform]
address = 127.0.0.1:8742
[limits]
[log]
";

fn parse(text: &str) -> Result<Settings, String> {
    Settings::parse(text).map_err(|error| error.to_string())
}

/// Guards against parts that run in a deployment that did not ask for them.
#[test]
fn optional_parts_are_off_by_default() {
    let settings = parse(MINIMAL).expect("valid settings");
    assert!(settings.duties.is_none());
    assert!(!settings.limits.admission);
}

#[test]
fn duties_and_admission_are_read() {
    let duties = "[duties]\naddress = 127.0.0.1:9000\nkinds = usage_report, autoscale\nreport_window_s = 5\n";
    let text = MINIMAL.replace("[limits]", "[limits]\nadmission = true") + duties;
    let settings = parse(&text).expect("valid settings");
    let duties = settings.duties.expect("duties");
    assert_eq!(duties.kinds, [Duty::Usage, Duty::Scaling].into());
    assert!(settings.limits.admission);
}

/// Guards against a host that does not start because the platform asks for a duty of a later release.
#[test]
fn unknown_duties_are_named_and_the_others_are_in_force() {
    let duties = "[duties]\naddress = 127.0.0.1:9000\nkinds = rebalance, autoscale\n";
    let settings = parse(&format!("{MINIMAL}{duties}")).expect("valid settings");
    let duties = settings.duties.expect("duties");
    assert_eq!(duties.kinds, [Duty::Scaling].into());
    assert_eq!(duties.unknown_kinds, ["rebalance"]);
}

/// Guards against duties that cannot work and an error that does not say what to change.
#[test_case("kinds = usage_report", "report_window_s"; "no window")]
#[test_case("kinds = usage_report\nreport_window_s = 0.5", "at least 1"; "window too short")]
#[test_case("kinds = autoscale\nlease_ms = 100", "at least 500"; "lease too short")]
#[test_case("kinds = autoscale\ncalls_per_s = 0", "above 0"; "no calls")]
fn invalid_duties_are_refused(lines: &str, remedy: &str) {
    let text = format!("{MINIMAL}[duties]\naddress = 127.0.0.1:9000\n{lines}\n");
    let error = parse(&text).expect_err("invalid settings");
    assert!(error.contains(remedy), "{error}");
}
