//! Command line of hawthornpost for operators.
//!
//! The exit code tells what happened; [`EXIT_CODES`] lists all of them.

mod apply;
mod arguments;
mod client;
mod document;
mod error;
mod history;
mod offline;
mod operate;
mod output;
mod rollout;
mod send;
mod sse;
mod trace;

use std::process::ExitCode;

pub use crate::error::{Error, Result};

use crate::arguments::{Arguments, Command};
use crate::client::Client;
use crate::output::Output;

/// What each exit code means, as the help prints it.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  the work failed or was refused
  2  the command line is wrong
  3  a file is missing or invalid
  4  another change was first
  5  no entry host can be reached
  6  the key does not give access
  7  not finished within the time limit; it may still happen
  8  the rollout was reversed";

/// What the verbs share.
#[derive(Debug)]
struct Session {
    client: Client,
    output: Output,
}

/// Runs the command line and returns its exit code.
pub fn main() -> ExitCode {
    let arguments = match Arguments::read() {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let output = Output::new(arguments.json, arguments.quiet);
    let result = run(arguments, output);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            output.error(&error);
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(arguments: Arguments, output: Output) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| error::Kind::Output { source })?;
    let client = Client::new(&arguments)?;
    let session = Session { client, output };
    let Some(command) = arguments.command else {
        return Ok(());
    };
    runtime.block_on(async {
        match command {
            Command::Validate(verb) => verb.run(&session),
            Command::Import(verb) => verb.run(&session),
            Command::Trace(verb) => verb.run(&session),
            Command::HashKey(_) => offline::hash_key(&session),
            Command::Diff(verb) => verb.run(&session).await,
            Command::Apply(verb) => verb.run(&session).await,
            Command::History(_) => history::show(&session).await,
            Command::Status(verb) => verb.run(&session).await,
            Command::Rollout(verb) => verb.run(&session).await,
            Command::Drain(verb) => verb.run(&session).await,
            Command::Dump(_) => operate::dump(&session).await,
            Command::Send(verb) => verb.run(&session).await,
        }
    })
}
