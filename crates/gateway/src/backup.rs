//! Copies of a running stream at another engine, from which the stream is resumed when its engine fails.
//!
//! An engine replicates a stream's state as it grows to the backup that the request named. If that backup fails, the
//! state is copied to another engine by a call, which is repeated while the stream runs.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;

use crate::availability::Availability;
use crate::body::Task;
use crate::call::{Bounds, Call};
use crate::event::Event;
use crate::fleet::{Criteria, Need};
use crate::gateway::{Gateway, Reservation};
use crate::load::Load;
use crate::target::Target;

/// The bounds of a call to create or delete a copy. The copy of a prompt of 14,000 tokens takes some 50 ms between data
/// centres.
const COPY_CALL_BOUNDS: Bounds = Bounds {
    connect_timeout: Duration::from_millis(150),
    total_timeout: Duration::from_millis(800),
    max_bytes: 16 << 10,
};
/// The interval at which a copy is renewed. An engine drops a copy that was not renewed for some seconds, and the older
/// a copy is, the more tokens are computed again.
const COPY_INTERVAL: Duration = Duration::from_secs(3);
/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// A copy of a stream's state.
#[derive(Debug)]
pub(crate) struct Backup {
    /// The engine that holds the copy.
    pub target: Rc<Target>,
    /// The address under which the copy is registered.
    pub address: SocketAddr,
    /// The id under which the copy is registered.
    pub id: String,
    _reservation: Rc<Reservation>,
}

impl Backup {
    /// Returns the copy that an engine updates as the stream grows.
    pub(crate) fn incremental(gateway: &Rc<Gateway>, target: Rc<Target>, request: &str, need: Need) -> Self {
        let reservation = gateway.reserve(&target.id, Load::backup(need.memory_tokens));
        Self {
            address: target.address,
            id: request.to_owned(),
            target,
            _reservation: Rc::new(reservation),
        }
    }
}

impl Backup {
    /// Deletes a copy that was made by a call, at both engines.
    async fn delete(self, gateway: &Gateway) {
        let path = gateway.dialect().copy_path(&self.id);
        let call = Call {
            method: Method::DELETE,
            ..Call::get(self.address, &path)
        };
        // If the call fails, the engine drops the copy some seconds later.
        if let Err(error) = call.run(gateway.timer(), COPY_CALL_BOUNDS).await {
            log::debug!(
                "cannot delete copy {} of a stream at {}: {error}",
                self.id,
                self.target.id
            );
        }
    }
}

/// Keeps a copy of a stream at another engine after its first backup has failed.
#[derive(Debug, Default)]
pub(crate) struct Copier {
    latest: Rc<RefCell<Option<Backup>>>,
    task: Option<Task>,
}

impl Copier {
    /// Copies a stream to another engine at intervals, until this is dropped or stopped.
    pub(crate) fn start(&mut self, gateway: &Rc<Gateway>, transfer: Transfer) {
        if self.task.is_some() {
            return;
        }
        let (gateway, latest) = (Rc::clone(gateway), Rc::clone(&self.latest));
        self.task = Some(Task(tokio::task::spawn_local(async move {
            transfer.copy_repeatedly(&gateway, &latest).await;
        })));
    }

    /// Stops copying and deletes the latest copy, because the stream has ended.
    pub(crate) fn delete(&mut self, gateway: &Rc<Gateway>) {
        let Some(backup) = self.take() else {
            return;
        };
        let gateway = Rc::clone(gateway);
        tokio::task::spawn_local(async move { backup.delete(&gateway).await });
    }

    /// Stops copying and returns the latest copy.
    pub(crate) fn take(&mut self) -> Option<Backup> {
        self.task = None;
        self.latest.take()
    }
}

/// A stream that is copied.
#[derive(Debug)]
pub(crate) struct Transfer {
    /// The engine that runs the stream.
    pub source: Rc<Target>,
    /// The id of the request.
    pub request: String,
    /// The resources that the stream needs at an engine.
    pub need: Need,
    /// Engines that failed.
    pub excluded: Vec<String>,
}

impl Transfer {
    async fn copy_repeatedly(mut self, gateway: &Rc<Gateway>, latest: &RefCell<Option<Backup>>) {
        let mut current: Option<(Rc<Target>, Rc<Reservation>)> = None;
        loop {
            let is_usable = |target: &Target| {
                let availability = gateway.fleet().borrow().availability(gateway.now(), &target.id);
                availability.is_some_and(Availability::holds_copies)
            };
            if current.as_ref().is_some_and(|(target, _)| !is_usable(target)) {
                latest.take();
                current = None;
            }
            let Some((target, reservation)) = current.take().or_else(|| self.choose(gateway)) else {
                return;
            };
            let Some(handle) = self.copy(gateway, &target).await else {
                self.excluded.push(target.id.clone());
                gateway.timer().sleep(RETRY_DELAY).await;
                continue;
            };
            Event::StreamCopied {
                request: &self.request,
                from: &self.source.id,
                to: &target.id,
                what: "a running stream was copied to another engine because its backup had failed",
            }
            .log();
            latest.replace(Some(Backup {
                target: Rc::clone(&target),
                address: self.source.address,
                id: handle,
                _reservation: Rc::clone(&reservation),
            }));
            current = Some((target, reservation));
            gateway.timer().sleep(COPY_INTERVAL).await;
        }
    }

    fn choose(&self, gateway: &Rc<Gateway>) -> Option<(Rc<Target>, Rc<Reservation>)> {
        let now = gateway.now();
        let criteria = Criteria {
            service: &self.source.service,
            versions: &gateway.stable_versions(&self.source.service),
            excluded: &self.excluded,
        };
        let target = gateway
            .fleet()
            .borrow_mut()
            .choose_backup(now, &self.source, criteria, self.need)?;
        let reservation = gateway.reserve(&target.id, Load::backup(self.need.memory_tokens));
        Some((target, Rc::new(reservation)))
    }

    /// Asks the engine for a copy and returns the copy's handle.
    async fn copy(&self, gateway: &Gateway, target: &Target) -> Option<String> {
        let (path, body) = gateway.dialect().encode_copy(&self.request, target.address);
        let call = Call {
            method: Method::POST,
            body: Bytes::from(body),
            ..Call::get(self.source.address, path)
        };
        match call.run(gateway.timer(), COPY_CALL_BOUNDS).await {
            Ok(response) => gateway.dialect().decode_copy_handle(&response),
            Err(error) => {
                log::debug!(
                    "cannot copy stream {} from {} to {}: {error}",
                    self.request,
                    self.source.id,
                    target.id
                );
                None
            }
        }
    }
}
