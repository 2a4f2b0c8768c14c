//! Discovery of entry addresses by callers.
//!
//! Callers cache the addresses for a lifetime. An entry that leaves is no longer offered, keeps accepting work until
//! the lifetime of the last offer has passed, and then drains ([`Drain`]).

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::id::{Account, DataCentre, Entry};

pub use crate::discovery_drain::{Command, Drain, Event, Phase};

/// The number of addresses in an offer; a caller tries the next one when the first does not respond.
pub const MAX_ADDRESSES: usize = 3;

/// An entry that can be offered to callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The name.
    pub entry: Entry,
    /// The address for callers.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: DataCentre,
    /// The share of callers that the entry receives, relative to the other entries.
    pub weight: u32,
    /// Whether the entry accepts new work; an entry that is leaving, full or just started does not.
    pub accepts_work: bool,
}

/// The response to a caller that asks for addresses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The addresses, best first.
    pub entries: Vec<Address>,
    /// How long the caller may cache the response, in milliseconds.
    pub lifetime_ms: u64,
}

/// One address of an offer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    /// The name of the entry.
    pub entry: Entry,
    /// The address.
    pub address: SocketAddr,
    /// The data centre.
    pub data_centre: DataCentre,
}

/// The caller that asks for addresses.
#[derive(Clone, Copy, Debug)]
pub struct Caller<'a> {
    /// The account.
    pub account: &'a Account,
    /// Distinguishes the callers of an account, for example by network address, so that a large account is spread over
    /// entries.
    pub origin: &'a str,
}

/// Chooses the addresses for a caller by weighted rendezvous hashing.
///
/// A caller keeps its first address as long as that entry is available. The loss of an entry therefore moves only its
/// own callers and spreads them over all other entries.
pub fn offer(caller: Caller<'_>, candidates: &[Candidate], lifetime: Duration) -> Offer {
    let mut ranked = candidates
        .iter()
        .filter(|candidate| candidate.accepts_work && candidate.weight > 0)
        .map(|candidate| (score(caller, candidate), candidate))
        .collect::<Vec<_>>();
    ranked.sort_by(|(one, first), (other, second)| other.total_cmp(one).then(first.entry.cmp(&second.entry)));
    Offer {
        entries: ranked
            .into_iter()
            .take(MAX_ADDRESSES)
            .map(|(_, candidate)| candidate.into())
            .collect(),
        lifetime_ms: u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX),
    }
}

/// Returns the address to which a full or leaving entry redirects a caller.
pub fn alternative(caller: Caller<'_>, candidates: &[Candidate], own: &Entry) -> Option<Address> {
    let others = candidates.iter().filter(|candidate| candidate.entry != *own);
    let others = others.cloned().collect::<Vec<_>>();
    offer(caller, &others, Duration::ZERO).entries.into_iter().next()
}

impl From<&Candidate> for Address {
    fn from(candidate: &Candidate) -> Self {
        Self {
            entry: candidate.entry.clone(),
            address: candidate.address,
            data_centre: candidate.data_centre.clone(),
        }
    }
}

/// Computes the score of weighted rendezvous hashing, -weight / ln(u) with u uniform in (0, 1).
fn score(caller: Caller<'_>, candidate: &Candidate) -> f64 {
    let mut hasher = blake3::Hasher::new();
    for part in [caller.account.as_str(), caller.origin, candidate.entry.as_str()] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    let uniform = SmallRng::from_seed(*hasher.finalize().as_bytes()).random_range(f64::EPSILON..1.0);
    -f64::from(candidate.weight) / uniform.ln()
}
