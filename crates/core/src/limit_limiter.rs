//! Admission of requests.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::Instant;
use crate::id::{Account, Model, Target};
use crate::limit::{Accounts, Cause, Demand, Parameters, Quota, Refusal, Reservation, Sharer};
use crate::limit_quota::Tokens;
use crate::wire::Load;

/// The minimum and the maximum of the retry delay that is returned with a rejection.
const RETRY_AFTER_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// The interval over which the release rate is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(10);

/// Admits requests to targets within the quotas of the targets and the shares of the accounts.
///
/// ```
/// use hawthornpost_core::clock::Instant;
/// use hawthornpost_core::limit::{Demand, Limiter, Parameters};
///
/// let (account, model, target) = ("crews".parse()?, "letters".parse()?, "engine-1".parse()?);
/// let mut limiter = Limiter::new(Instant::ZERO, Parameters::default());
/// limiter.add(Instant::ZERO, &target, &model, 10_000);
/// let demand = Demand { account: &account, priority: 5, share: 10, prompt: 1000, expected: 500 };
/// let reservation = limiter.admit(Instant::ZERO, &target, &demand).unwrap();
/// assert_eq!(limiter.charged(&target), 1500);
/// drop(reservation);
/// assert_eq!(limiter.charged(&target), 0);
/// # Ok::<(), hawthornpost_core::Error>(())
/// ```
#[derive(Debug)]
pub struct Limiter {
    indexes: BTreeMap<Target, usize>,
    state: Rc<RefCell<State>>,
}

/// State that the limiter shares with its reservations.
#[derive(Debug)]
pub(crate) struct State {
    parameters: Parameters,
    slots: BTreeMap<usize, Slot>,
    next_index: usize,
    /// Accounts divide the quota of each model separately, so that demand for one model does not affect the others.
    pools: BTreeMap<Model, Accounts>,
    started_at: Instant,
    last_tick: Instant,
    released: u64,
    rate_since: Instant,
    /// Released tokens per second.
    rate: f64,
}

#[derive(Debug)]
struct Slot {
    model: Model,
    quota: Quota,
    /// A removed target is kept while it has reservations, because they count if the target is added again.
    removed: bool,
}

impl Limiter {
    /// Creates a limiter without targets.
    pub fn new(now: Instant, parameters: Parameters) -> Self {
        let state = State {
            parameters,
            slots: BTreeMap::new(),
            next_index: 0,
            pools: BTreeMap::new(),
            started_at: now,
            last_tick: now,
            released: 0,
            rate_since: now,
            rate: 0.0,
        };
        Self {
            indexes: BTreeMap::new(),
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Returns the time constants and bounds.
    pub fn parameters(&self) -> Parameters {
        self.state.borrow().parameters
    }

    /// Adds a target that serves a model, or changes its capacity.
    pub fn add(&mut self, now: Instant, target: &Target, model: &Model, capacity: u64) {
        let mut state = self.state.borrow_mut();
        state.tick(now);
        let parameters = state.parameters;
        let known = self.indexes.get(target).and_then(|index| state.slots.get_mut(index));
        if let Some(slot) = known.filter(|slot| slot.model == *model) {
            slot.quota.resize(now, capacity, &parameters);
            if std::mem::take(&mut slot.removed) {
                slot.quota.restart(now, &parameters);
            }
            return;
        }
        let index = state.next_index;
        state.next_index += 1;
        let ready = (now + parameters.settling_time).max(state.started_at + parameters.growth_delay);
        let slot = Slot {
            model: model.clone(),
            quota: Quota::new(now, ready, capacity),
            removed: false,
        };
        state.slots.insert(index, slot);
        self.indexes.insert(target.clone(), index);
    }

    /// Removes a target. Existing reservations stay valid until they are dropped.
    pub fn remove(&mut self, target: &Target) {
        let mut state = self.state.borrow_mut();
        let slot = self.indexes.get(target).and_then(|index| state.slots.get_mut(index));
        if let Some(slot) = slot {
            slot.removed = true;
        }
        state.slots.retain(|_, slot| !slot.removed || slot.quota.charged() > 0);
        self.indexes.retain(|_, index| state.slots.contains_key(index));
    }

    /// Records an iteration of the event loop. A late tick means that the process was paused; its shares are then
    /// suspended, or reset if other entries may have reassigned them.
    pub fn tick(&mut self, now: Instant) {
        self.state.borrow_mut().tick(now);
    }

    /// Updates the set of other entries that share a target.
    pub fn observe(&mut self, now: Instant, target: &Target, view: &[Sharer]) {
        self.with_quota(now, target, |quota, parameters| quota.observe(now, view, parameters));
    }

    /// Records a load report of a target.
    pub fn report(&mut self, now: Instant, target: &Target, load: &Load) {
        self.with_quota(now, target, |quota, parameters| quota.report(now, load, parameters));
    }

    /// Reserves tokens at a target.
    ///
    /// # Errors
    ///
    /// Fails with a retry delay if the quota of the target or the share of the account is exhausted.
    pub fn admit(&mut self, now: Instant, target: &Target, demand: &Demand<'_>) -> Result<Reservation, Refusal> {
        let mut state = self.state.borrow_mut();
        state.tick(now);
        let slot = self.indexes.get(target).and_then(|index| state.slots.get(index));
        let index = self
            .indexes
            .get(target)
            .copied()
            .filter(|_| slot.is_some_and(|slot| !slot.removed));
        let Some(index) = index else {
            return Err(state.refusal(now, Cause::Target, demand.tokens()));
        };
        let model = state.check(now, index, demand)?;
        let tokens = Tokens {
            charged: demand.tokens(),
            reserved: demand.reserved(),
            used: demand.prompt,
        };
        state.charge(index, &model, demand.account, tokens);
        Ok(Reservation {
            state: Rc::clone(&self.state),
            index,
            account: demand.account.clone(),
            tokens,
            model,
        })
    }

    /// Returns the time until the first target can be used, after a start or a pause of this entry.
    pub fn wait_left(&self, now: Instant) -> Duration {
        let state = self.state.borrow();
        let active = state.slots.values().filter(|slot| !slot.removed);
        let waits = active.map(|slot| slot.quota.wait_left(now, &state.parameters));
        waits.min().unwrap_or_default()
    }

    /// Returns the tokens that can still be charged at a target.
    pub fn free(&self, now: Instant, target: &Target) -> u64 {
        let index = self.indexes.get(target);
        index.map_or(0, |index| self.state.borrow_mut().free(now, *index))
    }

    /// Returns the tokens that this entry may reserve at a target.
    pub fn bound(&self, now: Instant, target: &Target) -> u64 {
        let mut state = self.state.borrow_mut();
        let parameters = state.parameters;
        let quota = self.indexes.get(target).and_then(|index| state.quota(*index));
        quota.map_or(0, |quota| quota.bound(now, &parameters))
    }

    /// Returns the tokens that are charged at a target.
    pub fn charged(&self, target: &Target) -> u64 {
        let state = self.state.borrow();
        let slot = self.indexes.get(target).and_then(|index| state.slots.get(index));
        slot.map_or(0, |slot| slot.quota.charged())
    }

    /// Returns the tokens of memory that are reserved at a target.
    pub fn reserved(&self, target: &Target) -> u64 {
        let state = self.state.borrow();
        let slot = self.indexes.get(target).and_then(|index| state.slots.get(index));
        slot.map_or(0, |slot| slot.quota.reserved())
    }

    /// Returns the tokens that an account is charged with at all targets of a model.
    pub fn charged_to(&self, account: &Account, model: &Model) -> u64 {
        let state = self.state.borrow();
        state.pools.get(model).map_or(0, |pool| pool.used_by(account))
    }

    fn with_quota(&mut self, now: Instant, target: &Target, update: impl FnOnce(&mut Quota, &Parameters)) {
        let mut state = self.state.borrow_mut();
        state.tick(now);
        let parameters = state.parameters;
        if let Some(quota) = self.indexes.get(target).and_then(|index| state.quota(*index)) {
            update(quota, &parameters);
        }
    }
}

impl State {
    pub(crate) fn free(&mut self, now: Instant, index: usize) -> u64 {
        let parameters = self.parameters;
        self.quota(index).map_or(0, |quota| quota.free(now, &parameters))
    }

    pub(crate) fn may_grow(&mut self, now: Instant, index: usize, tokens: u64) -> bool {
        let parameters = self.parameters;
        self.quota(index)
            .is_some_and(|quota| quota.may_grow(now, tokens, &parameters))
    }

    pub(crate) fn charge(&mut self, index: usize, model: &Model, account: &Account, tokens: Tokens) {
        if let Some(pool) = self.pools.get_mut(model) {
            pool.reserve(account, tokens.charged);
        }
        self.add(index, tokens);
    }

    pub(crate) fn add(&mut self, index: usize, tokens: Tokens) {
        if let Some(quota) = self.quota(index) {
            quota.add(tokens);
        }
    }

    pub(crate) fn release(&mut self, index: usize, model: &Model, account: &Account, tokens: Tokens) {
        self.released += tokens.charged;
        if let Some(pool) = self.pools.get_mut(model) {
            pool.release(account, tokens.charged);
        }
        if let Some(quota) = self.quota(index) {
            quota.subtract(tokens);
        }
    }

    /// Builds a rejection. The retry delay is the time in which the missing tokens are released at the current rate.
    pub(crate) fn refusal(&mut self, now: Instant, cause: Cause, missing: u64) -> Refusal {
        self.update_rate(now);
        let (min, max) = RETRY_AFTER_RANGE;
        let seconds = missing as f64 / self.rate.max(1.0);
        let wait = Duration::try_from_secs_f64(seconds.ceil()).unwrap_or(max);
        Refusal {
            cause,
            retry_after: wait.clamp(min, max),
        }
    }

    fn quota(&mut self, index: usize) -> Option<&mut Quota> {
        self.slots.get_mut(&index).map(|slot| &mut slot.quota)
    }

    fn check(&mut self, now: Instant, index: usize, demand: &Demand<'_>) -> Result<Model, Refusal> {
        let tokens = demand.tokens();
        let Some(model) = self.slots.get(&index).map(|slot| slot.model.clone()) else {
            return Err(self.refusal(now, Cause::Target, tokens));
        };
        let total = self.total(now, &model);
        let pool = self.pools.entry(model.clone()).or_default();
        pool.record_request(now, demand.account, demand.share);
        let allowed = pool.allows(demand.account, demand.priority, tokens, total);
        let request = Tokens {
            charged: tokens,
            reserved: demand.reserved(),
            used: demand.prompt,
        };
        let parameters = self.parameters;
        let fits = self
            .quota(index)
            .is_some_and(|quota| quota.fits(now, request, &parameters));
        let wait = self
            .quota(index)
            .map_or(Duration::ZERO, |quota| quota.wait_left(now, &parameters));
        if !fits && !wait.is_zero() {
            return Err(Refusal {
                cause: Cause::Settling,
                retry_after: wait,
            });
        }
        if !fits {
            let missing = tokens.saturating_sub(self.free(now, index)).max(1);
            let cause = self.cause(index, tokens);
            return Err(self.refusal(now, cause, missing));
        }
        if !allowed {
            return Err(self.refusal(now, Cause::Account, tokens));
        }
        Ok(model)
    }

    fn cause(&self, index: usize, tokens: u64) -> Cause {
        let capacity = self.slots.get(&index).map_or(0, |slot| slot.quota.capacity());
        if tokens > self.parameters.usable(capacity) / u64::from(self.parameters.min_sharers.max(1)) {
            Cause::TooLarge
        } else {
            Cause::Target
        }
    }

    /// Returns the maximum sum of the charges at all targets of a model.
    fn total(&mut self, now: Instant, model: &Model) -> u64 {
        let parameters = self.parameters;
        self.slots
            .values_mut()
            .filter(|slot| slot.model == *model && !slot.removed)
            .map(|slot| {
                parameters
                    .chargeable(slot.quota.bound(now, &parameters))
                    .max(slot.quota.charged())
            })
            .sum()
    }

    fn tick(&mut self, now: Instant) {
        let parameters = self.parameters;
        let elapsed = now.since(self.last_tick);
        self.last_tick = self.last_tick.max(now);
        if elapsed > parameters.pause_threshold {
            // Other entries count an entry for `growth_delay` after they lost contact, which may have been up to
            // `settling_time` ago.
            let is_reassigned = elapsed + parameters.settling_time >= parameters.growth_delay;
            for slot in self.slots.values_mut() {
                if is_reassigned {
                    slot.quota.restart(now, &parameters);
                } else {
                    slot.quota.wait(now, &parameters);
                }
            }
        }
    }

    fn update_rate(&mut self, now: Instant) {
        let elapsed = now.since(self.rate_since);
        if elapsed < RATE_WINDOW && self.rate > 0.0 {
            return;
        }
        self.rate = self.released as f64 / elapsed.as_secs_f64().max(1.0);
        self.released = 0;
        self.rate_since = now;
    }
}
