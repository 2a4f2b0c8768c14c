//! Command line of hawthornpost for operators.
//!
//! [`EXIT_CODES`] lists the exit codes.

mod apply;
mod arguments;
mod client;
mod document;
mod entry;
mod error;
mod history;
mod offline;
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

/// The section of the help text that explains the exit codes.
pub const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  the command failed or was rejected
  2  invalid command line
  3  a file is missing or invalid
  4  another change was applied first
  5  no entry host is reachable
  6  access denied
  7  timed out; the operation may still complete
  8  the rollout was reversed";

/// The API client and the output settings, which all commands use.
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
        .map_err(|source| error::Kind::WriteOutput { source })?;
    let client = Client::new(&arguments)?;
    let session = Session { client, output };
    let Some(command) = arguments.command else {
        return Ok(());
    };
    runtime.block_on(async {
        match command {
            Command::Validate(command) => command.run(&session),
            Command::Import(command) => command.run(&session),
            Command::Trace(command) => command.run(&session),
            Command::HashKey(_) => offline::hash_key(&session),
            Command::Diff(command) => command.run(&session).await,
            Command::Apply(command) => command.run(&session).await,
            Command::History(_) => history::show(&session).await,
            Command::Status(command) => command.run(&session).await,
            Command::Rollout(command) => command.run(&session).await,
            Command::Drain(command) => command.run(&session).await,
            Command::Dump(_) => entry::dump(&session).await,
            Command::Send(command) => command.run(&session).await,
        }
    })
}
