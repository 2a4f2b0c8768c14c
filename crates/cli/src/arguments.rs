//! The arguments of all verbs.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;

use crate::EXIT_CODES;

/// The exit code of a wrong command line.
const USAGE: u8 = 2;

/// Operates a deployment of hawthornpost.
///
/// Options of this list stand before the verb. The addresses come from `--entry` or, separated by commas, from the
/// environment variable `HAWTHORNPOST_ENTRIES`; the key comes from `--key-file` or `HAWTHORNPOST_KEY`.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "address of an entry host; may be repeated", meta = "IP:PORT")]
    pub(crate) entry: Vec<SocketAddr>,
    #[options(help = "file that holds the key", meta = "FILE")]
    pub(crate) key_file: Option<PathBuf>,
    #[options(help = "print results and errors as JSON")]
    pub(crate) json: bool,
    #[options(help = "print no progress")]
    pub(crate) quiet: bool,
    #[options(help = "time limit of one call in seconds", default = "10", meta = "S")]
    pub(crate) timeout: u64,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "check inventory and rules without contacting the deployment")]
    Validate(Validate),
    #[options(help = "check an asset register and show what it holds")]
    Import(Import),
    #[options(help = "show what applying inventory and rules would change")]
    Diff(Diff),
    #[options(help = "apply inventory and rules and wait until they are in force")]
    Apply(Apply),
    #[options(help = "list the accepted versions of the configuration")]
    History(History),
    #[options(help = "show the entry host and which hosts have the configuration")]
    Status(Status),
    #[options(help = "show or abort moves of traffic between versions")]
    Rollout(Rollout),
    #[options(help = "let an entry host finish its work and stop")]
    Drain(Drain),
    #[options(help = "print the state of an entry host")]
    Dump(Dump),
    #[options(help = "send a request for a generation and print the answer")]
    Send(Send),
    #[options(help = "follow one request through the logs on standard input")]
    Trace(Trace),
    #[options(help = "print the blake3 hash of a key for rules and settings")]
    HashKey(HashKey),
}

/// Checks inventory and rules, each alone and against each other. Nothing is sent.
#[derive(Debug, Options)]
pub(crate) struct Validate {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "asset register (CSV)", required, meta = "FILE")]
    pub(crate) inventory: PathBuf,
    #[options(help = "rules (INI)", required, meta = "FILE")]
    pub(crate) rules: PathBuf,
}

/// Reads an asset register and prints the inventory that it makes; with --json, all targets.
#[derive(Debug, Options)]
pub(crate) struct Import {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "asset register (CSV)")]
    pub(crate) register: PathBuf,
}

/// Compares files with the configuration in force. Nothing is changed.
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
        help = "version that the files were made from; the version in force by default",
        meta = "N"
    )]
    pub(crate) base: Option<u64>,
    #[options(help = "name for the history; the user's name by default", meta = "NAME")]
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

/// Shows the phase of the entry host that answers and which entry hosts have the configuration.
#[derive(Debug, Options)]
pub(crate) struct Status {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "version to ask for; the highest known one by default", meta = "N", no_short)]
    pub(crate) version: Option<u64>,
}

/// Shows or aborts moves of traffic between versions.
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
    #[options(help = "wait this many seconds until it is complete or reversed", meta = "S")]
    pub(crate) wait: Option<u64>,
}

/// Sends all traffic back to the old version. It cannot be undone; use a new rollout.
#[derive(Debug, Options)]
pub(crate) struct RolloutAbort {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "name of the rollout")]
    pub(crate) name: String,
}

/// Makes the entry host of the first --entry leave: it takes no new work, finishes what runs and stops.
#[derive(Debug, Options)]
pub(crate) struct Drain {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        help = "how long to wait for the end in seconds; 0 does not wait",
        default = "0",
        meta = "S"
    )]
    pub(crate) wait: u64,
}

/// Prints the state of all parts of the entry host that answers, as JSON.
#[derive(Debug, Options)]
pub(crate) struct Dump {
    #[options(help = "print this help")]
    help: bool,
}

/// Streams a generation to standard output. When the entry host is lost, the answer goes on at another one.
#[derive(Debug, Options)]
pub(crate) struct Send {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "model that generates", required, meta = "NAME")]
    pub(crate) model: String,
    #[options(help = "text to continue; standard input by default", meta = "TEXT")]
    pub(crate) prompt: Option<String>,
    #[options(help = "largest number of tokens", meta = "N", short = "n")]
    pub(crate) max_tokens: Option<u32>,
    #[options(help = "priority from 0 to 9, at most that of the account", meta = "N", no_short)]
    pub(crate) priority: Option<u8>,
    #[options(
        help = "how long to look for another entry host in seconds",
        default = "30",
        meta = "S",
        no_short
    )]
    pub(crate) patience: u64,
}

/// Reads log lines of gateways from standard input and prints those that explain one request, in the order of time.
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
    /// Reads the arguments of the process; help and mistakes end with an exit code.
    pub(crate) fn read() -> Result<Self, ExitCode> {
        let words = std::env::args().skip(1).collect::<Vec<_>>();
        let arguments = Self::parse_args_default(&words).map_err(|error| {
            eprintln!("hawthornpost: {error}; see `hawthornpost --help`");
            ExitCode::from(USAGE)
        })?;
        if arguments.help_requested() || arguments.command.is_none() {
            println!("{}", arguments.help());
            let code = if arguments.help_requested() { 0 } else { USAGE };
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
        let verbs = list.map_or_else(String::new, |list| format!("\n\nVerbs:\n{list}"));
        format!(
            "Usage: {path} [OPTIONS]\n\n{}{verbs}\n\n{EXIT_CODES}",
            options.self_usage()
        )
    }
}
