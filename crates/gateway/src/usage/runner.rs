//! Keeps the record of the usage and reports each window while this host holds the duty.

use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;

use crate::datagram::Datagram;
use crate::duration::millis;
use crate::event::Event;
use crate::gateway::Gateway;
use crate::metric;
use crate::platform::{Consistency, Platform, Record};
use crate::usage::ledger::Step;
use crate::usage::{Ledger, Notice, Report, Shared};

/// The interval at which the holder looks for windows that have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// The interval at which the holder asks all hosts for their totals. Hosts may have other candidates in mind.
const SUBSCRIPTION_INTERVAL: Duration = Duration::from_secs(2);

/// Starts the task.
pub(crate) fn start<P: Platform>(gateway: &Rc<Gateway>, platform: &Rc<P>) {
    let (gateway, platform) = (Rc::clone(gateway), Rc::clone(platform));
    tokio::task::spawn_local(async move {
        if let Some(usage) = gateway.usage() {
            let mut runner = Runner {
                gateway: &gateway,
                platform: &*platform,
                usage,
                ledger: Ledger::new(usage.timing()),
                next_subscription: Instant::ZERO,
            };
            runner.run().await;
        }
    });
}

struct Runner<'a, P> {
    gateway: &'a Gateway,
    platform: &'a P,
    usage: &'a Shared,
    ledger: Ledger,
    next_subscription: Instant,
}

impl<P: Platform> Runner<'_, P> {
    async fn run(&mut self) {
        loop {
            if self.gateway.is_duty_holder() {
                self.subscribe();
                self.step().await;
            } else {
                self.ledger.release();
                self.next_subscription = Instant::ZERO;
                self.gateway.timer().sleep(POLL_INTERVAL).await;
            }
            for notice in self.ledger.take_notices() {
                log_notice(&notice);
            }
        }
    }

    /// Asks all hosts for their totals.
    fn subscribe(&mut self) {
        let now = self.gateway.now();
        if now >= self.next_subscription {
            self.next_subscription = now + SUBSCRIPTION_INTERVAL;
            let address = self.gateway.settings().listen.peers;
            self.gateway.peers().broadcast(Datagram::UsageWanted { address });
        }
    }

    async fn step(&mut self) {
        let now = self.gateway.now();
        let step = self
            .ledger
            .next(now, self.usage.time(now), &self.usage.totals().borrow());
        match step {
            Step::Read => self.read().await,
            Step::Write { base, contents } => self.write(base, &contents).await,
            Step::Report(report) => self.report(&report).await,
            Step::Wait => self.gateway.timer().sleep(POLL_INTERVAL).await,
        }
    }

    async fn read(&mut self) {
        let call = self.platform.read(Record::Usage, Consistency::Latest);
        let result = self.gateway.timer().timeout(STORE_TIMEOUT, call).await;
        let now = self.gateway.now();
        match result {
            Some(Ok(stored)) => {
                let mut totals = self.usage.totals().borrow_mut();
                self.ledger.read(self.usage.time(now), stored.as_ref(), &mut totals);
            }
            Some(Err(_)) | None => self.ledger.store_failed(now),
        }
    }

    async fn write(&mut self, base: Option<u64>, contents: &str) {
        let call = self.platform.write(Record::Usage, base, contents);
        match self.gateway.timer().timeout(STORE_TIMEOUT, call).await {
            Some(Ok(revision)) => self.ledger.written(revision),
            Some(Err(_)) | None => self.ledger.store_failed(self.gateway.now()),
        }
    }

    async fn report(&mut self, report: &Report) {
        let Some(fence) = self.gateway.begin_duty_call().await else {
            // The lease ends soon, and this host may not renew it.
            self.gateway.timer().sleep(POLL_INTERVAL).await;
            return;
        };
        let call = self.platform.report_usage(&fence, report);
        let timeout = self.gateway.duty_call_timeout();
        let result = self.gateway.timer().timeout(timeout, call).await;
        let is_answered = match &result {
            Some(Ok(())) => true,
            Some(Err(error)) => error.is_answer(),
            None => false,
        };
        self.gateway.record_duty_call(is_answered);
        let now = self.gateway.now();
        if let Some(Ok(())) = result {
            let time = self.usage.time(now);
            self.ledger.reported(time, report, &self.usage.totals().borrow());
        } else {
            self.ledger.report_failed(now);
        }
    }
}

fn log_notice(notice: &Notice) {
    match *notice {
        Notice::Reported {
            window,
            requests,
            accounts,
            sources,
            age,
        } => {
            metric::record_report(age);
            Event::UsageReported {
                window,
                requests,
                accounts,
                hosts: sources,
                age_ms: millis(age),
                what: "the usage of a window was reported",
            }
            .log();
        }
        Notice::Missed { first, count, reason } => {
            metric::record_missed_windows(count);
            Event::UsageMissed {
                window: first,
                count,
                reason,
                what: "the usage of windows was not reported in time",
            }
            .log();
        }
        Notice::Late { window, requests } => Event::UsageLate {
            window,
            requests,
            what: "counts arrived after the report of their window and were dropped",
        }
        .log(),
    }
}
