//! The levels of other hosts.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Instant;

/// The age after which the level of a peer is ignored. A host that has load reports at least every two seconds.
const MAX_AGE: Duration = Duration::from_millis(2500);

/// The levels of other hosts for one service, as last reported.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    levels: HashMap<String, (Instant, f64)>,
}

impl Peers {
    /// Stores the level of a peer. Values out of range count as the nearest valid one.
    pub fn put(&mut self, now: Instant, peer: &str, level: f64) {
        let level = if level.is_finite() { level.clamp(0.0, 1.0) } else { 1.0 };
        self.levels.insert(peer.to_owned(), (now, level));
    }

    /// Returns the median of the own level and those of the peers that reported lately, so that a single host with a wrong
    /// view does not move the others. A host without peers uses its own level.
    pub fn median(&mut self, now: Instant, own: f64) -> f64 {
        self.levels.retain(|_, (at, _)| now.since(*at) <= MAX_AGE);
        let mut levels = self.levels.values().map(|(_, level)| *level).collect::<Vec<_>>();
        levels.push(own);
        levels.sort_by(f64::total_cmp);
        let middle = levels.len() / 2;
        if levels.len().is_multiple_of(2) {
            f64::midpoint(levels[middle - 1], levels[middle])
        } else {
            levels[middle]
        }
    }
}
