//! The targets of a data centre, ordered and present.

use std::collections::VecDeque;
use std::time::Duration;

use hawthornpost_core::clock::Instant;

/// How long a target may be absent before it counts as lost, as a target that restarts is back within this time.
const RESTART_TIME: Duration = Duration::from_secs(4);
/// The time beyond the startup within which the store shows the targets of an order.
const REGISTRATION_TIME: Duration = Duration::from_secs(2);
/// The maximum number of times that the interval between two repetitions of an order doubles.
const MAX_DOUBLINGS: u32 = 4;

/// The targets of a service in a data centre.
#[derive(Clone, Debug, Default)]
pub struct Place {
    order: Option<Placed>,
    /// The numbers of targets that were present in the last [`RESTART_TIME`].
    recent: VecDeque<(Instant, u32)>,
}

/// An order that the platform has accepted.
#[derive(Clone, Copy, Debug)]
struct Placed {
    targets: u32,
    at: Instant,
    repeats: u32,
}

impl Place {
    /// Records the number of targets that are present; returns whether some were lost in the last seconds that no order
    /// removed.
    pub fn record(&mut self, now: Instant, present: u32) -> bool {
        let ordered = self.order.map_or(u32::MAX, |order| order.targets);
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) > RESTART_TIME) {
            self.recent.pop_front();
        }
        self.recent.push_back((now, present));
        present < self.most().min(ordered)
    }

    /// Records that the platform accepted an order.
    pub fn confirm(&mut self, now: Instant, targets: u32) {
        let same = self.order.filter(|order| order.targets == targets);
        self.order = Some(Placed {
            targets,
            at: now,
            repeats: same.map_or(0, |order| order.repeats + 1),
        });
    }

    /// Returns the number of targets that are present.
    pub fn present(&self) -> u32 {
        self.recent.back().map_or(0, |(_, present)| *present)
    }

    /// Returns the largest number that was present in the last [`RESTART_TIME`].
    fn most(&self) -> u32 {
        let recent = self.recent.iter().map(|(_, present)| *present);
        recent.max().unwrap_or_default()
    }

    /// Returns the number of targets that are present or expected.
    pub fn expected(&self, now: Instant, startup: Duration) -> u32 {
        let most = self.most();
        match self.order {
            Some(order) if now.since(order.at) < startup + REGISTRATION_TIME => order.targets,
            Some(order) => order.targets.max(most),
            None => most,
        }
    }

    /// Returns the ordered number if fewer have been present for longer than a restart takes, and the order is due for a
    /// repetition.
    pub fn missing(&self, now: Instant, startup: Duration) -> Option<u32> {
        let order = self.order?;
        let interval = (startup + REGISTRATION_TIME).saturating_mul(2_u32.pow(order.repeats.min(MAX_DOUBLINGS)));
        (self.most() < order.targets && now.since(order.at) >= interval).then_some(order.targets)
    }
}
