//! Operator endpoints for the configuration.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use hawthornpost_core::config::{
    Chunk, Document, Event as Input, Head, Outcome, Proposal, Reply, Snapshot, Status, Step, Summary, Writer, diff,
};
use hawthornpost_core::inventory::Register;
use hawthornpost_core::rules::Rules;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Response, StatusCode};
use jiff::Timestamp;
use linkme::distributed_slice;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::access::Access;
use crate::configuration::{Configuration, Current};
use crate::configuration_store as store;
use crate::error::{Error, Result};
use crate::http::{self, Body, Call, ROUTES, Route};
use crate::kernel::Context;
use crate::members::{self, Members};
use crate::platform;
use crate::problem::Problem;

/// The time limit of a configuration change; the operator waits for the result.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// The delay before a step is retried that the platform did not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// How long an entry host waits to receive the accepted version that it reports in a conflict.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);

#[distributed_slice(ROUTES)]
static SHOW: Route = Route {
    method: || Method::GET,
    path: "/v1/admin/config",
    access: Access::Operator,
    handle: |context, _| Box::pin(async move { Ok(http::json(&*context.component::<Current>().document())) }),
};

#[distributed_slice(ROUTES)]
static APPLY: Route = Route {
    method: || Method::POST,
    path: "/v1/admin/config",
    access: Access::Operator,
    handle: |context, call| Box::pin(apply(context, call)),
};

#[distributed_slice(ROUTES)]
static HISTORY: Route = Route {
    method: || Method::GET,
    path: "/v1/admin/config/history",
    access: Access::Operator,
    handle: |context, _| Box::pin(async move { Ok(http::json(&history(&context))) }),
};

#[distributed_slice(ROUTES)]
static STATUS: Route = Route {
    method: || Method::GET,
    path: "/v1/admin/config/status",
    access: Access::Operator,
    handle: |context, call| Box::pin(async move { Ok(http::json(&status(&context, &call).await?)) }),
};

/// The request body of a configuration change.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Change {
    base: u64,
    author: String,
    inventory: Register,
    rules: Rules,
}

#[derive(Serialize)]
struct Versions {
    versions: Vec<Summary>,
    displaced: Vec<Summary>,
}

async fn apply(context: Rc<Context>, call: Call) -> Result<Response<Body>> {
    let change = call.json::<Change>(&context).await?;
    let mut document = Document {
        version: change.base + 1,
        inventory: change.inventory,
        rules: change.rules,
    };
    document.rules.check(&document.inventory)?;
    let chunks = Chunk::split(&document)?;
    let proposal = Proposal {
        chunks: chunks.iter().map(|chunk| chunk.hash).collect(),
        author: change.author,
        at: Timestamp::now(),
        nonce: rand::random(),
    };
    match write(&context, change.base, proposal, &chunks).await {
        Outcome::Accepted(head) => {
            document.version = head.version;
            let version = head.version;
            let accepted = Snapshot {
                head,
                chunks,
                document: Arc::new(document),
            };
            context.component::<Configuration>().dispatch(Input::Written(accepted));
            Ok(http::json(&json!({ "version": version })))
        }
        Outcome::Conflict(head) => Ok(conflict_response(&context, change.base, &head).await),
        Outcome::Unsettled => Err(Error::unavailable(
            "the platform has another version than this entry host; it is being settled",
            RETRY_INTERVAL,
        )),
        Outcome::Unavailable => Err(Error::unavailable(
            "the platform does not answer; nothing was changed",
            CATCH_UP_TIMEOUT,
        )),
        Outcome::Unknown => Err(Error::failed(
            "the platform did not confirm the change; it may or may not be accepted",
            "look at the history before you apply it again",
        )),
    }
}

/// Executes the steps of a configuration write.
async fn write(context: &Context, base: u64, proposal: Proposal, chunks: &[Chunk]) -> Outcome {
    let configuration = context.component::<Configuration>();
    let known = configuration.snapshot().map(|snapshot| snapshot.head.digest);
    let mut writer = Writer::new(base, known, proposal);
    let end = context.timer().now() + WRITE_TIMEOUT;
    let mut next_step = Step::ReadHead;
    loop {
        let reply = if context.timer().now() < end {
            execute_step(context, &next_step, chunks).await
        } else {
            Some(Reply::GivenUp)
        };
        if let Some(reply) = reply {
            next_step = writer.handle(reply);
        } else {
            context.timer().sleep(RETRY_INTERVAL).await;
        }
        if let Step::Finish(outcome) = next_step {
            return outcome;
        }
    }
}

/// Executes one step; `None` means that it has to be retried.
async fn execute_step(context: &Context, next_step: &Step, chunks: &[Chunk]) -> Option<Reply> {
    let client = context.component::<platform::Client>();
    match next_step {
        Step::ReadHead => context.component::<Configuration>().read().await.map(Reply::Head).ok(),
        Step::PutChunks => store::put_chunks(&client, chunks)
            .await
            .map(|()| Reply::ChunksStored)
            .ok(),
        Step::PutHead { head, resource_version } => {
            let answer = store::put_head(&client, head, resource_version.clone()).await;
            answer.map(Reply::Put).ok()
        }
        Step::Finish(_) => None,
    }
}

/// Builds the response for an operator whose base version is outdated, with the changes accepted since.
async fn conflict_response(context: &Context, base: u64, head: &Head) -> Response<Body> {
    let current = context.component::<Current>();
    let mut version = current.watch();
    let catch_up = version.wait_for(|version| *version >= head.version);
    if context.timer().timeout(CATCH_UP_TIMEOUT, catch_up).await.is_none() {
        log::debug!("configuration version {} has not been received yet", head.version);
    }
    let accepted = current.document();
    let before = context.component::<Configuration>().recent_document(base);
    let lines = before.map(|before| diff(&before, &accepted));
    let shown = lines.iter().flatten().map(ToString::to_string).collect::<Vec<_>>();
    let detail = format!(
        "version {} of {} was accepted after version {base}",
        head.version, head.author
    );
    let problem = Problem::new(&Error::conflict(
        detail,
        "look at the difference and apply again on top of it",
    ));
    let mut body = serde_json::to_value(&problem).unwrap_or_default();
    body["version"] = json!(head.version);
    body["difference"] = json!(shown);
    let mut response = http::json(&body);
    *response.status_mut() = StatusCode::CONFLICT;
    let content_type = HeaderValue::from_static("application/problem+json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn history(context: &Context) -> Value {
    let Some(snapshot) = context.component::<Configuration>().snapshot() else {
        return json!({ "versions": [] });
    };
    let own = std::iter::once(snapshot.head.summary());
    let versions = Versions {
        versions: own.chain(snapshot.head.history.iter().cloned()).collect(),
        displaced: snapshot.head.displaced.clone(),
    };
    json!(versions)
}

/// Returns which members have a version. Members that are not known to have it are queried.
async fn status(context: &Rc<Context>, call: &Call) -> Result<Status> {
    let query = call.request.uri().query().unwrap_or_default();
    let version = match query.strip_prefix("version=") {
        Some(text) => text.parse().map_err(|_source| {
            Error::bad_request(
                format!("version `{text}` is not a number"),
                "use a version of the history",
            )
        })?,
        None => context.component::<Current>().version(),
    };
    let members = context.component::<Members>();
    let lacking = Status::of(version, &members.known()).lacking;
    let queries = lacking.iter().filter_map(|entry| {
        let address = members.peer_address(entry)?;
        Some(async move { (entry, members::query_reachability(context, address).await) })
    });
    for (entry, reach) in join_all(queries).await {
        if let Ok(reach) = reach {
            members.record_config(entry, reach.version);
        }
    }
    Ok(Status::of(version, &members.known()))
}
