//! The error type of the crate.

crate::error_wrapper!();

/// The class of an error, from which an API derives its status code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Category {
    /// The input is invalid; a retry with the same input fails again.
    Input,
    /// Another writer changed the data concurrently.
    Conflict,
    /// The key or the handle does not grant access.
    Access,
    /// The requested item does not exist.
    Missing,
    /// Capacity is exhausted or a dependency is unreachable; a retry may succeed.
    Unavailable,
}

#[derive(Debug, thiserror::Error)]
pub(crate) enum Kind {
    #[error("`{name}` is not a valid {kind} name; use 1 to 63 letters, digits, `-`, `_`, `.` or `:`")]
    InvalidName { kind: &'static str, name: String },
    #[error("not a valid id; pass the id exactly as it was returned")]
    InvalidId { source: uuid::Error },
    #[error("the file is not valid INI: {source}; correct the line named in the message")]
    Ini { source: ini::ParseError },
    #[error("section [{section}], key `{key}`: `{value}` {problem}; {remedy}")]
    Value {
        section: String,
        key: String,
        value: String,
        problem: String,
        remedy: String,
    },
    #[error("section [{section}]: {problem}; {remedy}")]
    Section {
        section: String,
        problem: String,
        remedy: String,
    },
    #[error("asset register, line {line}: {problem}; {remedy}")]
    Register { line: u64, problem: String, remedy: String },
    #[error("a chunk has token ids and text offsets that do not match; check the engine's version")]
    MalformedChunk,
    #[error("the resume handle is not valid for this account; pass the header Hawthornpost-Resume unchanged")]
    InvalidHandle,
    #[error("only {released} tokens were sent on this branch; resume from the last event that was received")]
    NotReleased { released: u32 },
    #[error("too many bytes wait for slow readers; read open streams or resume later")]
    BacklogFull,
    #[error("the configuration cannot be decoded: {source}; apply it again from its source files")]
    Decode { source: serde_json::Error },
    #[error("configuration version {version}: {problem}; fetch the chunks again")]
    Assembly { version: u64, problem: &'static str },
}

impl Error {
    /// Returns the class of the error.
    pub fn category(&self) -> Category {
        match *self.kind {
            Kind::InvalidName { .. }
            | Kind::InvalidId { .. }
            | Kind::Ini { .. }
            | Kind::Value { .. }
            | Kind::Section { .. }
            | Kind::MalformedChunk
            | Kind::Register { .. }
            | Kind::Assembly { .. }
            | Kind::Decode { .. }
            | Kind::NotReleased { .. } => Category::Input,
            Kind::InvalidHandle => Category::Access,
            Kind::BacklogFull => Category::Unavailable,
        }
    }
}
