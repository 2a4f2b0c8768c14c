//! Generations for callers, compatible with the OpenAI completions API.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hawthornpost_core::generation;
use hawthornpost_core::id::{Model, Request};
use hawthornpost_core::wire::{Completion, REQUEST_HEADER, RESUME_HEADER};
use http_body_util::Either;
use http_body_util::channel::{Channel, Sender};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Response, StatusCode};
use linkme::distributed_slice;
use serde_json::json;

use crate::access::Access;
use crate::completions_reader::{Chunk, Format, Reader};
use crate::configuration::{Configuration, Current};
use crate::error::{Error, Result};
use crate::event::Event;
use crate::generations::Generations;
use crate::generations_running::Running;
use crate::http::{self, Body, Call, ROUTES, Route};
use crate::kernel::{Context, Phase, Work};
use crate::rollouts::Rollouts;

/// The largest number of queued chunks per caller. The next chunk is built only after the connection has written the
/// previous one.
const MAX_QUEUED_CHUNKS: usize = 1;
/// The header with the index of the last token that a caller received.
const LAST_EVENT_HEADER: &str = "last-event-id";

#[distributed_slice(ROUTES)]
static COMPLETIONS: Route = Route {
    method: || Method::POST,
    path: "/v1/completions",
    access: Access::Account,
    handle: |context, call| Box::pin(complete(context, call)),
};

#[distributed_slice(ROUTES)]
static RESUME: Route = Route {
    method: || Method::POST,
    path: "/v1/completions/resume",
    access: Access::Account,
    handle: |context, call| Box::pin(resume(context, call)),
};

#[distributed_slice(ROUTES)]
static CANCEL: Route = Route {
    method: || Method::DELETE,
    path: "/v1/completions/{request}",
    access: Access::Account,
    handle: |context, call| Box::pin(async move { cancel(&context, &call) }),
};

#[distributed_slice(ROUTES)]
static MODELS: Route = Route {
    method: || Method::GET,
    path: "/v1/models",
    access: Access::Account,
    handle: |context, _| Box::pin(async move { Ok(models(&context)) }),
};

async fn complete(context: Rc<Context>, call: Call) -> Result<Response<Body>> {
    refuse_when_draining(&context)?;
    if call.header(RESUME_HEADER).is_some() {
        return resume(context, call).await;
    }
    context.component::<Configuration>().check_fresh()?;
    let account = call.account()?.clone();
    let completion = call.json::<Completion>(&context).await?;
    let streamed = completion.stream;
    let request = prepare(&context, account, completion)?;
    let generations = context.component::<Generations>();
    let running = generations.start(request)?;
    let reader = Reader::new(&generations, &running, 0)?;
    let work = context.begin_work();
    let response = if streamed {
        stream(&context, reader, work)
    } else {
        respond_whole(reader, work).await?
    };
    Ok(with_headers(response, &generations, &running))
}

async fn resume(context: Rc<Context>, call: Call) -> Result<Response<Body>> {
    refuse_when_draining(&context)?;
    let account = call.account()?;
    let handle = call
        .header(RESUME_HEADER)
        .ok_or_else(|| Error::bad_request(format!("the header {RESUME_HEADER} is missing"), "send the handle"))?;
    let next = next_index(call.header(LAST_EVENT_HEADER))?;
    let generations = context.component::<Generations>();
    let running = generations.resume(account, handle, next).await?;
    let reader = Reader::new(&generations, &running, next)?;
    let response = stream(&context, reader, context.begin_work());
    Ok(with_headers(response, &generations, &running))
}

fn cancel(context: &Rc<Context>, call: &Call) -> Result<Response<Body>> {
    let request = call.parameter("request").parse::<Request>()?;
    let generations = context.component::<Generations>();
    let running = generations.find(&request, call.account()?);
    let running = running.ok_or_else(|| {
        Error::not_found(
            format!("running request {request} at this entry"),
            "send the cancellation to the entry that streams the answer",
        )
    })?;
    generations.dispatch(&running, generation::Event::Cancel);
    let mut response = Response::new(http::full(""));
    *response.status_mut() = StatusCode::NO_CONTENT;
    Ok(response)
}

fn refuse_when_draining(context: &Context) -> Result<()> {
    if context.phase() < Phase::Draining {
        return Ok(());
    }
    let lifetime = context.settings().limits.address_lifetime;
    Err(Error::unavailable(
        "this entry host is leaving; ask another one",
        lifetime,
    ))
}

fn next_index(last: Option<&str>) -> Result<u32> {
    let Some(last) = last else {
        return Ok(0);
    };
    let index = last.parse::<u32>();
    let next = index.ok().and_then(|index| index.checked_add(1));
    next.ok_or_else(|| {
        Error::bad_request(
            format!("`{last}` is not the index of a token"),
            "send the id of the last event, or leave the header out",
        )
    })
}

fn prepare(
    context: &Context,
    account: hawthornpost_core::id::Account,
    completion: Completion,
) -> Result<generation::Request> {
    let document = context.component::<Current>().document();
    let rule = document.rules.models.get(&completion.model);
    let rule = rule.ok_or_else(|| unknown_model(&completion.model))?;
    let id = Request::from_random(rand::random());
    let version = context.component::<Rollouts>().version(&completion.model, id);
    let version = version.ok_or_else(|| unknown_model(&completion.model))?;
    let max_tokens = completion.max_tokens.unwrap_or(rule.max_tokens).min(rule.max_tokens);
    let highest = document.rules.accounts.get(&account).map_or(0, |rule| rule.priority);
    let completion = Completion {
        max_tokens: Some(max_tokens),
        priority: Some(completion.priority.unwrap_or(highest).min(highest)),
        ..completion
    };
    Ok(generation::Request {
        id,
        account,
        completion: Arc::new(completion),
        version,
        max_tokens,
        remaining: Duration::ZERO,
    })
}

fn unknown_model(model: &Model) -> Error {
    Error::not_found(format!("model {model}"), "choose one that GET /v1/models lists")
}

fn with_headers(mut response: Response<Body>, generations: &Generations, running: &Running) -> Response<Body> {
    let handle = generations.handle(running).unwrap_or_default();
    let values = [(REQUEST_HEADER, running.request.to_string()), (RESUME_HEADER, handle)];
    for (name, value) in values {
        if let Ok(value) = HeaderValue::from_str(&value) {
            response.headers_mut().insert(name, value);
        }
    }
    response
}

fn stream(context: &Rc<Context>, mut reader: Reader, work: Work) -> Response<Body> {
    let (mut sender, body) = Channel::<Bytes, Infallible>::new(MAX_QUEUED_CHUNKS);
    let context = Rc::clone(context);
    tokio::task::spawn_local(async move {
        if let Err(error) = forward(&context, &mut reader, &mut sender).await {
            log::debug!("request {}: cannot stream the answer: {error}", reader.request());
        }
        drop(work);
    });
    let mut response = Response::new(Either::Right(body));
    let event_stream = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, event_stream);
    response
}

/// Sends chunks to a caller until the answer ends or the caller disconnects.
async fn forward(context: &Context, reader: &mut Reader, sender: &mut Sender<Bytes, Infallible>) -> Result<()> {
    let limit = context.settings().limits.write_timeout;
    let format = Format::new(reader);
    loop {
        let mut chunk = reader.next().await;
        if chunk == Chunk::Replaced {
            return Ok(());
        }
        let text = format.events(reader, &mut chunk);
        let write = reader.write(text, sender);
        if context.timer().timeout(limit, write).await != Some(true) {
            return Err(Error::failed(
                "the caller disconnected or does not read",
                "it can resume with its handle",
            ));
        }
        if let Chunk::Failed(error) = &chunk {
            log_failure(reader, error);
        }
        if !reader.confirm(&chunk) {
            return Ok(());
        }
    }
}

async fn respond_whole(mut reader: Reader, _work: Work) -> Result<Response<Body>> {
    loop {
        let chunk = reader.next().await;
        match &chunk {
            Chunk::Failed(error) => {
                log_failure(&reader, error);
                return Err(reader.failure());
            }
            Chunk::HandOver | Chunk::Replaced => return Err(reader.failure()),
            Chunk::Tokens(_) | Chunk::End(_) => {}
        }
        if let Chunk::End(finish) = &chunk {
            let body = reader.full_text();
            let response = http::json(&json!({
                "id": reader.request(),
                "object": "text_completion",
                "model": reader.model(),
                "choices": [{ "index": 0, "text": body, "finish_reason": finish }],
            }));
            reader.confirm(&chunk);
            return Ok(response);
        }
        reader.confirm(&chunk);
    }
}

fn log_failure(reader: &Reader, error: &str) {
    Event::GenerationFailed {
        request: &reader.request(),
        error: &error,
    }
    .log();
}

fn models(context: &Context) -> Response<Body> {
    let document = context.component::<Current>().document();
    let list = document
        .rules
        .models
        .keys()
        .map(|model| json!({ "id": model, "object": "model" }));
    http::json(&json!({ "object": "list", "data": list.collect::<Vec<_>>() }))
}
