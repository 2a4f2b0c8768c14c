//! Admission of requests.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::Instant;
use crate::id::{Account, Model, Target};
use crate::limit::{Accounts, Cause, Charge, Demand, Refusal, Room, Sharer, Timing};
use crate::limit_room::Tokens;
use crate::wire::Load;

/// The shortest and the longest time that a refused caller is told to wait.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// The time over which the rate of released tokens is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(10);

/// Admits requests to targets within room and account shares.
///
/// ```
/// use hawthornpost_core::clock::Instant;
/// use hawthornpost_core::limit::{Demand, Gate, Timing};
///
/// let (account, model, target) = ("crews".parse()?, "letters".parse()?, "engine-1".parse()?);
/// let mut gate = Gate::new(Instant::ZERO, Timing::default());
/// gate.add(Instant::ZERO, &target, &model, 10_000);
/// let demand = Demand { account: &account, priority: 5, share: 10, prompt: 1000, expected: 500 };
/// let charge = gate.admit(Instant::ZERO, &target, &demand).unwrap();
/// assert_eq!(gate.charged(&target), 1500);
/// drop(charge);
/// assert_eq!(gate.charged(&target), 0);
/// # Ok::<(), hawthornpost_core::Error>(())
/// ```
#[derive(Debug)]
pub struct Gate {
    names: BTreeMap<Target, usize>,
    books: Rc<RefCell<Books>>,
}

/// What the gate shares with its charges.
#[derive(Debug)]
pub(crate) struct Books {
    timing: Timing,
    rooms: BTreeMap<usize, Slot>,
    next: usize,
    /// Accounts divide the room of each model, so that demand for one model leaves the others alone.
    pools: BTreeMap<Model, Accounts>,
    started: Instant,
    turn: Instant,
    released: u64,
    rate_since: Instant,
    /// Released tokens per second.
    rate: f64,
}

#[derive(Debug)]
struct Slot {
    model: Model,
    room: Room,
    /// A removed target is kept while it has charges, because they count when it comes back.
    removed: bool,
}

impl Gate {
    /// Creates a gate without targets.
    pub fn new(now: Instant, timing: Timing) -> Self {
        let books = Books {
            timing,
            rooms: BTreeMap::new(),
            next: 0,
            pools: BTreeMap::new(),
            started: now,
            turn: now,
            released: 0,
            rate_since: now,
            rate: 0.0,
        };
        Self {
            names: BTreeMap::new(),
            books: Rc::new(RefCell::new(books)),
        }
    }

    /// Returns the times and bounds.
    pub fn timing(&self) -> Timing {
        self.books.borrow().timing
    }

    /// Adds a target of a model, or changes its capacity.
    pub fn add(&mut self, now: Instant, target: &Target, model: &Model, capacity: u64) {
        let mut books = self.books.borrow_mut();
        books.turn(now);
        let timing = books.timing;
        let known = self.names.get(target).and_then(|index| books.rooms.get_mut(index));
        if let Some(slot) = known.filter(|slot| slot.model == *model) {
            slot.room.resize(now, capacity, &timing);
            if std::mem::take(&mut slot.removed) {
                slot.room.restart(now, &timing);
            }
            return;
        }
        let index = books.next;
        books.next += 1;
        let ready = (now + timing.settle).max(books.started + timing.rise);
        let slot = Slot {
            model: model.clone(),
            room: Room::new(now, ready, capacity),
            removed: false,
        };
        books.rooms.insert(index, slot);
        self.names.insert(target.clone(), index);
    }

    /// Removes a target. Charges that exist stay valid and are released as usual.
    pub fn remove(&mut self, target: &Target) {
        let mut books = self.books.borrow_mut();
        let slot = self.names.get(target).and_then(|index| books.rooms.get_mut(index));
        if let Some(slot) = slot {
            slot.removed = true;
        }
        books.rooms.retain(|_, slot| !slot.removed || slot.room.charged() > 0);
        self.names.retain(|_, index| books.rooms.contains_key(index));
    }

    /// Notes a turn of the loop. A turn that comes late shows that the process was paused; shares then wait or begin
    /// anew.
    pub fn turn(&mut self, now: Instant) {
        self.books.borrow_mut().turn(now);
    }

    /// Takes a new view of the entries that share a target.
    pub fn observe(&mut self, now: Instant, target: &Target, view: &[Sharer]) {
        self.with_room(now, target, |room, timing| room.observe(now, view, timing));
    }

    /// Takes a load report of a target.
    pub fn report(&mut self, now: Instant, target: &Target, load: &Load) {
        self.with_room(now, target, |room, timing| room.report(now, load, timing));
    }

    /// Reserves room at a target.
    ///
    /// # Errors
    ///
    /// Fails with the time to retry after when there is no room for the request or its account.
    pub fn admit(&mut self, now: Instant, target: &Target, demand: &Demand<'_>) -> Result<Charge, Refusal> {
        let mut books = self.books.borrow_mut();
        books.turn(now);
        let slot = self.names.get(target).and_then(|index| books.rooms.get(index));
        let room = self
            .names
            .get(target)
            .copied()
            .filter(|_| slot.is_some_and(|slot| !slot.removed));
        let Some(room) = room else {
            return Err(books.refusal(now, Cause::Target, demand.tokens()));
        };
        let model = books.check(now, room, demand)?;
        let tokens = Tokens {
            charged: demand.tokens(),
            held: demand.held(),
            used: demand.prompt,
        };
        books.charge(room, &model, demand.account, tokens);
        Ok(Charge {
            books: Rc::clone(&self.books),
            room,
            account: demand.account.clone(),
            tokens,
            model,
        })
    }

    /// Returns how long no target can be used yet, after a start or a pause of this entry.
    pub fn wait_left(&self, now: Instant) -> Duration {
        let books = self.books.borrow();
        let present = books.rooms.values().filter(|slot| !slot.removed);
        let waits = present.map(|slot| slot.room.wait_left(now, &books.timing));
        waits.min().unwrap_or_default()
    }

    /// Returns the tokens that can still be charged at a target.
    pub fn free(&self, now: Instant, target: &Target) -> u64 {
        let room = self.names.get(target);
        room.map_or(0, |room| self.books.borrow_mut().free(now, *room))
    }

    /// Returns the tokens that this entry may hold at a target.
    pub fn bound(&self, now: Instant, target: &Target) -> u64 {
        let mut books = self.books.borrow_mut();
        let timing = books.timing;
        let room = self.names.get(target).and_then(|index| books.room(*index));
        room.map_or(0, |room| room.bound(now, &timing))
    }

    /// Returns the tokens that are charged at a target.
    pub fn charged(&self, target: &Target) -> u64 {
        let books = self.books.borrow();
        let slot = self.names.get(target).and_then(|index| books.rooms.get(index));
        slot.map_or(0, |slot| slot.room.charged())
    }

    /// Returns the tokens that the requests at a target hold.
    pub fn held(&self, target: &Target) -> u64 {
        let books = self.books.borrow();
        let slot = self.names.get(target).and_then(|index| books.rooms.get(index));
        slot.map_or(0, |slot| slot.room.held())
    }

    /// Returns the tokens that an account is charged with at the targets of a model.
    pub fn charged_to(&self, account: &Account, model: &Model) -> u64 {
        let books = self.books.borrow();
        books.pools.get(model).map_or(0, |pool| pool.used_by(account))
    }

    fn with_room(&mut self, now: Instant, target: &Target, change: impl FnOnce(&mut Room, &Timing)) {
        let mut books = self.books.borrow_mut();
        books.turn(now);
        let timing = books.timing;
        if let Some(room) = self.names.get(target).and_then(|index| books.room(*index)) {
            change(room, &timing);
        }
    }
}

impl Books {
    pub(crate) fn free(&mut self, now: Instant, room: usize) -> u64 {
        let timing = self.timing;
        self.room(room).map_or(0, |room| room.free(now, &timing))
    }

    pub(crate) fn may_grow(&mut self, now: Instant, room: usize, tokens: u64) -> bool {
        let timing = self.timing;
        self.room(room).is_some_and(|room| room.may_grow(now, tokens, &timing))
    }

    pub(crate) fn charge(&mut self, room: usize, model: &Model, account: &Account, tokens: Tokens) {
        if let Some(pool) = self.pools.get_mut(model) {
            pool.reserve(account, tokens.charged);
        }
        self.add(room, tokens);
    }

    pub(crate) fn add(&mut self, room: usize, tokens: Tokens) {
        if let Some(room) = self.room(room) {
            room.add(tokens);
        }
    }

    pub(crate) fn release(&mut self, room: usize, model: &Model, account: &Account, tokens: Tokens) {
        self.released += tokens.charged;
        if let Some(pool) = self.pools.get_mut(model) {
            pool.release(account, tokens.charged);
        }
        if let Some(room) = self.room(room) {
            room.subtract(tokens);
        }
    }

    /// Builds a refusal; the wait is the time in which the missing tokens are released at the present rate.
    pub(crate) fn refusal(&mut self, now: Instant, cause: Cause, missing: u64) -> Refusal {
        self.update_rate(now);
        let (shortest, longest) = RETRY_RANGE;
        let seconds = missing as f64 / self.rate.max(1.0);
        let wait = Duration::try_from_secs_f64(seconds.ceil()).unwrap_or(longest);
        Refusal {
            cause,
            retry_after: wait.clamp(shortest, longest),
        }
    }

    fn room(&mut self, room: usize) -> Option<&mut Room> {
        self.rooms.get_mut(&room).map(|slot| &mut slot.room)
    }

    fn check(&mut self, now: Instant, room: usize, demand: &Demand<'_>) -> Result<Model, Refusal> {
        let tokens = demand.tokens();
        let Some(model) = self.rooms.get(&room).map(|slot| slot.model.clone()) else {
            return Err(self.refusal(now, Cause::Target, tokens));
        };
        let total = self.total(now, &model);
        let pool = self.pools.entry(model.clone()).or_default();
        pool.ask(now, demand.account, demand.share);
        let allowed = pool.allows(demand.account, demand.priority, tokens, total);
        let request = Tokens {
            charged: tokens,
            held: demand.held(),
            used: demand.prompt,
        };
        let timing = self.timing;
        let fits = self.room(room).is_some_and(|room| room.fits(now, request, &timing));
        let wait = self
            .room(room)
            .map_or(Duration::ZERO, |room| room.wait_left(now, &timing));
        if !fits && !wait.is_zero() {
            return Err(Refusal {
                cause: Cause::Settling,
                retry_after: wait,
            });
        }
        if !fits {
            let missing = tokens.saturating_sub(self.free(now, room)).max(1);
            let cause = self.cause(room, tokens);
            return Err(self.refusal(now, cause, missing));
        }
        if !allowed {
            return Err(self.refusal(now, Cause::Account, tokens));
        }
        Ok(model)
    }

    fn cause(&self, room: usize, tokens: u64) -> Cause {
        let whole = self.rooms.get(&room).map_or(0, |slot| slot.room.capacity());
        if tokens > self.timing.usable(whole) / u64::from(self.timing.floor.max(1)) {
            Cause::TooLarge
        } else {
            Cause::Target
        }
    }

    /// Returns the tokens that this entry may hold at all targets of a model, counted as charges.
    fn total(&mut self, now: Instant, model: &Model) -> u64 {
        let timing = self.timing;
        self.rooms
            .values_mut()
            .filter(|slot| slot.model == *model && !slot.removed)
            .map(|slot| {
                timing
                    .chargeable(slot.room.bound(now, &timing))
                    .max(slot.room.charged())
            })
            .sum()
    }

    fn turn(&mut self, now: Instant) {
        let timing = self.timing;
        let missed = now.since(self.turn);
        self.turn = self.turn.max(now);
        if missed > timing.pause {
            // The others count an entry for `rise` after they lost it; they may have noticed up to `settle` ago.
            let lost = missed + timing.settle >= timing.rise;
            for slot in self.rooms.values_mut() {
                if lost {
                    slot.room.restart(now, &timing);
                } else {
                    slot.room.wait(now, &timing);
                }
            }
        }
    }

    fn update_rate(&mut self, now: Instant) {
        let window = now.since(self.rate_since);
        if window < RATE_WINDOW && self.rate > 0.0 {
            return;
        }
        self.rate = self.released as f64 / window.as_secs_f64().max(1.0);
        self.released = 0;
        self.rate_since = now;
    }
}
