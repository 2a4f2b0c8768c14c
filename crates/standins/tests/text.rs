//! Guards against a checker that accepts a wrong answer.

use hawthornpost_standins::text::{Place, Verified, verify};

const PROMPT: &str = "Dear sir, the lower plate";

fn words(count: usize, choice: usize) -> Vec<String> {
    let mut place = Place::start(PROMPT);
    let next = |_| {
        let token = place.candidate(choice);
        place.advance(token.id);
        token.text
    };
    (0..count).map(next).collect()
}

#[test]
fn a_whole_answer_is_accepted() {
    let text = words(200, 1).concat() + ".";
    let expected = Verified {
        tokens: 201,
        ended: true,
    };
    assert_eq!(verify(PROMPT, &text), Ok(expected));
}

#[test]
fn a_cut_answer_is_not_ended() {
    assert!(!verify(PROMPT, &words(10, 1).concat()).unwrap().ended);
}

/// Guards H1 and H2: every place at which a token is missing, repeated or from another generation is found.
#[test]
fn every_wrong_token_is_found() {
    let (own, other) = (words(50, 1), words(50, 2));
    for place in 0..49 {
        let mut missing = own.clone();
        missing.remove(place);
        let mut repeated = own.clone();
        repeated.insert(place, own[place].clone());
        let mixed = [&own[..=place], &other[place + 1..]].concat();
        for wrong in [missing, repeated, mixed] {
            assert!(verify(PROMPT, &wrong.concat()).is_err(), "place {place}");
        }
    }
    verify("another prompt", &own.concat()).unwrap_err();
    let after_end = own.concat() + "." + &own[0];
    verify(PROMPT, &after_end).unwrap_err();
}
