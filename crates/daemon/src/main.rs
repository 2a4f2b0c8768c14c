//! The daemon of an entry host, started with `hawthornpostd --config FILE`.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use hawthornpost_daemon::settings::Settings;
use hawthornpost_daemon::{Result, kernel, logging};

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "the settings file", required, meta = "FILE")]
    config: PathBuf,
    #[options(help = "check the settings and exit", no_short)]
    check: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hawthornpostd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<()> {
    let settings = Settings::load(&arguments.config)?;
    if arguments.check {
        println!("{} is valid", arguments.config.display());
        return Ok(());
    }
    logging::start(&settings.log, &settings.entry.name)?;
    kernel::run(settings)
}
