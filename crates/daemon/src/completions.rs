//! Generations for callers, in the convention of the OpenAI completions API.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use hawthornpost_core::id::{Account, Attempt, Model, Request, Target};
use hawthornpost_core::wire::{Completion, Finish, Frame, Generate, REQUEST_HEADER};
use http_body_util::Either;
use http_body_util::channel::{Channel, Sender};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Response};
use linkme::distributed_slice;
use serde_json::json;

use crate::access::Access;
use crate::configuration::{Configuration, Current};
use crate::engine::{self, Stream};
use crate::error::{Error, Result};
use crate::event::Event;
use crate::http::{self, Body, Call, ROUTES, Route};
use crate::kernel::{Context, Phase};
use crate::rollouts::{Observation, Origin, Rollouts};
use crate::routing::{Choice, Query, Routing};

/// The number of events that wait for a slow caller before the engine's stream is no longer read.
const QUEUE_EVENTS: usize = 64;

#[distributed_slice(ROUTES)]
static COMPLETIONS: Route = Route {
    method: || Method::POST,
    path: "/v1/completions",
    access: Access::Account,
    handle: |context, call| Box::pin(complete(context, call)),
};

#[distributed_slice(ROUTES)]
static MODELS: Route = Route {
    method: || Method::GET,
    path: "/v1/models",
    access: Access::Account,
    handle: |context, _| Box::pin(async move { Ok(models(&context)) }),
};

/// The generation of one request.
struct Generation {
    context: Rc<Context>,
    account: Account,
    generate: Generate,
    next: u32,
    /// The engine of the first attempt; it is chosen before the response begins, so that a refusal has its own status.
    first: Option<Choice>,
}

async fn complete(context: Rc<Context>, call: Call) -> Result<Response<Body>> {
    if context.phase() >= Phase::Draining {
        let lifetime = context.settings().limits.address_lifetime;
        return Err(Error::unavailable(
            "this entry host is leaving; ask another one",
            lifetime,
        ));
    }
    context.part::<Configuration>().check_fresh()?;
    let account = call.account()?.clone();
    let completion = call.json::<Completion>(&context).await?;
    let generate = prepare(&context, &completion)?;
    let request = generate.request_id;
    let mut generation = Generation {
        context,
        account,
        generate,
        next: 0,
        first: None,
    };
    let routing = generation.context.part::<Routing>();
    generation.first = Some(routing.engine(&generation.query(&[]))?);
    let mut response = if completion.stream {
        stream(generation)
    } else {
        whole(generation).await?
    };
    if let Ok(id) = HeaderValue::from_str(&request.to_string()) {
        response.headers_mut().insert(REQUEST_HEADER, id);
    }
    Ok(response)
}

fn prepare(context: &Context, completion: &Completion) -> Result<Generate> {
    let document = context.part::<Current>().document();
    let rule = document.rules.models.get(&completion.model);
    let rule = rule.ok_or_else(|| unknown_model(&completion.model))?;
    let request_id = Request::from_random(rand::random());
    let version = context.part::<Rollouts>().version(&completion.model, request_id);
    Ok(Generate {
        model: completion.model.clone(),
        version: version.ok_or_else(|| unknown_model(&completion.model))?,
        prompt: completion.prompt.clone(),
        max_tokens: completion.max_tokens.unwrap_or(rule.max_tokens).min(rule.max_tokens),
        stream: true,
        request_id,
        attempt: Attempt::first(0),
        priority: completion.priority.unwrap_or(5),
        temperature: completion.temperature,
        resume_tokens: Vec::new(),
    })
}

fn unknown_model(model: &Model) -> Error {
    Error::not_found(format!("model {model}"), "choose one that GET /v1/models lists")
}

fn stream(mut generation: Generation) -> Response<Body> {
    let (sender, body) = Channel::<Bytes, Infallible>::new(QUEUE_EVENTS);
    let work = generation.context.begin_work();
    tokio::task::spawn_local(async move {
        let mut output = Output::Stream(sender);
        if let Err(error) = generation.run(&mut output).await {
            Event::GenerationFailed {
                request: &generation.generate.request_id,
                error: &error,
            }
            .log();
            output.fail(&error).await;
        }
        drop(work);
    });
    let mut response = Response::new(Either::Right(body));
    let event_stream = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, event_stream);
    response
}

async fn whole(mut generation: Generation) -> Result<Response<Body>> {
    let mut output = Output::Whole(String::new());
    let finish = generation.run(&mut output).await?;
    let Output::Whole(text) = output else {
        return Err(Error::failed("the answer was streamed", "report this as a fault"));
    };
    Ok(http::json(&json!({
        "id": generation.generate.request_id,
        "object": "text_completion",
        "model": generation.generate.model,
        "choices": [{ "index": 0, "text": text, "finish_reason": finish }],
    })))
}

impl Generation {
    /// Runs attempts until the answer is whole.
    async fn run(&mut self, output: &mut Output) -> Result<Finish> {
        let routing = self.context.part::<Routing>();
        let mut tried = Vec::new();
        loop {
            let mut choice = match self.first.take() {
                Some(first) => first,
                None => routing.engine(&self.query(&tried))?,
            };
            tried.push(choice.target.clone());
            match self.attempt(&mut choice, output).await {
                Ok(finish) => {
                    self.observe(&choice.target, Observation::Finished);
                    choice.finished();
                    return Ok(finish);
                }
                Err(error) => self.note_failure(&choice, &error),
            }
            self.generate.attempt = self.generate.attempt.next();
        }
    }

    fn note_failure(&self, choice: &Choice, error: &Error) {
        let is_refusal = matches!(error.kind(), crate::error::Kind::Status { .. });
        let observation = if is_refusal {
            Observation::Failed
        } else {
            Observation::Lost
        };
        self.observe(&choice.target, observation);
        if error.is_leaving() {
            choice.refused_as_leaving();
        }
        Event::AttemptFailed {
            request: &self.generate.request_id,
            target: &choice.target,
            error,
        }
        .log();
    }

    fn query<'a>(&'a self, tried: &'a [Target]) -> Query<'a> {
        Query {
            account: &self.account,
            model: &self.generate.model,
            version: &self.generate.version,
            prompt: &self.generate.prompt,
            resumed_tokens: self.next,
            max_tokens: self.generate.max_tokens,
            priority: self.generate.priority,
            tried,
        }
    }

    fn observe(&self, target: &Target, observation: Observation) {
        let origin = Origin {
            account: &self.account,
            model: &self.generate.model,
            version: &self.generate.version,
            target,
        };
        self.context.part::<Rollouts>().observe(origin, observation);
    }

    async fn attempt(&mut self, choice: &mut Choice, output: &mut Output) -> Result<Finish> {
        let mut last = self.context.timer().now();
        let mut stream = Stream::start(choice.address, &self.generate).await?;
        while let Some(engine::Event::Frame(frame)) = stream.next().await? {
            let now = self.context.timer().now();
            let observation = match frame.first {
                0 => Observation::FirstToken(now - last),
                _ => Observation::Gap(now - last),
            };
            self.observe(&choice.target, observation);
            last = now;
            if !choice.produced(u32::try_from(frame.tokens.len()).unwrap_or(u32::MAX)) {
                log::debug!("{} has no room for the rest of an answer", choice.target);
            }
            if let Some(finish) = self.accept(frame, output).await? {
                return Ok(finish);
            }
        }
        Err(Error::failed(
            "the engine's stream ended early",
            "another engine is tried",
        ))
    }

    async fn accept(&mut self, frame: Frame, output: &mut Output) -> Result<Option<Finish>> {
        if frame.id != self.generate.request_id || frame.attempt != self.generate.attempt || frame.first != self.next {
            return Ok(None);
        }
        let finish = frame.finish;
        for token in frame.tokens {
            output.token(&self.generate, self.next, &token.text).await?;
            self.generate.resume_tokens.push(token.id);
            self.next += 1;
        }
        if finish.is_some() {
            output.finish(&self.generate, finish).await?;
        }
        Ok(finish)
    }
}

/// Where the tokens of an answer go.
enum Output {
    Stream(Sender<Bytes, Infallible>),
    Whole(String),
}

impl Output {
    async fn token(&mut self, generate: &Generate, index: u32, text: &str) -> Result<()> {
        match self {
            Self::Whole(whole) => {
                whole.push_str(text);
                Ok(())
            }
            Self::Stream(sender) => send(sender, format!("id: {index}\n{}", chunk(generate, text, None))).await,
        }
    }

    async fn finish(&mut self, generate: &Generate, finish: Option<Finish>) -> Result<()> {
        match self {
            Self::Whole(_) => Ok(()),
            Self::Stream(sender) => send(sender, format!("{}data: [DONE]\n\n", chunk(generate, "", finish))).await,
        }
    }

    async fn fail(&mut self, error: &Error) {
        if let Self::Stream(sender) = self {
            let problem = json!({ "error": { "message": error.to_string(), "type": "server_error" } });
            if send(sender, format!("event: error\ndata: {problem}\n\n"))
                .await
                .is_err()
            {
                log::debug!("the caller is gone");
            }
        }
    }
}

fn chunk(generate: &Generate, text: &str, finish: Option<Finish>) -> String {
    let chunk = json!({
        "id": generate.request_id,
        "object": "text_completion",
        "model": generate.model,
        "choices": [{ "index": 0, "text": text, "finish_reason": finish }],
    });
    format!("data: {chunk}\n\n")
}

async fn send(sender: &mut Sender<Bytes, Infallible>, event: String) -> Result<()> {
    let sent = sender.send_data(Bytes::from(event)).await;
    sent.map_err(|_closed| Error::failed("the caller closed the connection", "resume with the handle"))
}

fn models(context: &Context) -> Response<Body> {
    let document = context.part::<Current>().document();
    let list = document
        .rules
        .models
        .keys()
        .map(|model| json!({ "id": model, "object": "model" }));
    http::json(&json!({ "object": "list", "data": list.collect::<Vec<_>>() }))
}
