//! Timer of the HTTP library for idle connections, which follows changes of the idle timeout.
//!
//! The library fixes the timeout of a connection when it accepts it. Here, that timeout is zero, so that the library's
//! deadlines are the times at which a connection became idle, and [`Timer`] adds the idle timeout in force.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use hyper::rt;
use tokio::time;

use crate::duration::millis;

/// The timer of the connections of callers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timer {
    /// The idle timeout in force, in milliseconds.
    idle_timeout_ms: Arc<AtomicU64>,
}

impl Timer {
    /// Sets the idle timeout of all connections, open ones included.
    pub(crate) fn set_idle_timeout(&self, timeout: Duration) {
        self.idle_timeout_ms.store(millis(timeout), Ordering::Relaxed);
    }

    fn expiry(&self, idle_since: Instant) -> time::Instant {
        let timeout = Duration::from_millis(self.idle_timeout_ms.load(Ordering::Relaxed));
        (idle_since + timeout).into()
    }
}

impl rt::Timer for Timer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn rt::Sleep>> {
        self.sleep_until(self.now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn rt::Sleep>> {
        Box::pin(Sleep {
            timer: self.clone(),
            idle_since: deadline,
            inner: Box::pin(time::sleep_until(self.expiry(deadline))),
        })
    }

    fn now(&self) -> Instant {
        time::Instant::now().into_std()
    }
}

/// Completes when a connection has been idle for the idle timeout.
struct Sleep {
    timer: Timer,
    idle_since: Instant,
    inner: Pin<Box<time::Sleep>>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.inner.as_mut().poll(cx));
            let expiry = self.timer.expiry(self.idle_since);
            if expiry <= time::Instant::now() {
                return Poll::Ready(());
            }
            self.inner.as_mut().reset(expiry);
        }
    }
}

impl rt::Sleep for Sleep {}
