//! Measures the latency and memory that an entry host adds, compared with a direct connection to the engine.
//!
//! The engine writes the send time of a token into the token's text. Caller and engine run in this process and read the
//! same clock; the daemon runs in a separate process.

use std::net::SocketAddr;
use std::time::Duration;

use hdrhistogram::Histogram;
use linkme::distributed_slice;
use tokio::runtime::Runtime;

use crate::experiment::{EXPERIMENTS, Experiment, Options, Table};
use crate::path_caller::{self, Samples};
use crate::path_daemon::{Daemon, Usage};
use crate::path_engine;

#[distributed_slice(EXPERIMENTS)]
static PATH: Experiment = Experiment {
    name: "path",
    summary: "time and memory that an entry host adds per token and stream (needs hawthornpostd in the same directory)",
    run,
};

/// A load to measure.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// The number of callers.
    pub(crate) streams: usize,
    /// The number of tokens in each answer.
    pub(crate) tokens: u32,
    gap: Duration,
}

/// Three loads for latency and memory, and one without gaps between tokens for throughput.
const LOADS: [Load; 4] = [
    Load::new(1, 300, 10),
    Load::new(100, 200, 20),
    Load::new(1000, 100, 60),
    Load::new(100, 10_000, 0),
];

impl Load {
    const fn new(streams: usize, tokens: u32, gap_ms: u64) -> Self {
        Self {
            streams,
            tokens,
            gap: Duration::from_millis(gap_ms),
        }
    }
}

/// The results of one load on one route.
struct Outcome {
    samples: Samples,
    elapsed: Duration,
    usage: Option<(Usage, Usage)>,
}

fn run(_options: &Options) -> Table {
    let mut table = Table::new([
        "way",
        "streams",
        "gap (ms)",
        "first token p50 (us)",
        "first token p99 (us)",
        "token p50 (us)",
        "token p99 (us)",
        "tokens/s",
        "daemon CPU per token (us)",
        "idle RSS (KB)",
        "RSS per stream (KB)",
    ]);
    let runtime = Runtime::new().expect("a runtime");
    for load in LOADS {
        let engine = runtime.block_on(path_engine::start(load.tokens, load.gap));
        table.push(row("direct", load, &runtime.block_on(direct(load, engine))));
        table.push(row("entry", load, &runtime.block_on(through_entry(load, engine))));
    }
    table
}

async fn direct(load: Load, engine: SocketAddr) -> Outcome {
    let begin = std::time::Instant::now();
    let samples = path_caller::run(engine, load, path_caller::engine_body, || {}).await;
    Outcome {
        samples,
        elapsed: begin.elapsed(),
        usage: None,
    }
}

async fn through_entry(load: Load, engine: SocketAddr) -> Outcome {
    let daemon = Daemon::start(engine).await;
    let before = daemon.usage();
    let begin = std::time::Instant::now();
    let mut peak = before;
    let samples = path_caller::run(daemon.address(), load, path_caller::entry_body, || {
        peak = daemon.usage();
    })
    .await;
    let elapsed = begin.elapsed();
    let after = Usage {
        cpu: daemon.usage().cpu,
        resident_bytes: peak.resident_bytes,
    };
    Outcome {
        samples,
        elapsed,
        usage: Some((before, after)),
    }
}

fn row(way: &str, load: Load, outcome: &Outcome) -> Vec<String> {
    let tokens = load.streams as f64 * f64::from(load.tokens);
    let mut row = vec![
        way.to_owned(),
        load.streams.to_string(),
        load.gap.as_millis().to_string(),
        quantile(&outcome.samples.first_token, 0.5),
        quantile(&outcome.samples.first_token, 0.99),
        quantile(&outcome.samples.token, 0.5),
        quantile(&outcome.samples.token, 0.99),
        format!("{:.0}", tokens / outcome.elapsed.as_secs_f64()),
    ];
    match outcome.usage {
        None => row.extend(["-", "-", "-"].map(str::to_owned)),
        Some((before, after)) => {
            let cpu = after.cpu.saturating_sub(before.cpu).as_secs_f64() * 1e6 / tokens;
            let grown = after.resident_bytes.saturating_sub(before.resident_bytes) as f64;
            row.push(format!("{cpu:.1}"));
            row.push((before.resident_bytes / 1024).to_string());
            row.push(format!("{:.1}", grown / 1024.0 / load.streams as f64));
        }
    }
    row
}

fn quantile(histogram: &Histogram<u64>, quantile: f64) -> String {
    histogram.value_at_quantile(quantile).to_string()
}
