//! The reservation of tokens for one attempt.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use crate::clock::Instant;
use crate::id::{Account, Model};
use crate::limit::{Cause, Refusal};
use crate::limit_limiter::State;
use crate::limit_quota::Tokens;

/// Tokens reserved at a target for one attempt. Dropping the reservation releases them.
#[must_use = "dropping the reservation releases its tokens"]
pub struct Reservation {
    pub(crate) state: Rc<RefCell<State>>,
    pub(crate) index: usize,
    pub(crate) model: Model,
    pub(crate) account: Account,
    pub(crate) tokens: Tokens,
}

impl Reservation {
    /// Records tokens that the target generated.
    pub fn produce(&mut self, tokens: u64) {
        let generated = Tokens {
            used: tokens,
            ..Tokens::default()
        };
        self.tokens.used += tokens;
        self.state.borrow_mut().add(self.index, generated);
    }

    /// Returns the tokens that can be generated before the reservation has to grow.
    pub fn remaining(&self) -> u64 {
        self.tokens.reserved.saturating_sub(self.tokens.used)
    }

    /// Returns the tokens that are charged.
    pub fn charged(&self) -> u64 {
        self.tokens.charged
    }

    /// Reserves memory for more tokens of the answer, and charges those beyond the expected length.
    ///
    /// # Errors
    ///
    /// Fails if the quota of the target is exhausted; the attempt then has to move to another target.
    pub fn grow(&mut self, now: Instant, tokens: u64) -> Result<(), Refusal> {
        let mut state = self.state.borrow_mut();
        if !state.may_grow(now, self.index, tokens) {
            return Err(state.refusal(now, Cause::Target, tokens));
        }
        let reserved = self.tokens.reserved + tokens;
        let growth = Tokens {
            charged: reserved.saturating_sub(self.tokens.charged),
            reserved: tokens,
            used: 0,
        };
        state.charge(self.index, &self.model, &self.account, growth);
        self.tokens.reserved = reserved;
        self.tokens.charged += growth.charged;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.state.borrow_mut();
        state.release(self.index, &self.model, &self.account, self.tokens);
    }
}

impl fmt::Debug for Reservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reservation")
            .field("account", &self.account)
            .field("tokens", &self.tokens)
            .finish_non_exhaustive()
    }
}
