//! Orders to engines, requested by operators and issued under the lease object `leases/orders`.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::clock::Instant;
use hawthornpost_core::id::{self, Model, Target, Version};
use hawthornpost_core::inventory::{Fencing, Role};
use hawthornpost_core::order::{self, Command, Event, Issuer, Kind, Limits, Reply};
use hawthornpost_core::platform::Resource;
use hyper::{Method, Response, StatusCode};
use linkme::distributed_slice;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::access::Access;
use crate::client;
use crate::configuration::Current;
use crate::error::{Error, Result};
use crate::http::{self, Body, Call, ROUTES, Route};
use crate::kernel::Context;
use crate::platform;
use crate::plugin::{PLUGINS, Plugin, Stage};

/// The name of the lease object.
const LEASE_NAME: &str = "orders";
/// How long an operator waits for the completion of an order; the order continues after the timeout.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(60);
/// The retry delay for an operator after that timeout.
const RETRY_AFTER: Duration = Duration::from_secs(10);

/// Issues orders.
pub struct Orders {
    context: Rc<Context>,
    limits: Limits,
    issuer: RefCell<Issuer>,
    waiting: RefCell<HashMap<id::Order, oneshot::Sender<bool>>>,
    wakeup: RefCell<Option<(Instant, AbortHandle)>>,
    handled_pause: Cell<Option<Instant>>,
}

/// The request body of an order.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Request {
    target: Target,
    kind: Kind,
    model: Model,
    version: Version,
    #[serde(default)]
    adapter: Option<String>,
    #[serde(default)]
    role: Option<String>,
    #[serde(default)]
    weight_bytes: u64,
}

impl Orders {
    /// Issues an order and waits for its completion. Returns whether the engine executed it.
    ///
    /// # Errors
    ///
    /// Fails when the order does not complete in time.
    pub async fn issue(self: &Rc<Self>, order: order::Order) -> Result<bool> {
        let (sender, ended) = oneshot::channel();
        let id = order.id;
        self.waiting.borrow_mut().insert(id, sender);
        self.handle(Event::Requested(order));
        let ended = self.context.timer().timeout(COMPLETION_TIMEOUT, ended).await;
        ended.and_then(std::result::Result::ok).ok_or_else(|| {
            let detail = format!("order {id} waits for the lease, for earlier orders or for the weight store");
            Error::unavailable(detail, RETRY_AFTER)
        })
    }

    fn handle(self: &Rc<Self>, event: Event) {
        let now = self.context.timer().now();
        let pause = self.context.timer().last_pause();
        if self.handled_pause.replace(pause) != pause {
            let commands = self.issuer.borrow_mut().handle(now, Event::ClockJumped);
            self.execute_all(commands);
        }
        let commands = self.issuer.borrow_mut().handle(now, event);
        self.execute_all(commands);
        self.schedule_wakeup();
    }

    fn execute_all(self: &Rc<Self>, commands: Vec<Command>) {
        for command in commands {
            if let Command::Report(id, executed) = command {
                self.report(id, executed);
                continue;
            }
            let orders = Rc::clone(self);
            tokio::task::spawn_local(async move {
                if let Some(event) = orders.execute(command).await {
                    orders.handle(event);
                }
            });
        }
    }

    fn report(&self, id: id::Order, executed: bool) {
        let waiting = self.waiting.borrow_mut().remove(&id);
        if waiting.is_some_and(|sender| sender.send(executed).is_err()) {
            log::debug!("the request for order {id} is no longer waiting");
        }
    }

    async fn execute(&self, command: Command) -> Option<Event> {
        let client = self.context.component::<platform::Client>();
        Some(match command {
            Command::Read => Event::Read(client.read(Resource::Leases, LEASE_NAME).await),
            Command::Write(base, lease) => Event::Written(client.put(Resource::Leases, LEASE_NAME, base, &lease).await),
            Command::Send(target, body) => Event::Sent(body.order_id, self.send(&target, &body).await),
            Command::Report(..) => return None,
        })
    }

    async fn send(&self, target: &Target, body: &order::Body) -> Reply {
        let document = self.context.component::<Current>().document();
        let Some(item) = document.inventory.get(target) else {
            return Reply::Lost;
        };
        match self.deliver(item.address, body).await {
            Some(status) if status.is_success() => Reply::Executed,
            Some(StatusCode::CONFLICT) => Reply::Fenced,
            _ => Reply::Lost,
        }
    }

    /// Sends an order. If the connection is not established within the delivery limit, nothing is sent.
    async fn deliver(&self, address: SocketAddr, body: &order::Body) -> Option<StatusCode> {
        let timer = self.context.timer();
        let stream = timer
            .timeout(self.limits.delivery, client::connect(address))
            .await?
            .ok()?;
        let request = client::json_request(Method::POST, "/v1/orders", body);
        let response = client::send_on(stream, address, request);
        let response = timer.timeout(self.limits.lifetime, response).await?.ok()?;
        Some(response.status())
    }

    fn schedule_wakeup(self: &Rc<Self>) {
        let deadline = self.issuer.borrow().deadline();
        let mut wakeup = self.wakeup.borrow_mut();
        if wakeup.as_ref().map(|(at, _)| *at) == deadline {
            return;
        }
        if let Some((_, task)) = wakeup.take() {
            task.abort();
        }
        *wakeup = deadline.map(|at| {
            let orders = Rc::clone(self);
            let task = tokio::task::spawn_local(async move {
                orders.context.timer().sleep_until(at).await;
                // Clears the entry first, so that scheduling the next wakeup does not abort this task.
                orders.wakeup.borrow_mut().take();
                orders.handle(Event::Tick);
            });
            (at, task.abort_handle())
        });
    }
}

impl Request {
    fn into_order(self, fencing: Fencing) -> order::Order {
        order::Order {
            id: id::Order::from_random(rand::random()),
            target: self.target,
            fencing,
            kind: self.kind,
            model: self.model,
            version: self.version,
            adapter: self.adapter,
            role: self.role,
            weight_bytes: self.weight_bytes,
        }
    }
}

impl fmt::Debug for Orders {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Orders")
            .field("waiting", &self.waiting.borrow().len())
            .finish_non_exhaustive()
    }
}

#[distributed_slice(ROUTES)]
static ORDER: Route = Route {
    method: || Method::POST,
    path: "/v1/admin/orders",
    access: Access::Operator,
    handle: |context, call| Box::pin(order(context, call)),
};

async fn order(context: Rc<Context>, call: Call) -> Result<Response<Body>> {
    let request = call.json::<Request>(&context).await?;
    let document = context.component::<Current>().document();
    let role = document.inventory.get(&request.target).map(|item| item.role.clone());
    let Some(Role::Engine { fencing, .. }) = role else {
        return Err(Error::not_found(
            format!("engine {}", request.target),
            "use the name of an engine in the inventory",
        ));
    };
    let order = request.into_order(fencing);
    let id = order.id;
    let executed = context.component::<Orders>().issue(order).await?;
    Ok(http::json(&json!({ "order_id": id, "executed": executed })))
}

#[distributed_slice(PLUGINS)]
static ORDERS: Plugin = Plugin {
    name: "orders",
    stage: Stage::Processing,
    start,
};

#[expect(clippy::unnecessary_wraps, reason = "the signature of all plug-ins")]
fn start(context: &Rc<Context>) -> Result<()> {
    let limits = Limits::default();
    let orders = Rc::new(Orders {
        context: Rc::clone(context),
        limits,
        issuer: RefCell::new(Issuer::new(context.settings().entry.name.clone(), limits)),
        waiting: RefCell::default(),
        wakeup: RefCell::default(),
        handled_pause: Cell::default(),
    });
    let dumped = Rc::clone(&orders);
    context.register_dump("orders", move || json!({ "waiting": dumped.waiting.borrow().len() }));
    context.provide(orders);
    Ok(())
}
