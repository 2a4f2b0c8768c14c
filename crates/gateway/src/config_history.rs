//! The recent changes of the configuration, for peers that have an earlier version.

use std::collections::VecDeque;

use crate::config_delta::Delta;

/// The maximum size of all deltas in bytes, and so of a response with deltas. A link of 10 Mbit/s carries them in 7 ms.
const MAX_BYTES: usize = 8 << 10;

/// The latest deltas; each one begins at the version that the one before yields.
#[derive(Debug, Default)]
pub struct History {
    deltas: VecDeque<Encoded>,
    bytes: usize,
}

/// A delta in JSON.
#[derive(Debug)]
struct Encoded {
    base: u64,
    version: u64,
    json: String,
}

impl History {
    /// Appends a delta. Earlier ones are dropped if they do not lead to it or take too many bytes.
    pub fn push(&mut self, delta: &Delta) {
        let json = match serde_json::to_string(delta) {
            Ok(json) => json,
            Err(error) => {
                log::error!("cannot encode the changes of version {}: {error}", delta.version());
                self.clear();
                return;
            }
        };
        if self.deltas.back().is_some_and(|last| last.version != delta.base()) {
            self.clear();
        }
        self.bytes += json.len();
        self.deltas.push_back(Encoded {
            base: delta.base(),
            version: delta.version(),
            json,
        });
        while self.bytes > MAX_BYTES
            && let Some(dropped) = self.deltas.pop_front()
        {
            self.bytes -= dropped.json.len();
        }
    }

    /// Returns the deltas since a version as a JSON list; `None` if they are no longer known.
    pub fn since(&self, version: u64) -> Option<String> {
        let first = self.deltas.iter().position(|delta| delta.base == version)?;
        let deltas = self.deltas.iter().skip(first).map(|delta| delta.json.as_str());
        Some(format!("[{}]", deltas.collect::<Vec<_>>().join(",")))
    }

    fn clear(&mut self) {
        self.deltas.clear();
        self.bytes = 0;
    }
}
