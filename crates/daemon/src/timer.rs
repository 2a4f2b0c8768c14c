//! Timers on the monotonic clock of the process, with detection of process pauses.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock;
use hawthornpost_core::timer::Service;
use nix::time::{ClockId, clock_gettime};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::pause::Detector;

/// The longest sleep of the loop, so that a pause is detected even when no deadline is near.
const MAX_SLEEP: Duration = Duration::from_millis(500);

/// The timer service of the process.
#[derive(Debug)]
pub struct Timer {
    start: Instant,
    /// The time since boot at the start; `None` where it is not available.
    boot_start: Option<Duration>,
    service: RefCell<Service<Rc<Notify>>>,
    /// Wakes the loop for a deadline that is earlier than the one it sleeps for.
    earlier_deadline: Notify,
    next_wake: Cell<clock::Instant>,
    pauses: Cell<Detector>,
    last_pause_end: Cell<Option<clock::Instant>>,
}

impl Timer {
    /// Creates the service; its time starts at zero.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            boot_start: time_since_boot(),
            service: RefCell::default(),
            earlier_deadline: Notify::new(),
            next_wake: Cell::default(),
            pauses: Cell::default(),
            last_pause_end: Cell::default(),
        }
    }

    /// Returns the time since the service was created.
    pub fn now(&self) -> clock::Instant {
        clock::Instant::from_start(self.start.elapsed())
    }

    /// Returns the time since the service was created, including the time for which the machine was suspended. Leases are
    /// measured with it, because the clocks of other hosts go on meanwhile.
    pub fn now_with_suspension(&self) -> clock::Instant {
        let elapsed = time_since_boot().zip(self.boot_start);
        elapsed.map_or_else(
            || self.now(),
            |(now, start)| clock::Instant::from_start(now.saturating_sub(start)),
        )
    }

    /// Returns when the last pause of the process ended.
    ///
    /// Leases and other state with a lifetime from before that time must be treated as expired.
    pub fn last_pause(&self) -> Option<clock::Instant> {
        let now = self.now();
        let mut pauses = self.pauses.get();
        let is_paused = pauses.read_both(now.since_start(), time_since_boot());
        self.record_reading(now, pauses, is_paused);
        self.last_pause_end.get()
    }

    /// Waits until a deadline has passed.
    pub async fn sleep_until(&self, deadline: clock::Instant) {
        let notify = Rc::new(Notify::new());
        let _subscription = self.service.borrow_mut().subscribe(deadline, Rc::clone(&notify));
        if deadline < self.next_wake.get() {
            self.earlier_deadline.notify_one();
        }
        notify.notified().await;
    }

    /// Waits for a duration.
    pub async fn sleep(&self, duration: Duration) {
        self.sleep_until(self.now() + duration).await;
    }

    /// Runs a future with a time limit and returns `None` when the limit passed first.
    pub async fn timeout<T>(&self, duration: Duration, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep(duration) => None,
        }
    }

    /// Wakes subscribers at their deadlines; never returns.
    pub async fn run(&self) {
        loop {
            let now = self.now();
            let mut pauses = self.pauses.get();
            let is_paused = pauses.read(now.since_start());
            self.record_reading(now, pauses, is_paused);
            let due = self.service.borrow_mut().due(now);
            for notify in due {
                notify.notify_one();
            }
            self.wait(now).await;
        }
    }

    fn record_reading(&self, now: clock::Instant, pauses: Detector, is_paused: bool) {
        self.pauses.set(pauses);
        if is_paused {
            self.last_pause_end.set(Some(now));
        }
    }

    async fn wait(&self, now: clock::Instant) {
        let next = self.service.borrow().next_deadline();
        let sleep = next.map_or(MAX_SLEEP, |deadline| deadline.since(now).min(MAX_SLEEP));
        self.next_wake.set(now + sleep);
        tokio::select! {
            () = tokio::time::sleep(sleep) => {}
            () = self.earlier_deadline.notified() => {}
        }
    }
}

/// Returns the time since the machine started, including the time for which it was suspended.
fn time_since_boot() -> Option<Duration> {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    Some(Duration::from(time))
}

impl Default for Timer {
    fn default() -> Self {
        Self::new()
    }
}
