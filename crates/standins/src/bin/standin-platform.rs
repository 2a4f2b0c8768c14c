//! Runs a stand-in for the platform's object API.

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;
use hawthornpost_standins::platform::{self, Settings};

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:7001", meta = "IP:PORT")]
    listen: SocketAddr,
    #[options(help = "JSON list of objects to create, each with a field `plural`", meta = "FILE")]
    objects: Option<PathBuf>,
    #[options(help = "processing time of a call in milliseconds", default = "0", meta = "MS")]
    latency: u64,
    #[options(help = "random seed for faults", default = "0", meta = "N")]
    seed: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let objects = match &arguments.objects {
        Some(path) => serde_json::from_slice(&std::fs::read(path)?)?,
        None => Vec::new(),
    };
    let settings = Settings {
        objects,
        latency: Duration::from_millis(arguments.latency),
        seed: arguments.seed,
    };
    let platform = platform::start(arguments.listen, settings)?;
    println!("platform listens on {}", platform.address());
    platform.wait();
    Ok(())
}
