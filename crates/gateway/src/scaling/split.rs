//! The division of targets among data centres.

use std::collections::BTreeMap;

use crate::scaling::Bounds;

/// The share of a target's time that work may take, so that requests seldom wait for each other.
const MAX_UTILISATION: f64 = 0.75;
/// The share of the targets that a service in a single data centre may lose without overload.
const TOLERATED_LOSS: f64 = 0.25;

/// Returns the share of the targets that a service in this many data centres may lose without overload.
pub(crate) fn tolerated_loss(data_centres: usize) -> f64 {
    match data_centres {
        0 | 1 => TOLERATED_LOSS,
        count => 1.0 / count as f64,
    }
}

/// Returns the number of targets for a demand, such that those left after the loss of the largest data centre suffice.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates, and demand is not negative"
)]
pub fn needed(demand: f64, data_centres: usize) -> u32 {
    let targets = demand / MAX_UTILISATION / (1.0 - tolerated_loss(data_centres));
    targets.ceil() as u32
}

/// Divides targets evenly, because the loss of the largest data centre is then smallest. What is left over goes to the
/// data centres with the most requests.
pub fn evenly<'a>(targets: u32, requests: &BTreeMap<&'a str, f64>, bounds: &Bounds) -> BTreeMap<&'a str, u32> {
    let count = u32::try_from(requests.len()).unwrap_or(u32::MAX).max(1);
    let mut by_requests = requests.iter().collect::<Vec<_>>();
    by_requests.sort_by(|(_, one), (_, other)| other.total_cmp(one));
    let left_over = targets % count;
    let shares = by_requests.into_iter().zip(0..).map(|((name, _), position)| {
        let share = targets / count + u32::from(position < left_over);
        (*name, bounds.clamp(share))
    });
    shares.collect()
}
