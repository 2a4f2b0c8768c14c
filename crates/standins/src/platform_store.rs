//! The objects of the platform and the change log that watches read.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde_json::{Value, json};

/// The number of changes that are kept for watches; a watch from an older version gets status 410.
const MAX_LOG_CHANGES: usize = 5_000;
/// The maximum size of an object.
const MAX_OBJECT_BYTES: usize = 1 << 20;

/// The plural and the name of an object.
type Key = (String, String);

/// The reason why a call is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rejection {
    NotFound,
    AlreadyExists,
    Conflict,
    Invalid,
    TooLarge,
    Expired,
}

/// A change of an object.
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

/// The objects, the change log and the snapshot.
#[derive(Debug, Default)]
pub(crate) struct Store {
    objects: Objects,
    log: VecDeque<Change>,
    /// The version of the newest change that was removed from the log.
    compacted_version: u64,
    snapshot: Option<Objects>,
    /// The number of restores; a watch ends when it changes.
    pub(crate) restores: u64,
}

impl Store {
    pub(crate) fn version(&self) -> u64 {
        self.objects.version
    }

    pub(crate) fn get(&self, plural: &str, name: &str) -> Result<Arc<Value>, Rejection> {
        let key = (plural.to_owned(), name.to_owned());
        self.objects.by_key.get(&key).map(Arc::clone).ok_or(Rejection::NotFound)
    }

    pub(crate) fn list(&self, plural: &str) -> Vec<Arc<Value>> {
        let of_plural = self.objects.by_key.iter().filter(|((kind, _), _)| kind == plural);
        of_plural.map(|(_, object)| Arc::clone(object)).collect()
    }

    pub(crate) fn create(&mut self, plural: &str, object: Value) -> Result<Arc<Value>, Rejection> {
        let name = name(&object).ok_or(Rejection::Invalid)?;
        let key = (plural.to_owned(), name);
        if self.objects.by_key.contains_key(&key) {
            return Err(Rejection::AlreadyExists);
        }
        self.put(key, "ADDED", object)
    }

    pub(crate) fn update(&mut self, plural: &str, name: &str, object: Value) -> Result<Arc<Value>, Rejection> {
        let key = (plural.to_owned(), name.to_owned());
        let stored = self.objects.by_key.get(&key).ok_or(Rejection::NotFound)?;
        let expected = version_of(&object).ok_or(Rejection::Invalid)?;
        if version_of(stored) != Some(expected) {
            return Err(Rejection::Conflict);
        }
        self.put(key, "MODIFIED", object)
    }

    pub(crate) fn delete(
        &mut self,
        plural: &str,
        name: &str,
        condition: Option<&str>,
    ) -> Result<Arc<Value>, Rejection> {
        let key = (plural.to_owned(), name.to_owned());
        let stored = self.objects.by_key.get(&key).ok_or(Rejection::NotFound)?;
        if condition.is_some_and(|expected| version_of(stored) != Some(expected)) {
            return Err(Rejection::Conflict);
        }
        let object = Arc::clone(stored);
        self.objects.by_key.remove(&key);
        self.objects.version += 1;
        self.record("DELETED", key.0, Arc::clone(&object));
        Ok(object)
    }

    /// Returns the changes of a plural after a version; fails if they are no longer in the log.
    pub(crate) fn changes(&self, plural: &str, after: u64) -> Result<Vec<Change>, Rejection> {
        if after < self.compacted_version || after > self.version() {
            return Err(Rejection::Expired);
        }
        let first = self.log.partition_point(|change| change.version <= after);
        let newer = self.log.range(first..).filter(|change| change.plural == plural);
        Ok(newer.cloned().collect())
    }

    pub(crate) fn take_snapshot(&mut self) {
        self.snapshot = Some(self.objects.clone());
    }

    /// Restores the snapshot with its versions, as restoring a backup does.
    pub(crate) fn restore(&mut self) {
        if let Some(snapshot) = self.snapshot.clone() {
            self.objects = snapshot;
            self.log.clear();
            self.compacted_version = self.objects.version;
            self.restores += 1;
        }
    }

    fn put(&mut self, key: Key, kind: &'static str, mut object: Value) -> Result<Arc<Value>, Rejection> {
        if object.to_string().len() > MAX_OBJECT_BYTES {
            return Err(Rejection::TooLarge);
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
        if self.log.len() > MAX_LOG_CHANGES {
            self.compacted_version = self
                .log
                .pop_front()
                .map_or(self.compacted_version, |change| change.version);
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
