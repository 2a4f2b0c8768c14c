//! Tests of target selection, the prefix index and subsetting.

use std::collections::BTreeMap;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{Entry, Target};
use hawthornpost_core::prefix::{Block, Bounds, Event, Index, Kind, blocks};
use hawthornpost_core::route::{Candidate, Costs, Criteria, Router, Subset};
use hawthornpost_core::wire::Load;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;

const NOW: Instant = Instant::from_millis(1000);

fn targets(count: usize) -> Vec<Target> {
    (0..count).map(|index| format!("t{index}").parse().unwrap()).collect()
}

fn load(held: u64, waiting: u32) -> Load {
    Load {
        model: "letters".parse().unwrap(),
        version: "v1".parse().unwrap(),
        tokens_held: held,
        tokens_capacity: 10_000,
        running: 0,
        waiting,
        sequence: 1,
    }
}

struct Fixture {
    router: Router,
    index: Index,
    targets: Vec<Target>,
    blocks: Vec<Block>,
}

impl Fixture {
    fn new() -> Self {
        Self {
            router: Router::new(Costs {
                tolerance: 0.0,
                ..Costs::default()
            }),
            index: Index::default(),
            targets: targets(2),
            blocks: blocks(&"field log ".repeat(800)),
        }
    }

    fn first(&self, free: [u64; 2], distance_ms: [u64; 2], priority: u8) -> Option<&str> {
        let criteria = Criteria {
            prompt: 2_000,
            tokens: 3_000,
            blocks: &self.blocks,
            priority,
        };
        let candidates = self.targets.iter().enumerate().map(|(index, target)| Candidate {
            target,
            distance: Duration::from_millis(distance_ms[index]),
            free: free[index],
        });
        let mut rng = SmallRng::seed_from_u64(1);
        let ranked = self.router.rank(NOW, &criteria, candidates, &self.index, &mut rng);
        ranked.first().map(|target| target.as_str())
    }
}

/// Guards against a selection that ignores one of its criteria; without the criterion, `t0` ranks at least as high as
/// `t1`.
#[test_case(|_| {}, "t0"; "lower latency")]
#[test_case(|fixture| fixture.index.record_sent(NOW, &fixture.targets[1], &fixture.blocks), "t1"; "cached prefix")]
#[test_case(|fixture| fixture.router.report(NOW, &fixture.targets[0], &load(9_000, 0)), "t1"; "lower load")]
#[test_case(|fixture| fixture.router.report(Instant::ZERO, &fixture.targets[0], &load(100, 2)), "t1"; "no queue")]
#[test_case(|fixture| fixture.router.started(&fixture.targets[0], 5_000), "t1"; "fewer pending tokens")]
#[test_case(|fixture| fixture.router.mark_leaving(&fixture.targets[0], true), "t1"; "not leaving")]
#[test_case(|fixture| fixture.router.suspect(NOW, &fixture.targets[0], Duration::from_secs(5)), "t1"; "not suspected")]
fn selection(criterion: fn(&mut Fixture), expected: &str) {
    let mut fixture = Fixture::new();
    criterion(&mut fixture);
    assert_eq!(fixture.first([9_000, 9_000], [1, 2], 5), Some(expected));
}

/// Guards against a full target that ranks before one with free capacity, and against one that is never retried.
#[test]
fn full_target_ranks_last() {
    let fixture = Fixture::new();
    assert_eq!(fixture.first([100, 9_000], [1, 50], 5), Some("t1"));
    assert_eq!(fixture.first([100, 100], [1, 50], 5), Some("t0"));
}

/// Guards against requests to a leaving target when there is no other.
#[test]
fn leaving_targets_are_never_selected() {
    let mut fixture = Fixture::new();
    for target in &fixture.targets {
        fixture.router.mark_leaving(target, true);
    }
    assert_eq!(fixture.first([9_000; 2], [1, 1], 5), None);
}

/// Guards against a load report that is still used long after it was made.
#[test]
fn old_reports_lose_weight() {
    let mut fixture = Fixture::new();
    fixture
        .router
        .report(Instant::ZERO, &fixture.targets[0], &load(9_000, 0));
    fixture.router = Router::new(Costs {
        tolerance: 0.0,
        report_age: Duration::from_millis(900),
        ..Costs::default()
    });
    fixture
        .router
        .report(Instant::ZERO, &fixture.targets[0], &load(9_000, 0));
    assert_eq!(fixture.first([9_000; 2], [1, 2], 5), Some("t0"));
}

/// Guards against an urgent request that queues behind others for a cached prefix.
#[test_case(0, "t0"; "a low priority queues for the cached prefix")]
#[test_case(9, "t1"; "a high priority takes the idle target")]
fn priority_weighs_load_against_the_cache(priority: u8, expected: &str) {
    let mut fixture = Fixture::new();
    fixture.index.record_sent(NOW, &fixture.targets[0], &fixture.blocks);
    fixture.router.started(&fixture.targets[0], 2_500);
    assert_eq!(fixture.first([9_000; 2], [1, 1], priority), Some(expected));
}

fn event(sequence: u64, kind: Kind, blocks: &[u64]) -> Event {
    Event {
        sequence,
        kind,
        blocks: blocks.iter().copied().map(Block).collect(),
    }
}

/// Guards against an incorrect prefix index after late, missing or duplicate events.
#[test_case(&[(0, Kind::Stored, &[1, 2, 3])], 3; "a stored prefix")]
#[test_case(&[(0, Kind::Stored, &[1, 3])], 1; "a missing block ends the prefix")]
#[test_case(&[(0, Kind::Stored, &[1, 2, 3]), (1, Kind::Removed, &[2])], 1; "a removed block")]
#[test_case(&[(0, Kind::Stored, &[1, 2]), (1, Kind::Cleared, &[])], 0; "a cleared cache")]
#[test_case(&[(0, Kind::Stored, &[1, 2]), (5, Kind::Stored, &[3])], 3; "a gap keeps the known blocks")]
#[test_case(&[(0, Kind::Stored, &[1, 2]), (5, Kind::Stored, &[3]), (9, Kind::Stored, &[4])], 0; "a second gap evicts them")]
#[test_case(&[(0, Kind::Stored, &[1]), (5, Kind::Stored, &[1]), (9, Kind::Stored, &[2])], 2; "confirmed blocks are kept")]
#[test_case(&[(3, Kind::Removed, &[1]), (2, Kind::Stored, &[1])], 0; "a late store is ignored")]
#[test_case(&[(3, Kind::Stored, &[1]), (2, Kind::Removed, &[1])], 0; "a late removal is applied")]
fn cache_events(events: &[(u64, Kind, &[u64])], expected: usize) {
    let target = &targets(1)[0];
    let mut index = Index::default();
    for (number, (sequence, kind, blocks)) in events.iter().enumerate() {
        let now = NOW + Duration::from_secs(40) * u32::try_from(number).unwrap();
        index.observe(now, target, &event(*sequence, *kind, blocks));
    }
    assert_eq!(index.matching(target, &[1, 2, 3].map(Block)), expected);
}

/// Guards against a target whose blocks are evicted repeatedly because it often loses events.
#[test]
fn gaps_within_the_interval_count_as_one() {
    let target = &targets(1)[0];
    let mut index = Index::default();
    for sequence in [0, 5, 9, 13] {
        index.observe(NOW, target, &event(sequence, Kind::Stored, &[sequence]));
    }
    assert_eq!(index.matching(target, &[0, 5, 9, 13].map(Block)), 4);
}

/// Guards against an index that grows without limit or never evicts.
#[test]
fn prefix_index_is_bounded_and_evicts_old_blocks() {
    let target = &targets(1)[0];
    let mut index = Index::new(Bounds {
        blocks_per_target: 100,
        max_age: Duration::from_secs(600),
    });
    let many = (0..10_000).map(Block).collect::<Vec<_>>();
    index.record_sent(NOW, target, &many);
    assert!(index.len() <= 100);
    assert_eq!(index.matching(target, &[Block(9_999)]), 1, "a new block was evicted");
    for seconds in [400, 800] {
        index.record_sent(Instant::from_start(Duration::from_secs(seconds)), target, &[Block(1)]);
    }
    assert_eq!(index.len(), 1);
}

/// Guards against subsets that give a target too few entries, or distribute targets unevenly.
#[test_case(151, 390, 12; "one model of a large fleet")]
#[test_case(700, 130, 12; "one region")]
#[test_case(20, 8, 12; "a small fleet shares all targets")]
fn subsets_are_even(target_count: usize, entries: usize, sharers: usize) {
    let targets = targets(target_count);
    let entries = (0..entries)
        .map(|index| format!("e{index}").parse().unwrap())
        .collect::<Vec<Entry>>();
    let (targets, entries) = (targets.iter().collect::<Vec<_>>(), entries.iter().collect::<Vec<_>>());
    let assigned = Subset { sharers }.assign(&targets, &entries);
    let mut counts = BTreeMap::new();
    for shared in assigned.values() {
        assert!(
            shared.len() == sharers.min(entries.len()),
            "a target has {} entries",
            shared.len()
        );
        for entry in shared {
            *counts.entry(entry).or_insert(0_usize) += 1;
        }
    }
    let (least, most) = (counts.values().min().unwrap(), counts.values().max().unwrap());
    assert!(
        counts.len() == entries.len() && most - least <= 3,
        "{least} to {most} targets per entry"
    );
}
