//! Differences between two lists of named elements.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// The edits that turn one list into another. Elements may be reordered, and names may be repeated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Delta<T> {
    edits: Vec<Edit<T>>,
}

/// A part of the new list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Edit<T> {
    /// Consecutive elements of the old list.
    Keep { first: usize, count: usize },
    /// New or changed elements.
    Put(Vec<T>),
}

impl<T: Clone + PartialEq> Delta<T> {
    /// Computes the edits from `old` to `new`.
    pub(crate) fn between<'a>(old: &'a [T], new: &'a [T], name: impl Fn(&'a T) -> &'a str) -> Self {
        let mut positions = HashMap::<&str, Vec<usize>>::new();
        for (position, element) in old.iter().enumerate() {
            positions.entry(name(element)).or_default().push(position);
        }
        let mut delta = Self { edits: Vec::new() };
        let mut next = 0;
        for element in new {
            let is_equal = |position: &usize| old.get(*position) == Some(element);
            let same_name = positions.get(name(element)).into_iter().flatten().copied();
            if let Some(position) = std::iter::once(next).chain(same_name).find(is_equal) {
                delta.keep(position);
                next = position + 1;
            } else {
                delta.put(element.clone());
                // A changed element usually takes the place of the old one.
                next += 1;
            }
        }
        delta
    }

    /// Applies the edits; returns `None` if they do not fit the list.
    pub(crate) fn apply(&self, old: &[T]) -> Option<Vec<T>> {
        let mut new = Vec::new();
        for edit in &self.edits {
            match edit {
                Edit::Keep { first, count } => {
                    let end = first.checked_add(*count)?;
                    new.extend_from_slice(old.get(*first..end)?);
                }
                Edit::Put(elements) => new.extend_from_slice(elements),
            }
        }
        Some(new)
    }

    fn keep(&mut self, position: usize) {
        match self.edits.last_mut() {
            Some(Edit::Keep { first, count }) if *first + *count == position => *count += 1,
            _ => self.edits.push(Edit::Keep {
                first: position,
                count: 1,
            }),
        }
    }

    fn put(&mut self, element: T) {
        match self.edits.last_mut() {
            Some(Edit::Put(elements)) => elements.push(element),
            _ => self.edits.push(Edit::Put(vec![element])),
        }
    }
}
