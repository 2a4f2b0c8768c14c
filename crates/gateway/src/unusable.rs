//! Log of objects in the store that cannot be decoded.

use std::cell::RefCell;
use std::collections::BTreeMap;

use crate::event::Event;

/// The maximum number of objects that are remembered.
const MAX_OBJECTS: usize = 256;

/// The unusable objects that were logged. Each is logged once, although every list of the store contains it.
#[derive(Debug, Default)]
pub(crate) struct Log {
    /// The reasons by name.
    reasons: RefCell<BTreeMap<String, String>>,
}

impl Log {
    /// Logs an object that cannot be used and is treated as missing, unless it was logged for the same reason before.
    pub(crate) fn record(&self, object: &str, reason: &str, revision: u64) {
        let mut reasons = self.reasons.borrow_mut();
        if reasons.get(object).is_some_and(|known| known == reason) {
            return;
        }
        if reasons.len() >= MAX_OBJECTS {
            reasons.clear();
        }
        reasons.insert(object.to_owned(), reason.to_owned());
        Event::ObjectUnusable {
            object,
            reason,
            revision,
            what: "an object of the store cannot be used and is treated as missing",
        }
        .log();
    }

    /// Forgets an object that is usable or gone.
    pub(crate) fn clear(&self, object: &str) {
        self.reasons.borrow_mut().remove(object);
    }
}
