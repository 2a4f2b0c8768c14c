//! Import of the register: malformed lines are rejected, and each error contains line, problem and remedy.

use hawthornpost_core::inventory::Register;
use test_case::test_case;

const HEADER: &str = "name,address,data_centre,role,version,model,capacity_tokens,fencing,service,status_lookup";
const ENGINE: &str = "eng-1,10.0.0.1:8000,karibib,engine,v1,reports,100000,checked,,";
const SERVICE: &str = "book-1,10.0.0.2:8000,usakos,service,v3,,,,booking,yes";

#[test]
fn both_roles_are_read() -> Result<(), hawthornpost_core::Error> {
    let register = Register::import(&format!("\u{feff}{HEADER}\r\n{ENGINE}\r\n{SERVICE}\r\n"))?;
    assert_eq!(register.len(), 2);
    assert_eq!(register.engines(&"reports".parse()?, &"v1".parse()?).count(), 1);
    assert_eq!(register.instances(&"booking".parse()?).count(), 1);
    Ok(())
}

#[test_case("", "line 1: the column `name` is missing"; "empty file")]
#[test_case("name,name,address,data_centre,role,version\n", "line 1: the column `name` appears twice"; "column twice")]
#[test_case("name,address,colour,role,version\n", "line 1: `colour` is not a known column"; "unknown column")]
fn malformed_header_is_rejected(text: &str, expected: &str) {
    let error = Register::import(text).expect_err("the header is malformed").to_string();
    assert!(error.contains(expected), "{error}");
}

#[test_case("eng-2,10.0.0.9:8000,karibib", "line 3: the line has 3 values"; "too few values")]
#[test_case("eng 2,10.0.0.9:8000,karibib,engine,v1,reports,1,checked,,", "`name` is `eng 2`"; "name with a space")]
#[test_case("eng-2,10.0.0.9,karibib,engine,v1,reports,1,checked,,", "`address` is `10.0.0.9`"; "no port")]
#[test_case("eng-2,,karibib,engine,v1,reports,1,checked,,", "`address` is empty"; "no address")]
#[test_case("eng-2,10.0.0.9:8000,karibib,robot,v1,reports,1,checked,,", "`role` is `robot`"; "unknown role")]
#[test_case("eng-2,10.0.0.9:8000,karibib,engine,v1,reports,0,checked,,", "`capacity_tokens` is `0`"; "no capacity")]
#[test_case("eng-2,10.0.0.9:8000,karibib,engine,v1,reports,-5,checked,,", "`capacity_tokens` is `-5`"; "negative capacity")]
#[test_case("eng-2,10.0.0.9:8000,karibib,engine,v1,reports,1,maybe,,", "`fencing` is `maybe`"; "unknown fencing")]
#[test_case("eng-2,10.0.0.9:8000,karibib,engine,v1,reports,1,checked,booking,", "`service` has a value"; "engine with a service")]
#[test_case("b-2,10.0.0.9:8000,karibib,service,v1,,,,booking,perhaps", "`status_lookup` is `perhaps`"; "unknown status lookup")]
#[test_case("b-2,10.0.0.9:8000,karibib,service,v1,reports,,,booking,", "`model` has a value"; "service with a model")]
#[test_case("eng-1,10.0.0.9:8000,karibib,engine,v1,reports,1,checked,,", "target `eng-1` appears twice"; "name twice")]
#[test_case("eng-2,10.0.0.1:8000,karibib,engine,v1,reports,1,checked,,", "target `eng-1` already has the address"; "address twice")]
fn malformed_line_is_rejected_with_its_number(line: &str, expected: &str) {
    let error = Register::import(&format!("{HEADER}\n{ENGINE}\n{line}\n")).expect_err("the line is malformed");
    let message = error.to_string();
    assert!(message.contains("line 3: ") && message.contains(expected), "{message}");
    assert!(message.contains("; "), "the message has no remedy: {message}");
}
