//! Rules: malformed sections and conflicts between rules and inventory are rejected.

use hawthornpost_core::inventory::Register;
use hawthornpost_core::rules::Rules;
use test_case::test_case;

const REGISTER: &str = "name,address,data_centre,role,version,model,capacity_tokens,fencing,service\n\
    a,10.0.0.1:1,perth,engine,v1,letters,1000,checked,\n\
    b,10.0.0.2:1,perth,engine,v2,letters,1000,checked,\n\
    c,10.0.0.3:1,perth,service,v1,,,,booking\n";
const MODEL: &str = "[model letters]\nversion = v1\n";
const ROLLOUT: &str = "[rollout r]\nmodel = letters\nfrom = v1\nto = v2\nstart = 2027-01-31T18:00:00Z\n\
    deadline = 2027-01-31T20:00:00Z\n";

fn key(seed: u8) -> blake3::Hash {
    blake3::hash(&[seed])
}

#[test]
fn rollout_defaults() -> Result<(), hawthornpost_core::Error> {
    let rules = Rules::parse(&format!("{MODEL}{ROLLOUT}"))?;
    let rule = &rules.rollouts[&"r".parse()?];
    assert_eq!((rule.min_requests, rule.keep_ms, rule.aborted), (50, 1_800_000, false));
    rules.check(&Register::import(REGISTER)?)
}

#[test_case("min_requests = 0", "out of range"; "no requests")]
#[test_case("min_requests = many", "is not valid"; "not a number")]
#[test_case("keep_ms = 604800001", "out of range"; "kept longer than a week")]
#[test_case("aborted = maybe", "is not valid"; "aborted is not a boolean")]
#[test_case("abort = true", "is not a known key"; "misspelt key")]
fn malformed_rollout_setting_is_rejected(line: &str, expected: &str) {
    let error = Rules::parse(&format!("{MODEL}{ROLLOUT}{line}\n")).expect_err("the setting is malformed");
    assert!(error.to_string().contains(expected), "{error}");
}

#[test_case("to = v2", "to = v1", "is the version that serves now"; "same version")]
#[test_case("T20", "T17", "is not after the start"; "deadline before start")]
#[test_case("2027-01-31T18:00:00Z", "soon", "is not valid"; "start is not a time")]
fn conflict_within_a_rollout_is_rejected(from: &str, to: &str, expected: &str) {
    let error = Rules::parse(&format!("{MODEL}{}", ROLLOUT.replace(from, to))).expect_err("the rollout is malformed");
    assert!(error.to_string().contains(expected), "{error}");
}

#[test_case("[model letters]\nversion = v9\n", "[model letters]: no target serves"; "model without target")]
#[test_case("[service payment]\n", "[service payment]: no target"; "service without instance")]
#[test_case(&ROLLOUT.replace("letters", "reports"), "there is no model `reports`"; "rollout of an unknown model")]
#[test_case(&format!("{MODEL}{}", ROLLOUT.replace("to = v2", "to = v3")), "in version `v3`"; "rollout to a version without target")]
#[test_case(&format!("{}{}", MODEL.replace("v1", "v2"), ROLLOUT.replace("v2", "v3").replace("v1", "v4")), "is served by version `v2`"; "rollout from another version")]
#[test_case(&format!("{MODEL}{ROLLOUT}{}", ROLLOUT.replace("rollout r", "rollout s")), "rollout `r` moves the traffic"; "two rollouts of a model")]
#[test_case(&format!("[account x]\nkey_hash = {0}\n[account y]\nkey_hash = {1}\n", key(1), key(1).to_string().to_uppercase()), "account `x` has the same key"; "key twice, in capitals")]
fn conflict_with_the_inventory_is_rejected(text: &str, expected: &str) -> Result<(), hawthornpost_core::Error> {
    let error = Rules::parse(text)?
        .check(&Register::import(REGISTER)?)
        .expect_err("the rules contradict");
    let message = error.to_string();
    assert!(message.contains(expected) && message.contains("; "), "{message}");
    Ok(())
}
