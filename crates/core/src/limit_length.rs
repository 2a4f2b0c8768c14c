//! Expected answer lengths.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use crate::id::{Account, Model};

/// The quantile of past lengths that a request is charged with.
const QUANTILE: f64 = 0.9;
/// The samples after which a histogram becomes the previous one; both count, so that old lengths fade.
const GENERATION: u64 = 256;
/// The samples below which the lengths of the whole model are used.
const ENOUGH: u64 = 16;
/// The longest answer that is told apart, in tokens.
const LONGEST: u64 = 1 << 20;
/// Pairs of account and model that are remembered, to bound memory at about 1 KB each.
const MAX_PAIRS: usize = 4096;

/// A running quantile of answer lengths for each account and model.
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
    uses: u64,
}

#[derive(Clone, Debug)]
struct Window {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    used: u64,
}

impl Lengths {
    /// Records the length of a whole answer.
    pub fn observe(&mut self, account: &Account, model: &Model, tokens: u64) {
        self.uses += 1;
        let key = (account.clone(), model.clone());
        if self.pairs.len() >= MAX_PAIRS && !self.pairs.contains_key(&key) {
            self.evict();
        }
        let used = self.uses;
        let pair = self.pairs.entry(key).or_insert_with(Window::new);
        pair.used = used;
        pair.record(tokens);
        self.models
            .entry(model.clone())
            .or_insert_with(Window::new)
            .record(tokens);
    }

    /// Returns the length to charge a request with, at most `limit`.
    pub fn expected(&self, account: &Account, model: &Model, limit: u64) -> u64 {
        let pair = self.pairs.get(&(account.clone(), model.clone()));
        let known = pair
            .filter(|window| window.samples() >= ENOUGH)
            .or_else(|| self.models.get(model).filter(|window| window.samples() >= ENOUGH));
        known.map_or(limit, |window| window.quantile().min(limit))
    }

    fn evict(&mut self) {
        let oldest = self.pairs.iter().min_by_key(|(_, window)| window.used);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.pairs.remove(&key);
        }
    }
}

impl Window {
    fn new() -> Self {
        Self {
            current: histogram(),
            previous: histogram(),
            used: 0,
        }
    }

    fn record(&mut self, tokens: u64) {
        if self.current.len() >= GENERATION {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        self.current.saturating_record(tokens.max(1));
    }

    fn samples(&self) -> u64 {
        self.current.len() + self.previous.len()
    }

    fn quantile(&self) -> u64 {
        let mut both = self.current.clone();
        if both.add(&self.previous).is_err() {
            return LONGEST;
        }
        both.value_at_quantile(QUANTILE)
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, LONGEST, 1).expect("the bounds are constant and valid")
}
