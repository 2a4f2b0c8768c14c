//! Estimation of answer lengths.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::id::{Account, Model};

/// The quantile of past lengths that a request is charged with.
const QUANTILE: f64 = 0.9;
/// The number of samples after which the current histogram replaces the previous one. Both are evaluated, so that old
/// lengths lose their influence.
const WINDOW_SAMPLES: u64 = 256;
/// The number of samples below which the estimate of the whole model is used.
const MIN_SAMPLES: u64 = 16;
/// The largest recorded length; longer answers are recorded as this value.
const MAX_LENGTH_TOKENS: u64 = 1 << 20;
/// The maximum number of pairs of account and model, which bounds memory at about 1 KB per pair.
const MAX_PAIRS: usize = 4096;

/// Moving quantile of the answer lengths of each account and model.
///
/// ```
/// use hawthornpost_core::limit::Lengths;
///
/// let (account, model) = ("crews".parse()?, "letters".parse()?);
/// let mut lengths = Lengths::default();
/// assert_eq!(lengths.expected(&account, &model, 4000), 4000);
/// (0..20).for_each(|_| lengths.observe(&account, &model, 100));
/// assert!(lengths.expected(&account, &model, 4000) < 110);
/// # Ok::<(), hawthornpost_core::Error>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Lengths {
    pairs: BTreeMap<(Account, Model), Window>,
    models: BTreeMap<Model, Window>,
    use_count: u64,
}

#[derive(Clone, Debug)]
struct Window {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    last_use: u64,
}

impl Lengths {
    /// Records the length of a complete answer.
    pub fn observe(&mut self, account: &Account, model: &Model, tokens: u64) {
        self.use_count += 1;
        let key = (account.clone(), model.clone());
        if self.pairs.len() >= MAX_PAIRS && !self.pairs.contains_key(&key) {
            self.evict();
        }
        let last_use = self.use_count;
        let pair = self.pairs.entry(key).or_insert_with(Window::new);
        pair.last_use = last_use;
        pair.record(tokens);
        self.models
            .entry(model.clone())
            .or_insert_with(Window::new)
            .record(tokens);
    }

    /// Returns the expected length of an answer, at most `limit`.
    pub fn expected(&self, account: &Account, model: &Model, limit: u64) -> u64 {
        let pair = self.pairs.get(&(account.clone(), model.clone()));
        let window = pair
            .filter(|window| window.samples() >= MIN_SAMPLES)
            .or_else(|| self.models.get(model).filter(|window| window.samples() >= MIN_SAMPLES));
        window.map_or(limit, |window| window.quantile().min(limit))
    }

    fn evict(&mut self) {
        let least_recent = self.pairs.iter().min_by_key(|(_, window)| window.last_use);
        if let Some(key) = least_recent.map(|(key, _)| key.clone()) {
            self.pairs.remove(&key);
        }
    }
}

impl Window {
    fn new() -> Self {
        Self {
            current: histogram(),
            previous: histogram(),
            last_use: 0,
        }
    }

    fn record(&mut self, tokens: u64) {
        if self.current.len() >= WINDOW_SAMPLES {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        self.current.saturating_record(tokens.max(1));
    }

    fn samples(&self) -> u64 {
        self.current.len() + self.previous.len()
    }

    fn quantile(&self) -> u64 {
        let mut merged = self.current.clone();
        if merged.add(&self.previous).is_err() {
            return MAX_LENGTH_TOKENS;
        }
        merged.value_at_quantile(QUANTILE)
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_LENGTH_TOKENS, 1).expect("the bounds are constant and valid")
}
