//! The budget of repeated sends.

use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_gateway::budget::{Allowance, Budget};

const ALLOWANCE: Allowance = Allowance {
    ratio: 0.8,
    minimum: 150.0,
    window: Duration::from_secs(10),
};

/// Guards against hosts that together repeat more than all of them may: every request fails and every host repeats as
/// often as it can.
#[test]
fn hosts_together_stay_below_the_allowance_in_every_window() {
    let hosts = 8;
    let mut budgets = (0..hosts).map(|_| Budget::new(ALLOWANCE)).collect::<Vec<_>>();
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for step in 0..60_u64 {
        let now = Instant::from_millis(step * 500);
        for budget in &mut budgets {
            for _ in 0..(step % 4) {
                budget.note_request(now, "pool");
                requests.push(now);
            }
            while budget.take_repeat(now, "pool", hosts) {
                repeats.push(now);
            }
        }
        let in_window = |times: &[Instant]| times.iter().filter(|at| now.since(**at) < ALLOWANCE.window).count() as f64;
        let allowed = ALLOWANCE.ratio.mul_add(in_window(&requests), ALLOWANCE.minimum);
        assert!(
            in_window(&repeats) <= allowed,
            "step {step}: {} of {allowed}",
            in_window(&repeats)
        );
    }
    assert!(!repeats.is_empty());
}
