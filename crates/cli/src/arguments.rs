//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;

use crate::EXIT_CODES;

/// Exit code for an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;

/// Operates a deployment of hawthornpost.
///
/// These options go before the command. Addresses are read from `--entry` or, as a comma-separated list, from the
/// environment variable `HAWTHORNPOST_ENTRIES`; the key is read from `--key-file` or `HAWTHORNPOST_KEY`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "address of an entry host; may be repeated", meta = "IP:PORT")]
    pub(crate) entry: Vec<SocketAddr>,
    #[options(help = "file that contains the key", meta = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
    #[options(help = "print results and errors as JSON")]
    pub(crate) json: bool,
    #[options(help = "do not print progress")]
    pub(crate) quiet: bool,
    #[options(help = "timeout of one call in seconds", default = "10", meta = "S")]
    pub(crate) timeout: u64,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "check inventory and rules without contacting the deployment")]
    Validate(Validate),
    #[options(help = "check an asset register and summarise it")]
    Import(Import),
    #[options(help = "show what applying inventory and rules would change")]
    Diff(Diff),
    #[options(help = "apply inventory and rules and wait until they are in force")]
    Apply(Apply),
    #[options(help = "list the accepted versions of the configuration")]
    History(History),
    #[options(help = "show the state of an entry host and which hosts have the configuration")]
    Status(Status),
    #[options(help = "show or abort rollouts")]
    Rollout(Rollout),
    #[options(help = "let an entry host finish its running requests and stop")]
    Drain(Drain),
    #[options(help = "print the internal state of an entry host")]
    Dump(Dump),
    #[options(help = "send a generation request and print the response")]
    Send(Send),
    #[options(help = "trace one request through the logs on standard input")]
    Trace(Trace),
    #[options(help = "print the blake3 hash of a key for rules and settings")]
    HashKey(HashKey),
}

/// Checks inventory and rules, each alone and against each other. Contacts no entry host.
#[derive(Debug, Options)]
pub(crate) struct Validate {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "asset register (CSV)", required, meta = "FILE")]
    pub(crate) inventory: PathBuf,
    #[options(help = "rules (INI)", required, meta = "FILE")]
    pub(crate) rules: PathBuf,
}

/// Reads an asset register and prints a summary of the inventory; with --json, all targets.
#[derive(Debug, Options)]
pub(crate) struct Import {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "asset register (CSV)")]
    pub(crate) register: PathBuf,
}

/// Compares files with the configuration in force. Changes nothing.
#[derive(Debug, Options)]
pub(crate) struct Diff {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "asset register (CSV)", required, meta = "FILE")]
    pub(crate) inventory: PathBuf,
    #[options(help = "rules (INI)", required, meta = "FILE")]
    pub(crate) rules: PathBuf,
}

/// Applies inventory and rules as a new version. Waits until every reachable entry host has it.
#[derive(Debug, Options)]
pub(crate) struct Apply {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "asset register (CSV)", required, meta = "FILE")]
    pub(crate) inventory: PathBuf,
    #[options(help = "rules (INI)", required, meta = "FILE")]
    pub(crate) rules: PathBuf,
    #[options(
        help = "version that the files are based on; the version in force by default",
        meta = "N"
    )]
    pub(crate) base: Option<u64>,
    #[options(help = "author recorded in the history; the user name by default", meta = "NAME")]
    pub(crate) author: Option<String>,
    #[options(help = "how long to wait in seconds", default = "60", meta = "S")]
    pub(crate) wait: u64,
}

/// Lists the accepted versions, newest first.
#[derive(Debug, Options)]
pub(crate) struct History {
    #[options(help = "print this help")]
    help: bool,
}

/// Shows the phase of the entry host that responds and which entry hosts have the configuration.
#[derive(Debug, Options)]
pub(crate) struct Status {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "version to query; the highest known one by default", meta = "N", no_short)]
    pub(crate) version: Option<u64>,
}

/// Shows or aborts rollouts, which move traffic from one version to another.
#[derive(Debug, Options)]
pub(crate) struct Rollout {
    #[options(help = "print this help")]
    help: bool,
    #[options(command, required)]
    pub(crate) command: Option<RolloutCommand>,
}

#[derive(Debug, Options)]
pub(crate) enum RolloutCommand {
    #[options(help = "list all rollouts")]
    List(RolloutList),
    #[options(help = "show one rollout")]
    Show(RolloutShow),
    #[options(help = "send all traffic back to the old version")]
    Abort(RolloutAbort),
}

/// Lists all rollouts.
#[derive(Debug, Options)]
pub(crate) struct RolloutList {
    #[options(help = "print this help")]
    help: bool,
}

/// Shows one rollout; exits with code 8 when it was reversed.
#[derive(Debug, Options)]
pub(crate) struct RolloutShow {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "name of the rollout")]
    pub(crate) name: String,
    #[options(help = "wait up to this many seconds until it is complete or reversed", meta = "S")]
    pub(crate) wait: Option<u64>,
}

/// Sends all traffic back to the old version. An abort cannot be undone; start a new rollout instead.
#[derive(Debug, Options)]
pub(crate) struct RolloutAbort {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "name of the rollout")]
    pub(crate) name: String,
}

/// Drains the entry host of the first --entry: it accepts no new requests, finishes the running ones and stops.
#[derive(Debug, Options)]
pub(crate) struct Drain {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "how long to wait for the host to stop in seconds; 0 does not wait",
        default = "0",
        meta = "S"
    )]
    pub(crate) wait: u64,
}

/// Prints the internal state of the entry host that responds, as JSON.
#[derive(Debug, Options)]
pub(crate) struct Dump {
    #[options(help = "print this help")]
    help: bool,
}

/// Streams a generation to standard output. If the entry host fails, the generation is resumed at another one.
#[derive(Debug, Options)]
pub(crate) struct Send {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "model to use", required, meta = "NAME")]
    pub(crate) model: String,
    #[options(help = "text to continue; standard input by default", meta = "TEXT")]
    pub(crate) prompt: Option<String>,
    #[options(help = "maximum number of tokens", meta = "N", short = "n")]
    pub(crate) max_tokens: Option<u32>,
    #[options(help = "priority from 0 to 9, at most that of the account", meta = "N", no_short)]
    pub(crate) priority: Option<u8>,
    #[options(
        help = "how long to try to resume at another entry host in seconds",
        default = "30",
        meta = "S",
        no_short
    )]
    pub(crate) patience: u64,
}

/// Reads gateway logs from standard input and prints the lines that concern one request, ordered by time.
#[derive(Debug, Options)]
pub(crate) struct Trace {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "id of the request")]
    pub(crate) request: String,
}

/// Reads a key from standard input and prints its hash.
#[derive(Debug, Options)]
pub(crate) struct HashKey {
    #[options(help = "print this help")]
    help: bool,
}

impl Arguments {
    /// Parses the arguments of the process. Returns the exit code if they are invalid or help was printed.
    pub(crate) fn read() -> Result<Self, ExitCode> {
        let args = std::env::args().skip(1).collect::<Vec<_>>();
        let arguments = Self::parse_args_default(&args).map_err(|error| {
            eprintln!("hawthornpost: {error}; see `hawthornpost --help`");
            ExitCode::from(USAGE_EXIT_CODE)
        })?;
        if arguments.help_requested() || arguments.command.is_none() {
            println!("{}", arguments.help());
            let code = if arguments.help_requested() { 0 } else { USAGE_EXIT_CODE };
            return Err(ExitCode::from(code));
        }
        Ok(arguments)
    }

    fn help(&self) -> String {
        let mut path = String::from("hawthornpost");
        let mut options: &dyn Options = self;
        while let Some(command) = options.command() {
            options = command;
            if let Some(name) = options.command_name() {
                path = format!("{path} {name}");
            }
        }
        let list = options.self_command_list();
        let command_help = list.map_or_else(String::new, |list| format!("\n\nVerbs:\n{list}"));
        format!(
            "Usage: {path} [OPTIONS]\n\n{}{command_help}\n\n{EXIT_CODES}",
            options.self_usage()
        )
    }
}
