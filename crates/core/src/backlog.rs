//! Byte accounting of what is held for slow readers.
//!
//! Bytes are bounded per stream, per account and per process. A stream's bytes are released when its guard is dropped.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use crate::clock::Instant;
use crate::id::Account;

/// The bounds in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// For one stream.
    pub stream: usize,
    /// For all streams of one account.
    pub account: usize,
    /// For all streams of the process.
    pub process: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            stream: 256 << 10,
            account: 32 << 20,
            process: 64 << 20,
        }
    }
}

/// A bound that was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// The bound of the stream.
    Stream,
    /// The bound of the account.
    Account,
    /// The bound of the process.
    Process,
}

/// The name of a stream within its ledger.
pub type Key = u64;

/// The bytes of all streams.
///
/// ```
/// use hawthornpost_core::backlog::{Ledger, Limits};
/// use hawthornpost_core::clock::Instant;
///
/// let ledger = Ledger::new(Limits::default());
/// let mut stream = ledger.open("crews".parse()?, Instant::ZERO);
/// assert!(stream.grow(100).is_ok());
/// drop(stream);
/// assert_eq!(ledger.held(), 0);
/// # Ok::<(), hawthornpost_core::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Ledger {
    books: Rc<RefCell<Books>>,
}

#[derive(Debug)]
struct Books {
    limits: Limits,
    next: Key,
    held: usize,
    peak: usize,
    accounts: HashMap<Account, usize>,
    /// Streams that hold bytes and still get more, by the time of their reader's last progress.
    stalled: BTreeSet<(Instant, Key)>,
}

/// The bytes of one stream; dropping it releases them.
#[derive(Debug)]
#[must_use = "dropping the stream releases its bytes"]
pub struct Stream {
    books: Rc<RefCell<Books>>,
    key: Key,
    account: Account,
    held: usize,
    progress: Instant,
    suspended: bool,
}

impl Ledger {
    /// Creates a ledger without streams.
    pub fn new(limits: Limits) -> Self {
        Self {
            books: Rc::new(RefCell::new(Books {
                limits,
                next: 0,
                held: 0,
                peak: 0,
                accounts: HashMap::new(),
                stalled: BTreeSet::new(),
            })),
        }
    }

    /// Opens a stream of an account.
    pub fn open(&self, account: Account, now: Instant) -> Stream {
        let mut books = self.books.borrow_mut();
        books.next += 1;
        Stream {
            books: Rc::clone(&self.books),
            key: books.next,
            account,
            held: 0,
            progress: now,
            suspended: false,
        }
    }

    /// Returns the bytes of all streams.
    pub fn held(&self) -> usize {
        self.books.borrow().held
    }

    /// Returns the largest number of bytes held at any time.
    pub fn peak(&self) -> usize {
        self.books.borrow().peak
    }

    /// Returns the stream to suspend next: the one that has stalled longest, when the process is close to its bound.
    ///
    /// The last eighth of the process bound is kept for streams whose readers keep up, so that stalled readers cannot
    /// stop the others.
    pub fn next_to_suspend(&self) -> Option<Key> {
        let books = self.books.borrow();
        let pressed = books.held >= books.limits.process / 8 * 7;
        books.stalled.first().filter(|_| pressed).map(|(_, key)| *key)
    }
}

impl Stream {
    /// Returns the name of the stream.
    pub fn key(&self) -> Key {
        self.key
    }

    /// Returns the bytes of the stream.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the bound of a stream.
    pub fn bound(&self) -> usize {
        self.books.borrow().limits.stream
    }

    /// Adds bytes.
    ///
    /// # Errors
    ///
    /// Returns the bound that would be exceeded; nothing is added then.
    pub fn grow(&mut self, bytes: usize) -> Result<(), Bound> {
        self.check(bytes)?;
        let mut books = self.books.borrow_mut();
        books.held += bytes;
        books.peak = books.peak.max(books.held);
        *books.accounts.entry(self.account.clone()).or_default() += bytes;
        self.held += bytes;
        if !self.suspended {
            books.stalled.insert((self.progress, self.key));
        }
        Ok(())
    }

    /// Releases bytes that the reader has taken.
    pub fn shrink(&mut self, bytes: usize, now: Instant) {
        let bytes = bytes.min(self.held);
        self.held -= bytes;
        let mut books = self.books.borrow_mut();
        books.release(&self.account, bytes);
        books.stalled.remove(&(self.progress, self.key));
        self.progress = now;
        if self.held > 0 && !self.suspended {
            books.stalled.insert((now, self.key));
        }
    }

    /// Says whether the stream is suspended; a suspended stream is not chosen for suspension again.
    pub fn set_suspended(&mut self, suspended: bool) {
        self.suspended = suspended;
        let mut books = self.books.borrow_mut();
        if suspended {
            books.stalled.remove(&(self.progress, self.key));
        } else if self.held > 0 {
            books.stalled.insert((self.progress, self.key));
        }
    }

    fn check(&self, bytes: usize) -> Result<(), Bound> {
        let books = self.books.borrow();
        let account = books.accounts.get(&self.account).copied().unwrap_or(0);
        let bounds = [
            (self.held, books.limits.stream, Bound::Stream),
            (account, books.limits.account, Bound::Account),
            (books.held, books.limits.process, Bound::Process),
        ];
        let exceeded = bounds.iter().find(|(held, limit, _)| held + bytes > *limit);
        exceeded.map_or(Ok(()), |(_, _, bound)| Err(*bound))
    }
}

impl Books {
    fn release(&mut self, account: &Account, bytes: usize) {
        self.held -= bytes;
        if let Some(held) = self.accounts.get_mut(account) {
            *held -= bytes;
            if *held == 0 {
                self.accounts.remove(account);
            }
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        let mut books = self.books.borrow_mut();
        books.release(&self.account, self.held);
        books.stalled.remove(&(self.progress, self.key));
    }
}
