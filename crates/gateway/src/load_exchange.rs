//! Exchange of loads between entry hosts.
//!
//! While there are few hosts, each reports to all others. Otherwise each reports to one host of its data centre, which
//! sends what it gathers to its data centre and, through a relay, to each other one. The datagrams that a host receives
//! then grow with the number of data centres, not with the number of hosts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::datagram::{Datagram, LoadReport};
use crate::duration::scale_by_hosts;
use crate::gateway::Gateway;
use crate::load_report::Reporter;
use crate::peers_socket::Socket;

/// The minimum interval between two load reports of a host.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(40);
/// The minimum interval per live host while hosts report to each other, so that the rate of received reports does not
/// grow with the number of hosts: links of 10 Mbit/s carry stream events as well.
const MIN_REPORT_INTERVAL_PER_HOST: Duration = Duration::from_millis(4);
/// The minimum interval between two reports to the host that gathers them.
const MIN_COLLECTED_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum interval between two reports while there is load, so that a lost datagram has no lasting effect.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// The maximum interval between two reports while a service is overloaded.
const LEVEL_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// How long reports are gathered. Relayed reports then arrive within a third of a second.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);
/// A batch takes one relay in each data centre, because the next one follows soon.
const BATCH_RELAYS: usize = 1;

/// The reports that this host sends and gathers.
pub(crate) struct Exchange {
    gateway: Rc<Gateway>,
    socket: Rc<Socket>,
    gathered: RefCell<Vec<LoadReport>>,
}

impl Exchange {
    /// Creates an exchange without reports.
    pub(crate) fn new(gateway: &Rc<Gateway>, socket: &Rc<Socket>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            socket: Rc::clone(socket),
            gathered: RefCell::default(),
        }
    }

    /// Applies a report.
    pub(crate) fn apply(&self, report: &LoadReport) {
        if report.from == self.gateway.peers().name {
            return;
        }
        let now = self.gateway.now();
        let from = report.from.as_str();
        self.gateway.fleet().borrow_mut().merge_peer(now, from, &report.loads);
        self.gateway
            .budget()
            .borrow_mut()
            .set_peer_usage(now, from, report.used.clone());
        self.gateway
            .overload()
            .borrow_mut()
            .merge_peer(now, from, &report.levels);
    }

    /// Gathers a report for the next batch.
    pub(crate) fn gather(&self, report: LoadReport) {
        self.gathered.borrow_mut().push(report);
    }

    /// Reports this host's load whenever it has changed; never returns.
    pub(crate) async fn report(&self) {
        let mut reporter = Reporter::default();
        loop {
            let own = self.gateway.fleet().borrow().own_loads();
            let levels = self.gateway.overload().borrow().own_levels(self.gateway.now());
            let is_idle = own.is_empty();
            let is_overloaded = !levels.is_empty();
            let report = LoadReport {
                from: self.gateway.peers().name.clone(),
                loads: reporter.report(&own),
                used: self.gateway.budget().borrow_mut().usage(self.gateway.now()),
                levels,
            };
            let interval = self.send(report);
            self.gateway.timer().sleep(interval).await;
            let wake = self.gateway.peers().loads_changed.notified();
            if reporter.is_pending() {
                continue;
            }
            if is_overloaded {
                // Peers have to hear soon that the level has changed, or is back at 1.
                self.gateway.timer().timeout(LEVEL_REPORT_INTERVAL, wake).await;
            } else if is_idle {
                wake.await;
            } else {
                self.gateway.timer().timeout(MAX_REPORT_INTERVAL, wake).await;
            }
        }
    }

    /// Sends a report and returns the time until the next one may follow.
    fn send(&self, report: LoadReport) -> Duration {
        let peers = self.gateway.peers();
        if !peers.has_relays() {
            self.socket.send_all(&peers.live_addresses(), &Datagram::Loads(report));
            let by_hosts = scale_by_hosts(MIN_REPORT_INTERVAL_PER_HOST, peers.live_hosts());
            return MIN_REPORT_INTERVAL.max(by_hosts);
        }
        match peers.collector() {
            Some(collector) => self.socket.send(collector, &Datagram::CollectedLoads(report)),
            None => self.gather(report),
        }
        MIN_COLLECTED_INTERVAL
    }

    /// Sends the gathered reports at intervals; never returns.
    pub(crate) async fn send_batches(&self) {
        loop {
            self.gateway.timer().sleep(BATCH_INTERVAL).await;
            let reports = self.gathered.take();
            if !reports.is_empty() {
                let plan = self.gateway.peers().plan(BATCH_RELAYS);
                self.socket.disseminate(&plan, &Datagram::LoadBatch(reports));
            }
        }
    }
}
