//! Proxy for plain services: actions and lookups.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hawthornpost_core::claim::Key;
use hawthornpost_core::id::{self, Service};
use hawthornpost_core::wire::REQUEST_HEADER;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Method, Request, Response};
use linkme::distributed_slice;

use crate::access::Access;
use crate::actions::{Action, Actions, KEY_HEADER};
use crate::client;
use crate::configuration::Current;
use crate::error::{Error, Kind, Result};
use crate::http::{Body, Call, ROUTES, Route, full};
use crate::kernel::Context;
use crate::routing::Routing;

/// The largest number of instances that one lookup is sent to. Each attempt may use half of the remaining time.
const MAX_LOOKUP_ATTEMPTS: usize = 3;

#[distributed_slice(ROUTES)]
static ACTION: Route = Route {
    method: || Method::POST,
    path: "/v1/services/{service}/{*path}",
    access: Access::Account,
    handle: |context, call| Box::pin(run_action(context, call)),
};

#[distributed_slice(ROUTES)]
static LOOKUP: Route = Route {
    method: || Method::GET,
    path: "/v1/services/{service}/{*path}",
    access: Access::Account,
    handle: |context, call| Box::pin(look_up(context, call)),
};

async fn run_action(context: Rc<Context>, call: Call) -> Result<Response<Body>> {
    let (service, limit) = service(&context, &call)?;
    let idempotency_key = call.request.headers().get(KEY_HEADER).cloned();
    let idempotency_key = idempotency_key
        .ok_or_else(|| Error::bad_request("the header Idempotency-Key is missing", "send one for each action"))?;
    let text = idempotency_key
        .to_str()
        .map_err(|source| Error::bad_request(source, "use visible ASCII characters in the Idempotency-Key"))?;
    let action = Action {
        key: Key::new(call.account()?, &service, text),
        service,
        limit,
        path: path(&call),
        content_type: call.request.headers().get(CONTENT_TYPE).cloned(),
        idempotency_key,
        body: call.body(&context).await?,
    };
    context.component::<Actions>().run(action).await
}

async fn look_up(context: Rc<Context>, call: Call) -> Result<Response<Body>> {
    let (service, limit) = service(&context, &call)?;
    let path = path(&call);
    let deadline = context.timer().now() + limit;
    let routing = context.component::<Routing>();
    let mut choice = routing.instance(&service, &[])?;
    let mut tried = Vec::new();
    loop {
        let remaining = deadline - context.timer().now();
        let request = client::request(Method::GET, &path);
        let error = match exchange(&context, choice.address, remaining / 2, request).await {
            Ok((head, body)) => return Ok(response(head, body)),
            Err(error) => error,
        };
        log::debug!("lookup of service {service} at {} failed: {error}", choice.target);
        tried.push(choice.target.clone());
        if tried.len() == MAX_LOOKUP_ATTEMPTS {
            return Err(error);
        }
        // A lookup may be retried. When no other instance is left, the error of the last attempt is returned.
        choice = match routing.instance(&service, &tried) {
            Ok(next) => next,
            Err(_none_left) => return Err(error),
        };
    }
}

fn response(head: Parts, body: Bytes) -> Response<Body> {
    let mut response = Response::from_parts(head, full(body));
    response.headers_mut().remove(TRANSFER_ENCODING);
    response
}

/// Returns the path and query at the target.
fn path(call: &Call) -> String {
    let path = call.parameter("path");
    match call.request.uri().query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    }
}

fn service(context: &Context, call: &Call) -> Result<(Service, Duration)> {
    let name = Service::new(call.parameter("service"))?;
    let document = context.component::<Current>().document();
    let rule = document.rules.services.get(&name);
    let rule = rule.ok_or_else(|| Error::not_found(format!("service {name}"), "ask the operators for its name"))?;
    Ok((name, Duration::from_millis(rule.timeout_ms)))
}

/// Calls a target and checks by the request id that the answer belongs to this call.
pub(crate) async fn exchange(
    context: &Context,
    address: SocketAddr,
    limit: Duration,
    mut request: Request<Full<Bytes>>,
) -> Result<(Parts, Bytes)> {
    let id = id::Request::from_random(rand::random()).to_string();
    if let Ok(value) = HeaderValue::from_str(&id) {
        request.headers_mut().insert(REQUEST_HEADER, value);
    }
    let exchange = async {
        let (head, body) = client::send(address, request).await?.into_parts();
        let body = body.collect().await;
        let body = body.map_err(|source| Kind::Transport { address, source })?;
        Ok::<_, Error>((head, body.to_bytes()))
    };
    let result = context.timer().timeout(limit, exchange).await;
    let (head, body) = result.ok_or(Kind::Timeout { address, limit })??;
    if head.headers.get(REQUEST_HEADER).and_then(|value| value.to_str().ok()) != Some(id.as_str()) {
        return Err(Error::failed(
            "the target answered another request",
            "look up the outcome of the action",
        ));
    }
    Ok((head, body))
}
