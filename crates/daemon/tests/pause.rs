//! Detection of pauses of the process.

use std::time::Duration;

use hawthornpost_daemon::pause::Detector;

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Guards against a process that acts on outdated state after it did not run for seconds.
#[test]
fn stopped_process_is_detected() {
    let mut detector = Detector::default();
    assert!(!detector.read_both(secs(1), Some(secs(1001))));
    assert!(!detector.read(secs(2)));
    assert!(detector.read_both(secs(6), Some(secs(1006))));
    assert!(!detector.read_both(secs(7), Some(secs(1007))));
}

/// Guards against a suspended machine, whose steady clock stops, that looks as if it had run all the time.
#[test]
fn suspended_machine_is_detected() {
    let mut detector = Detector::default();
    assert!(!detector.read_both(secs(1), Some(secs(1001))));
    // The steady clock is read more often.
    assert!(!detector.read(secs(2)));
    assert!(detector.read_both(secs(2), Some(secs(1006))));
    assert!(!detector.read_both(secs(3), Some(secs(1007))));
}

/// Guards against pauses that are seen where the time since boot is not available.
#[test]
fn missing_time_since_boot_is_no_pause() {
    let mut detector = Detector::default();
    for second in 0..5 {
        assert!(!detector.read_both(secs(second), None));
    }
}
