//! The objects of the platform and the log of their changes.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde_json::{Value, json};

/// Changes that a watch can still read; older ones answer 410.
const LOG_LENGTH: usize = 5_000;
/// The largest object.
const MAX_OBJECT_BYTES: usize = 1 << 20;

/// Plural and name.
type Key = (String, String);

/// Why a write is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    Missing,
    Exists,
    Conflict,
    Invalid,
    TooLarge,
    Gone,
}

/// One change.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) version: u64,
    pub(crate) plural: String,
    pub(crate) kind: &'static str,
    pub(crate) object: Arc<Value>,
}

#[derive(Clone, Debug, Default)]
struct Objects {
    version: u64,
    by_key: BTreeMap<Key, Arc<Value>>,
}

/// Objects, versions and recent changes.
#[derive(Debug, Default)]
pub(crate) struct Store {
    objects: Objects,
    log: VecDeque<Change>,
    /// The version of the newest change that left the log.
    forgotten: u64,
    snapshot: Option<Objects>,
    /// Grows with every restore, so that watches end.
    pub(crate) era: u64,
}

impl Store {
    pub(crate) fn version(&self) -> u64 {
        self.objects.version
    }

    pub(crate) fn get(&self, plural: &str, name: &str) -> Result<Arc<Value>, Refusal> {
        let key = (plural.to_owned(), name.to_owned());
        self.objects.by_key.get(&key).map(Arc::clone).ok_or(Refusal::Missing)
    }

    pub(crate) fn list(&self, plural: &str) -> Vec<Arc<Value>> {
        let of_plural = self.objects.by_key.iter().filter(|((kind, _), _)| kind == plural);
        of_plural.map(|(_, object)| Arc::clone(object)).collect()
    }

    pub(crate) fn create(&mut self, plural: &str, object: Value) -> Result<Arc<Value>, Refusal> {
        let name = name(&object).ok_or(Refusal::Invalid)?;
        let key = (plural.to_owned(), name);
        if self.objects.by_key.contains_key(&key) {
            return Err(Refusal::Exists);
        }
        self.put(key, "ADDED", object)
    }

    pub(crate) fn update(&mut self, plural: &str, name: &str, object: Value) -> Result<Arc<Value>, Refusal> {
        let key = (plural.to_owned(), name.to_owned());
        let stored = self.objects.by_key.get(&key).ok_or(Refusal::Missing)?;
        let named = version_of(&object).ok_or(Refusal::Invalid)?;
        if version_of(stored) != Some(named) {
            return Err(Refusal::Conflict);
        }
        self.put(key, "MODIFIED", object)
    }

    pub(crate) fn delete(&mut self, plural: &str, name: &str, condition: Option<&str>) -> Result<Arc<Value>, Refusal> {
        let key = (plural.to_owned(), name.to_owned());
        let stored = self.objects.by_key.get(&key).ok_or(Refusal::Missing)?;
        if condition.is_some_and(|named| version_of(stored) != Some(named)) {
            return Err(Refusal::Conflict);
        }
        let object = Arc::clone(stored);
        self.objects.by_key.remove(&key);
        self.objects.version += 1;
        self.record("DELETED", key.0, Arc::clone(&object));
        Ok(object)
    }

    /// Returns the changes of a plural after a version.
    pub(crate) fn changes(&self, plural: &str, after: u64) -> Result<Vec<Change>, Refusal> {
        if after < self.forgotten || after > self.version() {
            return Err(Refusal::Gone);
        }
        let first = self.log.partition_point(|change| change.version <= after);
        let newer = self.log.range(first..).filter(|change| change.plural == plural);
        Ok(newer.cloned().collect())
    }

    pub(crate) fn take_snapshot(&mut self) {
        self.snapshot = Some(self.objects.clone());
    }

    /// Puts back the snapshot with its versions, as a restored backup does.
    pub(crate) fn restore(&mut self) {
        if let Some(snapshot) = self.snapshot.clone() {
            self.objects = snapshot;
            self.log.clear();
            self.forgotten = self.objects.version;
            self.era += 1;
        }
    }

    fn put(&mut self, key: Key, kind: &'static str, mut object: Value) -> Result<Arc<Value>, Refusal> {
        if object.to_string().len() > MAX_OBJECT_BYTES {
            return Err(Refusal::TooLarge);
        }
        let version = self.objects.version + 1;
        object["metadata"]["resourceVersion"] = json!(version.to_string());
        self.objects.version = version;
        let object = Arc::new(object);
        self.record(kind, key.0.clone(), Arc::clone(&object));
        self.objects.by_key.insert(key, Arc::clone(&object));
        Ok(object)
    }

    fn record(&mut self, kind: &'static str, plural: String, object: Arc<Value>) {
        self.log.push_back(Change {
            version: self.objects.version,
            plural,
            kind,
            object,
        });
        if self.log.len() > LOG_LENGTH {
            self.forgotten = self.log.pop_front().map_or(self.forgotten, |change| change.version);
        }
    }
}

fn name(object: &Value) -> Option<String> {
    let name = object.pointer("/metadata/name")?.as_str()?;
    (!name.is_empty()).then(|| name.to_owned())
}

fn version_of(object: &Value) -> Option<&str> {
    object.pointer("/metadata/resourceVersion")?.as_str()
}
