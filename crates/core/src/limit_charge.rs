//! The reservation of one request.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use crate::clock::Instant;
use crate::id::{Account, Model};
use crate::limit::{Cause, Refusal};
use crate::limit_gate::Books;
use crate::limit_room::Tokens;

/// Tokens reserved at a target for one attempt; dropping it gives them back.
#[must_use = "dropping the charge gives the room back"]
pub struct Charge {
    pub(crate) books: Rc<RefCell<Books>>,
    pub(crate) room: usize,
    pub(crate) model: Model,
    pub(crate) account: Account,
    pub(crate) tokens: Tokens,
}

impl Charge {
    /// Records tokens that the target has produced.
    pub fn produce(&mut self, tokens: u64) {
        let used = Tokens {
            used: tokens,
            ..Tokens::default()
        };
        self.tokens.used += tokens;
        self.books.borrow_mut().add(self.room, used);
    }

    /// Returns the tokens that may still be produced before the charge has to grow.
    pub fn rest(&self) -> u64 {
        self.tokens.held.saturating_sub(self.tokens.used)
    }

    /// Returns the tokens that are charged.
    pub fn charged(&self) -> u64 {
        self.tokens.charged
    }

    /// Reserves memory for more of the answer, and charges what goes beyond the expected length.
    ///
    /// # Errors
    ///
    /// Fails when the target has no room; the attempt then has to move to another target.
    pub fn grow(&mut self, now: Instant, tokens: u64) -> Result<(), Refusal> {
        let mut books = self.books.borrow_mut();
        if !books.may_grow(now, self.room, tokens) {
            return Err(books.refusal(now, Cause::Target, tokens));
        }
        let held = self.tokens.held + tokens;
        let more = Tokens {
            charged: held.saturating_sub(self.tokens.charged),
            held: tokens,
            used: 0,
        };
        books.charge(self.room, &self.model, &self.account, more);
        self.tokens.held = held;
        self.tokens.charged += more.charged;
        Ok(())
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let mut books = self.books.borrow_mut();
        books.release(self.room, &self.model, &self.account, self.tokens);
    }
}

impl fmt::Debug for Charge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Charge")
            .field("account", &self.account)
            .field("tokens", &self.tokens)
            .finish_non_exhaustive()
    }
}
