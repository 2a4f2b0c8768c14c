//! Rate limit, buffer and catalogue of the log.

#[path = "../../daemon/tests/table/mod.rs"]
mod table;

use std::io::{self, Write};
use std::time::{Duration, Instant};

use hawthornpost_gateway::event::CATALOGUE;
use hawthornpost_gateway::log_limit::Limiter;
use hawthornpost_gateway::logging::Buffer;
use hawthornpost_gateway::metric::DESCRIPTIONS;
use log::Level;

use table::rows;

/// Guards against a burst of successful requests that floods the log or displaces the lines about failures.
#[test]
fn lines_are_rate_limited_and_failures_have_their_own_limit() {
    let mut limiter = Limiter::default();
    let now = Instant::now();
    let ordinary = (0..10_000).filter(|_| limiter.admit(now, Level::Info)).count();
    let failures = (0..10_000).filter(|_| limiter.admit(now, Level::Warn)).count();
    assert!((50..=500).contains(&ordinary) && (200..=500).contains(&failures));
    assert_eq!(limiter.take_omitted(), 20_000 - (ordinary + failures) as u64);
    assert!(limiter.admit(now + Duration::from_secs(1), Level::Info));
}

/// A pipe that is never read.
struct FullPipe;

impl Write for FullPipe {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::WouldBlock.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a log that blocks requests or grows without bound while its reader is stalled, and against dropped
/// lines that are not counted.
#[test]
fn lines_for_a_full_pipe_are_dropped_and_counted() {
    let mut buffer = Buffer::default();
    let line = [b'x'; 1000];
    for _ in 0..1000 {
        buffer.write_all(&line).expect("writing to the buffer never fails");
        buffer.flush_to(&mut FullPipe);
    }
    let mut written = Vec::new();
    buffer.flush_to(&mut written);
    let kept = written.len() / line.len();
    assert!((100..1000).contains(&kept), "{kept}");
    assert_eq!(buffer.take_dropped(), 1000 - kept as u64);
}

/// Guards against documentation that lacks an event or lists other fields than the log lines have.
#[test]
fn the_documentation_lists_every_event() {
    let page = include_str!("../../../docs/OPERATIONS.md");
    let listed = rows(page, |key| key.parse::<u16>().is_ok());
    let expected = CATALOGUE.iter().map(|event| {
        let fields = event.fields.strip_suffix("what").unwrap_or(event.fields).trim();
        let fields = if fields.is_empty() { "none" } else { fields };
        vec![event.number.to_string(), event.level.to_string(), fields.to_owned()]
    });
    let listed = listed
        .iter()
        .map(|row| vec![row[0].clone(), row[1].clone(), row[2].clone()])
        .collect::<Vec<_>>();
    assert_eq!(listed, expected.collect::<Vec<_>>());
    assert!(CATALOGUE.is_sorted_by(|left, right| left.number < right.number));
}

/// Guards against a metric that is missing in the documentation.
#[test]
fn the_documentation_lists_every_metric() {
    let listed = rows(include_str!("../../../docs/OPERATIONS.md"), |key| {
        key.starts_with("`hawthornpost_")
    });
    let expected = DESCRIPTIONS
        .iter()
        .map(|(name, text)| vec![format!("`{name}`"), (*text).to_owned()]);
    assert_eq!(listed, expected.collect::<Vec<_>>());
}
