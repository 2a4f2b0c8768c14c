//! Generated text that a checker can verify.
//!
//! Each token is one of a few candidates that follow from a hash of the prompt and all earlier tokens. A random choice
//! among the candidates makes two generations differ. A missing, repeated or foreign token changes the hash, so that the
//! following tokens are no longer among their candidates.

use blake3::Hash;
use hawthornpost_core::wire::Token;

/// The number of tokens that may follow at each place.
const CANDIDATES: usize = 4;
/// The bytes of the hash that give one candidate.
const BYTES_PER_CANDIDATE: usize = 2;
/// The token that ends an answer; ordinary tokens have 16 bits.
const END: u32 = 0x1_0000;
const END_TEXT: &str = ".";
const CONSONANTS: [char; 16] = [
    'b', 'd', 'f', 'g', 'h', 'j', 'k', 'l', 'm', 'n', 'p', 'r', 's', 't', 'v', 'z',
];
/// One vowel takes two bytes, so that offsets in bytes and in characters differ.
const VOWELS: [char; 4] = ['a', 'i', 'o', 'ü'];

/// The place in an answer up to which the tokens are known.
#[derive(Clone, Debug)]
pub struct Place {
    state: Hash,
}

/// What a checked text consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verified {
    /// The number of tokens.
    pub tokens: u32,
    /// Whether the text has the token that ends an answer.
    pub ended: bool,
}

/// The first place at which a text is wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("token {index} (`{word}`) does not follow from the prompt and the tokens before it")]
pub struct Mismatch {
    /// The index of the token.
    pub index: u32,
    /// The text that stands there.
    pub word: String,
}

impl Place {
    /// Returns the place before the first token.
    pub fn start(prompt: &str) -> Self {
        Self {
            state: blake3::hash(prompt.as_bytes()),
        }
    }

    /// Returns the token that `choice` selects among the candidates.
    pub fn candidate(&self, choice: usize) -> Token {
        let id = self.candidate_id(choice % CANDIDATES);
        Token { id, text: word(id) }
    }

    /// Returns the token that ends an answer.
    pub fn end() -> Token {
        Token {
            id: END,
            text: END_TEXT.to_owned(),
        }
    }

    /// Returns whether the token may stand here.
    pub fn allows(&self, id: u32) -> bool {
        id == END || (0..CANDIDATES).any(|choice| self.candidate_id(choice) == id)
    }

    /// Moves behind a token.
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

/// Checks a whole answer.
///
/// An answer that was ended by the model has `ended` set; an answer that was ended by the limit of tokens has as many
/// tokens as the limit. Anything else is cut off.
///
/// ```
/// use hawthornpost_standins::text::{Place, verify};
///
/// let token = Place::start("prompt").candidate(0);
/// assert_eq!(verify("prompt", &token.text)?.tokens, 1);
/// # Ok::<(), hawthornpost_standins::text::Mismatch>(())
/// ```
///
/// # Errors
///
/// Fails at the first token that does not follow from the prompt and the tokens before it.
pub fn verify(prompt: &str, text: &str) -> Result<Verified, Mismatch> {
    let mut place = Place::start(prompt);
    let mut tokens = 0;
    let mut ended = false;
    for word in text.split_inclusive(is_last_of_word).map(str::trim_start) {
        let id = id(word).filter(|id| !ended && place.allows(*id));
        let Some(id) = id else {
            return Err(Mismatch {
                index: tokens,
                word: word.to_owned(),
            });
        };
        place.advance(id);
        ended = id == END;
        tokens += 1;
    }
    Ok(Verified { tokens, ended })
}

/// Words end with `,` so that the text can be cut into tokens without knowing the tokens.
fn is_last_of_word(letter: char) -> bool {
    matches!(letter, ',' | '.')
}

fn word(id: u32) -> String {
    let consonant = |shift: u32| CONSONANTS[(id >> shift & 0xf) as usize];
    let vowel = |shift: u32| VOWELS[(id >> shift & 0x3) as usize];
    [' ', consonant(12), vowel(10), consonant(6), vowel(4), consonant(0), ',']
        .iter()
        .collect()
}

fn id(word: &str) -> Option<u32> {
    if word == END_TEXT {
        return Some(END);
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
