//! Sends the totals of this process to the candidates for the duty.
//!
//! Each host sends what changed about four times a second to three hosts. A batch takes about 100 bytes and 20 for each
//! account with new requests. With 390 hosts a candidate receives a thousand batches a second at most; 15,000 accounts
//! that all have requests at a host take 40 batches of 3 KB from it, compressed, after the end of a window.

use std::rc::Rc;
use std::time::Duration;

use crate::datagram::Datagram;
use crate::duration::scale_by_hosts;
use crate::gateway::{Gateway, Phase};
use crate::peers_socket::Socket;

/// The minimum interval between two batches, which bounds what is lost with a killed host.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// The minimum interval for each live host, so that the rate at which a candidate receives batches is bounded.
const MIN_INTERVAL_PER_HOST: Duration = Duration::from_millis(1);
/// The interval of a process that is about to end.
const LEAVING_INTERVAL: Duration = Duration::from_millis(50);

/// The totals that this host sends.
pub(crate) struct Exchange {
    gateway: Rc<Gateway>,
    socket: Rc<Socket>,
}

impl Exchange {
    /// Creates an exchange.
    pub(crate) fn new(gateway: &Rc<Gateway>, socket: &Rc<Socket>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            socket: Rc::clone(socket),
        }
    }

    /// Sends totals at intervals; returns at once if the settings do not ask for reports.
    pub(crate) async fn run(&self) {
        let Some(usage) = self.gateway.usage() else {
            return;
        };
        loop {
            self.gateway.timer().sleep(self.interval()).await;
            let receivers = self.gateway.peers().duty_candidates();
            for message in usage.take_messages(self.gateway.now(), receivers) {
                self.socket.send_all(&message.to, &Datagram::Usage(message.batch));
            }
        }
    }

    fn interval(&self) -> Duration {
        if self.gateway.phase() == Phase::Running {
            MIN_INTERVAL.max(scale_by_hosts(MIN_INTERVAL_PER_HOST, self.gateway.peers().live_hosts()))
        } else {
            LEAVING_INTERVAL
        }
    }
}
