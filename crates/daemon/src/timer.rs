//! The timer service, driven by the clock of the process.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock;
use hawthornpost_core::timer::Service;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A turn of the loop that comes this much later than its deadline means that the process was paused.
const PAUSE_LIMIT: Duration = Duration::from_millis(1500);
/// The loop wakes at least this often, so that a pause is seen even when no deadline is near.
const LONGEST_SLEEP: Duration = Duration::from_millis(500);

/// The timer service of the process.
#[derive(Debug)]
pub struct Timer {
    start: Instant,
    service: RefCell<Service<Rc<Notify>>>,
    /// Wakes the driver for a deadline that is earlier than the one it waits for.
    changed: Notify,
    wakes_at: Cell<clock::Instant>,
    last_turn: Cell<clock::Instant>,
    paused_until: Cell<Option<clock::Instant>>,
}

impl Timer {
    /// Creates the service; time counts from here.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            service: RefCell::default(),
            changed: Notify::new(),
            wakes_at: Cell::default(),
            last_turn: Cell::default(),
            paused_until: Cell::default(),
        }
    }

    /// Returns the time since the service was created.
    pub fn now(&self) -> clock::Instant {
        clock::Instant::from_start(self.start.elapsed())
    }

    /// Returns when the process last woke from a pause.
    ///
    /// Leases and freshness from before that time have to count as lapsed.
    pub fn last_pause(&self) -> Option<clock::Instant> {
        self.check_pause();
        self.paused_until.get()
    }

    /// Waits until a deadline has passed.
    pub async fn sleep_until(&self, deadline: clock::Instant) {
        let notify = Rc::new(Notify::new());
        let _subscription = self.service.borrow_mut().subscribe(deadline, Rc::clone(&notify));
        if deadline < self.wakes_at.get() {
            self.changed.notify_one();
        }
        notify.notified().await;
    }

    /// Waits for a time.
    pub async fn sleep(&self, duration: Duration) {
        self.sleep_until(self.now() + duration).await;
    }

    /// Runs a future with a time limit and returns `None` when the limit passed first.
    pub async fn limit<T>(&self, duration: Duration, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep(duration) => None,
        }
    }

    /// Wakes subscribers; never returns.
    pub async fn run(&self) {
        loop {
            let now = self.now();
            self.check_pause();
            let due = self.service.borrow_mut().due(now);
            for notify in due {
                notify.notify_one();
            }
            self.wait(now).await;
        }
    }

    fn check_pause(&self) {
        let now = self.now();
        if now.since(self.last_turn.get()) > PAUSE_LIMIT + LONGEST_SLEEP {
            self.paused_until.set(Some(now));
        }
        self.last_turn.set(now);
    }

    async fn wait(&self, now: clock::Instant) {
        let next = self.service.borrow().next_deadline();
        let sleep = next.map_or(LONGEST_SLEEP, |deadline| deadline.since(now).min(LONGEST_SLEEP));
        self.wakes_at.set(now + sleep);
        tokio::select! {
            () = tokio::time::sleep(sleep) => {}
            () = self.changed.notified() => {}
        }
    }
}

impl Default for Timer {
    fn default() -> Self {
        Self::new()
    }
}
