//! Plain services for callers: actions and lookups.

use std::rc::Rc;
use std::time::Duration;

use hawthornpost_core::id::{Request, Service};
use hawthornpost_core::wire::REQUEST_HEADER;
use http_body_util::BodyExt;
use hyper::header::HeaderValue;
use hyper::{Method, Response};
use linkme::distributed_slice;
use serde_json::json;

use crate::access::Access;
use crate::client;
use crate::configuration::Current;
use crate::error::{Error, Kind, Result};
use crate::http::{Body, Call, ROUTES, Route, full};
use crate::kernel::Context;
use crate::platform::{self, Metadata, Object, Written};
use crate::routing::Routing;

/// Header with the caller's key of an action.
const KEY_HEADER: &str = "idempotency-key";

#[distributed_slice(ROUTES)]
static ACTION: Route = Route {
    method: || Method::POST,
    path: "/v1/services/{service}/{*path}",
    access: Access::Account,
    handle: |context, call| Box::pin(act(context, call)),
};

#[distributed_slice(ROUTES)]
static LOOKUP: Route = Route {
    method: || Method::GET,
    path: "/v1/services/{service}/{*path}",
    access: Access::Account,
    handle: |context, call| Box::pin(look_up(context, call)),
};

async fn act(context: Rc<Context>, call: Call) -> Result<Response<Body>> {
    let (service, limit) = service(&context, &call)?;
    let key = call.header(KEY_HEADER).map(str::to_owned);
    let key =
        key.ok_or_else(|| Error::bad_request("the header Idempotency-Key is missing", "send one for each action"))?;
    let account = call.account()?.clone();
    let path = format!("/{}", call.parameter("path"));
    let body = call.body(&context).await?;
    claim(&context, &format!("{account}/{service}/{key}")).await?;
    let mut request = client::with_body(Method::POST, path, body);
    if let Ok(value) = HeaderValue::from_str(&key) {
        request.headers_mut().insert(KEY_HEADER, value);
    }
    forward(&context, &service, limit, request).await
}

async fn look_up(context: Rc<Context>, call: Call) -> Result<Response<Body>> {
    let (service, limit) = service(&context, &call)?;
    let request = client::request(Method::GET, format!("/{}", call.parameter("path")));
    forward(&context, &service, limit, request).await
}

fn service(context: &Context, call: &Call) -> Result<(Service, Duration)> {
    let name = Service::new(call.parameter("service"))?;
    let document = context.part::<Current>().document();
    let rule = document.rules.services.get(&name);
    let rule = rule.ok_or_else(|| Error::not_found(format!("service {name}"), "ask the operators for its name"))?;
    Ok((name, Duration::from_millis(rule.timeout_ms)))
}

/// Claims an action, so that it is sent at most once.
async fn claim(context: &Context, key: &str) -> Result<()> {
    let object = Object {
        metadata: Metadata {
            name: blake3::hash(key.as_bytes()).to_hex().to_string(),
            resource_version: String::new(),
        },
        spec: json!({ "entry": context.settings().entry.name }),
        status: serde_json::Value::Null,
    };
    match context.part::<platform::Client>().create("claims", &object).await? {
        Written::Done(_) => Ok(()),
        Written::Conflict => Err(Error::conflict(
            "an action with this key was sent before",
            "look up its outcome",
        )),
    }
}

async fn forward(
    context: &Context,
    service: &Service,
    limit: Duration,
    mut request: hyper::Request<http_body_util::Full<bytes::Bytes>>,
) -> Result<Response<Body>> {
    let choice = context.part::<Routing>().instance(service, &[])?;
    let id = Request::from_random(rand::random()).to_string();
    if let Ok(value) = HeaderValue::from_str(&id) {
        request.headers_mut().insert(REQUEST_HEADER, value);
    }
    let exchange = async {
        let (head, body) = client::open(choice.address, request).await?.into_parts();
        let address = choice.address;
        let body = body
            .collect()
            .await
            .map_err(|source| Kind::Transport { address, source })?;
        Ok::<_, Error>((head, body.to_bytes()))
    };
    let address = choice.address;
    let (head, body) = context
        .timer()
        .limit(limit, exchange)
        .await
        .ok_or(Kind::Timeout { address, limit })??;
    if head.headers.get(REQUEST_HEADER).and_then(|value| value.to_str().ok()) != Some(id.as_str()) {
        return Err(Error::failed(
            "the target answered another request",
            "look up the outcome of the action",
        ));
    }
    let mut response = Response::from_parts(head, full(body));
    response.headers_mut().remove(hyper::header::TRANSFER_ENCODING);
    Ok(response)
}
