//! The number of targets that the work of a service occupies.
//!
//! Nothing is assumed about the speed of a target. An engine that reads a prompt is occupied until the first event, so the
//! number of engines that read, and of prompts that wait behind these, is the prefill work per second in units of engines,
//! whatever the engine, the prompts and the prefix cache are. Streams and memory count by the limits of the configuration.

use crate::scaling::{Sample, split};

/// The weight of the latest sample in the usual size of a prompt.
const PROMPT_WEIGHT: f64 = 0.1;
/// The weight of the latest sample in the work per request.
const REQUEST_WEIGHT: f64 = 0.05;
/// The work as a multiple of what the requests usually cause, beyond which it counts as repeated after failures.
const MAX_EXCESS: f64 = 1.25;

/// What one target of a service does, as far as it is learned.
#[derive(Clone, Copy, Debug, Default)]
pub struct Capacity {
    /// The prompt tokens of an engine that reads one prompt.
    usual_prompt: Option<f64>,
    /// The number of targets that a request per second occupies.
    per_request: Option<f64>,
    /// The number of targets that were occupied before targets were last in trouble.
    before_trouble: f64,
}

impl Capacity {
    /// Learns from a sample and returns the number of targets that its work occupies.
    pub fn occupied(&mut self, sample: &Sample) -> f64 {
        let occupied = self.count(sample);
        self.before_trouble = occupied;
        let requests = sample.total_requests();
        if requests > 0.0 {
            let per_request = self.per_request.get_or_insert(occupied / requests);
            *per_request += REQUEST_WEIGHT * (occupied / requests - *per_request);
        }
        occupied
    }

    /// Returns the number of targets that the work of a sample occupies, without the work that was begun again after a
    /// failure. The targets that a failure takes are included elsewhere. Work from before the failure counts even while
    /// no requests arrive, because streams may be long.
    pub fn occupied_without_repeats(&mut self, sample: &Sample) -> f64 {
        let occupied = self.count(sample);
        let usual = self
            .per_request
            .map(|per_request| per_request * sample.total_requests());
        usual.map_or(occupied, |usual| {
            occupied.min((MAX_EXCESS * usual).max(self.before_trouble))
        })
    }

    fn count(&mut self, sample: &Sample) -> f64 {
        match sample.memory_tokens {
            Some(memory) => self.occupied_engines(sample, memory),
            None => occupied_slots(sample),
        }
    }

    fn occupied_engines(&mut self, sample: &Sample, memory: u64) -> f64 {
        let streams = sample.targets.iter().map(|target| f64::from(target.load.streams));
        let tokens = sample.targets.iter().map(|target| target.load.memory_tokens as f64);
        let by_streams = streams.sum::<f64>() / mean_slots(sample);
        let mut by_memory = tokens.sum::<f64>() / memory.max(1) as f64;
        if sample.has_copies {
            // The streams of a lost data centre go on from copies, in memory that is occupied already.
            by_memory *= 1.0 - split::tolerated_loss(sample.data_centres().len());
        }
        self.prefilling(sample).max(by_streams).max(by_memory)
    }

    /// Returns the number of engines that read a prompt, and of prompts that wait behind these.
    fn prefilling(&mut self, sample: &Sample) -> f64 {
        let tokens = sample.targets.iter().map(|target| target.load.prefill_tokens);
        let mut busy = tokens.filter(|tokens| *tokens > 0).collect::<Vec<_>>();
        busy.sort_unstable();
        let Some(median) = busy.get(busy.len() / 2) else {
            return 0.0;
        };
        let median = *median as f64;
        let usual = self.usual_prompt.get_or_insert(median);
        // Under overload most engines have several prompts, which is not the size of one.
        *usual += PROMPT_WEIGHT * (median.min(2.0 * *usual) - *usual);
        let usual = usual.max(1.0);
        busy.iter()
            .map(|tokens| (*tokens as f64 / usual).floor().max(1.0))
            .sum()
    }
}

/// Returns the number of targets whose slots the calls to a plain service occupy.
fn occupied_slots(sample: &Sample) -> f64 {
    let time = sample.response_time.unwrap_or_default().as_secs_f64();
    sample.total_requests() * time / mean_slots(sample)
}

fn mean_slots(sample: &Sample) -> f64 {
    let slots = sample.targets.iter().map(|target| f64::from(target.slots));
    (slots.sum::<f64>() / sample.targets.len().max(1) as f64).max(1.0)
}
