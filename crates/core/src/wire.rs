//! Request and response bodies of the protocols with callers, engines and services.

use serde::{Deserialize, Serialize};

use crate::error::{Error, Kind, Result};
use crate::id::{Attempt, Model, Request, Version};

/// The body of a caller's request for a generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Completion {
    /// The model that generates.
    pub model: Model,
    /// The text to continue.
    pub prompt: String,
    /// The maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether the response is streamed.
    #[serde(default)]
    pub stream: bool,
    /// The sampling temperature, passed on to the engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub temperature: Option<f64>,
    /// The priority, which must not exceed that of the account.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// The caller's identifier of its user; accepted for compatibility and ignored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub user: Option<String>,
}

/// The body of a request to an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Generate {
    /// The model that generates.
    pub model: Model,
    /// The version that has to serve the request.
    pub version: Version,
    /// The text to continue.
    pub prompt: String,
    /// The maximum number of tokens in the whole answer, including resumed ones.
    pub max_tokens: u32,
    /// Always true, because engines only stream.
    pub stream: bool,
    /// The id of the request.
    pub request_id: Request,
    /// The attempt; an engine refuses attempts lower than the highest one that it has seen for the request.
    pub attempt: Attempt,
    /// The priority from 0 to 9.
    pub priority: u8,
    /// The sampling temperature.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub temperature: Option<f64>,
    /// The tokens that an earlier attempt generated; the engine continues after them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub resume_tokens: Vec<u32>,
}

/// One event of an engine's stream.
///
/// On the wire it is a completion chunk with one choice, which contains the concatenated text, the token ids and the
/// byte offset of each token's text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Chunk", into = "Chunk")]
pub struct Frame {
    /// The request that the tokens belong to.
    pub id: Request,
    /// The attempt that generated them.
    pub attempt: Attempt,
    /// The version that generated them.
    pub version: Version,
    /// The index of the first token in the whole answer.
    pub first: u32,
    /// The tokens.
    pub tokens: Vec<Token>,
    /// Why the generation ended; present on the last frame only.
    pub finish: Option<Finish>,
}

/// One generated token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// The id of the token in the model's vocabulary.
    pub id: u32,
    /// The text of the token.
    pub text: String,
}

#[derive(Serialize, Deserialize)]
struct Chunk {
    id: Request,
    attempt: Attempt,
    version: Version,
    first: u32,
    choices: [Choice; 1],
}

#[derive(Serialize, Deserialize)]
struct Choice {
    index: u32,
    text: String,
    token_ids: Vec<u32>,
    text_offset: Vec<usize>,
    finish_reason: Option<Finish>,
}

impl From<Frame> for Chunk {
    fn from(frame: Frame) -> Self {
        let mut choice = Choice {
            index: 0,
            text: String::new(),
            token_ids: Vec::with_capacity(frame.tokens.len()),
            text_offset: Vec::with_capacity(frame.tokens.len()),
            finish_reason: frame.finish,
        };
        for token in frame.tokens {
            choice.text_offset.push(choice.text.len());
            choice.token_ids.push(token.id);
            choice.text.push_str(&token.text);
        }
        Self {
            id: frame.id,
            attempt: frame.attempt,
            version: frame.version,
            first: frame.first,
            choices: [choice],
        }
    }
}

impl TryFrom<Chunk> for Frame {
    type Error = Error;

    fn try_from(chunk: Chunk) -> Result<Self> {
        let [choice] = chunk.choices;
        Ok(Self {
            id: chunk.id,
            attempt: chunk.attempt,
            version: chunk.version,
            first: chunk.first,
            tokens: tokens(&choice)?,
            finish: choice.finish_reason,
        })
    }
}

fn tokens(choice: &Choice) -> Result<Vec<Token>> {
    let malformed = || Error::from(Kind::MalformedChunk);
    if choice.token_ids.len() != choice.text_offset.len() {
        return Err(malformed());
    }
    let ends = choice.text_offset.iter().skip(1).copied().chain([choice.text.len()]);
    let spans = choice.text_offset.iter().copied().zip(ends);
    choice
        .token_ids
        .iter()
        .zip(spans)
        .map(|(id, (start, end))| {
            let text = choice.text.get(start..end).ok_or_else(malformed)?;
            Ok(Token {
                id: *id,
                text: text.to_owned(),
            })
        })
        .collect()
}

/// Why a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model completed the answer.
    Stop,
    /// The token limit was reached.
    Length,
}

/// The load reported by an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The model that the engine serves.
    pub model: Model,
    /// The version that the engine serves.
    pub version: Version,
    /// The number of tokens in memory: prompts and generated tokens.
    pub tokens_held: u64,
    /// The number of tokens that fit into memory.
    pub tokens_capacity: u64,
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// A number that increases with every report.
    pub sequence: u64,
}

/// Header for the request id, on requests to targets and on all responses.
pub const REQUEST_HEADER: &str = "hawthornpost-request";
/// Header for the resume handle of a generation.
pub const RESUME_HEADER: &str = "hawthornpost-resume";
