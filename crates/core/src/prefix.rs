//! Index of the prompt prefixes that engines hold in their caches.
