//! Replicas of generations at peers, and the replicas that this entry host stores for its peers.

use std::cell::{Cell, Ref, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::generation::Event;
use hawthornpost_core::handle::Handle;
use hawthornpost_core::id::{Entry, Request};
use hawthornpost_core::replica::{Append, Limits, Reply, Store, Takeover};
use linkme::distributed_slice;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::generations::{Generations, Taken};
use crate::generations_running::Running;
use crate::kernel::Context;
use crate::members::{Member, Members};
use crate::peer::{self, METHODS, Method};

/// How often expired replicas are removed.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);
/// The largest number of appends in one call, so that it fits into one message together with the prompts.
const MAX_BATCH_APPENDS: usize = 256;

/// The replica store of this entry host, and the calls to the peers that store its replicas.
pub(crate) struct Replicas {
    context: Rc<Context>,
    store: RefCell<Store>,
    outboxes: RefCell<HashMap<Entry, Rc<Outbox>>>,
}

/// Appends to send to one peer. At most one call is in flight; the next call sends all appends queued meanwhile.
#[derive(Default)]
struct Outbox {
    pending: RefCell<Vec<Pending>>,
    is_sending: Cell<bool>,
}

struct Pending {
    running: Rc<Running>,
    sequence: u64,
    append: Append,
}

/// The body of `replica_drop`.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct DropReplica {
    request: Request,
    epoch: u32,
}

impl Replicas {
    pub(crate) fn store(&self) -> Ref<'_, Store> {
        self.store.borrow()
    }

    /// Returns the peers for the replica of a request, in order of preference: other data centres before the own one,
    /// then by rendezvous hash, so that all entry hosts agree on the order.
    pub(crate) fn ranked(&self, request: &Request) -> Vec<Member> {
        let own = &self.context.settings().entry.data_centre;
        let mut members = self.context.component::<Members>().others();
        members.retain(|member| !member.leaving);
        members.sort_by_cached_key(|member| (member.data_centre == *own, rendezvous_hash(request, &member.entry)));
        members
    }

    /// Returns the possible locations of a replica: this entry host (`None`), the peers that the handle names, and the
    /// best-ranked peers.
    pub(crate) fn holders(&self, handle: &Handle, count: usize) -> Vec<Option<Member>> {
        let mut members = self.context.component::<Members>().others();
        members.sort_by_cached_key(|member| {
            let named = handle.peers.iter().position(|peer| *peer == member.entry);
            (
                named.unwrap_or(usize::MAX),
                rendezvous_hash(&handle.request, &member.entry),
            )
        });
        members.truncate(2 * count);
        std::iter::once(None).chain(members.into_iter().map(Some)).collect()
    }

    /// Takes a generation over from its replica.
    pub(crate) async fn take_over(&self, holder: Option<&Member>, takeover: &Takeover) -> Result<Taken> {
        let Some(holder) = holder else {
            let now = self.context.timer().now();
            return Ok(self.store.borrow_mut().take_over(now, takeover));
        };
        let client = self.context.component::<peer::Client>();
        client.call(holder.peers, "replica_take", takeover).await
    }

    pub(crate) fn append(
        self: &Rc<Self>,
        generations: &Rc<Generations>,
        running: &Rc<Running>,
        peer: Entry,
        sequence: u64,
        append: Append,
    ) {
        let mut outboxes = self.outboxes.borrow_mut();
        let outbox = Rc::clone(outboxes.entry(peer.clone()).or_default());
        outbox.pending.borrow_mut().push(Pending {
            running: Rc::clone(running),
            sequence,
            append,
        });
        if !outbox.is_sending.replace(true) {
            tokio::task::spawn_local(Rc::clone(self).send(Rc::clone(generations), peer, outbox));
        }
    }

    pub(crate) fn drop_replica(self: &Rc<Self>, peer: Entry, request: Request, epoch: u32) {
        let replicas = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let body = DropReplica { request, epoch };
            // A replica that is not dropped expires.
            if let Err(error) = replicas.call::<()>(&peer, "replica_drop", &body).await {
                log::debug!("cannot drop the replica of request {request} at {peer}: {error}");
            }
        });
    }

    async fn send(self: Rc<Self>, generations: Rc<Generations>, peer: Entry, outbox: Rc<Outbox>) {
        loop {
            let batch = outbox.next_batch();
            if batch.is_empty() {
                break;
            }
            self.send_batch(&generations, &peer, batch).await;
        }
        outbox.is_sending.set(false);
        self.outboxes.borrow_mut().remove(&peer);
    }

    async fn send_batch(&self, generations: &Rc<Generations>, peer: &Entry, batch: Vec<Pending>) {
        let appends = batch.iter().map(|pending| &pending.append).collect::<Vec<_>>();
        let replies = self.call::<Vec<Reply>>(peer, "replica_append", &appends).await;
        let replies = replies.unwrap_or_else(|error| {
            log::debug!("peer {peer} did not acknowledge appends: {error}");
            Vec::new()
        });
        let replies = replies.into_iter().map(Some).chain(std::iter::repeat(None));
        for (pending, reply) in batch.into_iter().zip(replies) {
            let sequence = pending.sequence;
            let event = reply.map_or(Event::ReplyLost { sequence }, |reply| Event::Replied {
                sequence,
                reply,
            });
            generations.dispatch(&pending.running, event);
        }
    }

    async fn call<T: serde::de::DeserializeOwned>(
        &self,
        peer: &Entry,
        method: &'static str,
        body: &impl Serialize,
    ) -> Result<T> {
        let members = self.context.component::<Members>().others();
        let member = members.into_iter().find(|member| member.entry == *peer);
        let member = member.ok_or_else(|| Error::not_found(format!("entry {peer}"), "another peer is chosen"))?;
        let client = self.context.component::<peer::Client>();
        client.call(member.peers, method, body).await
    }
}

impl Outbox {
    fn next_batch(&self) -> Vec<Pending> {
        let mut pending = self.pending.borrow_mut();
        let count = pending.len().min(MAX_BATCH_APPENDS);
        pending.drain(..count).collect()
    }
}

fn rendezvous_hash(request: &Request, entry: &Entry) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(request.as_bytes());
    hasher.update(entry.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}

/// Creates the replica store and spawns the task that removes expired replicas.
pub(crate) fn start(context: &Rc<Context>) -> Rc<Replicas> {
    let replicas = Rc::new(Replicas {
        context: Rc::clone(context),
        store: RefCell::new(Store::new(Limits::default())),
        outboxes: RefCell::default(),
    });
    context.provide(Rc::clone(&replicas));
    let expiring = Rc::clone(&replicas);
    tokio::task::spawn_local(async move {
        loop {
            let timer = expiring.context.timer();
            timer.sleep(EXPIRE_INTERVAL).await;
            expiring.store.borrow_mut().expire(timer.now());
        }
    });
    replicas
}

#[distributed_slice(METHODS)]
static APPEND: Method = Method {
    name: "replica_append",
    handle: |context, body| {
        Box::pin(async move {
            let appends = peer::decode::<Vec<Append>>(body)?;
            let replicas = context.component::<Replicas>();
            let now = context.timer().now();
            let mut store = replicas.store.borrow_mut();
            let replies = appends.iter().map(|append| store.append(now, append));
            peer::encode(&replies.collect::<Vec<_>>())
        })
    },
};

#[distributed_slice(METHODS)]
static TAKE_OVER: Method = Method {
    name: "replica_take",
    handle: |context, body| {
        Box::pin(async move {
            let takeover = peer::decode::<Takeover>(body)?;
            let now = context.timer().now();
            let taken: Taken = context
                .component::<Replicas>()
                .store
                .borrow_mut()
                .take_over(now, &takeover);
            peer::encode(&taken)
        })
    },
};

#[distributed_slice(METHODS)]
static DROP: Method = Method {
    name: "replica_drop",
    handle: |context, body| {
        Box::pin(async move {
            let body = peer::decode::<DropReplica>(body)?;
            let replicas = context.component::<Replicas>();
            replicas.store.borrow_mut().drop_replica(&body.request, body.epoch);
            peer::encode(&())
        })
    },
};
