//! Prints results to standard output, and progress and errors to standard error.

use std::fmt::Display;
use std::io::{self, Write};

use serde::Serialize;

use crate::error::{Error, Kind, Result};

/// The output settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Output {
    json: bool,
    quiet: bool,
}

impl Output {
    pub(crate) fn new(json: bool, quiet: bool) -> Self {
        Self { json, quiet }
    }

    pub(crate) fn is_json(self) -> bool {
        self.json
    }

    /// Prints a result as JSON or as text.
    pub(crate) fn result(self, value: &impl Serialize, text: impl Display) -> Result<()> {
        let line = if self.json {
            serde_json::to_string(value).unwrap_or_default()
        } else {
            text.to_string()
        };
        writeln!(io::stdout(), "{line}").map_err(|source| Kind::WriteOutput { source }.into())
    }

    /// Prints a part of a streamed text and flushes it; JSON output prints only the final result.
    pub(crate) fn fragment(self, text: &str) -> Result<()> {
        if self.json {
            return Ok(());
        }
        let mut stdout = io::stdout();
        let written = stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush());
        written.map_err(|source| Kind::WriteOutput { source }.into())
    }

    /// Prints a progress message. Write errors are ignored, so a closed standard error does not stop the command.
    pub(crate) fn progress(self, text: impl Display) {
        if !self.quiet {
            let _ = writeln!(io::stderr(), "{text}");
        }
    }

    /// Prints an error.
    pub(crate) fn error(self, error: &Error) {
        let text = if self.json {
            error.to_json().to_string()
        } else {
            format!("hawthornpost: {error}")
        };
        // The exit code still reports the failure if standard error is closed.
        let _ = writeln!(io::stderr(), "{text}");
    }
}
