//! Calls between entry hosts.
//!
//! `jsonrpsee` wants handlers that can move between threads, and the state of the daemon cannot. The handlers only
//! pass a message to the local loop and wait for its reply.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use futures_util::future::LocalBoxFuture;
use jsonrpsee::RpcModule;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::server::ServerBuilder;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use linkme::distributed_slice;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use crate::error::{Error, Kind, Result};
use crate::kernel::Context;
use crate::plugin::{PLUGINS, Plugin, Stage};
use crate::settings::Secret;

/// All methods that peers may call; plug-ins add theirs.
#[distributed_slice]
pub static METHODS: [Method];

/// The error code of a call that the handler refused.
const REFUSED: i32 = -32000;
/// The error code of a call with an unknown peer key.
const UNAUTHORIZED: i32 = -32001;

/// The future of a handler.
pub type Handled = LocalBoxFuture<'static, Result<Value>>;

/// A method that peers may call.
#[derive(Clone, Copy, Debug)]
pub struct Method {
    /// The name.
    pub name: &'static str,
    /// Answers the call.
    pub handle: fn(Rc<Context>, Value) -> Handled,
}

/// A call on its way from the RPC server to the local loop.
struct Incoming {
    method: &'static Method,
    body: Value,
    reply: oneshot::Sender<Result<Value>>,
}

/// Calls other entry hosts, over one connection to each.
pub struct Client {
    context: Rc<Context>,
    connections: RefCell<HashMap<SocketAddr, Rc<WsClient>>>,
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
        let call = self.call_without_limit(address, method, body);
        let Some(result) = self.context.timer().limit(limit, call).await else {
            self.disconnect(address);
            return Err(Kind::Timeout { address, limit }.into());
        };
        result
    }

    /// Closes the connection to a peer; the next call opens a new one.
    pub fn disconnect(&self, address: SocketAddr) {
        self.connections.borrow_mut().remove(&address);
    }

    async fn call_without_limit<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &'static str,
        body: &impl Serialize,
    ) -> Result<T> {
        let client = self.connection(address).await?;
        let mut params = ArrayParams::new();
        let inserted = params.insert(self.context.settings().peers.key.expose());
        inserted.and_then(|()| params.insert(body)).map_err(|source| {
            Error::failed(
                format!("cannot encode a call of {method}: {source}"),
                "report this as a fault",
            )
        })?;
        match client.request(method, params).await {
            Ok(value) => Ok(value),
            Err(source) => {
                if !matches!(source, jsonrpsee::core::client::Error::Call(_)) {
                    self.disconnect(address);
                }
                Err(Kind::Peer { address, source }.into())
            }
        }
    }

    async fn connection(&self, address: SocketAddr) -> Result<Rc<WsClient>> {
        let existing = self.connections.borrow().get(&address).map(Rc::clone);
        if let Some(client) = existing.filter(|client| client.is_connected()) {
            return Ok(client);
        }
        let limit = self.context.settings().peers.timeout;
        let builder = WsClientBuilder::default()
            .connection_timeout(limit)
            .request_timeout(limit);
        let built = builder.build(format!("ws://{address}")).await;
        let client = Rc::new(built.map_err(|source| Kind::Peer { address, source })?);
        self.connections.borrow_mut().insert(address, Rc::clone(&client));
        Ok(client)
    }
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
    stage: Stage::Edge,
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
    let client = Client {
        context: Rc::clone(context),
        connections: RefCell::default(),
    };
    context.provide(Rc::new(client));
    Ok(())
}

fn start_server(context: &Rc<Context>) -> Result<()> {
    let settings = &context.settings().peers;
    let address = settings.listen;
    let listener = crate::http::listen(address)?
        .into_std()
        .map_err(|source| Kind::Listen { address, source })?;
    let (sender, receiver) = mpsc::unbounded_channel();
    let module = module(&Arc::new(settings.key.clone()), &sender)?;
    let server = ServerBuilder::default()
        .build_from_tcp(listener)
        .map_err(|source| Kind::Listen { address, source })?;
    let handle = server.start(module);
    tokio::task::spawn_local(handle.stopped());
    tokio::task::spawn_local(serve(Rc::clone(context), receiver));
    Ok(())
}

fn module(key: &Arc<Secret>, sender: &mpsc::UnboundedSender<Incoming>) -> Result<RpcModule<()>> {
    let mut module = RpcModule::new(());
    for method in METHODS {
        let (key, sender) = (Arc::clone(key), sender.clone());
        let registered = module.register_async_method(method.name, move |params, _, _| {
            let (key, sender) = (Arc::clone(&key), sender.clone());
            async move {
                let (sent, body) = params.parse::<(String, Value)>()?;
                if !key.matches(&sent) {
                    return Err(ErrorObjectOwned::owned(UNAUTHORIZED, "unknown peer key", None::<()>));
                }
                pass_on(method, body, &sender).await
            }
        });
        registered.map_err(|error| Error::failed(error.to_string(), "report this as a fault"))?;
    }
    Ok(module)
}

async fn pass_on(
    method: &'static Method,
    body: Value,
    sender: &mpsc::UnboundedSender<Incoming>,
) -> std::result::Result<Value, ErrorObjectOwned> {
    let refused = |detail: String| ErrorObjectOwned::owned(REFUSED, detail, None::<()>);
    let (reply, answer) = oneshot::channel();
    let sent = sender.send(Incoming { method, body, reply });
    sent.map_err(|error| refused(error.to_string()))?;
    match answer.await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(error)) => Err(refused(error.to_string())),
        Err(error) => Err(refused(error.to_string())),
    }
}

async fn serve(context: Rc<Context>, mut receiver: mpsc::UnboundedReceiver<Incoming>) {
    while let Some(Incoming { method, body, reply }) = receiver.recv().await {
        let context = Rc::clone(&context);
        tokio::task::spawn_local(async move {
            let answer = (method.handle)(context, body).await;
            if reply.send(answer).is_err() {
                log::debug!("the peer that called {} is gone", method.name);
            }
        });
    }
}

/// Decodes the body of a call.
///
/// # Errors
///
/// Fails when the body does not have the expected form.
pub fn decode<T: DeserializeOwned>(body: Value) -> Result<T> {
    serde_json::from_value(body).map_err(|source| Error::bad_request(source, "run the same release on all entry hosts"))
}

/// Encodes the result of a call.
///
/// # Errors
///
/// Fails when the value cannot be represented in JSON, which is a fault in the program.
pub fn encode(value: &impl Serialize) -> Result<Value> {
    serde_json::to_value(value).map_err(|source| Error::failed(source.to_string(), "report this as a fault"))
}
