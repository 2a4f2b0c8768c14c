//! Selection of a target for a request, by estimated time to first token.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::clock::Instant;
use crate::id::Target;
use crate::prefix::{BLOCK_BYTES, Block, Index};
use crate::wire::Load;

pub use crate::route_subset::Subset;

/// The bytes of prompt text that are counted as one token; the average for English text is about four.
const BYTES_PER_TOKEN: usize = 4;

/// Returns the estimated number of tokens of a prompt.
pub fn prompt_tokens(prompt: &str) -> u64 {
    u64::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u64::MAX)
}

/// The cost model: the contribution of each factor to the expected time to first token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// The time to compute one prompt token that is not in the engine's cache.
    pub per_prompt_token: Duration,
    /// The cost of a target that is full according to its load report; the cost is proportional to the square of the
    /// load.
    pub per_full_load: Duration,
    /// The cost of each request that waits at the target. It is less than the time of a prompt, because the report lags
    /// behind the queue, and all entries with the same report would switch to the same target.
    pub per_waiting: Duration,
    /// The cost of a target that is suspected to have failed.
    pub suspected: Duration,
    /// The maximum age of a load report; its weight decreases linearly to zero over this time.
    pub report_age: Duration,
    /// The relative range of the random factor that is applied to each cost, so that entries with the same stale
    /// reports do not all select the same target.
    pub tolerance: f64,
}

impl Default for Costs {
    fn default() -> Self {
        Self {
            per_prompt_token: Duration::from_micros(100),
            per_full_load: Duration::from_millis(400),
            per_waiting: Duration::from_millis(20),
            suspected: Duration::from_secs(10),
            report_age: Duration::from_secs(3),
            tolerance: 0.1,
        }
    }
}

/// A target that could serve the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The target.
    pub target: &'a Target,
    /// The network round-trip time to the target.
    pub distance: Duration,
    /// The tokens that this entry may still reserve at the target.
    pub free: u64,
}

/// The properties of a request that determine its target.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// The tokens of the prompt.
    pub prompt: u64,
    /// The tokens of the prompt and the expected answer.
    pub tokens: u64,
    /// The block hashes of the prompt.
    pub blocks: &'a [Block],
    /// The priority from 0 to 9; a higher priority gives load more weight against a cached prefix.
    pub priority: u8,
}

/// Ranks targets by cost, based on load reports and the requests of this entry.
#[derive(Debug, Default)]
pub struct Router {
    costs: Costs,
    targets: BTreeMap<Target, State>,
}

#[derive(Debug, Default)]
struct State {
    report: Option<(Instant, Load)>,
    /// The uncached prompt tokens of own requests that have no first token yet.
    pending: u64,
    /// The number of own requests in flight.
    outstanding: u32,
    leaving: bool,
    suspected_until: Option<Instant>,
}

impl Router {
    /// Creates a router without targets.
    pub fn new(costs: Costs) -> Self {
        Self {
            costs,
            targets: BTreeMap::new(),
        }
    }

    /// Records a load report.
    pub fn report(&mut self, now: Instant, target: &Target, load: &Load) {
        self.state(target).report = Some((now, load.clone()));
    }

    /// Marks a target as leaving or not. A leaving target is never selected.
    pub fn mark_leaving(&mut self, target: &Target, leaving: bool) {
        self.state(target).leaving = leaving;
    }

    /// Returns whether a target is marked as leaving.
    pub fn is_leaving(&self, target: &Target) -> bool {
        self.targets.get(target).is_some_and(|state| state.leaving)
    }

    /// Marks a target as suspected for this time, after an attempt at it failed.
    pub fn suspect(&mut self, now: Instant, target: &Target, duration: Duration) {
        self.state(target).suspected_until = Some(now + duration);
    }

    /// Records a request that is sent to a target, with the number of uncached tokens of its prompt.
    pub fn started(&mut self, target: &Target, uncached: u64) {
        let state = self.state(target);
        state.pending += uncached;
        state.outstanding += 1;
    }

    /// Records the first token of a request that was recorded with [`Router::started`], and clears the suspicion of the
    /// target.
    pub fn first_token(&mut self, target: &Target, uncached: u64) {
        let state = self.state(target);
        state.pending = state.pending.saturating_sub(uncached);
        state.suspected_until = None;
    }

    /// Removes the pending prompt of a request that ended without a first token.
    pub fn abandoned(&mut self, target: &Target, uncached: u64) {
        let state = self.state(target);
        state.pending = state.pending.saturating_sub(uncached);
    }

    /// Returns whether a report shows that the target has restarted, which resets its sequence numbers.
    pub fn has_restarted(&self, target: &Target, load: &Load) -> bool {
        let last = self.targets.get(target).and_then(|state| state.report.as_ref());
        last.is_some_and(|(_, last)| load.sequence < last.sequence)
    }

    /// Records the end of a request that was recorded with [`Router::started`].
    pub fn ended(&mut self, target: &Target) {
        let state = self.state(target);
        state.outstanding = state.outstanding.saturating_sub(1);
    }

    /// Returns the number of own requests in flight at a target.
    pub fn outstanding(&self, target: &Target) -> u32 {
        self.targets.get(target).map_or(0, |state| state.outstanding)
    }

    /// Removes the targets that `keep` rejects, except those with requests in flight.
    pub fn retain(&mut self, keep: impl Fn(&Target) -> bool) {
        self.targets
            .retain(|target, state| keep(target) || state.outstanding > 0);
    }

    /// Returns the eligible candidates, best first. Candidates without free capacity come last instead of being
    /// dropped, because capacity may be released before they are tried.
    pub fn rank<'a>(
        &self,
        now: Instant,
        criteria: &Criteria<'_>,
        candidates: impl IntoIterator<Item = Candidate<'a>>,
        index: &Index,
        rng: &mut impl Rng,
    ) -> Vec<&'a Target> {
        let eligible = candidates
            .into_iter()
            .filter(|candidate| !self.is_leaving(candidate.target));
        let mut ranked = eligible
            .map(|candidate| {
                let cost = self.cost(now, criteria, &candidate, index);
                let jitter = rng.random_range(1.0..=1.0 + self.costs.tolerance);
                (candidate.free < criteria.tokens, cost * jitter, candidate.target)
            })
            .collect::<Vec<_>>();
        ranked.sort_by(|(is_full, cost, _), (other_is_full, other_cost, _)| {
            is_full.cmp(other_is_full).then(cost.total_cmp(other_cost))
        });
        ranked.into_iter().map(|(_, _, target)| target).collect()
    }

    /// Returns the estimated number of prompt tokens that are not in the target's cache.
    pub fn uncached(&self, criteria: &Criteria<'_>, target: &Target, index: &Index) -> u64 {
        let blocks = index.matching(target, criteria.blocks);
        let cached = u64::try_from(blocks * BLOCK_BYTES / BYTES_PER_TOKEN).unwrap_or(u64::MAX);
        criteria.prompt.saturating_sub(cached)
    }

    /// Returns the expected time to first token, in seconds.
    fn cost(&self, now: Instant, criteria: &Criteria<'_>, candidate: &Candidate<'_>, index: &Index) -> f64 {
        let per_token = self.costs.per_prompt_token.as_secs_f64();
        let prefill = self.uncached(criteria, candidate.target, index) as f64 * per_token;
        let base = prefill + candidate.distance.as_secs_f64();
        let Some(state) = self.targets.get(candidate.target) else {
            return base;
        };
        // A high priority gives load more weight, to reduce queueing; a low priority favours the cached prefix.
        let urgency = 0.5 + f64::from(criteria.priority.min(9)) / 9.0;
        base + urgency * (state.pending as f64 * per_token + self.load_cost(now, state))
            + self.suspicion_cost(now, state)
    }

    fn load_cost(&self, now: Instant, state: &State) -> f64 {
        let own_cost = f64::from(state.outstanding) * self.costs.per_prompt_token.as_secs_f64();
        let Some((at, load)) = &state.report else {
            return own_cost;
        };
        let age = now.since(*at).as_secs_f64() / self.costs.report_age.as_secs_f64();
        let weight = (1.0 - age).max(0.0);
        let utilisation = load.tokens_held as f64 / load.tokens_capacity.max(1) as f64;
        let utilisation_cost = utilisation * utilisation * self.costs.per_full_load.as_secs_f64();
        let queue_cost = f64::from(load.waiting) * self.costs.per_waiting.as_secs_f64();
        own_cost + weight * (utilisation_cost + queue_cost)
    }

    fn suspicion_cost(&self, now: Instant, state: &State) -> f64 {
        let suspected = state.suspected_until.is_some_and(|until| until > now);
        if suspected {
            self.costs.suspected.as_secs_f64()
        } else {
            0.0
        }
    }

    fn state(&mut self, target: &Target) -> &mut State {
        self.targets.entry(target.clone()).or_default()
    }
}
