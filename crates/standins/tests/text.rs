//! Guards against a verifier that accepts an invalid answer.

use hawthornpost_standins::text::{Position, Verified, verify};

const PROMPT: &str = "Dear sir, the lower plate";

fn words(count: usize, choice: usize) -> Vec<String> {
    let mut position = Position::start(PROMPT);
    let next = |_| {
        let token = position.candidate(choice);
        position.advance(token.id);
        token.text
    };
    (0..count).map(next).collect()
}

#[test]
fn a_complete_answer_is_accepted() {
    let text = words(200, 1).concat() + ".";
    let expected = Verified {
        tokens: 201,
        ended: true,
    };
    assert_eq!(verify(PROMPT, &text), Ok(expected));
}

#[test]
fn a_truncated_answer_is_not_ended() {
    assert!(!verify(PROMPT, &words(10, 1).concat()).unwrap().ended);
}

/// Guards against a missing, repeated or mixed-in token that goes unnoticed at some position.
#[test]
fn every_invalid_token_is_found() {
    let (own, other) = (words(50, 1), words(50, 2));
    for position in 0..49 {
        let mut missing = own.clone();
        missing.remove(position);
        let mut repeated = own.clone();
        repeated.insert(position, own[position].clone());
        let mixed = [&own[..=position], &other[position + 1..]].concat();
        for invalid in [missing, repeated, mixed] {
            assert!(verify(PROMPT, &invalid.concat()).is_err(), "position {position}");
        }
    }
    verify("another prompt", &own.concat()).unwrap_err();
    let after_end = own.concat() + "." + &own[0];
    verify(PROMPT, &after_end).unwrap_err();
}
