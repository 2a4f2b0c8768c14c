//! Accounting of the bytes that are buffered for slow readers.
//!
//! Bytes are limited per stream, per account and per process. The bytes of a stream are released when its guard is
//! dropped.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use crate::clock::Instant;
use crate::id::Account;

/// Limits in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The limit of one stream.
    pub stream: usize,
    /// The limit of all streams of one account.
    pub account: usize,
    /// The limit of all streams of the process.
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

/// The limit that was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bound {
    /// The limit of the stream.
    Stream,
    /// The limit of the account.
    Account,
    /// The limit of the process.
    Process,
}

/// The id of a stream within its process.
pub type Key = u64;

/// Counters of the bytes of all streams.
///
/// ```
/// use hawthornpost_core::backlog::{Budget, Limits};
/// use hawthornpost_core::clock::Instant;
///
/// let budget = Budget::new(Limits::default());
/// let mut stream = budget.open("crews".parse()?, Instant::ZERO);
/// assert!(stream.grow(100).is_ok());
/// drop(stream);
/// assert_eq!(budget.bytes(), 0);
/// # Ok::<(), hawthornpost_core::Error>(())
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    counters: Rc<RefCell<Counters>>,
}

#[derive(Debug)]
struct Counters {
    limits: Limits,
    last_key: Key,
    bytes: usize,
    peak: usize,
    accounts: HashMap<Account, usize>,
    /// Streams with buffered bytes that are not suspended, ordered by the last progress of their reader.
    stalled: BTreeSet<(Instant, Key)>,
}

/// Guard for the bytes of one stream; dropping it releases them.
#[derive(Debug)]
#[must_use = "dropping the stream releases its bytes"]
pub struct Stream {
    counters: Rc<RefCell<Counters>>,
    key: Key,
    account: Account,
    bytes: usize,
    last_progress: Instant,
    suspended: bool,
}

impl Budget {
    /// Creates counters without streams.
    pub fn new(limits: Limits) -> Self {
        Self {
            counters: Rc::new(RefCell::new(Counters {
                limits,
                last_key: 0,
                bytes: 0,
                peak: 0,
                accounts: HashMap::new(),
                stalled: BTreeSet::new(),
            })),
        }
    }

    /// Registers a stream of an account.
    pub fn open(&self, account: Account, now: Instant) -> Stream {
        let mut counters = self.counters.borrow_mut();
        counters.last_key += 1;
        Stream {
            counters: Rc::clone(&self.counters),
            key: counters.last_key,
            account,
            bytes: 0,
            last_progress: now,
            suspended: false,
        }
    }

    /// Returns the bytes of all streams.
    pub fn bytes(&self) -> usize {
        self.counters.borrow().bytes
    }

    /// Returns the peak of the bytes of all streams.
    pub fn peak(&self) -> usize {
        self.counters.borrow().peak
    }

    /// Returns the stream that has been stalled the longest, if the process is near its limit and has to suspend one.
    ///
    /// The last eighth of the process limit is reserved for streams whose readers keep up, so that stalled readers do
    /// not block the others.
    pub fn next_to_suspend(&self) -> Option<Key> {
        let counters = self.counters.borrow();
        let is_near_limit = counters.bytes >= counters.limits.process / 8 * 7;
        counters.stalled.first().filter(|_| is_near_limit).map(|(_, key)| *key)
    }
}

impl Stream {
    /// Returns the id of the stream.
    pub fn key(&self) -> Key {
        self.key
    }

    /// Returns the bytes of the stream.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the limit of a stream.
    pub fn bound(&self) -> usize {
        self.counters.borrow().limits.stream
    }

    /// Adds buffered bytes.
    ///
    /// # Errors
    ///
    /// Returns the limit that would be exceeded; the counters are unchanged then.
    pub fn grow(&mut self, bytes: usize) -> Result<(), Bound> {
        self.check(bytes)?;
        let mut counters = self.counters.borrow_mut();
        counters.bytes += bytes;
        counters.peak = counters.peak.max(counters.bytes);
        *counters.accounts.entry(self.account.clone()).or_default() += bytes;
        self.bytes += bytes;
        if !self.suspended {
            counters.stalled.insert((self.last_progress, self.key));
        }
        Ok(())
    }

    /// Releases bytes that the reader has consumed.
    pub fn shrink(&mut self, bytes: usize, now: Instant) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        let mut counters = self.counters.borrow_mut();
        counters.release(&self.account, bytes);
        counters.stalled.remove(&(self.last_progress, self.key));
        self.last_progress = now;
        if self.bytes > 0 && !self.suspended {
            counters.stalled.insert((now, self.key));
        }
    }

    /// Marks the stream as suspended or not. A suspended stream is not selected for suspension.
    pub fn set_suspended(&mut self, suspended: bool) {
        self.suspended = suspended;
        let mut counters = self.counters.borrow_mut();
        if suspended {
            counters.stalled.remove(&(self.last_progress, self.key));
        } else if self.bytes > 0 {
            counters.stalled.insert((self.last_progress, self.key));
        }
    }

    fn check(&self, bytes: usize) -> Result<(), Bound> {
        let counters = self.counters.borrow();
        let account = counters.accounts.get(&self.account).copied().unwrap_or(0);
        let bounds = [
            (self.bytes, counters.limits.stream, Bound::Stream),
            (account, counters.limits.account, Bound::Account),
            (counters.bytes, counters.limits.process, Bound::Process),
        ];
        let exceeded = bounds.iter().find(|(held, limit, _)| held + bytes > *limit);
        exceeded.map_or(Ok(()), |(_, _, bound)| Err(*bound))
    }
}

impl Counters {
    fn release(&mut self, account: &Account, bytes: usize) {
        self.bytes -= bytes;
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
        let mut counters = self.counters.borrow_mut();
        counters.release(&self.account, self.bytes);
        counters.stalled.remove(&(self.last_progress, self.key));
    }
}
