//! JSON-RPC over WebSocket between entry hosts.
//!
//! `jsonrpsee` requires `Send` handlers, but the state of the daemon is not `Send`. The handlers therefore forward each
//! call to the local event loop over a channel and wait for the reply.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use hawthornpost_core::clock;
use jsonrpsee::RpcModule;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::server::{ServerBuilder, ServerConfig};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use linkme::distributed_slice;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::sync::{OnceCell, mpsc, oneshot};

use crate::error::{Error, Kind, Result};
use crate::kernel::Context;
use crate::plugin::{PLUGINS, Plugin, Stage};
use crate::settings::Secret;

/// All registered RPC methods; each module registers its own at link time.
#[distributed_slice]
pub static METHODS: [Method];

/// The largest message in bytes. It is several times the size of the JSON of a generation with the longest prompt and
/// all its tokens.
const MAX_MESSAGE_BYTES: u32 = 16 << 20;
/// The largest number of connections to the server. Each of 390 entry hosts has at most one connection to this one, and
/// may open a new one before the old one is closed.
const MAX_CONNECTIONS: u32 = 1024;
/// The time after which an idle connection is closed, so that a large deployment does not form a full mesh.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The JSON-RPC error code of a call that the handler refused.
const REFUSED_CODE: i32 = -32000;
/// The JSON-RPC error code of a call with an unknown peer key.
const UNAUTHORIZED_CODE: i32 = -32001;

/// The future of a handler.
pub type Handled = LocalBoxFuture<'static, Result<Value>>;

/// An RPC method.
#[derive(Clone, Copy, Debug)]
pub struct Method {
    /// The name.
    pub name: &'static str,
    /// The handler.
    pub handle: fn(Rc<Context>, Value) -> Handled,
}

/// A call that the RPC server forwards to the event loop.
struct Incoming {
    method: &'static Method,
    body: Value,
    reply: oneshot::Sender<Result<Value>>,
}

/// RPC client with one connection per peer.
pub struct Client {
    context: Rc<Context>,
    connections: RefCell<HashMap<SocketAddr, Rc<Connection>>>,
}

/// A connection to a peer, opened lazily by the first call.
struct Connection {
    client: OnceCell<WsClient>,
    last_used: Cell<clock::Instant>,
}

impl Client {
    /// Calls a method of a peer.
    ///
    /// # Errors
    ///
    /// Fails when the peer cannot be reached, does not answer in time or refuses the call.
    pub async fn call<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &'static str,
        body: &impl Serialize,
    ) -> Result<T> {
        let limit = self.context.settings().peers.timeout;
        let connection = self.connection(address);
        let call = self.call_without_limit(&connection, address, method, body);
        let result = match self.context.timer().timeout(limit, call).await {
            Some(result) => result,
            None => Err(Kind::Timeout { address, limit }.into()),
        };
        if result.as_ref().is_err_and(|error| !is_refusal(error)) {
            // The connection may hang while new ones work.
            self.disconnect(address, &connection);
        }
        result
    }

    async fn call_without_limit<T: DeserializeOwned>(
        &self,
        connection: &Connection,
        address: SocketAddr,
        method: &'static str,
        body: &impl Serialize,
    ) -> Result<T> {
        let open = || self.open(address);
        let client = connection.client.get_or_try_init(open).await?;
        let mut params = ArrayParams::new();
        let inserted = params.insert(self.context.settings().peers.key.expose());
        inserted.and_then(|()| params.insert(body)).map_err(|source| {
            Error::failed(
                format!("cannot encode a call of {method}: {source}"),
                "report this as a fault",
            )
        })?;
        let answer = client.request(method, params).await;
        answer.map_err(|source| Kind::Peer { address, source }.into())
    }

    async fn open(&self, address: SocketAddr) -> Result<WsClient> {
        let limit = self.context.settings().peers.timeout;
        let builder = WsClientBuilder::default()
            .connection_timeout(limit)
            .request_timeout(limit)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES);
        let built = builder.build(format!("ws://{address}")).await;
        built.map_err(|source| Kind::Peer { address, source }.into())
    }

    fn connection(&self, address: SocketAddr) -> Rc<Connection> {
        let now = self.context.timer().now();
        let mut connections = self.connections.borrow_mut();
        connections.retain(|_, connection| !connection.is_closed());
        let connection = connections.entry(address).or_insert_with(|| {
            Rc::new(Connection {
                client: OnceCell::new(),
                last_used: Cell::new(now),
            })
        });
        connection.last_used.set(now);
        Rc::clone(connection)
    }

    /// Drops a connection; the next call opens a new one.
    fn disconnect(&self, address: SocketAddr, connection: &Rc<Connection>) {
        let mut connections = self.connections.borrow_mut();
        if connections
            .get(&address)
            .is_some_and(|current| Rc::ptr_eq(current, connection))
        {
            connections.remove(&address);
        }
    }

    fn close_idle(&self, now: clock::Instant) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|_, connection| now.since(connection.last_used.get()) < IDLE_TIMEOUT);
    }
}

impl Connection {
    fn is_closed(&self) -> bool {
        self.client.get().is_some_and(|client| !client.is_connected())
    }
}

/// Returns whether the peer returned an error, which means that the connection works.
fn is_refusal(error: &Error) -> bool {
    matches!(
        error.kind(),
        Kind::Peer {
            source: jsonrpsee::core::client::Error::Call(_),
            ..
        }
    )
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("connections", &self.connections.borrow().len())
            .finish_non_exhaustive()
    }
}

#[distributed_slice(PLUGINS)]
static CLIENT: Plugin = Plugin {
    name: "peer_client",
    stage: Stage::Infrastructure,
    start: start_client,
};

#[distributed_slice(PLUGINS)]
static SERVER: Plugin = Plugin {
    name: "peer_server",
    stage: Stage::Server,
    start: start_server,
};

#[expect(clippy::unnecessary_wraps, reason = "the signature of all plug-ins")]
fn start_client(context: &Rc<Context>) -> Result<()> {
    let client = Rc::new(Client {
        context: Rc::clone(context),
        connections: RefCell::default(),
    });
    context.provide(Rc::clone(&client));
    tokio::task::spawn_local(async move {
        let timer = client.context.timer();
        loop {
            timer.sleep(IDLE_TIMEOUT / 2).await;
            client.close_idle(timer.now());
        }
    });
    Ok(())
}

fn start_server(context: &Rc<Context>) -> Result<()> {
    let settings = &context.settings().peers;
    let address = settings.listen;
    let listener = crate::http::listen(address)?
        .into_std()
        .map_err(|source| Kind::Listen { address, source })?;
    let (sender, receiver) = mpsc::unbounded_channel();
    let module = build_module(&Arc::new(settings.key.clone()), &sender)?;
    let config = ServerConfig::builder()
        .ws_only()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .build();
    let server = ServerBuilder::with_config(config)
        .build_from_tcp(listener)
        .map_err(|source| Kind::Listen { address, source })?;
    let handle = server.start(module);
    tokio::task::spawn_local(handle.stopped());
    tokio::task::spawn_local(dispatch(Rc::clone(context), receiver));
    Ok(())
}

fn build_module(key: &Arc<Secret>, sender: &mpsc::UnboundedSender<Incoming>) -> Result<RpcModule<()>> {
    let mut module = RpcModule::new(());
    for method in METHODS {
        let (key, sender) = (Arc::clone(key), sender.clone());
        let registered = module.register_async_method(method.name, move |params, _, _| {
            let (key, sender) = (Arc::clone(&key), sender.clone());
            async move {
                let (sent, body) = params.parse::<(String, Value)>()?;
                if !key.matches(&sent) {
                    return Err(ErrorObjectOwned::owned(
                        UNAUTHORIZED_CODE,
                        "unknown peer key",
                        None::<()>,
                    ));
                }
                forward(method, body, &sender).await
            }
        });
        registered.map_err(|error| Error::failed(error.to_string(), "report this as a bug"))?;
    }
    Ok(module)
}

async fn forward(
    method: &'static Method,
    body: Value,
    sender: &mpsc::UnboundedSender<Incoming>,
) -> std::result::Result<Value, ErrorObjectOwned> {
    let refused = |detail: String| ErrorObjectOwned::owned(REFUSED_CODE, detail, None::<()>);
    let (reply, answer) = oneshot::channel();
    let sent = sender.send(Incoming { method, body, reply });
    sent.map_err(|error| refused(error.to_string()))?;
    match answer.await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(error)) => Err(refused(error.to_string())),
        Err(error) => Err(refused(error.to_string())),
    }
}

async fn dispatch(context: Rc<Context>, mut receiver: mpsc::UnboundedReceiver<Incoming>) {
    while let Some(Incoming { method, body, reply }) = receiver.recv().await {
        let context = Rc::clone(&context);
        tokio::task::spawn_local(async move {
            let answer = (method.handle)(context, body).await;
            if reply.send(answer).is_err() {
                log::debug!("the peer that called {} has disconnected", method.name);
            }
        });
    }
}

/// Decodes the parameters of a call.
///
/// # Errors
///
/// Fails when the parameters do not have the expected type.
pub fn decode<T: DeserializeOwned>(body: Value) -> Result<T> {
    serde_json::from_value(body).map_err(|source| Error::bad_request(source, "run the same release on all entry hosts"))
}

/// Encodes the result of a call.
///
/// # Errors
///
/// Fails when the value cannot be represented in JSON, which is a bug.
pub fn encode(value: &impl Serialize) -> Result<Value> {
    serde_json::to_value(value).map_err(|source| Error::failed(source.to_string(), "report this as a fault"))
}
