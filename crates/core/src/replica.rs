//! Copies of generations held for peers.
