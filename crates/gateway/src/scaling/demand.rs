//! Recent demand, its peak and its trend.

use std::collections::VecDeque;
use std::time::Duration;

use hawthornpost_core::clock::Instant;

/// The time over which demand is averaged, so that single requests do not change the number of targets.
const AVERAGING_TIME: Duration = Duration::from_secs(4);
/// The largest growth that a trend may predict, as a fraction of the demand. A trend over seconds says little beyond.
const MAX_PREDICTED_GROWTH: f64 = 0.5;

/// The demand for a service over time, in occupied targets.
#[derive(Clone, Debug)]
pub struct Demand {
    window: Duration,
    samples: VecDeque<Point>,
    /// When there was work first; before that the demand is unknown rather than zero.
    began_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Point {
    at: Instant,
    occupied: f64,
    /// The mean of the last [`AVERAGING_TIME`].
    mean: f64,
}

impl Demand {
    /// Creates a history of this length.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            samples: VecDeque::new(),
            began_at: None,
        }
    }

    /// Records the number of occupied targets.
    pub fn record(&mut self, now: Instant, occupied: f64) {
        if occupied > 0.0 {
            self.began_at.get_or_insert(now);
        }
        if self.began_at.is_none() {
            return;
        }
        let recent = self.samples.iter().rev();
        let recent = recent.take_while(|point| now.since(point.at) < AVERAGING_TIME);
        let (sum, count) = recent.fold((occupied, 1.0), |(sum, count), point| {
            (sum + point.occupied, count + 1.0)
        });
        self.samples.push_back(Point {
            at: now,
            occupied,
            mean: sum / count,
        });
        let window = self.window;
        while self.samples.front().is_some_and(|point| now.since(point.at) > window) {
            self.samples.pop_front();
        }
    }

    /// Returns whether the demand was seen for the whole window.
    pub fn is_complete(&self, now: Instant) -> bool {
        self.began_at.is_some_and(|at| now.since(at) >= self.window)
    }

    /// Returns the mean demand of the last seconds.
    pub fn recent(&self) -> f64 {
        self.samples.back().map_or(0.0, |point| point.mean)
    }

    /// Returns the highest mean demand of the window.
    pub fn peak(&self) -> f64 {
        self.samples.iter().map(|point| point.mean).fold(0.0, f64::max)
    }

    /// Returns the change of the demand per second, by least squares over the window.
    pub fn slope(&self) -> f64 {
        let Some(first) = self.samples.front() else {
            return 0.0;
        };
        let count = self.samples.len() as f64;
        let times = self.samples.iter().map(|point| point.at.since(first.at).as_secs_f64());
        let mean_time = times.clone().sum::<f64>() / count;
        let mean = self.samples.iter().map(|point| point.occupied).sum::<f64>() / count;
        let (mut covariance, mut variance) = (0.0, 0.0);
        for (time, point) in times.zip(&self.samples) {
            covariance += (time - mean_time) * (point.occupied - mean);
            variance += (time - mean_time).powi(2);
        }
        if variance > 0.0 { covariance / variance } else { 0.0 }
    }

    /// Returns the demand that is expected after `lead`: at least the recent one, more when the trend rises.
    pub fn forecast(&self, now: Instant, lead: Duration) -> f64 {
        let recent = self.recent();
        // The trend of a short history is noise.
        let growth = if self.is_complete(now) {
            self.slope() * lead.as_secs_f64()
        } else {
            0.0
        };
        recent + growth.clamp(0.0, MAX_PREDICTED_GROWTH * recent)
    }
}
