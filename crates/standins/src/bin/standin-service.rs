//! Runs a stand-in for a plain service.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use gumdrop::Options;
use hawthornpost_standins::service::{self, Settings};

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:7201", meta = "IP:PORT")]
    listen: SocketAddr,
    #[options(help = "name of the service", default = "bookings", meta = "NAME", no_short)]
    service: String,
    #[options(help = "version to report", default = "v1", meta = "NAME", no_short)]
    version: String,
    #[options(
        help = "processing time of a call in milliseconds",
        default = "10",
        meta = "MS",
        no_short
    )]
    latency: u64,
    #[options(help = "support status lookups by claim id", no_short)]
    status_lookup: bool,
    #[options(help = "concurrent calls that fit into memory", default = "10000", meta = "N")]
    capacity: usize,
    #[options(help = "random seed for faults", default = "0", meta = "N")]
    seed: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse_args_default_or_exit();
    let settings = Settings {
        service: arguments.service,
        version: arguments.version,
        latency: Duration::from_millis(arguments.latency),
        status_lookup: arguments.status_lookup,
        capacity: arguments.capacity,
        seed: arguments.seed,
    };
    let service = service::start(arguments.listen, settings)?;
    println!("service listens on {}", service.address());
    service.wait();
    Ok(())
}
