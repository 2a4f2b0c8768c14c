//! How long requests for a service take, with all their attempts.

use std::collections::HashMap;
use std::time::Duration;

/// The weight of the latest response in the mean.
const MEAN_WEIGHT: f64 = 0.125;
/// The weight of the latest response in the mean deviation.
const DEVIATION_WEIGHT: f64 = 0.25;
/// The number of deviations above the mean within which nearly all responses arrive.
const DEVIATIONS: f64 = 4.0;
/// The minimum deviation as a fraction of the mean, as responses take longer under load.
const MIN_DEVIATION_FRACTION: f64 = 0.0625;
/// The minimum deviation in seconds, for the way to the target and back.
const MIN_DEVIATION_S: f64 = 0.02;

/// The response times of all services.
#[derive(Debug, Default)]
pub struct Times(HashMap<String, Estimate>);

/// The response times of a service, in seconds.
#[derive(Debug)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

impl Times {
    /// Records the time from a request for a service to its response.
    pub fn record(&mut self, service: &str, took: Duration) {
        let took = took.as_secs_f64();
        let estimate = self.0.entry(service.to_owned()).or_insert(Estimate {
            mean: took,
            deviation: took / 2.0,
        });
        let error = took - estimate.mean;
        estimate.mean += MEAN_WEIGHT * error;
        estimate.deviation += DEVIATION_WEIGHT * (error.abs() - estimate.deviation);
    }

    /// Returns the mean time to an answer; `None` before the first response.
    pub fn mean(&self, service: &str) -> Option<Duration> {
        let estimate = self.0.get(service)?;
        Some(Duration::from_secs_f64(estimate.mean))
    }

    /// Returns the time within which a request is expected to be answered; `None` before the first response.
    pub fn expected(&self, service: &str) -> Option<Duration> {
        let Estimate { mean, deviation } = self.0.get(service)?;
        let deviation = deviation.max(mean * MIN_DEVIATION_FRACTION).max(MIN_DEVIATION_S);
        Some(Duration::from_secs_f64(DEVIATIONS.mul_add(deviation, *mean)))
    }
}
