//! Writes to the sharded claim store: one batching writer per shard, and RPC to the owner of a shard.
//!
//! Every entry host may write every shard. Sending the changes of a shard to one owner batches them into few writes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hawthornpost_core::claim::{
    Batch, BatchCommand, BatchEvent, Key, Policy, Put, Record, SHARD_COUNT, Segment, Ticket, Verdict, shard_name,
};
use hawthornpost_core::clock::Instant;
use hawthornpost_core::platform::{Failure, Resource};
use linkme::distributed_slice;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::error::{Kind, Result};
use crate::kernel::Context;
use crate::members::{Member, Members};
use crate::peer::{self, METHODS, Method};
use crate::platform;
use crate::plugin::{PLUGINS, Plugin, Stage};

/// The fraction of the peer call timeout that the owner may use; the rest is reserved for the reply.
const OWNER_TIMEOUT_FRACTION: f64 = 0.8;

/// Sends changes to the owners of their shards, or writes them locally.
pub struct Claims {
    context: Rc<Context>,
    writers: RefCell<HashMap<u8, Rc<Writer>>>,
}

/// The batching writer of one shard.
struct Writer {
    context: Rc<Context>,
    name: String,
    batch: RefCell<Batch>,
    waiting: RefCell<HashMap<Ticket, oneshot::Sender<Verdict>>>,
    next_ticket: Cell<u64>,
    wakeup: RefCell<Option<(Instant, AbortHandle)>>,
}

/// The body of `claim_put`.
#[derive(Debug, Serialize, Deserialize)]
struct Message {
    shard: u8,
    put: Put,
    wait_ms: u64,
}

impl Claims {
    /// Sends a change to the owner of the shard. When the outcome there is unknown, this daemon writes the change
    /// itself. Writing a change twice is harmless, because a claim is identified by its id.
    pub async fn put(&self, put: Put, wait: Duration) -> Verdict {
        let shard = put.key().shard();
        let owner = self.owner(shard);
        if owner.entry == self.context.settings().entry.name {
            return self.write(put, wait).await;
        }
        let start = self.context.timer().now();
        let verdict = self.call_owner(&owner, shard, &put, wait).await;
        if !matches!(verdict, Verdict::Unknown) {
            return verdict;
        }
        let rest = wait.saturating_sub(self.context.timer().now().since(start));
        match self.write(put, rest).await {
            // The owner may still write the change that it received.
            Verdict::Refused => Verdict::Unknown,
            verdict => verdict,
        }
    }

    /// Writes a change without the owner of the shard.
    pub async fn write(&self, put: Put, wait: Duration) -> Verdict {
        let writer = self.writer(put.key().shard());
        let until = self.context.timer().now() + wait;
        let answer = Writer::put(&writer, put, until);
        answer.await.unwrap_or(Verdict::Unknown)
    }

    /// Reads the record of a key from a segment.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer or the segment has expired.
    pub async fn read_segment(&self, name: &str, key: &Key) -> std::result::Result<Option<Record>, Failure> {
        let client = self.context.component::<platform::Client>();
        let (_, segment) = client
            .read::<Segment>(Resource::Claims, name)
            .await?
            .ok_or(Failure::Missing)?;
        Ok(segment.records.into_iter().find(|record| record.key == *key))
    }

    async fn call_owner(&self, owner: &Member, shard: u8, put: &Put, wait: Duration) -> Verdict {
        let limit = self
            .context
            .settings()
            .peers
            .timeout
            .mul_f64(OWNER_TIMEOUT_FRACTION)
            .min(wait);
        let message = Message {
            shard,
            put: put.clone(),
            wait_ms: u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
        };
        let client = self.context.component::<peer::Client>();
        client
            .call(owner.peers, "claim_put", &message)
            .await
            .unwrap_or_else(|error| {
                log::debug!(
                    "cannot write to shard {} through its owner {}: {error}",
                    message.shard,
                    owner.entry
                );
                Verdict::Unknown
            })
    }

    /// Returns the owner of a shard. Rendezvous hashing keeps the owner of most shards when an entry host joins or
    /// leaves.
    fn owner(&self, shard: u8) -> Member {
        let members = self.context.component::<Members>();
        let weight = |member: &Member| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(member.entry.as_str().as_bytes()).update(&[0, shard]);
            *hasher.finalize().as_bytes()
        };
        let staying = members.all().into_iter().filter(|member| !member.leaving);
        staying.max_by_key(weight).unwrap_or_else(|| members.local())
    }

    fn writer(&self, shard: u8) -> Rc<Writer> {
        let mut writers = self.writers.borrow_mut();
        let writer = writers
            .entry(shard)
            .or_insert_with(|| Rc::new(Writer::new(&self.context, shard)));
        Rc::clone(writer)
    }
}

impl Writer {
    fn new(context: &Rc<Context>, shard: u8) -> Self {
        let policy = Policy {
            retention: context.settings().limits.action_retention,
            ..Policy::default()
        };
        Self {
            context: Rc::clone(context),
            name: shard_name(shard),
            batch: RefCell::new(Batch::new(shard, policy)),
            waiting: RefCell::default(),
            next_ticket: Cell::new(0),
            wakeup: RefCell::default(),
        }
    }

    fn put(writer: &Rc<Self>, put: Put, until: Instant) -> oneshot::Receiver<Verdict> {
        let ticket = Ticket::new(writer.next_ticket.replace(writer.next_ticket.get() + 1));
        let (sender, answer) = oneshot::channel();
        writer.waiting.borrow_mut().insert(ticket, sender);
        let wall_ms = unix_ms();
        let event = BatchEvent::Put {
            ticket,
            put,
            until,
            wall_ms,
        };
        Self::handle(writer, event);
        answer
    }

    fn handle(writer: &Rc<Self>, event: BatchEvent) {
        let now = writer.context.timer().now();
        let commands = writer.batch.borrow_mut().handle(now, event);
        for command in commands {
            match command {
                BatchCommand::Reply(ticket, verdict) => writer.reply(ticket, verdict),
                command => {
                    tokio::task::spawn_local(Self::execute(Rc::clone(writer), command));
                }
            }
        }
        Self::schedule_wakeup(writer);
    }

    fn reply(&self, ticket: Ticket, verdict: Verdict) {
        let waiting = self.waiting.borrow_mut().remove(&ticket);
        if waiting.is_some_and(|sender| sender.send(verdict).is_err()) {
            log::debug!("the request for a change of {} is no longer waiting", self.name);
        }
    }

    async fn execute(writer: Rc<Self>, command: BatchCommand) {
        let client = writer.context.component::<platform::Client>();
        let event = match command {
            BatchCommand::Read => BatchEvent::Read(client.read(Resource::Claims, &writer.name).await),
            BatchCommand::ReadSegment(name) => {
                let found = client.read(Resource::Claims, &name).await;
                let segment = found.and_then(|found| found.ok_or(Failure::Missing));
                BatchEvent::SegmentRead(name, segment.map(|(_, segment)| segment))
            }
            BatchCommand::CreateSegment(name, segment) => {
                let created = client.put(Resource::Claims, &name, None, &segment).await;
                BatchEvent::SegmentCreated(created.map(|_| ()))
            }
            BatchCommand::Write(base, shard) => {
                BatchEvent::Written(client.put(Resource::Claims, &writer.name, base, &shard).await)
            }
            BatchCommand::DeleteSegments(names) => return delete(&client, names).await,
            BatchCommand::Reply(..) => return,
        };
        Self::handle(&writer, event);
    }

    fn schedule_wakeup(writer: &Rc<Self>) {
        let deadline = writer.batch.borrow().deadline();
        let mut wakeup = writer.wakeup.borrow_mut();
        if wakeup.as_ref().map(|(at, _)| *at) == deadline {
            return;
        }
        if let Some((_, task)) = wakeup.take() {
            task.abort();
        }
        *wakeup = deadline.map(|at| {
            let waker = Rc::clone(writer);
            let task = tokio::task::spawn_local(async move {
                waker.context.timer().sleep_until(at).await;
                // Clears the entry first, so that scheduling the next wakeup does not abort this task.
                waker.wakeup.borrow_mut().take();
                Self::handle(&waker, BatchEvent::Tick);
            });
            (at, task.abort_handle())
        });
    }
}

/// Deletes expired segments. A failed deletion is not retried, because an expired segment only uses storage and is no
/// longer read.
async fn delete(client: &platform::Client, names: Vec<String>) {
    for name in names {
        if let Err(error) = client.delete(Resource::Claims, &name).await {
            log::debug!("cannot delete segment {name}: {error}");
        }
    }
}

/// Returns the Unix time in milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

impl fmt::Debug for Claims {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Claims")
            .field("writers", &self.writers.borrow().len())
            .finish_non_exhaustive()
    }
}

#[distributed_slice(PLUGINS)]
static CLAIMS: Plugin = Plugin {
    name: "claims",
    stage: Stage::Processing,
    start,
};

#[distributed_slice(METHODS)]
static PUT: Method = Method {
    name: "claim_put",
    handle: |context, body| Box::pin(async move { peer::encode(&receive(&context, body).await?) }),
};

async fn receive(context: &Rc<Context>, body: serde_json::Value) -> Result<Verdict> {
    let message = peer::decode::<Message>(body)?;
    if message.shard != message.put.key().shard() || message.shard >= SHARD_COUNT {
        return Err(Kind::BadRequest {
            detail: format!("the key does not belong to shard {}", message.shard),
            remedy: "run the same release on all entry hosts".to_owned(),
        }
        .into());
    }
    let wait = Duration::from_millis(message.wait_ms).min(context.settings().peers.timeout);
    Ok(context.component::<Claims>().write(message.put, wait).await)
}

#[expect(clippy::unnecessary_wraps, reason = "the signature of all plug-ins")]
fn start(context: &Rc<Context>) -> Result<()> {
    let claims = Rc::new(Claims {
        context: Rc::clone(context),
        writers: RefCell::default(),
    });
    let dumped = Rc::clone(&claims);
    context.register_dump("claims", move || {
        let writers = dumped.writers.borrow();
        let shards = writers.values().map(|writer| {
            let batch = writer.batch.borrow();
            json!({ "shard": writer.name, "pending": batch.pending(), "indexed_keys": batch.index().len() })
        });
        json!(shards.collect::<Vec<_>>())
    });
    context.provide(claims);
    Ok(())
}
