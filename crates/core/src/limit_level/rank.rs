//! The rank of a request.

/// A request that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The account; empty for callers without one, which share a part.
    pub account: &'a str,
    /// The weight of the account relative to the other accounts, at least 1.
    pub weight: u32,
    /// The priority, where 0 is the most urgent.
    pub priority: u8,
    /// The work: tokens for a stream, 1 for a call.
    pub work: f64,
}

/// The rank of a request among those that its host was offered lately. A lower priority number goes first, and within a
/// priority the smaller excess.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rank {
    /// The priority, where 0 is the most urgent.
    pub priority: u8,
    /// The work that the account offered lately as a multiple of its fair share of what is admitted; at least 1.
    pub excess: f64,
}
