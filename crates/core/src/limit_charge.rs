//! The reservation of one request.

use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;

use crate::clock::Instant;
use crate::id::{Account, Model};
use crate::limit::{Cause, Refusal};
use crate::limit_gate::{Books, Entry};

/// Tokens reserved at a target for one attempt; dropping it gives them back.
#[must_use = "dropping the charge gives the room back"]
pub struct Charge {
    pub(crate) books: Rc<RefCell<Books>>,
    pub(crate) room: usize,
    pub(crate) model: Model,
    pub(crate) account: Account,
    pub(crate) reserved: u64,
    pub(crate) held: u64,
}

impl Charge {
    /// Records tokens that the target has produced.
    pub fn produce(&mut self, tokens: u64) {
        self.held += tokens;
        self.books.borrow_mut().produce(self.room, tokens);
    }

    /// Returns the tokens that may still be produced before the charge has to grow.
    pub fn rest(&self) -> u64 {
        self.reserved.saturating_sub(self.held)
    }

    /// Reserves more, for an answer that is longer than expected.
    ///
    /// # Errors
    ///
    /// Fails when the target has no room; the attempt then has to move to another target.
    pub fn grow(&mut self, now: Instant, tokens: u64) -> Result<(), Refusal> {
        let mut books = self.books.borrow_mut();
        if books.free(now, self.room) < tokens {
            return Err(books.refusal(now, Cause::Target, tokens));
        }
        books.reserve(self.room, &self.entry(tokens, 0));
        drop(books);
        self.reserved += tokens;
        Ok(())
    }

    fn entry(&self, tokens: u64, held: u64) -> Entry<'_> {
        Entry {
            model: &self.model,
            account: &self.account,
            tokens,
            held,
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let entry = self.entry(self.reserved, self.held);
        self.books.borrow_mut().release(self.room, &entry);
    }
}

impl fmt::Debug for Charge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Charge")
            .field("account", &self.account)
            .field("reserved", &self.reserved)
            .field("held", &self.held)
            .finish_non_exhaustive()
    }
}
