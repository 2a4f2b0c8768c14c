//! Choice of the target for a request.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::clock::Instant;
use crate::id::Target;
use crate::prefix::{BLOCK_BYTES, Block, Index};
use crate::wire::Load;

pub use crate::route_subset::Subset;

/// The bytes of prompt text that are taken for one token; English text has about four.
const BYTES_PER_TOKEN: usize = 4;

/// Returns the number of tokens that a prompt is counted as.
pub fn prompt_tokens(prompt: &str) -> u64 {
    u64::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u64::MAX)
}

/// What the parts of a choice cost, as expected time until the first token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Costs {
    /// The time in which an engine computes one token of a prompt that it does not hold.
    pub per_prompt_token: Duration,
    /// What a target that is full by its load report adds; less load adds less, by the square.
    pub per_full_load: Duration,
    /// What a request that waits at the target adds. It is less than the time of a prompt, because the report is older
    /// than the queue, and entries with the same report would all turn to the same target.
    pub per_waiting: Duration,
    /// What a target adds that is suspected to have failed.
    pub suspected: Duration,
    /// How long a load report counts; its weight falls to zero over this time.
    pub report_age: Duration,
    /// Choices that cost at most this part more than the best are taken as equal, so that entries with the same late
    /// reports don't all choose the same target.
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
    /// The network time to the target and back.
    pub distance: Duration,
    /// The tokens that this entry may still reserve at the target.
    pub free: u64,
}

/// The request that a target is wanted for.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The tokens of the prompt.
    pub prompt: u64,
    /// The tokens of prompt and expected answer.
    pub tokens: u64,
    /// The blocks of the prompt.
    pub blocks: &'a [Block],
    /// The priority from 0 to 9; a higher one accepts less load for a cached prefix.
    pub priority: u8,
}

/// What is known of each target, and the choice among them.
#[derive(Debug, Default)]
pub struct Router {
    costs: Costs,
    targets: BTreeMap<Target, State>,
}

#[derive(Debug, Default)]
struct State {
    report: Option<(Instant, Load)>,
    /// Own requests that have no first token yet, as prompt tokens that have to be computed.
    pending: u64,
    /// Own requests in flight.
    outstanding: u32,
    leaving: bool,
    suspected_until: Option<Instant>,
}

impl Router {
    /// Creates a router that knows nothing.
    pub fn new(costs: Costs) -> Self {
        Self {
            costs,
            targets: BTreeMap::new(),
        }
    }

    /// Takes a load report.
    pub fn report(&mut self, now: Instant, target: &Target, load: &Load) {
        self.state(target).report = Some((now, load.clone()));
    }

    /// Marks a target that leaves, or takes the mark away. A target that leaves is never chosen.
    pub fn mark_leaving(&mut self, target: &Target, leaving: bool) {
        self.state(target).leaving = leaving;
    }

    /// Returns whether a target is marked as leaving.
    pub fn is_leaving(&self, target: &Target) -> bool {
        self.targets.get(target).is_some_and(|state| state.leaving)
    }

    /// Avoids a target for a while, after an attempt there has failed.
    pub fn suspect(&mut self, now: Instant, target: &Target, duration: Duration) {
        self.state(target).suspected_until = Some(now + duration);
    }

    /// Counts a request that is sent to a target, of whose prompt this many tokens have to be computed.
    pub fn started(&mut self, target: &Target, uncached: u64) {
        let state = self.state(target);
        state.pending += uncached;
        state.outstanding += 1;
    }

    /// Notes the first token of a request that was counted with [`Router::started`]. The target works again.
    pub fn first_token(&mut self, target: &Target, uncached: u64) {
        let state = self.state(target);
        state.pending = state.pending.saturating_sub(uncached);
        state.suspected_until = None;
    }

    /// Takes the prompt of a request off the count that ended without a first token.
    pub fn abandoned(&mut self, target: &Target, uncached: u64) {
        let state = self.state(target);
        state.pending = state.pending.saturating_sub(uncached);
    }

    /// Returns whether a report shows that the target has started again; its numbers then begin anew.
    pub fn has_restarted(&self, target: &Target, load: &Load) -> bool {
        let last = self.targets.get(target).and_then(|state| state.report.as_ref());
        last.is_some_and(|(_, last)| load.sequence < last.sequence)
    }

    /// Takes a request off the count.
    pub fn ended(&mut self, target: &Target) {
        let state = self.state(target);
        state.outstanding = state.outstanding.saturating_sub(1);
    }

    /// Returns the number of own requests at a target.
    pub fn outstanding(&self, target: &Target) -> u32 {
        self.targets.get(target).map_or(0, |state| state.outstanding)
    }

    /// Forgets the targets that are not kept.
    pub fn retain(&mut self, keep: impl Fn(&Target) -> bool) {
        self.targets
            .retain(|target, state| keep(target) || state.outstanding > 0);
    }

    /// Returns the candidates that may be used, best first. Those without room come last, because their room may have
    /// been freed since.
    pub fn rank<'a>(
        &self,
        now: Instant,
        ask: &Ask<'_>,
        candidates: impl IntoIterator<Item = Candidate<'a>>,
        index: &Index,
        rng: &mut impl Rng,
    ) -> Vec<&'a Target> {
        let usable = candidates
            .into_iter()
            .filter(|candidate| !self.is_leaving(candidate.target));
        let mut ranked = usable
            .map(|candidate| {
                let cost = self.cost(now, ask, &candidate, index);
                let spread = rng.random_range(1.0..=1.0 + self.costs.tolerance);
                (candidate.free < ask.tokens, cost * spread, candidate.target)
            })
            .collect::<Vec<_>>();
        ranked.sort_by(|(full, cost, _), (other_full, other, _)| full.cmp(other_full).then(cost.total_cmp(other)));
        ranked.into_iter().map(|(_, _, target)| target).collect()
    }

    /// Returns the tokens of a prompt that a target has to compute.
    pub fn uncached(&self, ask: &Ask<'_>, target: &Target, index: &Index) -> u64 {
        let blocks = index.matching(target, ask.blocks);
        let cached = u64::try_from(blocks * BLOCK_BYTES / BYTES_PER_TOKEN).unwrap_or(u64::MAX);
        ask.prompt.saturating_sub(cached)
    }

    /// Returns the expected time until the first token, in seconds.
    fn cost(&self, now: Instant, ask: &Ask<'_>, candidate: &Candidate<'_>, index: &Index) -> f64 {
        let per_token = self.costs.per_prompt_token.as_secs_f64();
        let prefill = self.uncached(ask, candidate.target, index) as f64 * per_token;
        let base = prefill + candidate.distance.as_secs_f64();
        let Some(state) = self.targets.get(candidate.target) else {
            return base;
        };
        // A request of high priority gives load more weight, so that it waits less; a low one follows the cache.
        let urgency = 0.5 + f64::from(ask.priority.min(9)) / 9.0;
        base + urgency * (state.pending as f64 * per_token + self.load_cost(now, state)) + self.suspicion(now, state)
    }

    fn load_cost(&self, now: Instant, state: &State) -> f64 {
        let own = f64::from(state.outstanding) * self.costs.per_prompt_token.as_secs_f64();
        let Some((at, load)) = &state.report else {
            return own;
        };
        let age = now.since(*at).as_secs_f64() / self.costs.report_age.as_secs_f64();
        let weight = (1.0 - age).max(0.0);
        let used = load.tokens_held as f64 / load.tokens_capacity.max(1) as f64;
        let full = used * used * self.costs.per_full_load.as_secs_f64();
        let waiting = f64::from(load.waiting) * self.costs.per_waiting.as_secs_f64();
        own + weight * (full + waiting)
    }

    fn suspicion(&self, now: Instant, state: &State) -> f64 {
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
