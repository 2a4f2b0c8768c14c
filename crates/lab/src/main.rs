//! `lab EXPERIMENT [--seed N] [--seeds N] [--set NAME=VALUE]... [--csv FILE]` runs one experiment; without a name it
//! lists all experiments.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options as _;
use hawthornpost_lab::experiment::Options;
use hawthornpost_lab::{EXPERIMENTS, Experiment};

#[derive(Debug, gumdrop::Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the experiment; all are listed when it is missing")]
    experiment: Option<String>,
    #[options(help = "the first seed", default = "1")]
    seed: u64,
    #[options(help = "the number of seeds", default = "200", no_short)]
    seeds: u64,
    #[options(help = "write the table to this file as CSV", meta = "FILE")]
    csv: Option<PathBuf>,
    #[options(help = "a setting of the experiment; may be repeated", meta = "NAME=VALUE", no_short)]
    set: Vec<String>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let name = arguments.experiment.as_deref().unwrap_or_default();
    let found = EXPERIMENTS.iter().find(|experiment| experiment.name == name);
    let Some(experiment) = found else {
        list();
        return if name.is_empty() {
            ExitCode::SUCCESS
        } else {
            ExitCode::from(2)
        };
    };
    match run(experiment, &arguments) {
        Ok(violations) if violations.is_empty() => ExitCode::SUCCESS,
        Ok(violations) => {
            for violation in violations {
                eprintln!("violation: {violation}");
            }
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("cannot write the results: {error}; check the path given with --csv");
            ExitCode::FAILURE
        }
    }
}

fn list() {
    let mut sorted = EXPERIMENTS.iter().collect::<Vec<_>>();
    sorted.sort_by_key(|experiment| experiment.name);
    for experiment in sorted {
        println!("{:<20} {}", experiment.name, experiment.summary);
    }
}

fn run(experiment: &Experiment, arguments: &Arguments) -> Result<Vec<String>, csv::Error> {
    let pairs = arguments
        .set
        .iter()
        .map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    let options = Options {
        seed: arguments.seed,
        seeds: arguments.seeds,
        set: pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
    };
    let table = (experiment.run)(&options);
    table.print(io::stdout().lock())?;
    if let Some(path) = &arguments.csv {
        table.write_csv(path)?;
    }
    Ok(table.violations)
}
