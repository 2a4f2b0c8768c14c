//! The socket for datagrams to other entry hosts.

use std::net::SocketAddr;

use tokio::net::UdpSocket;

use crate::datagram::{Datagram, MAX_DATAGRAM_BYTES};
use crate::dissemination::Plan;

/// The socket for datagrams.
pub(crate) struct Socket(pub UdpSocket);

impl Socket {
    /// Sends a datagram; it may get lost.
    pub(crate) fn send(&self, address: SocketAddr, datagram: &Datagram) {
        self.send_all(&[address], datagram);
    }

    /// Sends a datagram to several hosts.
    pub(crate) fn send_all(&self, addresses: &[SocketAddr], datagram: &Datagram) {
        let bytes = match datagram.encode() {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => bytes,
            Ok(bytes) => {
                log::error!("cannot send a datagram of {} bytes: it is too large", bytes.len());
                return;
            }
            Err(error) => {
                log::error!("cannot encode a datagram: {error}");
                return;
            }
        };
        for address in addresses {
            if let Err(error) = self.0.try_send_to(&bytes, *address) {
                log::debug!("cannot send a datagram to {address}: {error}");
            }
        }
    }

    /// Sends a datagram to all hosts of a plan.
    pub(crate) fn disseminate(&self, plan: &Plan, datagram: &Datagram) {
        if !plan.direct.is_empty() {
            self.send_all(&plan.direct, datagram);
        }
        if !plan.relays.is_empty() {
            self.send_all(&plan.relays, &Datagram::Relayed(Box::new(datagram.clone())));
        }
    }
}
