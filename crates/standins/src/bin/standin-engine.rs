//! Runs a stand-in for a model engine.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use gumdrop::Options;
use hawthornpost_core::id::{Model, Version};
use hawthornpost_standins::engine::{self, Settings};

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:7101", meta = "IP:PORT")]
    listen: SocketAddr,
    #[options(help = "model", required, meta = "NAME")]
    model: Option<Model>,
    #[options(help = "version of the model", required, meta = "NAME", no_short)]
    version: Option<Version>,
    #[options(help = "time between tokens in milliseconds", default = "20", meta = "MS")]
    gap: f64,
    #[options(help = "prompt tokens processed per second", default = "20000", meta = "N")]
    prompt_speed: u32,
    #[options(help = "tokens that fit into memory", default = "1000000", meta = "N")]
    capacity: u64,
    #[options(help = "requests that run concurrently", default = "256", meta = "N", no_short)]
    max_running: usize,
    #[options(help = "minimum length of an answer in tokens", default = "50", meta = "N", no_short)]
    min_answer: u32,
    #[options(help = "maximum length of an answer in tokens", default = "50", meta = "N", no_short)]
    max_answer: u32,
    #[options(
        help = "time a generation continues without a reader, in milliseconds",
        default = "5000",
        meta = "MS",
        no_short
    )]
    linger: u64,
    #[options(
        help = "delay after which load reports are published, in milliseconds",
        default = "200",
        meta = "MS",
        no_short
    )]
    load_lag: u64,
    #[options(
        help = "delay after which cache events are published, in milliseconds",
        default = "200",
        meta = "MS",
        no_short
    )]
    cache_lag: u64,
    #[options(
        help = "fraction of generations whose newest cache event is lost",
        default = "0",
        meta = "SHARE",
        no_short
    )]
    cache_loss: f64,
    #[options(
        help = "capacity of the prefix cache in blocks",
        default = "10000",
        meta = "N",
        no_short
    )]
    cache_blocks: usize,
    #[options(help = "accept orders with an old fencing number", no_short)]
    ignore_fencing: bool,
    #[options(
        help = "time to carry out an order in milliseconds",
        default = "200",
        meta = "MS",
        no_short
    )]
    order_time: u64,
    #[options(
        help = "random seed for the choice of tokens and for faults",
        default = "0",
        meta = "N"
    )]
    seed: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let (Some(model), Some(version)) = (arguments.model.clone(), arguments.version.clone()) else {
        return Err("--model and --version are required".into());
    };
    let engine = engine::start(arguments.listen, settings(&arguments, model, version))?;
    println!("engine listens on {}", engine.address());
    engine.wait();
    Ok(())
}

fn settings(arguments: &Arguments, model: Model, version: Version) -> Settings {
    Settings {
        gap: Duration::from_secs_f64(arguments.gap.max(0.0) / 1000.0),
        prompt_speed: arguments.prompt_speed,
        capacity: arguments.capacity,
        max_running: arguments.max_running,
        min_answer: arguments.min_answer,
        max_answer: arguments.max_answer,
        linger: Duration::from_millis(arguments.linger),
        load_lag: Duration::from_millis(arguments.load_lag),
        cache_lag: Duration::from_millis(arguments.cache_lag),
        cache_loss: arguments.cache_loss,
        cache_blocks: arguments.cache_blocks,
        checks_fencing: !arguments.ignore_fencing,
        order_time: Duration::from_millis(arguments.order_time),
        seed: arguments.seed,
        ..Settings::new(model, version)
    }
}
