//! Stand-ins for the platform, its servers and its clients, and a launcher for gateway processes.
//!
//! They use only the standard library, so that `rustc` builds them without a package registry. All addresses are
//! loopback addresses.
#![allow(dead_code)]

pub mod caller;
pub mod deployment;
pub mod engine;
pub mod http;
pub mod store;
pub mod world;

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The record of a run: what was sent, answered and run.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates or replaces the file.
    pub fn create(path: &Path) -> Self {
        Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be created")),
        }
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Appends a line with the time since the start.
    pub fn line(&self, text: &str) {
        let now = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _written = writeln!(file, "{now:8.3} {text}");
    }

    /// Appends a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Returns the current time in Unix milliseconds.
pub fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// Sleeps until a time since the start of the record.
pub fn sleep_until(record: &Record, at: Duration) {
    std::thread::sleep(at.saturating_sub(record.now()));
}
