//! Generated text whose completeness can be verified.
//!
//! Each token is one of a few candidates derived from a hash of the prompt and all earlier tokens. The candidate is
//! chosen at random, so two generations differ. A token that is missing, repeated or from another generation changes the
//! hash, so the tokens after it are no longer among the candidates.

use blake3::Hash;
use hawthornpost_core::wire::Token;

/// The number of valid tokens at each position.
const CANDIDATES: usize = 4;
/// The number of bytes of the hash that determine one candidate.
const BYTES_PER_CANDIDATE: usize = 2;
/// The id of the token that ends an answer; the ids of ordinary tokens have 16 bits.
const END_ID: u32 = 0x1_0000;
const END_TEXT: &str = ".";
const CONSONANTS: [char; 16] = [
    'b', 'd', 'f', 'g', 'h', 'j', 'k', 'l', 'm', 'n', 'p', 'r', 's', 't', 'v', 'z',
];
/// One vowel takes two bytes in UTF-8, so that tests notice confusion of byte and character offsets.
const VOWELS: [char; 4] = ['a', 'i', 'o', 'ü'];

/// A position in an answer, with the hash of everything before it.
#[derive(Clone, Debug)]
pub struct Position {
    state: Hash,
}

/// The result of verifying a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verified {
    /// The number of tokens.
    pub tokens: u32,
    /// Whether the text ends with the end token.
    pub ended: bool,
}

/// The first invalid token of a text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("token {index} (`{word}`) is not valid after the prompt and the tokens before it")]
pub struct Mismatch {
    /// The index of the token.
    pub index: u32,
    /// The text of the token.
    pub word: String,
}

impl Position {
    /// Returns the position before the first token.
    pub fn start(prompt: &str) -> Self {
        Self {
            state: blake3::hash(prompt.as_bytes()),
        }
    }

    /// Returns the token that `choice` selects among the candidates.
    pub fn candidate(&self, choice: usize) -> Token {
        let id = self.candidate_id(choice % CANDIDATES);
        Token { id, text: encode(id) }
    }

    /// Returns the token that ends an answer.
    pub fn end() -> Token {
        Token {
            id: END_ID,
            text: END_TEXT.to_owned(),
        }
    }

    /// Returns whether the token is valid at this position.
    pub fn allows(&self, id: u32) -> bool {
        id == END_ID || (0..CANDIDATES).any(|choice| self.candidate_id(choice) == id)
    }

    /// Moves past a token.
    pub fn advance(&mut self, id: u32) {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.state.as_bytes());
        hasher.update(&id.to_le_bytes());
        self.state = hasher.finalize();
    }

    fn candidate_id(&self, choice: usize) -> u32 {
        let start = choice * BYTES_PER_CANDIDATE;
        let bytes = self.state.as_bytes();
        u32::from(u16::from_le_bytes([bytes[start], bytes[start + 1]]))
    }
}

/// Verifies an answer.
///
/// An answer that the model ended has `ended` set; an answer that reached the token limit has exactly that many tokens.
/// Any other answer is truncated.
///
/// ```
/// use hawthornpost_standins::text::{Position, verify};
///
/// let token = Position::start("prompt").candidate(0);
/// assert_eq!(verify("prompt", &token.text)?.tokens, 1);
/// # Ok::<(), hawthornpost_standins::text::Mismatch>(())
/// ```
///
/// # Errors
///
/// Fails at the first token that is not valid after the prompt and the tokens before it.
pub fn verify(prompt: &str, text: &str) -> Result<Verified, Mismatch> {
    let mut position = Position::start(prompt);
    let mut tokens = 0;
    let mut ended = false;
    for word in text.split_inclusive(is_terminator).map(str::trim_start) {
        let id = decode(word).filter(|id| !ended && position.allows(*id));
        let Some(id) = id else {
            return Err(Mismatch {
                index: tokens,
                word: word.to_owned(),
            });
        };
        position.advance(id);
        ended = id == END_ID;
        tokens += 1;
    }
    Ok(Verified { tokens, ended })
}

/// Words end with `,` so that the text can be split into tokens without knowing the tokens.
fn is_terminator(letter: char) -> bool {
    matches!(letter, ',' | '.')
}

fn encode(id: u32) -> String {
    let consonant = |shift: u32| CONSONANTS[(id >> shift & 0xf) as usize];
    let vowel = |shift: u32| VOWELS[(id >> shift & 0x3) as usize];
    [' ', consonant(12), vowel(10), consonant(6), vowel(4), consonant(0), ',']
        .iter()
        .collect()
}

fn decode(word: &str) -> Option<u32> {
    if word == END_TEXT {
        return Some(END_ID);
    }
    let letters = word.strip_suffix(',')?.chars().collect::<Vec<_>>();
    let [first, second, third, fourth, fifth] = letters[..] else {
        return None;
    };
    let consonant = |letter| CONSONANTS.iter().position(|known| *known == letter);
    let vowel = |letter| VOWELS.iter().position(|known| *known == letter);
    let id = consonant(first)? << 12
        | vowel(second)? << 10
        | consonant(third)? << 6
        | vowel(fourth)? << 4
        | consonant(fifth)?;
    u32::try_from(id).ok()
}
